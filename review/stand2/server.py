"""A backend server that speaks what PROTOCOL.md says, beside a daemon."""

import http.client
import json
import select
import socket
import threading
import time
from http.server import BaseHTTPRequestHandler
from http.server import ThreadingHTTPServer
from typing import NamedTuple

PREFIX = "X-Pimentobend-"
QUEUE = 24
UNREAD_S = 5.0
CHUNK_BYTES = 16 * 1024


class Run(NamedTuple):
    request_id: str
    server: str
    began_at: float
    ended_at: float
    end: str  # answered, cut (its connection closed) or open


class Server:
    """Runs requests in slots, queues a few more, and drops those that are closed."""

    def __init__(
        self,
        machine,
        record,
        slots=3,
        work_s=lambda path, number: 0.1,
        content=b"ok",
        heartbeat_s=0.5,
        writes_in_slot=True,
    ):
        self.machine, self.record = machine, record
        self.slots, self.work_s, self.content = slots, work_s, content
        self.server_id = f"i-{machine.ip.replace('.', '-')}-{int(time.time() * 1000):x}"
        self.born = int(time.time() * 1000)
        self.runs = {}
        self._number = 0
        self._lock = threading.Lock()
        self._free = threading.Semaphore(slots)
        self._waiting = 0
        self._stop = threading.Event()
        self._seq = 0
        self._heartbeat_s = heartbeat_s
        self._writes_in_slot = (
            writes_in_slot  # a slot is held until its answer is taken
        )
        outer = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def _serve(self):
                outer.serve(self)

            do_GET = do_POST = do_PUT = _serve

            def log_message(self, *args):
                pass

        class Listener(ThreadingHTTPServer):
            daemon_threads = True
            request_queue_size = 512
            allow_reuse_address = True

            def handle_error(self, *args):
                pass

        host, _, port = machine.at(8628).rpartition(":")
        self._http = Listener((host, int(port)), Handler)

    def start(self):
        threading.Thread(target=self._http.serve_forever, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def stop(self):
        self._stop.set()
        threading.Thread(target=self._http.shutdown, daemon=True).start()

    def _beat(self):
        while not self._stop.is_set():
            self._seq += 1
            document = {
                "address": self.machine.at(8628),
                "info": {
                    "service": self.machine.service,
                    "version": "v1",
                    "zone": self.machine.zone,
                    "slots": self.slots,
                },
                "status": {"state": "ready", "seq": self._seq, "warmupRemainingS": 0},
                "born": self.born,
            }
            connection = http.client.HTTPConnection(self.machine.at(8620), timeout=1.0)
            try:
                connection.request(
                    "PUT",
                    f"/-/instances/{self.server_id}",
                    json.dumps(document),
                    {"Content-Type": "application/json"},
                )
                connection.getresponse().read()
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
            self._stop.wait(self._heartbeat_s)

    def serve(self, request):
        length = int(request.headers.get("Content-Length") or 0)
        body = request.rfile.read(length)
        request_id = request.headers.get(f"{PREFIX}Request-Id", "")
        if len(body) < length:
            request.close_connection = True
            return
        expected = request.headers.get(f"{PREFIX}Expect-Instance")
        if expected not in (None, self.server_id):
            self._answer(request, request_id, 421, b"", refused=True)
            return
        if request.path == "/healthz":
            self._answer(request, request_id, 200, b"")
            return
        with self._lock:
            is_full = self._waiting >= QUEUE
            self._waiting += not is_full
        if is_full:
            self._answer(request, request_id, 503, b"", refused=True)
            return
        left_s = int(request.headers.get(f"{PREFIX}Deadline-Ms") or 60000) / 1000
        ends_at = time.monotonic() + left_s
        got_slot = self._free.acquire(timeout=left_s)
        with self._lock:
            self._waiting -= 1
        if not got_slot:
            self._answer(request, request_id, 503, b"", refused=True)
            return
        is_held = [True]

        def free():
            if is_held:
                is_held.clear()
                self._free.release()

        try:
            self._run(request, request_id, ends_at, free)
        finally:
            free()

    def _run(self, request, request_id, ends_at, free):
        with self._lock:
            self._number += 1
            number = self._number
            run = Run(request_id, self.machine.ip, time.monotonic(), 0.0, "open")
            self.runs[number] = run
        self.record(f"server {self.machine.ip} runs {request_id}")
        due = min(ends_at, run.began_at + self.work_s(request.path, number))
        end = "answered"
        if not self._work(request.connection, due):
            end = "cut"
            request.close_connection = True
        else:
            try:
                late = time.monotonic() >= ends_at
                if not self._writes_in_slot:
                    free()
                self._answer(
                    request,
                    request_id,
                    504 if late else 200,
                    b"" if late else self.content,
                )
            except OSError:
                end = "cut"
                request.close_connection = True
        self.runs[number] = run._replace(ended_at=time.monotonic(), end=end)
        self.record(f"server {self.machine.ip} ends {request_id}: {end}")

    def _work(self, connection, due):
        """Work until a time; return False if the connection closes meanwhile."""
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        while (left_s := due - time.monotonic()) > 0:
            if poller.poll(1000 * left_s):
                try:
                    if not connection.recv(1, socket.MSG_PEEK):
                        return False
                except OSError:
                    return False
                time.sleep(min(0.05, max(0.0, due - time.monotonic())))
        return True

    def _answer(self, request, request_id, status, content, refused=False):
        request.send_response(status)
        if refused:
            request.send_header(f"{PREFIX}Not-Executed", "1")
        request.send_header(f"{PREFIX}Request-Id", request_id)
        request.send_header(f"{PREFIX}Server-Stamp", f"stamp-{request_id}")
        request.send_header(f"{PREFIX}Server-Load", f"0,0,{self.slots}")
        request.send_header("Content-Length", str(len(content)))
        request.end_headers()
        # An answer that remains unread for some seconds is cut off.
        request.connection.settimeout(UNREAD_S)
        try:
            for at in range(0, len(content), CHUNK_BYTES):
                request.wfile.write(content[at : at + CHUNK_BYTES])
        finally:
            request.connection.settimeout(None)
