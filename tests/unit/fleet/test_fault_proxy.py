"""Check what each connection fault does to open and to new connections."""

import socket
import threading
from collections.abc import Iterator

import pytest
from fault_proxy import ConnectionFault
from fault_proxy import FaultProxy

RESPONSE_TIMEOUT_S = 5.0  # used if a response or a reset is expected
SILENCE_S = 0.5  # without a response for so long, the bytes count as discarded


@pytest.fixture
def echo() -> Iterator[str]:
    """Yield the address of a server that echoes what it reads."""
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
            while chunk := connection.recv(100):
                connection.sendall(chunk)

    threading.Thread(target=serve, daemon=True).start()
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()


def _connect(proxy: FaultProxy) -> socket.socket:
    host, _, port = proxy.address.rpartition(":")
    return socket.create_connection((host, int(port)), RESPONSE_TIMEOUT_S)


def _request(connection: socket.socket, timeout_s: float) -> str:
    """Send one byte to the echo server and return the outcome."""
    connection.settimeout(timeout_s)
    try:
        connection.sendall(b"x")
        return "answered" if connection.recv(1) else "closed"
    except TimeoutError:
        return "silent"
    except OSError:
        return "reset"


FAULTS = [
    (ConnectionFault.NONE, "answered", "answered"),
    (ConnectionFault.DELAYED, "answered", "answered"),
    (ConnectionFault.RESET, "reset", "answered"),
    (ConnectionFault.ONE_WAY, "silent", "silent"),
    (ConnectionFault.SILENT, "silent", "answered"),
]


@pytest.mark.parametrize(("fault", "on_open", "on_new"), FAULTS)
def test_fault(echo: str, fault: ConnectionFault, on_open: str, on_new: str) -> None:
    proxy = FaultProxy("127.0.0.1")
    proxy.start(echo)
    connection = _connect(proxy)
    assert _request(connection, RESPONSE_TIMEOUT_S) == "answered"
    proxy.set_fault(fault)
    timeouts = {"silent": SILENCE_S}
    assert _request(connection, timeouts.get(on_open, RESPONSE_TIMEOUT_S)) == on_open
    assert _request(_connect(proxy), timeouts.get(on_new, RESPONSE_TIMEOUT_S)) == on_new
    proxy.set_fault(ConnectionFault.NONE)
    assert _request(_connect(proxy), RESPONSE_TIMEOUT_S) == "answered"
    proxy.stop()
