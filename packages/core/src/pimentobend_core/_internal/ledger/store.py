"""Keep entries by digest until they are older than the stated age."""

import collections
from typing import Generic
from typing import NamedTuple
from typing import TypeVar

KEEP_S = 86_400.0  # an entry is kept at least so long after its last change
GENERATION_S = 7_200.0

Value = TypeVar("Value")


class Generation(NamedTuple, Generic[Value]):
    """Hold the entries that changed within one span of log time."""

    began_at: float  # seconds of log time
    entries: dict[bytes, Value]


class EntryStore(Generic[Value]):
    """Hold entries in generations, so that expiry drops many at once."""

    def __init__(self) -> None:
        first: Generation[Value] = Generation(0.0, {})
        self._generations = collections.deque([first])

    def __len__(self) -> int:
        return sum(len(generation.entries) for generation in self._generations)

    def get(self, digest: bytes) -> Value | None:
        """Return the entry of a digest, if one is kept."""
        for generation in reversed(self._generations):
            value = generation.entries.get(digest)
            if value is not None:
                return value
        return None

    def put(self, digest: bytes, value: Value) -> None:
        """Keep an entry from now on."""
        for generation in self._generations:
            generation.entries.pop(digest, None)
        self._generations[-1].entries[digest] = value

    def advance(self, clock_s: float) -> None:
        """Begin a generation when it is due, and drop those past the age."""
        latest = self._generations[-1].began_at
        if clock_s - latest >= GENERATION_S:
            began_at = clock_s - clock_s % GENERATION_S
            self._generations.append(Generation(began_at, {}))
        while self._is_past(clock_s):
            self._generations.popleft()

    def export(self) -> tuple[Generation[Value], ...]:
        """Return the generations, the earliest first."""
        return tuple(self._generations)

    @classmethod
    def restore(cls, generations: tuple[Generation[Value], ...]) -> "EntryStore[Value]":
        """Create the store that ``export`` described."""
        store: EntryStore[Value] = cls()
        if generations:
            store._generations = collections.deque(generations)
        return store

    def _is_past(self, clock_s: float) -> bool:
        if len(self._generations) < 2:
            return False
        return clock_s - self._generations[1].began_at >= KEEP_S
