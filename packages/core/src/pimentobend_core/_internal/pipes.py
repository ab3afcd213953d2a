"""Define the filters of which every flow is built."""

import abc
from collections.abc import Mapping
from typing import Generic
from typing import TypeVar

from returns.result import Result

from pimentobend_core._internal.models.request import Refusal

In = TypeVar("In")
Out = TypeVar("Out")
Next = TypeVar("Next")


class Filter(abc.ABC, Generic[In, Out]):
    """Turn one value into the next, or refuse it."""

    @abc.abstractmethod
    def apply(self, value: In) -> Result[Out, Refusal]:
        """Return the next value, or the refusal that ends the pipe."""

    def then(self, following: "Filter[Out, Next]") -> "Filter[In, Next]":
        """Join another filter behind this one."""
        return _Joined(self, following)


class _Joined(Filter[In, Next], Generic[In, Out, Next]):
    """Run two filters one after the other."""

    def __init__(self, first: Filter[In, Out], second: Filter[Out, Next]) -> None:
        self._first = first
        self._second = second

    def apply(self, value: In) -> Result[Next, Refusal]:
        """Return the second filter's result on the first one's value."""
        return self._first.apply(value).bind(self._second.apply)


class StatefulFilter(abc.ABC, Generic[In, Out]):
    """Own one state, take messages in and give messages out.

    Implementations are pure: time comes in as ``now`` (seconds of the
    runtime's clock), and nothing is sent but what ``handle`` returns.
    """

    @abc.abstractmethod
    def handle(self, message: In, now: float) -> tuple[Out, ...]:
        """Take one message at ``now`` (seconds) and return those that follow."""

    @abc.abstractmethod
    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
