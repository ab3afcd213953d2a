"""Exchange frames with other processes over nng sockets."""

from collections.abc import Callable
from typing import Any

import eventlet
import eventlet.hubs
import pynng

from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.exceptions import LinkError
from pimentobend_adapters._internal.links.frames import MAX_FRAME_BYTES
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.frames import decode_frame
from pimentobend_adapters._internal.links.frames import encode_frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import Outlet

SEND_BUFFER_FRAMES = 64
RECEIVE_BUFFER_FRAMES = 256
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2000


class Link(Transport):
    """Transport with one receiving socket and one sending socket per peer."""

    def __init__(
        self,
        address: str,
        key: bytes,
        outlet: Outlet[Frame],
        on_fault: Callable[[FrameError], None],
    ) -> None:
        super().__init__(address, key, outlet, on_fault)
        self._peers: dict[str, Any] = {}
        self._greenlet: Any = None
        self._bytes_sent = 0
        self._bytes_received = 0
        self._socket = _listen(address)

    @property
    def bytes_sent(self) -> int:
        """Return the number of bytes passed to sending sockets."""
        return self._bytes_sent

    @property
    def bytes_received(self) -> int:
        """Return the number of bytes read from the receiving socket."""
        return self._bytes_received

    def start(self) -> None:
        """Start receiving."""
        self._greenlet = eventlet.spawn(self._receive)

    def send(self, peer: str, kind: str, payload: bytes) -> None:
        """Send one message to a peer's address; drop it if it can't be sent at once."""
        data = encode_frame(Frame(self._address, kind, payload), self._key)
        try:
            self._peer(peer).send(data, block=False)
        except (pynng.NNGException, ValueError):
            self._dropped_frames += 1
            return
        self._bytes_sent += len(data)

    def forget(self, peer: str) -> None:
        """Close the socket to a peer; the next send opens a new one."""
        socket = self._peers.pop(peer, None)
        if socket is not None:
            socket.close()

    def close(self) -> None:
        """Stop receiving and close all sockets."""
        if self._greenlet is not None:
            self._greenlet.kill()
        for peer in list(self._peers):
            self.forget(peer)
        self._socket.close()

    def _peer(self, address: str) -> Any:
        if address not in self._peers:
            socket = pynng.Push0(send_buffer_size=SEND_BUFFER_FRAMES)
            socket.reconnect_time_min = RECONNECT_MIN_MS
            socket.reconnect_time_max = RECONNECT_MAX_MS
            socket.dial(f"tcp://{address}", block=False)
            self._peers[address] = socket
        return self._peers[address]

    def _receive(self) -> None:
        while True:
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                eventlet.hubs.trampoline(self._socket.recv_fd, read=True)
                continue
            self._bytes_received += len(data)
            self._handle_data(data)

    def _handle_data(self, data: bytes) -> None:
        try:
            frame = decode_frame(data, self._key)
        except FrameError as error:
            self._on_fault(error)
            return
        self._outlet.put(frame)


def _listen(address: str) -> Any:
    socket = pynng.Pull0(recv_buffer_size=RECEIVE_BUFFER_FRAMES)
    socket.recv_max_size = MAX_FRAME_BYTES
    try:
        socket.listen(f"tcp://{address}")
    except pynng.NNGException as error:
        socket.close()
        raise LinkError(
            "cannot listen for frames",
            context=f"{address}: {error}",
            hint="check whether another process listens on this address",
        ) from error
    return socket
