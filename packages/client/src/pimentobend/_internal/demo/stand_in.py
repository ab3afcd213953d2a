"""Stand-in backend servers, healthy or with a gray failure."""

import abc
import contextlib
import json
import socket
import struct
import time
import weakref
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet
import urllib3

from pimentobend_adapters._internal.http.headers import LOAD
from pimentobend_adapters._internal.http.headers import REQUEST_ID
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.http.strict_pools import create_pools

LEASE_S = 6.0
RENEW_S = 2.0  # interval of the announcements that renew the lease
ANNOUNCE_RETRY_S = 0.2  # after a failed announcement
ANNOUNCE_TIMEOUT_S = 2.0
PROBE_PATH = "/health"
# With this SO_LINGER value, close() sends a reset, as the end of a process does.
_LINGER_NONE = struct.pack("ii", 1, 0)
REQUEST_ID_KEY = f"HTTP_{REQUEST_ID.upper().replace('-', '_')}"

Environ = dict[str, Any]


class CrashError(Exception):
    """The server crashes on a request of ``path`` and is back after ``down_s``."""

    def __init__(self, path: str, down_s: float) -> None:
        super().__init__(f"crash on {path}")
        self.path = path
        self.down_s = down_s


class Behaviour(abc.ABC):
    """How a stand-in server handles a request other than a probe."""

    @abc.abstractmethod
    def serve(self, path: str) -> int:
        """Handle one request and return the HTTP status; raise CrashError to crash."""


class Healthy(Behaviour):
    """Answers with status 200 after a fixed service time."""

    def __init__(self, service_time_s: float) -> None:
        self._service_time_s = service_time_s

    def serve(self, path: str) -> int:
        """Sleep for the service time and return 200."""
        eventlet.sleep(self._service_time_s)
        return 200


class HalfAlive(Behaviour):
    """Fails every request at once, while the server still answers probes."""

    def serve(self, path: str) -> int:
        """Return 500."""
        return 500


class Crashing(Behaviour):
    """Crashes on requests of one path and serves the others like ``otherwise``."""

    def __init__(self, path: str, down_s: float, otherwise: Behaviour) -> None:
        self._path = path
        self._down_s = down_s
        self._otherwise = otherwise

    def serve(self, path: str) -> int:
        """Raise CrashError for the path; serve any other request."""
        if path == self._path:
            raise CrashError(path, self._down_s)
        return self._otherwise.serve(path)


class StandInOptions(NamedTuple):
    """What a stand-in server announces about itself, and to which daemon."""

    server_id: str
    service: str
    slots: int
    data_centre: str
    region: str
    daemon: Address  # of the daemon's interface for servers


class StandInServer:
    """Serves requests, records executed requests and announces itself to a daemon.

    ``on_crash`` is called with the path of each request that crashes the server.
    """

    def __init__(
        self,
        options: StandInOptions,
        address: Address,
        behaviour: Behaviour,
        on_crash: Callable[[str], None] = lambda path: None,
    ) -> None:
        self._options = options
        self._behaviour = behaviour
        self._on_crash = on_crash
        self._http = HttpServer(address, self)
        self._address = self._http.address
        self._connections: Any = weakref.WeakSet()  # sockets that carried a request
        self._pool = create_pools(timeout=ANNOUNCE_TIMEOUT_S)
        self._in_use = 0
        self._state = "ready"
        self._incarnation = time.time_ns()
        self._announcer: Any = None
        self._restart: Any = None  # greenlet that starts the server after a crash
        self.runs: list[str] = []  # idempotency key of each executed request, or ""
        self.crashes: list[str] = []  # path of each request that crashed the server

    @property
    def address(self) -> Address:
        """Return the address that the server listens on."""
        return self._address

    def start(self) -> None:
        """Start serving, and announce the server until it is stopped."""
        self._http.start()
        self._announcer = eventlet.spawn(self._announce)

    def stop(self) -> None:
        """Stop announcing and serving."""
        for greenlet in (self._announcer, self._restart):
            if greenlet is not None:
                greenlet.kill()
        self._http.close()

    def drain(self) -> None:
        """Announce that the server takes no new requests."""
        self._state = "draining"
        self._send_announcement()

    def __call__(
        self, environ: Environ, start_response: Callable[..., Any]
    ) -> list[bytes]:
        """Handle one request or probe as a WSGI application."""
        connection = environ["wsgi.input"].get_socket()
        self._connections.add(connection)
        if self._restart is not None:
            self._reset_connections()
            return self._reply(environ, start_response, 503, "not running")
        if environ["PATH_INFO"] == PROBE_PATH:
            return self._reply(environ, start_response, 200, "probe answered")
        environ["wsgi.input"].read()
        incarnation = self._incarnation
        self._in_use += 1
        try:
            status = self._behaviour.serve(environ["PATH_INFO"])
        except CrashError as crash:
            self._crash(crash)
            return self._reply(environ, start_response, 503, "not running")
        finally:
            self._in_use = max(0, self._in_use - 1)
        if self._restart is None and incarnation == self._incarnation:
            self.runs.append(environ.get("HTTP_IDEMPOTENCY_KEY", ""))
        return self._reply(environ, start_response, status, self._options.server_id)

    def _crash(self, crash: CrashError) -> None:
        """Stop listening, reset all connections and start again later."""
        if self._restart is not None:
            return
        self.crashes.append(crash.path)
        self._on_crash(crash.path)
        if self._announcer is not None:
            self._announcer.kill()
        self._restart = eventlet.spawn_after(crash.down_s, self._start_again)
        self._http.close()
        self._reset_connections()

    def _reset_connections(self) -> None:
        for connection in self._connections:
            with contextlib.suppress(OSError):
                connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_NONE)
                connection.shutdown(socket.SHUT_RDWR)
        self._connections.clear()

    def _start_again(self) -> None:
        self._restart = None
        self._incarnation = time.time_ns()
        self._http = HttpServer(self._address, self)
        self.start()

    def _reply(
        self,
        environ: Environ,
        start_response: Callable[..., Any],
        status: int,
        text: str,
    ) -> list[bytes]:
        content = f"{text}\n".encode()
        headers = [
            ("Content-Type", "text/plain"),
            ("Content-Length", str(len(content))),
            (LOAD, f"{self._in_use}/{self._options.slots}"),
        ]
        request_id = environ.get(REQUEST_ID_KEY)
        if request_id:
            headers.append((REQUEST_ID, request_id))
        start_response(f"{status} Stand-in", headers)
        return [content]

    def _announce(self) -> None:
        while True:
            sent = self._send_announcement()
            eventlet.sleep(RENEW_S if sent else ANNOUNCE_RETRY_S)

    def _send_announcement(self) -> bool:
        options = self._options
        document = {
            "server_id": options.server_id,
            "service": options.service,
            "host": self.address.host,
            "port": self.address.port,
            "slots": options.slots,
            "data_centre": options.data_centre,
            "region": options.region,
            "state": self._state,
            "incarnation": self._incarnation,
            "lease_s": LEASE_S,
        }
        url = f"http://{options.daemon}/announce"
        try:
            response = self._pool.request("POST", url, body=json.dumps(document))
        except urllib3.exceptions.HTTPError:
            return False
        return response.status == 200
