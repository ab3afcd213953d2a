"""Serve as the least proxy that the libraries allow, for comparison."""

import sys
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any

import eventlet

eventlet.monkey_patch()

import eventlet.wsgi  # noqa: E402
import urllib3  # noqa: E402

_CONNECTIONS = 64


class _Silent:
    """Drop the server's own log lines."""

    def write(self, text: str) -> None:
        """Drop the text."""


def main() -> None:
    """Pass requests on to the given port, and print the port in use."""
    backend = urllib3.HTTPConnectionPool(
        "127.0.0.1", int(sys.argv[1]), maxsize=_CONNECTIONS
    )

    def application(
        environ: dict[str, Any], start_response: Callable[..., Any]
    ) -> Iterable[bytes]:
        answer = backend.request(environ["REQUEST_METHOD"], environ["PATH_INFO"])
        start_response(f"{answer.status} OK", list(answer.headers.items()))
        return [answer.data]

    listener = eventlet.listen(("127.0.0.1", 0))
    print(listener.getsockname()[1], flush=True)
    eventlet.wsgi.server(listener, application, log=_Silent(), log_output=False)


if __name__ == "__main__":
    main()
