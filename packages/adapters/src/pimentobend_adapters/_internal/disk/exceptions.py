"""Define the errors of the data folder."""

from pimentobend_adapters._internal.exceptions import AdapterError


class DiskError(AdapterError):
    """Report that the data folder did not take or give what was asked."""


class CorruptDiskError(DiskError):
    """Report stored bytes that were synced and are damaged now."""
