"""Test that a close is noticed whatever was sent before it, and costs nothing else.

A watch that waited for its connection to be readable ended with the first byte that
nobody read, and with it the only way to hear of a close behind that byte.
"""

import socket
import struct
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.hubs
import pytest

from pimentobend_adapters._internal.http.close_watcher import CloseWatcher

WAIT_S = 5.0
RESET = struct.pack("ii", 1, 0)  # linger for no time


class Connection:
    """Both ends of a connection."""

    def __init__(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as listener:
            self.far = socket.create_connection(listener.getsockname())
            self.near, _ = listener.accept()
        self.near.setblocking(False)

    def close(self) -> None:
        self.far.close()

    def reset(self) -> None:
        self.far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        self.far.close()

    def stop_sending(self) -> None:
        self.far.shutdown(socket.SHUT_WR)


@pytest.fixture
def connection() -> Connection:
    return Connection()


ENDS = [Connection.close, Connection.reset, Connection.stop_sending]


@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("unread", [b"", b"x", bytes(30_000)], ids=len)
@pytest.mark.parametrize("is_before", [False, True], ids=["after", "before"])
def test_a_close_is_noticed_once(
    connection: Connection,
    end: Callable[[Connection], None],
    unread: bytes,
    is_before: bool,
) -> None:
    closed: Any = eventlet.queue.LightQueue()
    connection.far.sendall(unread)
    if is_before:
        end(connection)
    watch = CloseWatcher().watch(connection.near)
    watch.notify(lambda: closed.put("closed"))
    if not is_before:
        assert not watch.check()
        end(connection)
    assert closed.get(timeout=WAIT_S) == "closed"
    assert watch.check()
    eventlet.sleep(0)
    assert closed.empty()


def test_a_stopped_watch_reports_nothing(connection: Connection) -> None:
    calls: list[str] = []
    watcher = CloseWatcher()
    first = watcher.watch(connection.near)
    first.notify(lambda: calls.append("first"))
    first.stop()
    second = watcher.watch(connection.near)
    second.notify(lambda: calls.append("second"))
    first.stop()
    connection.close()
    eventlet.sleep(0.05)
    assert calls == ["second"]


def test_bytes_and_closes_that_nobody_takes_wake_no_task(
    connection: Connection, monkeypatch: pytest.MonkeyPatch
) -> None:
    waits: list[Any] = []
    trampoline = eventlet.hubs.trampoline

    def count(*args: Any, **kwargs: Any) -> Any:
        waits.append(args)
        return trampoline(*args, **kwargs)

    monkeypatch.setattr(eventlet.hubs, "trampoline", count)
    other = Connection()
    watcher = CloseWatcher()
    for each in (connection, other):
        each.far.sendall(bytes(1000))
        watcher.watch(each.near)
    other.close()
    eventlet.sleep(0.2)
    assert len(waits) <= 2  # before and after the one close


def test_the_connection_can_be_read_and_written_meanwhile(
    connection: Connection,
) -> None:
    near = eventlet.greenio.GreenSocket(connection.near)
    watch = CloseWatcher().watch(near)
    reader = eventlet.spawn(near.recv, 100)
    eventlet.sleep(0)
    connection.far.sendall(b"request")
    assert reader.wait() == b"request"
    near.sendall(b"answer")
    assert connection.far.recv(100) == b"answer"
    assert not watch.check()
