"""Send small frames as UDP datagrams and each large one over its own TCP connection.

A datagram needs no connection, so there is none that may be broken without notice.
What is sent to a process that is down is lost instead of queued.
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
from pimentobend_adapters._internal.links.frames import decode_frame
from pimentobend_adapters._internal.links.frames import encode_frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import Outlet

MAX_DATAGRAM_BYTES = 1200  # below the usual MTU, with room for packet headers
RECEIVE_BYTES = 2048
CONNECT_TIMEOUT_S = 1.0
STREAM_TIMEOUT_S = 3.0
MAX_STREAMS = 32  # large frames sent, and received, at the same time
BACKLOG = 128
# Raised for peers that cannot be reached, and for what is no address or port.
UNSENDABLE = (OSError, ValueError, OverflowError)

_LENGTH = struct.Struct("<I")


class DatagramLink(Transport):
    """Transport over a UDP socket, and TCP connections for large frames."""

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
        self._streams_sending = 0
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
        data = encode_frame(Frame(self._address, kind, payload), self._key)
        self._on_sent(kind, len(data))
        if len(data) > MAX_DATAGRAM_BYTES:
            self._send_stream(peer, data)
            return
        try:
            self._datagrams.fd.sendto(data, _parse_address(peer))
        except UNSENDABLE:
            self._dropped_frames += 1  # reported in the state dump

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
                # The error reports that an earlier datagram reached a closed port.
                continue
            self._handle_data(data)

    def _send_stream(self, peer: str, data: bytes) -> None:
        if self._streams_sending >= MAX_STREAMS:
            self._dropped_frames += 1
            return
        self._streams_sending += 1
        eventlet.spawn_n(self._stream, peer, data)

    def _stream(self, peer: str, data: bytes) -> None:
        try:
            stream = eventlet.green.socket.create_connection(
                _parse_address(peer), timeout=CONNECT_TIMEOUT_S
            )
            try:
                stream.settimeout(STREAM_TIMEOUT_S)
                stream.sendall(_LENGTH.pack(len(data)) + data)
            finally:
                stream.close()
        except (*UNSENDABLE, eventlet.Timeout):
            self._dropped_frames += 1
        finally:
            self._streams_sending -= 1

    def _accept(self) -> None:
        while True:
            stream, _ = self._listener.accept()
            self._receiving.spawn_n(self._read_stream, stream)

    def _read_stream(self, stream: Any) -> None:
        try:
            stream.settimeout(STREAM_TIMEOUT_S)
            (length,) = _LENGTH.unpack(_read_exactly(stream, _LENGTH.size))
            if length > MAX_FRAME_BYTES:
                raise FrameError(
                    "the frame exceeds the maximum size",
                    context=f"{length} bytes, at most {MAX_FRAME_BYTES}",
                )
            data = _read_exactly(stream, length)
        except (OSError, FrameError) as error:
            self._on_fault(
                FrameError("a large frame was not received", context=str(error))
            )
            return
        finally:
            stream.close()
        self._handle_data(data)

    def _handle_data(self, data: bytes) -> None:
        try:
            frame = decode_frame(data, self._key)
        except FrameError as error:
            self._on_fault(error)
            return
        self._outlet.put(frame)


def _read_exactly(stream: Any, remaining: int) -> bytes:
    chunks: list[bytes] = []
    while remaining > 0:
        chunk = stream.recv(min(remaining, 64 * 1024))
        if not chunk:
            raise FrameError(
                "the connection closed before the end of the frame",
                context=f"{remaining} bytes missing",
            )
        chunks.append(chunk)
        remaining -= len(chunk)
    return b"".join(chunks)


def _parse_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _listen(address: str) -> tuple[Any, Any]:
    datagrams = eventlet.green.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    try:
        datagrams.bind(_parse_address(address))
        listener = eventlet.listen(
            _parse_address(address), backlog=BACKLOG, reuse_port=False
        )
    except OSError as error:
        datagrams.close()
        raise LinkError(
            "cannot listen for frames",
            context=f"{address}: {error}",
            hint="check whether another process listens on this address",
        ) from error
    return datagrams, listener
