"""Errors of the data folder."""

from pimentobend_adapters._internal.exceptions import AdapterError


class DiskError(AdapterError):
    """The data folder cannot be read or written."""


class CorruptDiskError(DiskError):
    """Stored data is damaged, although it had been synced."""
