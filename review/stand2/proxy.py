"""A TCP proxy that resets its open connections on demand."""

import contextlib
import selectors
import socket
import struct
import threading

_RESET = struct.pack("ii", 1, 0)  # SO_LINGER of 0 s: close sends a reset


class Proxy:
    """Passes connections on to a target until they are reset."""

    def __init__(self, address, target):
        self._target = _split(target)
        self._listener = socket.create_server(_split(address), backlog=512)
        self._pairs = set()
        self._lock = threading.Lock()

    def start(self):
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self):
        self._listener.close()

    def reset_half(self):
        """Reset half of the open connections, both ends; return their number."""
        with self._lock:
            pairs = list(self._pairs)
        pairs = pairs[: (len(pairs) + 1) // 2]
        for pair in pairs:
            for end in pair:
                with contextlib.suppress(OSError):
                    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            for end in pair:
                with contextlib.suppress(OSError):
                    end.shutdown(socket.SHUT_RD)  # wakes the thread, which closes both
        return len(pairs)

    def _accept(self):
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._pass, args=(client,), daemon=True).start()

    def _pass(self, client):
        try:
            target = socket.create_connection(self._target, 2.0)
        except OSError:
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            client.close()
            return
        target.settimeout(None)
        pair = (client, target)
        with self._lock:
            self._pairs.add(pair)
        try:
            with client, target, selectors.DefaultSelector() as selector:
                selector.register(client, selectors.EVENT_READ, target)
                selector.register(target, selectors.EVENT_READ, client)
                while True:
                    for key, _ in selector.select():
                        data = key.fileobj.recv(65536)
                        if not data:
                            return
                        key.data.sendall(data)
        except OSError:
            return
        finally:
            with self._lock:
                self._pairs.discard(pair)


def _split(address):
    host, _, port = address.rpartition(":")
    return host, int(port)
