"""Define the errors of the configuration."""

from pimentobend_core._internal.exceptions import CoreError


class ConfigurationError(CoreError):
    """Report tables that do not follow from one another."""
