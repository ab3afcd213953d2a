"""Probes that measure callers' connections and the frames between processes."""

import functools
import socket
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

from pimentobend_bench._internal.capacity.probe import BytesProbe
from pimentobend_bench._internal.capacity.probe import CpuProbe
from pimentobend_bench._internal.capacity.probe import MemoryProbe

_CONNECTION_COUNTS = (50, 100, 200, 400, 800)
_PAYLOAD_SIZES = (64, 1_024, 8_192, 65_536)
_KEY = b"k" * 32
_SENDER = "10.0.0.1:9000"
_SERVE_WAIT_S = 0.02  # for the server to answer the last requests
_REQUEST = b"GET / HTTP/1.1\r\nHost: idle.example\r\n\r\n"


def _application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


class ConnectionMemoryProbe(MemoryProbe):
    """Keep callers' connections open after one request on each."""

    name = "memory-connection"
    sized_by = "idle callers' connections"
    sizes = _CONNECTION_COUNTS
    mechanism = "adapters http.server"

    def warm_up(self) -> None:
        """Open a few connections."""
        self._open_connections(4)

    def build(self, size: int) -> object:
        """Return the server and the callers' ends of ``size`` connections."""
        return self._open_connections(size)

    def _open_connections(self, size: int) -> object:
        import eventlet

        from pimentobend_adapters._internal.http.server import Address
        from pimentobend_adapters._internal.http.server import HttpServer

        server = HttpServer(Address("127.0.0.1", 0), _application)
        server.start()
        callers = []
        for _ in range(size):
            caller = socket.create_connection(server.address)
            caller.sendall(_REQUEST)
            callers.append(caller.detach())
            eventlet.sleep(0)
        eventlet.sleep(_SERVE_WAIT_S)
        return server, callers


class FrameBytesProbe(BytesProbe):
    """Seal a payload into an authenticated frame."""

    name = "bytes-frame"
    sized_by = "payload bytes"
    sizes = _PAYLOAD_SIZES
    mechanism = "adapters links.frames"

    def encode(self, size: int) -> bytes:
        """Return the frame of a payload of ``size`` bytes."""
        return _seal(size)


class FrameCpuProbe(CpuProbe):
    """Seal a frame, then verify and open it."""

    name = "cpu-frame"
    sized_by = "payload bytes"
    sizes = _PAYLOAD_SIZES
    mechanism = "adapters links.frames"

    def prepare(self, size: int) -> Callable[[], object]:
        """Return an operation that seals and opens a frame."""
        from pimentobend_adapters._internal.links.frames import decode_frame

        return lambda: decode_frame(_seal(size), _KEY)


def _seal(size: int) -> bytes:
    from pimentobend_adapters._internal.links.frames import Frame
    from pimentobend_adapters._internal.links.frames import encode_frame

    return encode_frame(Frame(_SENDER, "spread.delta", _payload(size)), _KEY)


@functools.cache
def _payload(size: int) -> bytes:
    return bytes(size)


PROBES = (ConnectionMemoryProbe(), FrameBytesProbe(), FrameCpuProbe())
