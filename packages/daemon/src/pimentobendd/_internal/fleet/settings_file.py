"""Load the settings file and detect changes of it."""

import pathlib
from typing import NamedTuple

from pimentobendd._internal.fleet.settings import FleetSettings
from pimentobendd._internal.fleet.settings import load_fleet_settings


class _FileState(NamedTuple):
    """Modification time and size, to detect that a file has changed."""

    modified_at_ns: int
    size_bytes: int


class SettingsFile:
    """A settings file, and its modification time and size when it was last read."""

    def __init__(self, path: str) -> None:
        self._path = path
        self._last_state: _FileState | None = None

    def load(self) -> FleetSettings:
        """Return the settings; raise ``SettingsError`` if they have faults."""
        # The state is read before the contents, so that no later change is missed.
        self._last_state = self._read_state()
        return load_fleet_settings(self._path)

    def has_changed(self) -> bool:
        """Return whether the file has changed since it was last read."""
        state = self._read_state()
        return state is not None and state != self._last_state

    def _read_state(self) -> _FileState | None:
        try:
            status = pathlib.Path(self._path).stat()
        except OSError:
            return None  # missing (as while it is being replaced) or unreadable
        return _FileState(status.st_mtime_ns, status.st_size)
