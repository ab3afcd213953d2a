"""Test how far bodies are read ahead, and what becomes of them when requests end.

What a caller does behind its body is seen only once the body has been read.
"""

from typing import Any

import eventlet
import eventlet.event
import pytest

from pimentobend_adapters._internal.http.bodies import StreamedBody
from pimentobend_adapters._internal.http.body_reader import AHEAD_BYTES
from pimentobend_adapters._internal.http.body_reader import CHUNK_BYTES
from pimentobend_adapters._internal.http.body_reader import BodyReader
from pimentobend_adapters._internal.http.body_reader import IncompleteBodyError
from pimentobend_adapters._internal.http.close_watcher import CloseWatch
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_core._internal.memory.budget import MemoryTerms

MB = 1024 * 1024
LARGE = 3 * MB


class Source:
    """Body of a length, of which so many bytes have arrived; then it hangs or fails."""

    def __init__(self, length: int, arrives: int, fails: bool = False) -> None:
        self._length = length
        self._arrives = arrives
        self._fails = fails
        self.read_bytes = 0

    def read(self, size: int) -> bytes:
        if self.read_bytes >= self._arrives and self._arrives < self._length:
            if self._fails:
                raise ConnectionResetError
            eventlet.event.Event().wait()
        count = min(size, self._length - self.read_bytes)
        self.read_bytes += count
        return bytes(count)


# Length of the body, limit of the process in bytes, and how much is read ahead.
AHEAD = [
    (MB, 64 * MB, MB),
    (LARGE, 64 * MB, AHEAD_BYTES),
    (LARGE, MB, MB // 2),
    (LARGE, 0, CHUNK_BYTES),  # one chunk, so that the body can be passed on
]


@pytest.mark.parametrize(("length", "limit", "ahead"), AHEAD)
def test_a_body_is_read_ahead_within_the_room(
    length: int, limit: int, ahead: int
) -> None:
    memory = MemoryOwner(MemoryTerms(limit))
    source = Source(length, length)
    reader = BodyReader(source, memory)
    reader.start()
    eventlet.sleep(0.05)
    assert source.read_bytes == memory.reserved_bytes == ahead
    received = sum(len(chunk) for chunk in iter(reader.take, b""))
    assert received == length
    assert memory.reserved_bytes == 0


def test_reading_goes_on_once_memory_is_free() -> None:
    memory = MemoryOwner(MemoryTerms(MB))
    other = memory.open()
    other.change(MB)
    source = Source(MB // 4, MB // 4)
    reader = BodyReader(source, memory)
    reader.start()
    eventlet.sleep(0.05)
    assert source.read_bytes < MB // 4
    other.release()
    with eventlet.Timeout(5.0):
        while source.read_bytes < MB // 4:
            eventlet.sleep(0.05)


# How much has arrived when the request ends, and whether the rest fails then.
CLOSED = [(0, False), (CHUNK_BYTES, False), (LARGE, False), (CHUNK_BYTES, True)]


@pytest.mark.parametrize("is_connection_kept", [False, True])
@pytest.mark.parametrize(("arrives", "fails"), CLOSED)
def test_a_closed_body_is_not_passed_on_and_holds_no_memory(
    arrives: int, fails: bool, is_connection_kept: bool
) -> None:
    memory = MemoryOwner(MemoryTerms(64 * MB))
    reader = BodyReader(Source(LARGE, arrives, fails), memory)
    reader.start()
    eventlet.sleep(0)
    taker = eventlet.spawn(_take_all, reader)
    eventlet.sleep(0)
    reader.close(is_connection_kept=is_connection_kept)
    with eventlet.Timeout(5.0):
        assert isinstance(taker.wait(), IncompleteBodyError)
    with pytest.raises(IncompleteBodyError):
        reader.take()
    assert memory.reserved_bytes == 0


def _take_all(reader: BodyReader) -> Any:
    try:
        while reader.take():
            eventlet.sleep(0.01)
    except IncompleteBodyError as error:
        return error
    return None


class ClosedWatch(CloseWatch):
    """Watch of a connection that its caller closes at some time."""

    def __init__(self, is_closed: bool) -> None:
        self._is_gone = is_closed

    def check(self) -> bool:
        return self._is_gone


@pytest.mark.parametrize("length", [LARGE, None], ids=["length", "chunks"])
@pytest.mark.parametrize("has_left", [False, True])
def test_a_server_gets_no_whole_body_of_a_caller_that_left(
    length: int | None, has_left: bool
) -> None:
    start = bytes(CHUNK_BYTES)
    body = StreamedBody(start, Source(LARGE - len(start), LARGE), length)
    body.read_ahead(ClosedWatch(has_left))
    received = 0
    try:
        for chunk in body.chunks():
            received += len(chunk)
        is_whole = True
    except IncompleteBodyError:
        is_whole = False
    assert is_whole is not has_left
    assert (received == LARGE) is (not has_left or length is None)
