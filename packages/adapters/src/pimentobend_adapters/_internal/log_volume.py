"""Bound the volume of the log, and never wait for its reader."""

import os
from collections import deque
from collections.abc import MutableMapping
from typing import Any

import eventlet
import eventlet.hubs
import structlog

LINES_PER_S = 100.0
BURST_LINES = 400.0
ORDINARY_SHARE = 0.5  # of the burst; below it ordinary lines are left out
BUFFER_BYTES = 256 * 1024  # of lines that the reader has not taken
REPORT_S = 5.0
ORDINARY = "is_ordinary"  # marks lines of what went well; not written


class LineBudget:
    """Decide which lines are written: those of failures before ordinary ones."""

    def __init__(self) -> None:
        self._tokens = BURST_LINES
        self._filled_at = 0.0
        self._left_out = 0

    @property
    def left_out(self) -> int:
        """Return how many lines were left out since the last call of ``take``."""
        return self._left_out

    def take(self) -> int:
        """Return how many lines were left out, and begin again."""
        left_out, self._left_out = self._left_out, 0
        return left_out

    def allows(self, *, is_ordinary: bool, now: float) -> bool:
        """Say whether a line may be written at ``now`` (seconds)."""
        filled = self._tokens + (now - self._filled_at) * LINES_PER_S
        self._tokens = min(BURST_LINES, filled)
        self._filled_at = now
        least = ORDINARY_SHARE * BURST_LINES if is_ordinary else 1.0
        if self._tokens < least:
            self._left_out += 1
            return False
        self._tokens -= 1.0
        return True


class BoundedWriter:
    """Write lines to a descriptor without waiting; drop what does not fit."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        self._is_flushing = False
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Take one line."""
        data = text.encode()
        if self._waiting_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return len(text)
        self._waiting.append(data)
        self._waiting_bytes += len(data)
        if not self._is_flushing and not self._write_waiting():
            self._is_flushing = True
            eventlet.spawn_n(self._flush_later)
        return len(text)

    def flush(self) -> None:
        """Do nothing; lines leave as soon as the reader takes them."""

    def _write_waiting(self) -> bool:
        """Write until the reader takes no more; say whether all was written."""
        while self._waiting:
            data = self._waiting.popleft()
            try:
                written = os.write(self._descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                self.dropped += 1 + len(self._waiting)  # there is no reader
                self._waiting.clear()
                self._waiting_bytes = 0
                return True
            self._waiting_bytes -= written
            if written < len(data):
                self._waiting.appendleft(data[written:])
                return False
        return True

    def _flush_later(self) -> None:
        while not self._write_waiting():
            eventlet.hubs.trampoline(self._descriptor, write=True)
        self._is_flushing = False


class VolumeLimit:
    """Leave out lines over the budget, as a processor of structlog."""

    def __init__(self, writer: BoundedWriter) -> None:
        self._budget = LineBudget()
        self._writer = writer

    def __call__(
        self, logger: Any, method: str, event: MutableMapping[str, Any]
    ) -> MutableMapping[str, Any]:
        """Return the event, or raise DropEvent."""
        is_ordinary = bool(event.pop(ORDINARY, False))
        now: float = eventlet.hubs.get_hub().clock()
        if not self._budget.allows(is_ordinary=is_ordinary, now=now):
            raise structlog.DropEvent
        return event

    def report(self) -> None:
        """Say every ``REPORT_S`` seconds how many lines were left out."""
        while True:
            eventlet.sleep(REPORT_S)
            left_out, dropped = self._budget.take(), self._writer.dropped
            self._writer.dropped = 0
            if left_out or dropped:
                structlog.get_logger().warning(
                    "lines-left-out", over_budget=left_out, not_read=dropped
                )
