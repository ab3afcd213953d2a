"""Detect that the other end of a connection closes it, whatever it sent before.

Bytes that nobody reads hide a close from those who wait for something to read. The
kernel reports it apart from them, as soon as it has received all of them.
"""

import contextlib
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.hubs
import eventlet.patcher

_select = eventlet.patcher.original("select")
# A reset is reported without being asked for. Each close is reported once, as a closed
# connection stays so.
_EVENTS = _select.EPOLLRDHUP | _select.EPOLLONESHOT


class CloseWatcher:
    """Task that waits until any of the watched connections is closed.

    It reads nothing, so that a connection can be read and written meanwhile. An end
    that only stops sending cannot be told from one that is gone, and counts as gone.
    """

    def __init__(self) -> None:
        self._poll: Any = None  # opened with the first watch
        self._watches: dict[int, CloseWatch] = {}  # by descriptor

    def watch(self, connection: Any) -> "CloseWatch":
        """Watch a connection until the watch is stopped."""
        descriptor = connection.fileno()
        watch = CloseWatch(self, descriptor)
        if descriptor < 0:
            watch.report()
            return watch
        if self._poll is None:
            self._poll = _select.epoll()
            eventlet.hubs.notify_opened(self._poll.fileno())
            eventlet.spawn_n(self._run)
        self._watches[descriptor] = watch
        self._poll.register(descriptor, _EVENTS)
        return watch

    def forget(self, watch: "CloseWatch", descriptor: int) -> None:
        """End a watch; a later connection may have the same descriptor."""
        if self._watches.get(descriptor) is watch:
            self._remove(descriptor)

    def report_closed(self) -> None:
        """Report the connections that are closed by now."""
        for descriptor, _ in self._poll.poll(0):
            watch = self._remove(descriptor)
            if watch is not None:
                watch.report()

    def _remove(self, descriptor: int) -> "CloseWatch | None":
        with contextlib.suppress(OSError):  # closed here, and so no longer registered
            self._poll.unregister(descriptor)
        return self._watches.pop(descriptor, None)

    def _run(self) -> None:
        while True:
            eventlet.hubs.trampoline(self._poll.fileno(), read=True)
            self.report_closed()


class CloseWatch:
    """Watch of one connection, which learns of its close once."""

    def __init__(self, watcher: CloseWatcher, descriptor: int) -> None:
        self._watcher = watcher
        self._descriptor = descriptor
        self._is_closed = False
        self._on_closed: Callable[[], None] | None = None

    def check(self) -> bool:
        """Return whether the other end has closed the connection by now."""
        if not self._is_closed:
            self._watcher.report_closed()
        return self._is_closed

    def notify(self, on_closed: Callable[[], None]) -> None:
        """Call a function, in place of an earlier one, once the connection is closed.

        It must not block. It is called at once if the connection is closed already.
        """
        self._on_closed = on_closed
        if self._is_closed:
            self.report()

    def stop(self) -> None:
        """Call no function any more."""
        self._on_closed = None
        self._watcher.forget(self, self._descriptor)

    def report(self) -> None:
        """Note that the connection is closed."""
        self._is_closed = True
        on_closed, self._on_closed = self._on_closed, None
        if on_closed is not None:
            on_closed()


def interrupt(handler: Any, error: Exception) -> None:
    """Raise an error in a handler's greenlet, unless it has ended by then."""
    eventlet.spawn_n(_throw, handler, error)


def _throw(handler: Any, error: Exception) -> None:
    if not handler.dead:
        handler.throw(error)
