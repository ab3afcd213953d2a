"""Read the settings file again whenever it has changed."""

import pathlib
from typing import NamedTuple

from pimentobendd._internal.fleet.settings import FleetSettings
from pimentobendd._internal.fleet.settings import load_fleet_settings


class _Stamp(NamedTuple):
    """Tell two contents of a file apart."""

    changed_at_ns: int
    size_bytes: int


class SettingsFile:
    """Own the path of the settings and the stamp of what was read last."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._stamp: _Stamp | None = None

    def load(self) -> FleetSettings:
        """Return the settings; raise ``SettingsError``."""
        self._stamp = self._read_stamp()  # before, so that no change is missed
        return load_fleet_settings(self._path)

    def has_changed(self) -> bool:
        """Say whether the file differs from what was read last."""
        stamp = self._read_stamp()
        return stamp is not None and stamp != self._stamp

    def _read_stamp(self) -> _Stamp | None:
        try:
            status = pathlib.Path(self._path).stat()
        except OSError:
            return None  # it is being replaced
        return _Stamp(status.st_mtime_ns, status.st_size)
