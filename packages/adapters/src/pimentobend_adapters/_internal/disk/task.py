"""Run a disk's blocking calls on a thread, so that other tasks go on meanwhile."""

from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.event
import eventlet.queue
import eventlet.tpool

from pimentobend_adapters._internal.disk.exceptions import DiskError
from pimentobend_core._internal.consensus.disk import Disk
from pimentobend_core._internal.consensus.entries import StoredState
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import Persist
from pimentobend_core._internal.consensus.messages import PersistSnapshot

Write = Persist | PersistSnapshot


class _LoadRequest(NamedTuple):
    members: Members
    reply: Any  # eventlet event that the result is sent to


class _WriteRequest(NamedTuple):
    writes: tuple[Write, ...]
    reply: Any  # eventlet event that the result is sent to


class DiskTask:
    """Run a disk's blocking calls on the thread pool, one at a time."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._inbox: Any = eventlet.queue.LightQueue()
        self._greenlet: Any = None

    def start(self) -> None:
        """Start processing requests."""
        self._greenlet = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop processing requests and close the disk."""
        self._greenlet.kill()
        self._disk.close()

    def load(self, members: Members) -> StoredState:
        """Return the stored state; raise ``DiskError`` if it cannot be read."""
        request = _LoadRequest(members, eventlet.event.Event())
        self._inbox.put(request)
        state: StoredState = request.reply.wait()
        return state

    def write(self, writes: tuple[Write, ...]) -> int:
        """Sync the writes in order; return how many succeeded before a failure."""
        request = _WriteRequest(writes, eventlet.event.Event())
        self._inbox.put(request)
        count: int = request.reply.wait()
        return count

    def _run(self) -> None:
        while True:
            request = self._inbox.get()
            if isinstance(request, _LoadRequest):
                self._execute_and_reply(request.reply, self._disk.load, request.members)
            else:
                self._execute_and_reply(request.reply, self._write_all, request.writes)

    def _execute_and_reply(
        self, reply: Any, function: Callable[..., object], value: Any
    ) -> None:
        try:
            reply.send(eventlet.tpool.execute(function, value))
        except DiskError as error:
            reply.send_exception(error)

    def _write_all(self, writes: tuple[Write, ...]) -> int:
        for position, write in enumerate(writes):
            try:
                if isinstance(write, Persist):
                    self._disk.append(write.records)
                else:
                    self._disk.save(write.snapshot, write.records)
            except DiskError:
                return position
        return len(writes)
