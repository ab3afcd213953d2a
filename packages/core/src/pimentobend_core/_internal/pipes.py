"""Base classes of the filters that make up each processing pipeline."""

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
    """A pipeline stage that transforms a value or refuses it."""

    @abc.abstractmethod
    def apply(self, value: In) -> Result[Out, Refusal]:
        """Return the transformed value, or the refusal that ends the pipeline."""

    def then(self, following: "Filter[Out, Next]") -> "Filter[In, Next]":
        """Return a filter that passes the output of this one to ``following``."""
        return _FilterChain(self, following)


class _FilterChain(Filter[In, Next], Generic[In, Out, Next]):
    """Two filters applied one after the other."""

    def __init__(self, first: Filter[In, Out], second: Filter[Out, Next]) -> None:
        self._first = first
        self._second = second

    def apply(self, value: In) -> Result[Next, Refusal]:
        """Apply the first filter, then the second unless the first refused."""
        return self._first.apply(value).bind(self._second.apply)


class StatefulFilter(abc.ABC, Generic[In, Out]):
    """A state machine that is driven by messages.

    Implementations do no I/O: the time is passed in as ``now`` (seconds of the
    runtime's clock), and messages are sent only by returning them.
    """

    @abc.abstractmethod
    def handle(self, message: In, now: float) -> tuple[Out, ...]:
        """Process one message at ``now`` (seconds) and return the messages to send."""

    @abc.abstractmethod
    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""


class TimedFilter(StatefulFilter[In, Out]):
    """A state machine that states when it needs its next tick."""

    @property
    @abc.abstractmethod
    def due_at(self) -> float | None:
        """Return the time of the next tick (seconds, as ``now``); None for none."""
