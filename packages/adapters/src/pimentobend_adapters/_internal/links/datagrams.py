"""Send small frames as datagrams and large ones over a connection each.

A datagram needs no connection that may have gone silent, and what is sent to
a process that is away is lost instead of held up.
"""

import socket
import struct
from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.green.socket

from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.exceptions import LinkError
from pimentobend_adapters._internal.links.frames import MAX_FRAME_BYTES
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.frames import open_frame
from pimentobend_adapters._internal.links.frames import seal_frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import Outlet

MAX_DATAGRAM_BYTES = 1200  # below the usual packet size, with room for headers
RECEIVE_BYTES = 2048
CONNECT_TIMEOUT_S = 1.0
STREAM_TIMEOUT_S = 3.0
MAX_STREAMS = 32  # large frames on their way, each way
BACKLOG = 128

_LENGTH = struct.Struct("<I")


class DatagramLink(Transport):
    """Own the datagram socket and the listener for large frames."""

    def __init__(
        self,
        address: str,
        key: bytes,
        outlet: Outlet[Frame],
        on_fault: Callable[[FrameError], None],
        on_sent: Callable[[str, int], None] = lambda kind, size_bytes: None,
    ) -> None:
        super().__init__(address, key, outlet, on_fault)
        self._on_sent = on_sent
        self._sending = 0
        self._greenlets: list[Any] = []
        self._datagrams, self._listener = _listen(address)
        self._receiving = eventlet.GreenPool(MAX_STREAMS)

    def start(self) -> None:
        """Start receiving."""
        self._greenlets = [
            eventlet.spawn(self._receive),
            eventlet.spawn(self._accept),
        ]

    def send(self, peer: str, kind: str, payload: bytes) -> None:
        """Send one message to a peer's address without waiting."""
        data = seal_frame(Frame(self._address, kind, payload), self._key)
        self._on_sent(kind, len(data))
        if len(data) > MAX_DATAGRAM_BYTES:
            self._send_stream(peer, data)
            return
        try:
            self._datagrams.fd.sendto(data, _split(peer))
        except OSError:
            self._dropped_frames += 1  # shown in the state dump

    def close(self) -> None:
        """Stop receiving and close all sockets."""
        for greenlet in self._greenlets:
            greenlet.kill()
        self._datagrams.close()
        self._listener.close()

    def _receive(self) -> None:
        while True:
            try:
                data, _ = self._datagrams.recvfrom(RECEIVE_BYTES)
            except OSError:
                # an earlier datagram met a closed port; there is nothing to read
                continue
            self._take(data)

    def _send_stream(self, peer: str, data: bytes) -> None:
        if self._sending >= MAX_STREAMS:
            self._dropped_frames += 1
            return
        self._sending += 1
        eventlet.spawn_n(self._stream, peer, data)

    def _stream(self, peer: str, data: bytes) -> None:
        try:
            stream = eventlet.green.socket.create_connection(
                _split(peer), timeout=CONNECT_TIMEOUT_S
            )
            try:
                stream.settimeout(STREAM_TIMEOUT_S)
                stream.sendall(_LENGTH.pack(len(data)) + data)
            finally:
                stream.close()
        except (OSError, eventlet.Timeout):
            self._dropped_frames += 1
        finally:
            self._sending -= 1

    def _accept(self) -> None:
        while True:
            stream, _ = self._listener.accept()
            self._receiving.spawn_n(self._read_stream, stream)

    def _read_stream(self, stream: Any) -> None:
        try:
            stream.settimeout(STREAM_TIMEOUT_S)
            (length,) = _LENGTH.unpack(_read_exactly(stream, _LENGTH.size))
            if length > MAX_FRAME_BYTES:
                raise FrameError("the frame is too large", context=f"{length} bytes")
            data = _read_exactly(stream, length)
        except (OSError, FrameError) as error:
            self._on_fault(FrameError("a large frame broke off", context=str(error)))
            return
        finally:
            stream.close()
        self._take(data)

    def _take(self, data: bytes) -> None:
        try:
            frame = open_frame(data, self._key)
        except FrameError as error:
            self._on_fault(error)
            return
        self._outlet.put(frame)


def _read_exactly(stream: Any, wanted: int) -> bytes:
    pieces: list[bytes] = []
    while wanted > 0:
        piece = stream.recv(min(wanted, 64 * 1024))
        if not piece:
            raise FrameError("the connection ended early")
        pieces.append(piece)
        wanted -= len(piece)
    return b"".join(pieces)


def _split(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _listen(address: str) -> tuple[Any, Any]:
    datagrams = eventlet.green.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        datagrams.bind(_split(address))
        listener = eventlet.listen(_split(address), backlog=BACKLOG, reuse_port=False)
    except OSError as error:
        datagrams.close()
        raise LinkError(
            "cannot listen for links",
            context=f"{address}: {error}",
            hint="is another process on this address?",
        ) from error
    return datagrams, listener
