"""Define what every bench command offers."""

import abc
import enum
from collections.abc import Sequence


class Status(enum.IntEnum):
    """Name the exit codes of the bench."""

    SUCCESS = 0
    TARGET_MISSED = 1
    USAGE = 2


class Command(abc.ABC):
    """Run one experiment and print its table."""

    name: str
    usage: str
    summary: str

    @abc.abstractmethod
    def run(self, args: Sequence[str]) -> Status:
        """Run with command-line arguments and return an exit code."""
