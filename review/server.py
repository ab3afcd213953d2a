"""A backend server beside a daemon, as PROTOCOL.md describes it."""

import json
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import Any
from typing import NamedTuple

from harness import HEARTBEAT_S
from harness import Daemon
from harness import P
from harness import Record
from harness import ask


class Run(NamedTuple):
    """A request that the server ran; the time is of the monotonic clock."""

    request_id: str
    method: str
    path: str
    body: bytes
    at: float


class Server:
    """Serves requests, and sends its pings to the daemon on its machine."""

    def __init__(self, daemon: Daemon, record: Record, work_s: float = 0.01) -> None:
        self.record = record
        self.work_s = work_s
        self.runs: list[Run] = []
        self.connections: list[socket.socket] = []
        self.state = "ready"
        self.born = time.time_ns() // 1_000_000
        self.server_id = f"i-{self.born:x}-{daemon.name}"
        self._daemon = daemon
        self._sequence = 0
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _serve(self) -> None:
                outer.serve(self)

            do_GET = do_POST = do_PUT = _serve

            def log_message(self, *args: Any) -> None:
                pass

        class Listener(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 128

            def process_request(self, request: Any, client_address: Any) -> None:
                outer.connections.append(request)
                super().process_request(request, client_address)

            def handle_error(self, request: Any, client_address: Any) -> None:
                pass  # a connection that was reset

        self._http = Listener((daemon.ip, daemon.server_port), Handler)
        threading.Thread(target=self._http.serve_forever, daemon=True).start()

    def serve(self, request: BaseHTTPRequestHandler) -> None:
        """Run one request and answer it."""
        body = _read_body(request)
        if body is None:
            self.record.note(f"{self.server_id}: a body ends early; not run")
            request.close_connection = True
            return
        request_id = request.headers.get(f"{P}Request-Id")
        if request.path == "/healthz":
            self._write(request, 200, b"", {f"{P}Instance-Id": self.server_id})
            return
        expected = request.headers.get(f"{P}Expect-Instance")
        refusal = 0
        if expected is not None and expected != self.server_id:
            refusal = 421
        elif request_id is None:
            refusal = 400
        if refusal:
            headers = {f"{P}Not-Executed": "1"}
            if request_id:
                headers[f"{P}Request-Id"] = request_id
            self._write(request, refusal, b"", headers)
            return
        run = Run(request_id, request.command, request.path, body, time.monotonic())
        with self._lock:
            self.runs.append(run)
        self.record.note(
            f"{self.server_id}: runs {request_id} {run.method} {run.path}"
            f" ({len(body)} bytes)"
        )
        self.work(run)
        headers = {f"{P}Request-Id": request_id, f"{P}Server-Stamp": "stamp"}
        self._write(request, 200, self.server_id.encode(), headers)

    def work(self, run: Run) -> None:
        """Work on a request."""
        time.sleep(self.work_s)

    def _write(
        self,
        request: BaseHTTPRequestHandler,
        status: int,
        body: bytes,
        headers: dict[str, str],
    ) -> None:
        try:
            request.send_response(status)
            for name, value in headers.items():
                request.send_header(name, value)
            request.send_header("Content-Length", str(len(body)))
            request.end_headers()
            request.wfile.write(body)
        except OSError:
            request.close_connection = True

    def make_ping(self) -> tuple[str, bytes]:
        """Return path and body of the next ping."""
        self._sequence += 1
        body = {
            "address": self._daemon.server_address,
            "born": self.born,
            "info": {
                "service": self._daemon.service,
                "version": "v1",
                "zone": "nord-a",
                "slots": 3,
            },
            "status": {
                "state": self.state,
                "seq": self._sequence,
                "warmupRemainingS": 0,
            },
        }
        return f"/-/instances/{self.server_id}", json.dumps(body).encode()

    def ping(self) -> int:
        """Send a ping; return the status, 0 without an answer within a second."""
        path, body = self.make_ping()
        headers = {"Content-Type": "application/json"}
        status = ask(self._daemon.control, "PUT", path, body, headers).status
        self.record.note(
            f"{self.server_id}: ping {self._sequence} ({self.state}): {status}"
        )
        return status

    def withdraw(self) -> int:
        """Say that this server leaves; return the status."""
        path = f"/-/instances/{self.server_id}"
        body = json.dumps({"born": self.born}).encode()
        headers = {"Content-Type": "application/json"}
        status = ask(self._daemon.control, "DELETE", path, body, headers).status
        self.record.note(f"{self.server_id}: DELETE: {status}")
        return status

    def start_pings(self) -> None:
        """Send a ping every ``HEARTBEAT_S``."""
        threading.Thread(target=self._send_pings, daemon=True).start()

    def stop_pings(self) -> None:
        """Send no more pings."""
        self._stopped.set()

    def exit(self) -> None:
        """End: close the listener and all connections."""
        self._stopped.set()
        self.record.note(f"{self.server_id}: exits")
        self._http.shutdown()
        self._http.server_close()
        for connection in self.connections:
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass

    def _send_pings(self) -> None:
        while not self._stopped.is_set():
            self.ping()
            self._stopped.wait(HEARTBEAT_S)


def _read_body(request: BaseHTTPRequestHandler) -> bytes | None:
    """Return the body; None if it ends early."""
    try:
        if request.headers.get("Transfer-Encoding", "").lower() != "chunked":
            length = int(request.headers.get("Content-Length") or 0)
            body = request.rfile.read(length)
            return body if len(body) == length else None
        body = b""
        while size := int(request.rfile.readline().split(b";")[0], 16):
            chunk = request.rfile.read(size)
            if len(chunk) < size:
                return None
            body += chunk
            request.rfile.readline()
        while request.rfile.readline().strip():
            pass
        return body
    except (OSError, ValueError):
        return None
