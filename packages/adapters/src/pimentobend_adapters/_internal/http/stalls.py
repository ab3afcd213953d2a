"""Bound the time for which a connection's other end may take or send nothing."""

import contextlib
import socket
from collections.abc import Iterable
from collections.abc import Iterator
from typing import Any

import eventlet

from pimentobend_adapters._internal.http.protocol import CONNECTION_KEY
from pimentobend_adapters._internal.http.requests import Environ
from pimentobend_adapters._internal.memory import STALL_S
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_core._internal.ports import ClockPort

DISCARD_S = 1.0
DISCARD_BYTES = 8 * 1024


def cut_stalled(
    chunks: Iterable[bytes], environ: Environ, memory: MemoryOwner, clock: ClockPort
) -> Iterator[bytes]:
    """Yield chunks to be written; close the connection if its caller takes none."""
    if not memory.is_limited or CONNECTION_KEY not in environ:
        yield from chunks
        return
    connection = environ["wsgi.input"].get_socket()
    idle_s = connection.gettimeout()
    began_at = clock.now()
    try:
        for chunk in chunks:
            connection.settimeout(STALL_S)
            began_at = clock.now()
            yield chunk
    except GeneratorExit:
        if clock.now() - began_at >= STALL_S:
            memory.note_stalled()
            # The server would wait again to write what its buffer still holds.
            _shut_down(connection)
        raise
    finally:
        connection.settimeout(idle_s)
        if isinstance(chunks, Iterator) and hasattr(chunks, "close"):
            chunks.close()


def refuse_unread(environ: Environ, refusal: Iterator[bytes]) -> Iterator[bytes]:
    """Yield the refusal of a request whose body is not read; close its connection.

    What comes meanwhile is discarded for a short time: a connection that is closed
    with unread bytes is reset, and the refusal may be lost.
    """
    environ[CONNECTION_KEY].close_connection = True
    yield from refusal
    connection = environ["wsgi.input"].get_socket()
    with contextlib.suppress(OSError), eventlet.Timeout(DISCARD_S, False):
        while connection.recv(DISCARD_BYTES):
            pass


def _shut_down(connection: Any) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
