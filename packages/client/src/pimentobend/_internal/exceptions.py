"""Errors of the operators' client."""

from pimentobend_core._internal.exceptions import PimentobendError


class ClientError(PimentobendError):
    """A command failed; base class of the client's errors."""


class UsageError(ClientError):
    """The command line is invalid."""


class UnreachableError(ClientError):
    """No HTTP response came from the daemon's address."""


class RefusedError(ClientError):
    """The daemon, or the local check before it, refused the request."""

    def __init__(
        self, status: int, message: str, faults: tuple[str, ...], hint: str
    ) -> None:
        super().__init__(message, context="; ".join(faults), hint=hint)
        self.status = status
        self.faults = faults
