"""Fake backend server with the platform's interfaces."""

import contextlib
import enum
import itertools
import json
import math
import select
import socket
import sys
import time
import urllib.parse
import urllib.request
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from threading import Event
from threading import Lock
from threading import Thread
from typing import Any
from typing import NamedTuple

PREFIX = "X-Pimentobend-"
HANG_S = 60.0
STOP_POLL_S = 0.25  # a request at work ends this long after the server's stop at most


class RunEnd(enum.Enum):
    """How the run of a request ended."""

    ANSWERED = "answered"
    CUT = "cut"  # the daemon closed the connection while the server was at work
    CRASHED = "crashed"  # the server crashed
    OPEN = "open"  # it has not ended


class Run(NamedTuple):
    """Run of a request by a server; times are of the monotonic clock."""

    request_id: str
    server: str  # the server's address
    began_at: float
    ended_at: float
    end: RunEnd


class PlatformServer:
    """HTTP server that sends heartbeats and records the requests that it ran."""

    def __init__(
        self,
        host: str,
        service: str,
        control: str,
        announced: str | None = None,
        slots: int = 3,
    ) -> None:
        self.ran: list[str] = []
        self.targets: list[bytes] = []  # as they were received
        self.bodies: dict[str, bytes] = {}  # those that were whole, by request id
        self.arrived_at: list[float] = []  # seconds of the monotonic clock
        self.callers: list[str] = []
        self.heads: dict[str, dict[str, str]] = {}  # headers by request id
        self.sends_heartbeats = True
        self.hold_s = 0.0  # time that each request takes
        # First bytes of each answer, and those that follow until the caller closes.
        self.endless: tuple[bytes, bytes] | None = None
        self.status = ""  # of each answer, as it is sent; then the connection ends
        # Returns all bytes of an answer with these headers; then the connection ends.
        self.encode: Callable[[bytes], bytes] | None = None
        self.content = b""  # body of the answers, instead of the server's id
        # Work between the first and the last byte of an answer's body, in seconds.
        self.works_within_s = 0.0
        self.hangs = False  # answer requests only after HANG_S, or once stopped
        self.hangs_on = ""  # prefix of the paths of the requests that hang
        # Called with the path of each request; if it returns False, the answer is 500.
        self.call: Callable[[str], bool] = lambda path: True
        # Every how many answers an earlier one of its connection is sent once more
        # before it, as a refusal and as a success by turns; 0 for never.
        self.repeats_every = 0
        self.crash_path = ""  # a request of this path crashes the server
        self.crash_after_s = 0.1  # and so long after it began
        self.down_s = 2.0  # then the server is back, with another id
        self.crashed_by: list[str] = []  # request ids
        self.died: list[str] = []  # ids of the requests that ran when it crashed
        self._running: dict[str, str] = {}  # paths by request id
        self._crash_lock = Lock()
        self._is_down = False
        self._stop = Event()
        self._control = control
        self._sequence = 0
        self._runs: dict[int, Run] = {}
        self._run_numbers = itertools.count()
        self._answers = 0  # on connections that had carried an earlier request
        # Start and end of each period in which no request may arrive.
        self.drained: list[tuple[float, float]] = []
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            earlier_id = ""  # of the last request on this connection

            def _serve(self) -> None:
                outer.serve(self)

            do_GET = do_POST = do_PUT = _serve  # noqa: N815

            def log_message(self, *args: Any) -> None:
                pass

        self._handler = Handler
        self._http = self._listen(host, 0)
        self.address = f"{host}:{self._http.server_port}"
        self.announced = announced or self.address
        self._info = {"service": service, "version": "v1", "zone": "a", "slots": slots}
        self.restart()

    def _listen(self, host: str, port: int) -> ThreadingHTTPServer:
        outer = self
        connections: list[socket.socket] = []

        class Listener(ThreadingHTTPServer):
            daemon_threads = True
            open_connections = connections

            def process_request(self, request: Any, client_address: Any) -> None:
                connections.append(request)
                super().process_request(request, client_address)

            def handle_error(self, request: Any, client_address: Any) -> None:
                is_reset = isinstance(sys.exception(), ConnectionError)
                if not is_reset and not outer.crash_path:
                    super().handle_error(request, client_address)

        return Listener((host, port), self._handler)

    def crash(self) -> None:
        """Close all connections and the listener; be back after ``down_s``."""
        http = self._http
        self._is_down = True
        with contextlib.suppress(OSError):
            http.socket.shutdown(socket.SHUT_RDWR)
        for connection in http.open_connections:  # type: ignore[attr-defined]
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)
        http.shutdown()
        http.server_close()
        Thread(target=self._come_back, daemon=True).start()

    def _come_back(self) -> None:
        if self._stop.wait(self.down_s):
            return
        host, _, port = self.address.rpartition(":")
        self._http = self._listen(host, int(port))
        self.restart()
        self._is_down = False
        Thread(target=self._http.serve_forever, daemon=True).start()

    def _run(
        self, request: BaseHTTPRequestHandler, request_id: str, seconds: float
    ) -> bool:
        """Work on a request; return False if its connection was closed meanwhile.

        A request of ``crash_path`` crashes the server with all that it runs.
        """
        self._running[request_id] = request.path
        try:
            if not self.crash_path or not request.path.startswith(self.crash_path):
                return self._work(request.connection, seconds)
            time.sleep(self.crash_after_s)
            with self._crash_lock:
                if not self._is_down:
                    self.crashed_by.append(request_id)
                    self.died.extend(self._running)
                    self.crash()
            return False
        finally:
            self._running.pop(request_id, None)

    def restart(self) -> None:
        """Become a new server with another id at the same address."""
        born = time.time_ns()
        self.server_id = f"i-{born:x}"
        self.state = "ready"
        self._heartbeat = {
            "address": self.announced,
            "info": self._info,
            "born": born // 1_000_000,
        }

    def start(self) -> None:
        """Start serving and sending heartbeats."""
        Thread(target=self._http.serve_forever, daemon=True).start()
        Thread(target=self._send_heartbeats, daemon=True).start()

    def stop(self) -> None:
        """Stop without sending a withdrawal."""
        self._stop.set()
        self._http.shutdown()
        self._http.server_close()

    @property
    def runs(self) -> list[Run]:
        """Return all runs, those at work included."""
        return list(self._runs.values())

    def serve(self, request: BaseHTTPRequestHandler) -> None:
        """Record and answer one request.

        It takes the seconds that its query names as ``hold``, and ``hold_s`` more.
        """
        body = read_body(request)
        request_id = request.headers[f"{PREFIX}Request-Id"]
        self.arrived_at.append(time.monotonic())
        self.ran.append(request_id)
        self.targets.append(request.raw_requestline.split(b" ", 2)[1])
        if body is not None:
            self.bodies[request_id] = body
        self.heads[request_id] = {k.lower(): v for k, v in request.headers.items()}
        self.callers.append(request.headers[f"{PREFIX}Caller-Service"])
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(request.path).query)
        work_s = self.hold_s + float(query.get("hold", ["0"])[0])
        number = next(self._run_numbers)
        run = Run(request_id, self.address, time.monotonic(), math.inf, RunEnd.OPEN)
        self._runs[number] = run
        end = RunEnd.CUT
        hangs_here = bool(self.hangs_on) and request.path.startswith(self.hangs_on)
        if self._run(
            request, request_id, HANG_S if self.hangs or hangs_here else work_s
        ):
            try:
                self._answer_after_repeat(request, request_id)
                end = RunEnd.ANSWERED
            except OSError:
                request.close_connection = True
        else:
            request.close_connection = True
        if end is RunEnd.CUT and self._is_down:
            end = RunEnd.CRASHED
        self._runs[number] = run._replace(ended_at=time.monotonic(), end=end)

    def _work(self, connection: socket.socket, seconds: float) -> bool:
        """Work on a request; return False if its connection was closed meanwhile."""
        ends_at = time.monotonic() + seconds
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        while not self._stop.is_set() and (left_s := ends_at - time.monotonic()) > 0:
            if poller.poll(1000 * min(left_s, STOP_POLL_S)):
                try:
                    is_open = bool(connection.recv(1, socket.MSG_PEEK))
                except OSError:
                    is_open = False
                if not is_open:
                    return False
                self._stop.wait(min(left_s, STOP_POLL_S))  # a pipelined request
        return True

    def _answer_after_repeat(
        self, request: BaseHTTPRequestHandler, request_id: str
    ) -> None:
        earlier_id = request.earlier_id  # type: ignore[attr-defined]
        if self.repeats_every and earlier_id:
            self._answers += 1
            if self._answers % self.repeats_every == 0:
                is_refusal = self._answers // self.repeats_every % 2 == 0
                self._answer(request, earlier_id, 503 if is_refusal else 200)
        status = 200 if self.call(request.path) else 500
        self._answer(request, request_id, status)
        request.earlier_id = request_id  # type: ignore[attr-defined]

    def _answer(
        self, request: BaseHTTPRequestHandler, request_id: str, status: int
    ) -> None:
        if self.endless is not None:
            start, more = self.endless
            request.wfile.write(start)
            while True:  # until the caller closes
                request.wfile.write(more)
        if self.encode is not None:
            request.close_connection = True
            request.wfile.write(self.encode(make_head(request_id)))
            return
        content = self.content or self.server_id.encode()
        if self.status:
            request.close_connection = True
            request.wfile.write(f"HTTP/1.1 {self.status} X\r\n".encode())
        else:
            request.send_response(status)
        if status == 503:
            request.send_header(f"{PREFIX}Not-Executed", "1")
        request.send_header(f"{PREFIX}Request-Id", request_id)
        request.send_header(f"{PREFIX}Server-Stamp", "stamp")
        request.send_header("Content-Length", str(len(content)))
        request.end_headers()
        if self.works_within_s:
            request.wfile.write(content[:-1])
            if not self._work(request.connection, self.works_within_s):
                raise ConnectionAbortedError
            content = content[-1:]
        request.wfile.write(content)

    def beat(self) -> int:
        """Send one heartbeat; return the status, or 0 if there is no answer."""
        return self.send(self.make_heartbeat())

    def make_heartbeat(self) -> urllib.request.Request:
        """Return the next heartbeat."""
        self._sequence += 1
        status = {"state": self.state, "seq": self._sequence, "warmupRemainingS": 0}
        return self._make_request("PUT", {**self._heartbeat, "status": status})

    def make_withdrawal(self) -> urllib.request.Request:
        """Return the message that this server leaves."""
        return self._make_request("DELETE", {"born": self._heartbeat["born"]})

    def _make_request(
        self, method: str, document: dict[str, Any]
    ) -> urllib.request.Request:
        url = f"http://{self._control}/-/instances/{self.server_id}"
        data = json.dumps(document).encode()
        return urllib.request.Request(url, data, method=method)

    def send(self, request: urllib.request.Request) -> int:
        """Send a message; return the status, or 0 if there is no answer."""
        try:
            with urllib.request.urlopen(request, timeout=1) as answer:
                code: int = answer.status
                return code
        except OSError:
            return 0

    def _send_heartbeats(self) -> None:
        while not self._stop.wait(0.3):
            if self.sends_heartbeats and not self._is_down:
                self.beat()


def make_head(request_id: str) -> bytes:
    """Return the headers that name an answer's request and show who sent it."""
    lines = (f"{PREFIX}Request-Id: {request_id}", f"{PREFIX}Server-Stamp: stamp")
    return "".join(f"{line}\r\n" for line in lines).encode()


def read_body(request: BaseHTTPRequestHandler) -> bytes | None:
    """Return a request's body, None if it ends early."""
    if request.headers.get("Transfer-Encoding", "").lower() != "chunked":
        length = int(request.headers.get("Content-Length") or 0)
        body = request.rfile.read(length)
        return body if len(body) == length else None
    pieces = []
    while size := int(request.rfile.readline().split(b";")[0] or b"0", 16):
        pieces.append(request.rfile.read(size))
        if len(pieces[-1]) < size or request.rfile.readline() != b"\r\n":
            return None
    return b"".join(pieces) if request.rfile.readline() == b"\r\n" else None
