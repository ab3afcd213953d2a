"""Check what each harm does to open and to new connections."""

import socket
import threading
from collections.abc import Iterator

import pytest
from fault_proxy import FaultProxy
from fault_proxy import Harm

LIMIT_S = 5.0  # for what arrives
SILENCE_S = 0.5  # in which what is lost would have arrived


@pytest.fixture
def echo() -> Iterator[str]:
    """Give the address of a server that sends back what it reads."""
    listener = socket.create_server(("127.0.0.1", 0))

    def serve() -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            threading.Thread(target=answer, args=(connection,), daemon=True).start()

    def answer(connection: socket.socket) -> None:
        with connection:
            while piece := connection.recv(100):
                connection.sendall(piece)

    threading.Thread(target=serve, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()


def _connect(proxy: FaultProxy) -> socket.socket:
    host, _, port = proxy.address.rpartition(":")
    return socket.create_connection((host, int(port)), LIMIT_S)


def _ask(connection: socket.socket, limit_s: float) -> str:
    """Return what became of a request."""
    connection.settimeout(limit_s)
    try:
        connection.sendall(b"x")
        return "answered" if connection.recv(1) else "closed"
    except TimeoutError:
        return "silent"
    except OSError:
        return "reset"


HARMS = [
    (Harm.NONE, "answered", "answered"),
    (Harm.DELAYED, "answered", "answered"),
    (Harm.RESET, "reset", "answered"),
    (Harm.ONE_WAY, "silent", "silent"),
    (Harm.SILENT, "silent", "answered"),
]


@pytest.mark.parametrize(("harm", "open_one", "new_one"), HARMS)
def test_harm(echo: str, harm: Harm, open_one: str, new_one: str) -> None:
    proxy = FaultProxy("127.0.0.1")
    proxy.start(echo)
    connection = _connect(proxy)
    assert _ask(connection, LIMIT_S) == "answered"
    proxy.set_harm(harm)
    limits = {"silent": SILENCE_S}
    assert _ask(connection, limits.get(open_one, LIMIT_S)) == open_one
    assert _ask(_connect(proxy), limits.get(new_one, LIMIT_S)) == new_one
    proxy.set_harm(Harm.NONE)
    assert _ask(_connect(proxy), LIMIT_S) == "answered"
    proxy.stop()
