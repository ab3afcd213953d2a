"""Validate JSON documents and report all faults at once."""

import abc
import json
import re
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

SHOWN_CHARACTERS = 60  # of a faulty value in a message
_SURROGATE = re.compile(r"\\u[dD][89a-fA-F]")  # half of an escaped character


class Fault(NamedTuple):
    """One fault of a document."""

    place: str  # a path such as routes[3].pool, or a line
    value: str  # the faulty value as JSON, or what is wrong
    expected: str

    def __str__(self) -> str:
        return f"{self.place}: {self.value}, expected {self.expected}"


def make_fault(place: str, value: object, expected: str) -> Fault:
    """Return a fault, with its value truncated to ``SHOWN_CHARACTERS``."""
    try:
        shown = json.dumps(value, ensure_ascii=False, default=str)
    except RecursionError:
        shown = f"a deeply nested {type(value).__name__}"
    if len(shown) > SHOWN_CHARACTERS:
        shown = shown[:SHOWN_CHARACTERS] + "..."
    return Fault(place, shown, expected)


class Check(abc.ABC):
    """Validator of a value of a document."""

    @abc.abstractmethod
    def find(self, place: str, value: object) -> Iterator[Fault]:
        """Yield the faults of a value; ``place`` is its path in the document."""


class TextCheck(Check):
    """Accepts strings that fully match a regular expression."""

    def __init__(self, pattern: str, expected: str) -> None:
        self._pattern = re.compile(pattern)
        self._expected = expected

    def find(self, place: str, value: object) -> Iterator[Fault]:
        """Yield a fault unless the value is a matching string."""
        if not isinstance(value, str) or not self._pattern.fullmatch(value):
            yield make_fault(place, value, self._expected)


class IntegerCheck(Check):
    """Accepts integers within inclusive bounds."""

    def __init__(self, least: int, most: int) -> None:
        self._least = least
        self._most = most

    def find(self, place: str, value: object) -> Iterator[Fault]:
        """Yield a fault unless the value is an integer within the bounds."""
        is_whole = isinstance(value, int) and not isinstance(value, bool)
        if not (is_whole and self._least <= value <= self._most):  # type: ignore[operator]
            expected = f"a whole number from {self._least} to {self._most}"
            yield make_fault(place, value, expected)


class NumberCheck(Check):
    """Accepts numbers within inclusive bounds."""

    def __init__(self, least: float, most: float) -> None:
        self._least = least
        self._most = most

    def find(self, place: str, value: object) -> Iterator[Fault]:
        """Yield a fault unless the value is a number within the bounds."""
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not (is_number and self._least <= value <= self._most):  # type: ignore[operator]
            expected = f"a number from {self._least:g} to {self._most:g}"
            yield make_fault(place, value, expected)


class BooleanCheck(Check):
    """Accepts true and false."""

    def find(self, place: str, value: object) -> Iterator[Fault]:
        """Yield a fault unless the value is a boolean."""
        if not isinstance(value, bool):
            yield make_fault(place, value, "true or false")


class OptionalCheck(Check):
    """Accepts null, and what passes a check."""

    def __init__(self, inner: Check) -> None:
        self._inner = inner

    def find(self, place: str, value: object) -> Iterator[Fault]:
        """Yield the faults of a value that is not null."""
        if value is not None:
            yield from self._inner.find(place, value)


class SecretCheck(Check):
    """Hides the faulty values that a check finds."""

    def __init__(self, inner: Check) -> None:
        self._inner = inner

    def find(self, place: str, value: object) -> Iterator[Fault]:
        """Yield the faults without values."""
        for fault in self._inner.find(place, value):
            yield fault._replace(value="a hidden value")


class ListCheck(Check):
    """Accepts lists of at most ``most`` items that pass a check."""

    def __init__(self, item: Check, most: int) -> None:
        self._item = item
        self._most = most

    def find(self, place: str, value: object) -> Iterator[Fault]:
        """Yield the faults of the list and of its items."""
        if not isinstance(value, list):
            yield make_fault(place, value, "a list")
            return
        if len(value) > self._most:
            yield make_fault(place, len(value), f"at most {self._most} items")
            return
        for number, item in enumerate(value):
            yield from self._item.find(f"{place}[{number}]", item)


class ObjectCheck(Check):
    """Accepts objects with all required and no unknown keys."""

    def __init__(
        self,
        required: Mapping[str, Check],
        optional: Mapping[str, Check] | None = None,
    ) -> None:
        self._required = required
        self._optional = optional or {}

    def find(self, place: str, value: object) -> Iterator[Fault]:
        """Yield the faults of the object, of its keys and of their values."""
        if not isinstance(value, dict):
            yield make_fault(place or "document", value, "an object")
            return
        known = {**self._required, **self._optional}
        for key in value:
            if key not in known:
                expected = f"one of {', '.join(sorted(known))}"
                yield make_fault(_join(place, key), "unknown key", expected)
        for key, check in known.items():
            if key in value:
                yield from check.find(_join(place, key), value[key])
            elif key in self._required:
                yield Fault(_join(place, key), "missing", "a value")


def parse_document(text: str) -> tuple[object, tuple[Fault, ...]]:
    """Parse JSON text and return the value, with any syntax error or repeated keys.

    The value is None after a syntax error, and if the text holds what cannot be
    encoded again.
    """
    repeated: list[Fault] = []

    def build(pairs: list[tuple[str, object]]) -> dict[str, object]:
        result: dict[str, object] = {}
        for key, value in pairs:
            if key in result:
                repeated.append(Fault(key, "repeated key", "each key once"))
            result[key] = value
        return result

    try:
        document = json.loads(text, object_pairs_hook=build)
        if _SURROGATE.search(text):
            json.dumps(document, ensure_ascii=False).encode()
    except UnicodeEncodeError:
        return None, (Fault("document", "a lone surrogate", "characters"),)
    except (ValueError, RecursionError) as error:
        line = getattr(error, "lineno", 1)
        return None, (Fault(f"line {line}", str(error), "JSON"),)
    return document, tuple(repeated)


def _join(place: str, key: str) -> str:
    return f"{place}.{key}" if place else key
