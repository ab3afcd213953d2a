"""Store equal values once and refer to them by small numbers."""

import sys
from collections.abc import Hashable
from typing import Generic
from typing import TypeVar

Value = TypeVar("Value", bound=Hashable)


class Interner(Generic[Value]):
    """Assign a number to each distinct value, and free it after its last reference."""

    def __init__(self) -> None:
        self._values: list[Value | None] = []
        self._reference_counts: list[int] = []
        self._numbers: dict[Value, int] = {}
        self._free_numbers: list[int] = []

    @property
    def footprint_bytes(self) -> int:
        """Return the size of the containers and distinct values, in bytes."""
        containers = (
            self._values,
            self._reference_counts,
            self._numbers,
            self._free_numbers,
        )
        values = sum(sys.getsizeof(value) for value in self._numbers)
        return sum(sys.getsizeof(container) for container in containers) + values

    def __len__(self) -> int:
        return len(self._numbers)

    def acquire(self, value: Value) -> int:
        """Return the number of a value and add a reference to it."""
        number = self._numbers.get(value)
        if number is None:
            number = self._add(value)
        self._reference_counts[number] += 1
        return number

    def release(self, number: int) -> None:
        """Drop a reference, and free the number if it was the last one."""
        self._reference_counts[number] -= 1
        if self._reference_counts[number]:
            return
        del self._numbers[self.value(number)]
        self._values[number] = None
        self._free_numbers.append(number)

    def value(self, number: int) -> Value:
        """Return the value of a number that is in use."""
        value = self._values[number]
        if value is None:
            raise KeyError(number)
        return value

    def _add(self, value: Value) -> int:
        if self._free_numbers:
            number = self._free_numbers.pop()
            self._values[number] = value
        else:
            number = len(self._values)
            self._values.append(value)
            self._reference_counts.append(0)
        self._numbers[value] = number
        return number
