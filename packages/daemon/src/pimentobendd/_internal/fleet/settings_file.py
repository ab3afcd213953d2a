"""Load the settings file and detect changes of it."""

import pathlib
from typing import NamedTuple

from pimentobendd._internal.fleet.settings import FleetSettings
from pimentobendd._internal.fleet.settings import load_fleet_settings


class _Stamp(NamedTuple):
    """Modification time and size, to detect that a file has changed."""

    modified_at_ns: int
    size_bytes: int


class SettingsFile:
    """A settings file and the stamp of the contents that were read last."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._stamp: _Stamp | None = None

    def load(self) -> FleetSettings:
        """Return the checked settings; raise ``SettingsError`` with all faults."""
        self._stamp = self._read_stamp()  # first, so that no later change is missed
        return load_fleet_settings(self._path)

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was last read."""
        stamp = self._read_stamp()
        return stamp is not None and stamp != self._stamp

    def _read_stamp(self) -> _Stamp | None:
        try:
            status = pathlib.Path(self._path).stat()
        except OSError:
            return None  # the file is being replaced
        return _Stamp(status.st_mtime_ns, status.st_size)
