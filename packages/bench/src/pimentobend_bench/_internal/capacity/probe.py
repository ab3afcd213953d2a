"""Define what is measured against several sizes."""

import abc
import enum
import gc
import time
from collections.abc import Callable

from pimentobend_bench._internal.capacity.process import private_bytes

_REPEATS = 5
_MIN_ROUND_S = 0.02


class Unit(enum.Enum):
    """Name what a reading counts."""

    BYTES = "bytes"
    SECONDS = "seconds"


class Probe(abc.ABC):
    """Take one reading of the code at a given size."""

    name: str
    sized_by: str  # what the size counts, in the plural
    reads: str  # what the value counts
    unit: Unit
    sizes: tuple[int, ...]
    mechanism: str  # the module that is measured

    @abc.abstractmethod
    def measure(self, size: int) -> float:
        """Return the reading at a size, in the probe's unit."""


class MemoryProbe(Probe):
    """Read how many private bytes a structure adds to a fresh process."""

    reads = "private memory of the process"
    unit = Unit.BYTES

    @abc.abstractmethod
    def warm_up(self) -> None:
        """Load the code, so that the reading holds the data alone."""

    @abc.abstractmethod
    def build(self, size: int) -> object:
        """Return the structure at a size."""

    def measure(self, size: int) -> float:
        """Return the private bytes that the structure adds."""
        self.warm_up()
        gc.collect()
        before = private_bytes()
        structure = self.build(size)
        gc.collect()
        added = private_bytes() - before
        del structure
        return float(added)


class BytesProbe(Probe):
    """Count the bytes of an encoded message."""

    reads = "bytes of the message"
    unit = Unit.BYTES

    @abc.abstractmethod
    def encode(self, size: int) -> bytes:
        """Return the message at a size."""

    def measure(self, size: int) -> float:
        """Return the message's length."""
        return float(len(self.encode(size)))


class CpuProbe(Probe):
    """Read the processor time of one operation, the least of several rounds."""

    reads = "processor time"
    unit = Unit.SECONDS

    @abc.abstractmethod
    def prepare(self, size: int) -> Callable[[], object]:
        """Return the operation, ready to be repeated."""

    def measure(self, size: int) -> float:
        """Return the processor seconds of one operation."""
        operation = self.prepare(size)
        operation()
        return min(_time_round(operation) for _ in range(_REPEATS))


def _time_round(operation: Callable[[], object]) -> float:
    runs = 0
    started = time.process_time()
    while (taken := time.process_time() - started) < _MIN_ROUND_S:
        operation()
        runs += 1
    return taken / runs
