"""Store encoded entries by the digest of their key until they expire."""

import collections
from typing import NamedTuple

KEEP_S = 86_400.0  # an entry is kept at least this long after its last change
GENERATION_S = 7_200.0  # entries that changed within this span expire together


class Generation(NamedTuple):
    """The entries that last changed within one span of log time."""

    began_at: float  # seconds of log time
    entries: dict[bytes, bytes]


class EntryStore:
    """Stores entries in generations, so that expiry drops many at once."""

    def __init__(self) -> None:
        first = Generation(0.0, {})
        self._generations = collections.deque([first])

    def __len__(self) -> int:
        return sum(len(generation.entries) for generation in self._generations)

    def get(self, digest: bytes) -> bytes | None:
        """Return the entry of a digest, or None if there is none."""
        for generation in reversed(self._generations):
            value = generation.entries.get(digest)
            if value is not None:
                return value
        return None

    def put(self, digest: bytes, value: bytes) -> None:
        """Store an entry in the latest generation."""
        for generation in self._generations:
            generation.entries.pop(digest, None)
        self._generations[-1].entries[digest] = value

    def advance(self, clock_s: float) -> None:
        """Start a new generation if one is due, and drop expired ones."""
        latest = self._generations[-1].began_at
        if clock_s - latest >= GENERATION_S:
            began_at = clock_s - clock_s % GENERATION_S
            self._generations.append(Generation(began_at, {}))
        while self._is_oldest_expired(clock_s):
            self._generations.popleft()

    def export(self) -> tuple[Generation, ...]:
        """Return the generations, oldest first."""
        return tuple(self._generations)

    @classmethod
    def restore(cls, generations: tuple[Generation, ...]) -> "EntryStore":
        """Create a store from the value of ``export``."""
        store = cls()
        if generations:
            store._generations = collections.deque(generations)
        return store

    def _is_oldest_expired(self, clock_s: float) -> bool:
        if len(self._generations) < 2:
            return False
        return clock_s - self._generations[1].began_at >= KEEP_S
