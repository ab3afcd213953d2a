"""Immutable array of byte strings that shares what a change leaves as it was."""

from collections.abc import Iterator
from collections.abc import Mapping

# With 85,000 organisations, a bucket holds about 5 of them. An empty array takes
# 128 KB, which all empty arrays share.
BUCKETS = 16_384


class Buckets:
    """A fixed number of byte strings, most of which are empty in small tables."""

    def __init__(self, buckets: tuple[bytes, ...] = (b"",) * BUCKETS) -> None:
        self._buckets = buckets

    @property
    def footprint_bytes(self) -> int:
        """Return the size of the array and of its byte strings, in bytes."""
        strings = sum(each.__sizeof__() for each in self._buckets if each)
        return self._buckets.__sizeof__() + strings

    def __getitem__(self, number: int) -> bytes:
        return self._buckets[number]

    def __iter__(self) -> Iterator[bytes]:
        return (each for each in self._buckets if each)

    def replace(self, changes: Mapping[int, bytes]) -> "Buckets":
        """Return an array with other byte strings at some positions."""
        buckets = list(self._buckets)
        for number, content in changes.items():
            buckets[number] = content
        return Buckets(tuple(buckets))
