"""Define the errors of the data folder."""

from pimentobend_core._internal.exceptions import PimentobendError


class DiskError(PimentobendError):
    """Report that the data folder did not take or give what was asked."""


class CorruptDiskError(DiskError):
    """Report stored bytes that were synced and are damaged now."""
