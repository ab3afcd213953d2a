"""TCP proxy on a loopback address that injects connection faults."""

import enum
import selectors
import socket
import struct
import threading
import time
from typing import NamedTuple

CHUNK_BYTES = 16 * 1024
POLL_INTERVAL_S = 0.05  # upper bound on the delay before a new fault takes effect
CONNECT_TIMEOUT_S = 2.0
DELAY_S = 0.3
_LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends an RST


class ConnectionFault(enum.Enum):
    """Fault that the proxy injects into the connections through it."""

    NONE = "none"
    DELAYED = "delayed"  # each chunk is forwarded after DELAY_S
    RESET = "reset"  # open connections are reset, new ones work
    ONE_WAY = "one-way"  # bytes from the target to the client are discarded
    SILENT = "silent"  # bytes on open connections are discarded, new ones work


class _Connection(NamedTuple):
    """Client and target sockets of one proxied connection."""

    client: socket.socket
    target: socket.socket
    opened_at: float  # monotonic clock, in seconds


class FaultProxy:
    """Forward TCP connections to a target address and inject faults into them."""

    def __init__(self, host: str) -> None:
        self._listener = socket.create_server((host, 0))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._target: tuple[str, int] | None = None
        self._fault = ConnectionFault.NONE
        self._fault_set_at = float("-inf")
        self._stopping = threading.Event()

    def start(self, target: str) -> None:
        """Start forwarding connections to the address ``target``."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        threading.Thread(target=self._accept, daemon=True).start()

    def set_fault(self, fault: ConnectionFault) -> None:
        """Inject a fault from now on; ``NONE`` ends the current one."""
        self._fault = fault
        if fault in (ConnectionFault.RESET, ConnectionFault.SILENT):
            self._fault_set_at = time.monotonic()

    def stop(self) -> None:
        """Stop accepting connections and close the open ones."""
        self._stopping.set()
        self._listener.close()

    def _accept(self) -> None:
        assert self._target is not None
        while not self._stopping.is_set():
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            try:
                target = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
            except OSError:
                _reset(client)
                continue
            connection = _Connection(client, target, time.monotonic())
            threading.Thread(
                target=self._forward, args=(connection,), daemon=True
            ).start()

    def _forward(self, connection: _Connection) -> None:
        peers = {
            connection.client: connection.target,
            connection.target: connection.client,
        }
        with (
            selectors.DefaultSelector() as selector,
            connection.client,
            connection.target,
        ):
            for end in peers:
                selector.register(end, selectors.EVENT_READ)
            while not self._stopping.is_set():
                if self._is_affected(connection, ConnectionFault.RESET):
                    _reset(connection.client)
                    _reset(connection.target)
                    return
                for key, _ in selector.select(POLL_INTERVAL_S):
                    source = key.fileobj
                    assert isinstance(source, socket.socket)
                    if not self._forward_chunk(connection, source, peers[source]):
                        return

    def _forward_chunk(
        self, connection: _Connection, source: socket.socket, sink: socket.socket
    ) -> bool:
        """Forward one chunk; return False once the connection has ended."""
        if self._fault is ConnectionFault.DELAYED:
            time.sleep(DELAY_S)
        try:
            chunk = source.recv(CHUNK_BYTES)
        except OSError:
            chunk = b""
        is_discarded = (
            self._fault is ConnectionFault.ONE_WAY and source is connection.target
        )
        if is_discarded or self._is_affected(connection, ConnectionFault.SILENT):
            if not chunk:
                time.sleep(POLL_INTERVAL_S)
            return True
        if not chunk:
            return False
        try:
            sink.sendall(chunk)
        except OSError:
            return False
        return True

    def _is_affected(self, connection: _Connection, fault: ConnectionFault) -> bool:
        """Return whether ``fault`` is active and came after the connection opened."""
        return self._fault is fault and connection.opened_at < self._fault_set_at


def _reset(end: socket.socket) -> None:
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET)
    end.close()
