"""Minimal proxy of the WSGI server and an urllib3 pool, for comparison."""

import sys
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eventlet

eventlet.monkey_patch()

import eventlet.wsgi  # noqa: E402
import urllib3  # noqa: E402

_CONNECTIONS = 64


class _NullLog:
    """Log file that discards what the WSGI server writes."""

    def write(self, text: str) -> None:
        """Discard the text."""


def main() -> None:
    """Listen on a free port, print it, and forward requests to the given port."""
    backend = urllib3.HTTPConnectionPool(
        "127.0.0.1", int(sys.argv[1]), maxsize=_CONNECTIONS
    )

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        response = backend.request(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        start_response(f"{response.status} OK", list(response.headers.items()))
        return [response.data]

    listener = eventlet.listen(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    eventlet.wsgi.server(listener, application, log=_NullLog(), log_output=False)


if __name__ == "__main__":
    main()
