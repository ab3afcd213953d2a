"""Run a replica's disk as a task, so that a sync stops no other task."""

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


class _Load(NamedTuple):
    members: Members
    reply: Any  # an eventlet event


class _Store(NamedTuple):
    writes: tuple[Write, ...]
    reply: Any  # an eventlet event


class DiskTask:
    """Own a disk; its calls run on the thread pool, one at a time."""

    def __init__(self, disk: Disk) -> None:
        self._disk = disk
        self._inbox: Any = eventlet.queue.LightQueue()
        self._greenlet: Any = None

    def start(self) -> None:
        """Start taking messages."""
        self._greenlet = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop taking messages and close the disk."""
        self._greenlet.kill()
        self._disk.close()

    def load(self, members: Members) -> StoredState:
        """Wait for what is stored; raise ``DiskError``."""
        asked = _Load(members, eventlet.event.Event())
        self._inbox.put(asked)
        stored: StoredState = asked.reply.wait()
        return stored

    def write(self, writes: tuple[Write, ...]) -> int:
        """Wait until writes are synced; return how many were before a failure."""
        asked = _Store(writes, eventlet.event.Event())
        self._inbox.put(asked)
        done: int = asked.reply.wait()
        return done

    def _run(self) -> None:
        while True:
            asked = self._inbox.get()
            if isinstance(asked, _Load):
                self._reply(asked.reply, self._disk.load, asked.members)
            else:
                self._reply(asked.reply, self._store, asked.writes)

    def _reply(self, reply: Any, function: Callable[..., object], value: Any) -> None:
        try:
            reply.send(eventlet.tpool.execute(function, value))
        except DiskError as error:
            reply.send_exception(error)

    def _store(self, writes: tuple[Write, ...]) -> int:
        for position, write in enumerate(writes):
            try:
                if isinstance(write, Persist):
                    self._disk.append(write.records)
                else:
                    self._disk.save(write.snapshot, write.records)
            except DiskError:
                return position
        return len(writes)
