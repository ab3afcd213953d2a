"""Errors of the daemon."""

from collections.abc import Iterable

from pimentobend_core._internal.exceptions import PimentobendError
from pimentobend_core._internal.utils.checks import Fault


class DaemonError(PimentobendError):
    """Base of the errors that keep the daemon from running."""


class SettingsError(DaemonError):
    """A settings file has faults, all of which are listed."""

    def __init__(self, path: str, faults: Iterable[Fault]) -> None:
        self.faults = tuple(faults)
        lines = "; ".join(str(fault) for fault in self.faults)
        super().__init__(
            f"the settings have {len(self.faults)} fault(s): {lines}",
            context=path,
            hint="docs/OPERATING.md lists the settings",
        )
