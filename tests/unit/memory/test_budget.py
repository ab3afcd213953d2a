"""Reserve memory for requests and answers."""

import gc
import math
from collections.abc import Callable
from typing import Any

import eventlet
import pytest

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.answers import StreamedAnswer
from pimentobend_adapters._internal.forwarding.answers import read_answer
from pimentobend_adapters._internal.forwarding.calls import ServerCalls
from pimentobend_adapters._internal.forwarding.host import HostOptions
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.forwarding.host import LocalAttempt
from pimentobend_adapters._internal.forwarding.read_ahead import AHEAD_BYTES
from pimentobend_adapters._internal.forwarding.read_ahead import SCANT_BYTES
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_adapters._internal.http.body_reader import CHUNK_BYTES
from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_adapters._internal.memory import ServerMemory
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.memory.budget import BYTES_PER_MB
from pimentobend_core._internal.memory.budget import REQUEST_BYTES
from pimentobend_core._internal.memory.budget import STREAMED_BYTES
from pimentobend_core._internal.memory.budget import UNKNOWN_LENGTH_BYTES
from pimentobend_core._internal.memory.budget import MemoryTerms
from pimentobend_core._internal.memory.budget import make_terms
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.ports import AnswerBody
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

LIMIT = 100 * REQUEST_BYTES
TERMS = MemoryTerms(LIMIT)

# The settings, and the limits in MB.
SETTINGS = [
    ("none", None, None, math.inf, math.inf),
    ("a machine of 200 MB", 200, None, 76, math.inf),
    ("no more than an idle process", 48, None, 0, math.inf),
    ("a server's limit alone", None, 10, math.inf, 10),
]


@pytest.mark.parametrize(
    ("memory_mb", "server_mb", "reserved", "server"),
    [each[1:] for each in SETTINGS],
    ids=[each[0] for each in SETTINGS],
)
def test_settings_give_the_limits(
    memory_mb: float | None, server_mb: float | None, reserved: float, server: float
) -> None:
    terms = make_terms(memory_mb, server_mb)
    assert terms.reserved_bytes == pytest.approx(reserved * BYTES_PER_MB)
    assert terms.server_bytes == server * BYTES_PER_MB
    assert terms.is_limited == (memory_mb is not None)


# The length of each body, and how many requests with such bodies are taken.
REQUESTS: list[tuple[str, int | None, int]] = [
    ("without bodies", 0, 100),
    ("small bodies", 1, 74),  # a quarter is left to others
    ("bodies that are kept", REQUEST_BYTES, 37),
    ("streamed bodies", 10**9, 75 * REQUEST_BYTES // (REQUEST_BYTES + STREAMED_BYTES)),
    ("unknown lengths", None, 75 * REQUEST_BYTES // (REQUEST_BYTES + STREAMED_BYTES)),
]


@pytest.mark.parametrize(
    ("length", "taken"), [r[1:] for r in REQUESTS], ids=[r[0] for r in REQUESTS]
)
def test_requests_are_taken_while_there_is_room(length: int | None, taken: int) -> None:
    memory = MemoryOwner(TERMS)
    held = [memory.reserve_request(length) for _ in range(200)]
    assert sum(each is not None for each in held) == taken
    assert memory.reserved_bytes <= LIMIT
    # Uploads do not keep requests without bodies out.
    other = memory.reserve_request(0)
    assert (other is not None) == (length != 0)
    held.clear()
    del other
    assert memory.reserved_bytes == 0


def attempt(number: int, length: int) -> LocalAttempt:
    now, name = HubClock().now(), str(number)
    submit = Submit(name, "s", "look", 1, False, 0.5, now + 60.0, name)
    head = RequestHead(name, "POST", "h", "/", "", (), "", None, now, now + 60.0)
    return LocalAttempt(submit, head, BufferedBody(bytes(length)))


def test_a_host_declines_what_its_server_has_no_room_for() -> None:
    """Attempts end by withdrawal: one whose bytes stay would block its server."""
    memory = MemoryOwner(MemoryTerms(server_bytes=1000))
    calls = ServerCalls(HeaderNames(), HubClock(), int)
    terms = BudgetTerms(0.2, 10.0, 50.0)
    host = HostTasks(
        7, terms, calls, HubClock(), Discard(), options=HostOptions(memory)
    )
    server = Server("s", "x", "127.0.0.1", 1, 1, "a", "r", ServerState.READY, 1)
    host.update_server(server)
    for number in range(0, 6, 2):
        running = eventlet.spawn(host.run, attempt(number, 600))
        eventlet.sleep(0)
        with eventlet.Timeout(1.0):
            refused = host.run(attempt(number + 1, 401))
        assert refused.kind is AttemptKind.DECLINED
        assert refused.headers == (("reason", "no-memory"),)
        host.withdraw(str(number))
        if not number:
            host.start()
        with eventlet.Timeout(1.0):
            assert running.wait().kind is not AttemptKind.ANSWERED


class Source:
    """Answer of a number of chunks, and its connection."""

    def __init__(self, chunks: int, then: Callable[[], bytes] = bytes) -> None:
        self._left = chunks
        self._then = then
        self.read_bytes = 0

    def read1(self, size: int) -> bytes:
        eventlet.sleep(0)
        if not self._left:
            return self._then()
        self._left -= 1
        self.read_bytes += size
        return bytes(size)

    def close(self) -> None:
        pass


def fail() -> bytes:
    raise ConnectionResetError


def hang() -> bytes:
    eventlet.sleep(60)
    return b""


def read(memory: MemoryOwner, then: Callable[[], bytes] = bytes) -> AnswerBody:
    clock, source = HubClock(), Source(2, then)
    return read_answer(source, source, clock, clock.now() + 60, memory)[0]


def end_by_kill(memory: MemoryOwner) -> None:
    task = eventlet.spawn(read, memory, hang)
    for _ in range(5):
        eventlet.sleep(0)
    assert memory.reserved_bytes > 2 * CHUNK_BYTES
    task.kill()


def end_by_error(memory: MemoryOwner) -> None:
    with pytest.raises(ConnectionResetError):
        read(memory, fail)


def end_by_timeout(memory: MemoryOwner) -> None:
    with eventlet.Timeout(0.01, False):
        read(memory, hang)


def end_as_kept_answer(memory: MemoryOwner) -> None:
    kept = read(memory)
    assert memory.reserved_bytes == 2 * CHUNK_BYTES
    kept.close()


def release_twice(memory: MemoryOwner) -> None:
    reservation = memory.reserve_request(1000)
    assert reservation is not None
    reservation.release()
    reservation.release()
    reservation.change(-1)


ENDS = [end_by_kill, end_by_error, end_by_timeout, end_as_kept_answer, release_twice]


@pytest.mark.parametrize("end", ENDS)
def test_memory_returns_once_however_its_task_ends(end: Any) -> None:
    """Bytes that a killed task kept would be missing until the daemon restarts."""
    memory = MemoryOwner(TERMS)
    gc.disable()  # it frees what the ended task refers to, but only at some time
    try:
        end(memory)
        assert memory.reserved_bytes == 0
    finally:
        gc.enable()


def test_kept_answers_are_dropped_before_a_request_is_refused() -> None:
    memory = MemoryOwner(TERMS)
    kept = [memory.open() for _ in range(10)]
    for each in kept:
        each.change(LIMIT // 10)
    memory.drop_with(lambda: bool(kept and kept.pop(0)))
    assert memory.reserve_request(0) is not None
    assert len(kept) == 9
    assert memory.reserve_request(STREAMED_BYTES) is not None
    assert len(kept) == 7


# Lengths of bodies that are sent in turn, and how many of them the server gets.
SENT: list[tuple[str, list[int | None], int]] = [
    ("that fit", [400, 600], 2),
    ("too much together", [400, 601], 1),
    ("too much alone", [1001], 0),
    ("none", [0] * 5, 5),
    ("of unknown length", [None], int(UNKNOWN_LENGTH_BYTES <= 1000)),
]


@pytest.mark.parametrize(
    ("lengths", "taken"), [s[1:] for s in SENT], ids=[s[0] for s in SENT]
)
def test_the_bytes_at_a_server_are_bounded(
    lengths: list[int | None], taken: int
) -> None:
    servers = ServerMemory(1000)
    held = [servers.reserve("a", length) for length in lengths]
    assert sum(each is not None for each in held) == taken
    assert servers.reserve("b", 1000) is not None
    held.clear()
    assert servers.reserve("a", 1000) is not None


# The limit, and the most that is held of an answer whose caller takes only its start.
AHEAD = [
    ("room", 100 * BYTES_PER_MB, AHEAD_BYTES),
    ("little room", 6 * CHUNK_BYTES, 6 * CHUNK_BYTES),
    ("no room", 0, SCANT_BYTES),
]


@pytest.mark.parametrize(
    ("limit", "most"), [a[1:] for a in AHEAD], ids=[a[0] for a in AHEAD]
)
@pytest.mark.parametrize("is_closed", [False, True])
def test_an_answer_is_read_ahead_within_the_room(
    limit: float, most: int, is_closed: bool
) -> None:
    clock, source = HubClock(), Source(1000)
    memory = MemoryOwner(MemoryTerms(limit))
    body, is_whole = read_answer(source, source, clock, clock.now() + 60, memory)
    assert isinstance(body, StreamedAnswer)
    assert not is_whole
    chunks = body.chunks()
    start_bytes = len(next(chunks))
    size = start_bytes + len(next(chunks))
    for _ in range(200):
        eventlet.sleep(0)
    assert source.read_bytes <= start_bytes + most
    assert memory.reserved_bytes <= most
    if is_closed:
        body.close()
    else:
        size += sum(map(len, chunks))
        assert size == source.read_bytes
    assert memory.reserved_bytes == 0
