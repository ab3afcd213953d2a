"""Define the errors of the operators' client."""

from pimentobend_core._internal.exceptions import PimentobendError


class ClientError(PimentobendError):
    """Report why a command cannot go on."""


class UsageError(ClientError):
    """Report a command line that cannot be understood."""


class UnreachableError(ClientError):
    """Report that no daemon answered at an address."""


class RefusedError(ClientError):
    """Report that a daemon refused a request."""

    def __init__(
        self, status: int, message: str, faults: tuple[str, ...], hint: str
    ) -> None:
        super().__init__(message, context="; ".join(faults), hint=hint)
        self.status = status
        self.faults = faults
