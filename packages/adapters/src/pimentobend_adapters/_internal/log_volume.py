"""Limit the rate of log lines, and write them without blocking."""

import os
from collections import deque
from collections.abc import MutableMapping
from typing import Any

import eventlet
import eventlet.hubs
import structlog

LINES_PER_S = 100.0
BURST_LINES = 400.0
# Ordinary lines, which report successes, are dropped while less than this share of
# the burst is left; the rest is kept for failures.
ORDINARY_SHARE = 0.5
BUFFER_BYTES = 256 * 1024  # maximum size of the lines that wait for a slow reader
REPORT_S = 5.0  # interval of the reports of dropped lines
# Key that marks an event as ordinary; removed before the line is written.
ORDINARY = "is_ordinary"


class LineBudget:
    """Token bucket for log lines that drops ordinary lines before failures."""

    def __init__(self) -> None:
        self._tokens = BURST_LINES
        self._filled_at = 0.0
        self._left_out = 0

    @property
    def left_out(self) -> int:
        """Return the number of lines dropped since the last call of ``take``."""
        return self._left_out

    def take(self) -> int:
        """Return the number of dropped lines and reset it."""
        left_out, self._left_out = self._left_out, 0
        return left_out

    def allows(self, *, is_ordinary: bool, now: float) -> bool:
        """Return whether a line may be written at ``now`` (seconds)."""
        tokens = self._tokens + (now - self._filled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, tokens)
        self._filled_at = now
        required = ORDINARY_SHARE * BURST_LINES if is_ordinary else 1.0
        if self._tokens < required:
            self._left_out += 1
            return False
        self._tokens -= 1.0
        return True


class BoundedWriter:
    """Writes lines to a descriptor without blocking; drops what exceeds the buffer."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        self._is_flushing = False
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write or buffer one line; drop it if the buffer is full."""
        data = text.encode()
        if self._buffered_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return len(text)
        self._buffer.append(data)
        self._buffered_bytes += len(data)
        if not self._is_flushing and not self._write_buffer():
            self._is_flushing = True
            eventlet.spawn_n(self._flush_later)
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines are written as soon as the descriptor is writable."""

    def _write_buffer(self) -> bool:
        """Write until the descriptor would block; return whether all was written."""
        while self._buffer:
            data = self._buffer.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                self.dropped += 1 + len(self._buffer)  # the reader has closed it
                self._buffer.clear()
                self._buffered_bytes = 0
                return True
            self._buffered_bytes -= written
            if written < len(data):
                self._buffer.appendleft(data[written:])
                return False
        return True

    def _flush_later(self) -> None:
        while not self._write_buffer():
            eventlet.hubs.trampoline(self._descriptor, write=True)
        self._is_flushing = False


class VolumeLimit:
    """Processor of structlog that drops lines over the budget."""

    def __init__(self, writer: BoundedWriter) -> None:
        self._budget = LineBudget()
        self._writer = writer

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event, or raise DropEvent if it is over the budget."""
        is_ordinary = bool(event.pop(ORDINARY, False))
        now: float = eventlet.hubs.get_hub().clock()
        if not self._budget.allows(is_ordinary=is_ordinary, now=now):
            raise structlog.DropEvent
        return event

    def report(self) -> None:
        """Log the number of dropped lines every ``REPORT_S`` seconds."""
        while True:
            eventlet.sleep(REPORT_S)
            left_out, dropped = self._budget.take(), self._writer.dropped
            self._writer.dropped = 0
            if left_out or dropped:
                structlog.get_logger().warning(
                    "lines-left-out", over_budget=left_out, not_read=dropped
                )
