"""Base errors of the adapters."""

from pimentobend_core._internal.exceptions import PimentobendError


class AdapterError(PimentobendError):
    """Base of the errors raised by the adapters."""


class LinkError(AdapterError):
    """The link to other processes cannot be used."""


class FrameError(LinkError):
    """A frame is malformed, incomplete, not authentic or of another version."""


class KeyFileError(AdapterError):
    """The key file cannot be used."""
