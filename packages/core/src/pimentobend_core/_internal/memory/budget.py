"""Decide whether requests and answers may take more of a process's memory."""

import enum
import math
from typing import NamedTuple

BYTES_PER_MB = 1024 * 1024
# An idle process takes 35 to 40 MB, and its tables and links a few more.
PROCESS_BYTES = 48 * BYTES_PER_MB
# The rest is for copies made while bodies are joined, idle connections and garbage.
RESERVED_SHARE = 0.5
# Tasks, stacks and buffers of a request in flight.
REQUEST_BYTES = 64 * 1024
# The start of a streamed body, kept for a second attempt, and the chunk in transit.
STREAMED_BYTES = 128 * 1024
# A body of unknown length counts at its server as if it had this length.
UNKNOWN_LENGTH_BYTES = 256 * 1024


class Use(enum.Enum):
    """What memory is reserved for; the value is the part of the limit it may fill.

    Without bodies, requests are still served when uploads or slow callers have filled
    their part.
    """

    AHEAD = 0.5  # of a body, before it is passed on
    ANSWER = 0.625  # the start of an answer
    UPLOAD = 0.75
    REQUEST = 1.0  # without a body


class MemoryTerms(NamedTuple):
    """Limits of a process, in bytes; infinite without a setting."""

    reserved_bytes: float = math.inf  # for requests and answers in this process
    server_bytes: float = math.inf  # unfinished requests at one backend server

    @property
    def is_limited(self) -> bool:
        """Return whether the process bounds the memory of bodies."""
        return not math.isinf(self.reserved_bytes)


def make_terms(memory_mb: float | None, server_mb: float | None) -> MemoryTerms:
    """Return the limits of a process that may take ``memory_mb`` in all."""
    server_bytes = math.inf if server_mb is None else server_mb * BYTES_PER_MB
    if memory_mb is None:
        return MemoryTerms(server_bytes=server_bytes)
    free = memory_mb * BYTES_PER_MB - PROCESS_BYTES
    return MemoryTerms(max(0.0, free * RESERVED_SHARE), server_bytes)


def held_bytes(length: int | None) -> int:
    """Return what a request takes with a body of a length (None: unknown)."""
    body_bytes = STREAMED_BYTES if length is None else min(length, STREAMED_BYTES)
    return REQUEST_BYTES + body_bytes


def use_of(length: int | None) -> Use:
    """Return the use of the memory for a request with a body of a length."""
    return Use.REQUEST if length == 0 else Use.UPLOAD


def sent_bytes(length: int | None) -> int:
    """Return what a request body of a length (None: unknown) takes at its server."""
    return UNKNOWN_LENGTH_BYTES if length is None else length


class MemoryBudget:
    """Count the bytes that are reserved, and compare them with a limit."""

    def __init__(self, limit_bytes: float) -> None:
        self._limit_bytes = limit_bytes
        self._reserved_bytes = 0

    @property
    def reserved_bytes(self) -> int:
        """Return the sum of all reservations."""
        return self._reserved_bytes

    def has_room(self, size_bytes: int, use: Use = Use.REQUEST) -> bool:
        """Return whether a reservation fits into the part of the limit for its use."""
        return self._reserved_bytes + size_bytes <= self._limit_bytes * use.value

    def change(self, size_bytes: int) -> None:
        """Add to the reserved bytes, or subtract, also beyond the limit."""
        self._reserved_bytes += size_bytes
