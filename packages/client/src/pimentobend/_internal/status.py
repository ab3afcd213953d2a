"""Name the exit codes of the client."""

import enum


class Status(enum.IntEnum):
    """Name an exit code; docs/INTERFACES.md lists them."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    FAULTS = 3  # the tables have faults
    CONFLICT = 4  # another version is in force
    UNREACHABLE = 5
    DIFFERENT = 6  # diff found a difference
