"""Backend server that answers each request after a fixed service time."""

import eventlet
import eventlet.greenpool

_SERVICE_TIME_S = 0.005
_BODY = b"x" * 512
_RESPONSE = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
    b"Content-Length: %d\r\n\r\n%s" % (len(_BODY), _BODY)
)
_HEAD_END = b"\r\n\r\n"
_MAX_CONNECTIONS = 2_000


def main() -> None:
    """Listen on a free port, print the port and serve."""
    listener = eventlet.listen(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    pool = eventlet.greenpool.GreenPool(_MAX_CONNECTIONS)
    eventlet.serve(listener, _serve, pool.size)


def _serve(connection: "eventlet.greenio.GreenSocket", _address: object) -> None:
    pending = b""
    while chunk := connection.recv(65_536):
        pending += chunk
        while _HEAD_END in pending:
            pending = pending.partition(_HEAD_END)[2]
            eventlet.sleep(_SERVICE_TIME_S)
            connection.sendall(_RESPONSE)


if __name__ == "__main__":
    main()
