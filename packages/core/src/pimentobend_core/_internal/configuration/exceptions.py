"""Errors of configuration replication."""

from pimentobend_core._internal.exceptions import CoreError


class ConfigurationError(CoreError):
    """A delta or snapshot does not fit: wrong base version or digest."""
