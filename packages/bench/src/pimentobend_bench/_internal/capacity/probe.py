"""Probes: measurements of one part of the code at several sizes."""

import abc
import enum
import gc
import time
from collections.abc import Callable

from pimentobend_bench._internal.capacity.process import private_bytes

_ROUNDS = 5
_MIN_ROUND_S = 0.02


class Unit(enum.Enum):
    """Unit of a reading."""

    BYTES = "bytes"
    SECONDS = "seconds"


class Probe(abc.ABC):
    """Measure one part of the code at a given size."""

    name: str
    sized_by: str  # what the size counts, in the plural, such as "routes"
    reads: str  # what the reading is, such as "processor time"
    unit: Unit
    sizes: tuple[int, ...]
    mechanism: str  # the modules that are measured

    @abc.abstractmethod
    def measure(self, size: int) -> float:
        """Return the reading at a size, in the probe's unit."""


class MemoryProbe(Probe):
    """Measure how many private bytes a data structure adds to a fresh process."""

    reads = "private memory of the process"
    unit = Unit.BYTES

    @abc.abstractmethod
    def warm_up(self) -> None:
        """Import and run the code once, so that the reading counts only the data."""

    @abc.abstractmethod
    def build(self, size: int) -> object:
        """Return the data structure at a size."""

    def measure(self, size: int) -> float:
        """Return the private bytes that the data structure adds."""
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
        """Return the length of the message."""
        return float(len(self.encode(size)))


class CpuProbe(Probe):
    """Measure the CPU time of one operation, as the minimum over several rounds."""

    reads = "processor time"
    unit = Unit.SECONDS

    @abc.abstractmethod
    def prepare(self, size: int) -> Callable[[], object]:
        """Return the operation to be timed, which can be repeated."""

    def measure(self, size: int) -> float:
        """Return the CPU seconds of one operation."""
        operation = self.prepare(size)
        operation()
        return min(_time_round(operation) for _ in range(_ROUNDS))


def _time_round(operation: Callable[[], object]) -> float:
    runs = 0
    started_at = time.process_time()
    while (elapsed := time.process_time() - started_at) < _MIN_ROUND_S:
        operation()
        runs += 1
    return elapsed / runs
