"""Exit codes of the client."""

import enum


class Status(enum.IntEnum):
    """Exit code of a command; docs/INTERFACES.md lists them."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    FAULTS = 3  # the tables have faults
    CONFLICT = 4  # the version in force is not the expected one
    UNREACHABLE = 5
    DIFFERENT = 6  # diff found a difference
