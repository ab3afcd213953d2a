"""Order the attempts that wait for a slot of a backend server."""

import bisect
from collections.abc import Iterator
from typing import NamedTuple


class Place(NamedTuple):
    """Hold a waiting attempt; the one due first is the first to start."""

    due: float  # of the clock: when its answer is late
    number: int  # in the order of arrival
    attempt_id: str
    expected_s: float  # that it takes


class Backlog:
    """Own the attempts that wait for one server."""

    def __init__(self) -> None:
        self._places: list[Place] = []

    def __len__(self) -> int:
        return len(self._places)

    def __iter__(self) -> Iterator[Place]:
        return iter(self._places)

    def add(self, place: Place) -> None:
        """Add an attempt."""
        bisect.insort(self._places, place)

    def take(self) -> Place:
        """Remove and return the attempt that is due first."""
        return self._places.pop(0)

    def remove(self, attempt_id: str) -> None:
        """Remove an attempt that no longer waits."""
        self._places = [each for each in self._places if each.attempt_id != attempt_id]

    def clear(self) -> list[Place]:
        """Remove and return all attempts."""
        places, self._places = self._places, []
        return places

    def work_before(self, due: float) -> float:
        """Return how long the attempts take that start before one due then, in s."""
        return sum(each.expected_s for each in self._places if each.due <= due)
