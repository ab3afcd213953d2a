"""Forward connections between two loopback addresses, and harm them."""

import enum
import selectors
import socket
import struct
import threading
import time
from typing import NamedTuple

PIECE_BYTES = 16 * 1024
POLL_S = 0.05  # in which a change of the harm is noticed
CONNECT_TIMEOUT_S = 2.0
DELAY_S = 0.3
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Harm(enum.Enum):
    """Name what happens to the connections."""

    NONE = "none"
    DELAYED = "delayed"  # each piece waits
    RESET = "reset"  # open connections are reset, new ones work
    ONE_WAY = "one-way"  # what is sent back does not arrive
    SILENT = "silent"  # open connections stay silent for good, new ones work


class _Pair(NamedTuple):
    """Hold the two ends of a forwarded connection."""

    near: socket.socket
    far: socket.socket
    opened_at: float


class FaultProxy:
    """Own a listener in front of a target and the connections through it."""

    def __init__(self, host: str) -> None:
        self._listener = socket.create_server((host, 0))
        self.address = f"{host}:{self._listener.getsockname()[1]}"
        self._target: tuple[str, int] | None = None
        self._harm = Harm.NONE
        self._harmed_at = float("-inf")
        self._stopping = threading.Event()

    def start(self, target: str) -> None:
        """Forward what arrives to an address."""
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        threading.Thread(target=self._accept, daemon=True).start()

    def set_harm(self, harm: Harm) -> None:
        """Harm the connections from now on; ``NONE`` ends it."""
        self._harm = harm
        if harm in (Harm.RESET, Harm.SILENT):
            self._harmed_at = time.monotonic()

    def stop(self) -> None:
        """End all connections."""
        self._stopping.set()
        self._listener.close()

    def _accept(self) -> None:
        assert self._target is not None
        while not self._stopping.is_set():
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                far = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
            except OSError:
                _reset(near)
                continue
            pair = _Pair(near, far, time.monotonic())
            threading.Thread(target=self._forward, args=(pair,), daemon=True).start()

    def _forward(self, pair: _Pair) -> None:
        other = {pair.near: pair.far, pair.far: pair.near}
        with selectors.DefaultSelector() as selector, pair.near, pair.far:
            for each in other:
                selector.register(each, selectors.EVENT_READ)
            while not self._stopping.is_set():
                if self._is_harmed(pair, Harm.RESET):
                    _reset(pair.near)
                    _reset(pair.far)
                    return
                for key, _ in selector.select(POLL_S):
                    source = key.fileobj
                    assert isinstance(source, socket.socket)
                    if not self._pass_on(pair, source, other[source]):
                        return

    def _pass_on(
        self, pair: _Pair, source: socket.socket, target: socket.socket
    ) -> bool:
        """Pass on one piece; return whether the connection goes on."""
        if self._harm is Harm.DELAYED:
            time.sleep(DELAY_S)
        try:
            piece = source.recv(PIECE_BYTES)
        except OSError:
            piece = b""
        is_lost = self._harm is Harm.ONE_WAY and source is pair.far
        if is_lost or self._is_harmed(pair, Harm.SILENT):
            if not piece:
                time.sleep(POLL_S)
            return True
        if not piece:
            return False
        try:
            target.sendall(piece)
        except OSError:
            return False
        return True

    def _is_harmed(self, pair: _Pair, harm: Harm) -> bool:
        """Say whether a connection was open when such a harm came."""
        return self._harm is harm and pair.opened_at < self._harmed_at


def _reset(end: socket.socket) -> None:
    end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
    end.close()
