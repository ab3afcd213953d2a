"""Base class and exit codes of the bench commands."""

import abc
import enum
from collections.abc import Sequence


class Status(enum.IntEnum):
    """Exit code of a bench command."""

    SUCCESS = 0
    TARGET_MISSED = 1
    USAGE = 2


class Command(abc.ABC):
    """A benchmark that prints its results as a table."""

    name: str
    usage: str
    summary: str

    @abc.abstractmethod
    def run(self, args: Sequence[str]) -> Status:
        """Run the benchmark with command-line arguments and return its exit code."""
