"""Base exceptions of the project."""


class PimentobendError(Exception):
    """Base of all errors: what happened, in which context, and what to do about it."""

    def __init__(self, message: str, *, context: str = "", hint: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.context = context
        self.hint = hint

    def __str__(self) -> str:
        parts = [self.message]
        if self.context:
            parts.append(f"context: {self.context}")
        if self.hint:
            parts.append(f"hint: {self.hint}")
        return "; ".join(parts)


class CoreError(PimentobendError):
    """Base of the errors raised by the decision code."""


class CodecError(CoreError):
    """Bytes cannot be decoded as a message of this version."""
