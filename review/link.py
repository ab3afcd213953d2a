"""A link to a machine: limits its bandwidth, and resets connections."""

import itertools
import select
import socket
import struct
import threading
import time

CHUNK_BYTES = 8192
POLL_S = 0.01
_LINGER_RESET = struct.pack("ii", 1, 0)  # close() sends a reset


class Link:
    """Forwards connections from ``address`` to ``target``."""

    def __init__(self, address: str, target: str, bits_per_s: float) -> None:
        self._target = _parse(target)
        self._bits_per_s = bits_per_s
        self._resets = 0
        self._numbers = itertools.count()
        self._free_at = 0.0  # when the link has sent what it was given
        self._lock = threading.Lock()
        self._listener = socket.create_server(_parse(address), backlog=128)
        threading.Thread(target=self._accept, daemon=True).start()

    def reset_connections(self) -> None:
        """Reset half of the connections that are open now."""
        self._resets += 1

    def _wait_for_turn(self, size_bytes: int) -> None:
        """Wait until the link, which all connections share, has sent some bytes."""
        with self._lock:
            now = time.monotonic()
            self._free_at = max(now, self._free_at) + 8 * size_bytes / self._bits_per_s
            wait_s = self._free_at - now
        time.sleep(wait_s)

    def _accept(self) -> None:
        while True:
            near, _ = self._listener.accept()
            threading.Thread(target=self._forward, args=(near,), daemon=True).start()

    def _forward(self, near: socket.socket) -> None:
        resets = self._resets
        may_reset = next(self._numbers) % 2 == 0
        far = socket.socket()
        # Small windows, as the platform's links have.
        near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 32768)
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 32768)
        try:
            far.connect(self._target)
            sinks = {near: far, far: near}
            while sinks:
                ready, _, _ = select.select([*sinks], [], [], POLL_S)
                if may_reset and self._resets != resets:
                    for end in (near, far):
                        end.setsockopt(
                            socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_RESET
                        )
                    return
                for source in ready:
                    data = source.recv(CHUNK_BYTES)
                    if not data:
                        sinks.pop(source).shutdown(socket.SHUT_WR)
                        continue
                    if source is far:
                        self._wait_for_turn(len(data))
                    sinks[source].sendall(data)
        except OSError:
            pass
        finally:
            near.close()
            far.close()


def _parse(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)
