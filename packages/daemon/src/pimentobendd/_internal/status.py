"""Define the daemon's exit codes."""

import enum


class Status(enum.IntEnum):
    """Exit codes of the daemon."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
