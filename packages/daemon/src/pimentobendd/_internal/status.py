"""Name the daemon's exit codes."""

import enum


class Status(enum.IntEnum):
    """Name the daemon's exit codes."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
