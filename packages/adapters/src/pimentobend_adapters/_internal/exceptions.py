"""Define the errors of the adapters."""

from pimentobend_core._internal.exceptions import PimentobendError


class AdapterError(PimentobendError):
    """Report a fault at the edge of the process."""


class LinkError(AdapterError):
    """Report a fault of a link between two processes."""


class FrameError(LinkError):
    """Report a frame that is not from a member or not of this version."""


class KeyFileError(AdapterError):
    """Report a key file that cannot be used."""
