"""A small deployment on loopback addresses, with stand-ins for servers and clients.

Uses the standard library alone. The daemons are started with the command of the
deploy file, from the repository's root, with settings as its template fills them.
"""

import contextlib
import http.client
import itertools
import json
import os
import pathlib
import random
import secrets
import select
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).parents[2]
HEADER = "X-Pimentobend-"
PORTS = {"callers": 8629, "forward": 8624, "ready": 8625, "control": 8620}
LINK_PORTS = [7600, 7615]
METRICS_PORT = 7615
CONTROLS = 3
HEARTBEAT_S = 1.5
STABLE_S = 4.0  # stableWindowS of the small sites
HOST = "desk.example"
STARTED_AT = time.monotonic()


def now():
    """Return the seconds since the script began."""
    return time.monotonic() - STARTED_AT


class Record:
    """The file record.txt of a case."""

    def __init__(self, path):
        self._file = open(path, "w", encoding="utf-8")
        self._lock = threading.Lock()

    def add(self, text):
        """Write one line with its time."""
        with self._lock:
            self._file.write(f"{now():8.3f} {text}\n")
            self._file.flush()


def _is_free(ip):
    for port in (*PORTS.values(), LINK_PORTS[0], METRICS_PORT):
        with socket.socket() as probe:
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def _free_block(count):
    for block in itertools.islice(
        itertools.cycle(range(20, 250)), os.getpid() % 200, os.getpid() % 200 + 230
    ):
        if all(_is_free(f"127.{block}.7.{n}") for n in range(1, count + 1)):
            return block
    raise RuntimeError("no free block of loopback addresses")


class Daemon:
    """One process of the system, as the platform starts it."""

    def __init__(self, fleet, ip, service=""):
        self.ip = ip
        self.service = service
        self.server = None
        self._fleet = fleet
        self._folder = fleet.folder / ip
        self._folder.mkdir()
        self._process = None

    def address(self, name):
        """Return one of the listening addresses."""
        return f"{self.ip}:{PORTS[name]}"

    def start(self, is_first):
        """Start the process with the filled-in settings."""
        listen = {"metrics_port": METRICS_PORT}
        settings = {
            "instance": f"node-{self.ip}",
            "data_centre": "zone-a",
            "region": "region-a",
            "roles": ["instance" if self.service else "control"],
            "ip": self.ip,
            "link_ports": LINK_PORTS,
            "seeds": self._fleet.seeds,
            "listen": listen,
            "first_start": is_first,
            "heartbeat_s": HEARTBEAT_S,
            "grace_s": 6,
            "admission_behind_calls": False,
            "retry_budget": {"ratio": 0.2, "window_s": 10, "allowance": 60},
            "memory_mb": 300,
        }
        if self.service:
            listen.update(
                callers=self.address("callers"),
                forward=self.address("forward"),
                ready=self.address("ready"),
                servers=self.address("control"),
            )
            settings["beside"] = {
                "service": self.service,
                "address": self.server.address,
            }
        else:
            listen["operators"] = self.address("control")
            settings["data_folder"] = str(self._folder / "data")
        path = self._folder / "settings.json"
        path.write_text(json.dumps(settings))
        with open(self._folder / "log", "ab") as log:
            self._process = subprocess.Popen(
                ["python3", "target/app/start.py"],
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PIMENTOBEND_SETTINGS": str(path),
                },
                stdout=log,
                stderr=log,
            )

    def end(self):
        """Kill the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGKILL)
            self._process.wait()

    def is_ready(self):
        """Return whether the readiness probe gets 200."""
        return ask(self.address("ready"), "GET", "/-/readyz")[0] == 200


def ask(address, method, path, body=None, headers=None, timeout_s=1.0):
    """Send one request; return status and body, status 0 without an answer."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        connection.close()


class Server:
    """Application server: slots, a queue, heartbeats and a record of its runs."""

    def __init__(self, ip, service, record, slots=3, work_s=0.1):
        self.service = service
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.stream = None  # function that writes an answer in pieces
        self.failing_share = 0.0  # of the requests that it ran
        self.arrived = []  # (request id, time at which its head was read)
        self.runs = []  # (request id, time at which its work began)
        self.state = "ready"
        self.beats = True
        self._slots = threading.Semaphore(slots)
        self._listener = socket.create_server((ip, 0), backlog=256)
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        self.control = f"{ip}:{PORTS['control']}"
        self.statuses = []  # of its pings
        self.begin_life(time.time_ns() // 1_000_000)

    def begin_life(self, born, server_id=None):
        """Begin a lifetime; ``born`` is what the clock of its machine shows."""
        self.born = born
        self.server_id = server_id or f"i-{secrets.token_hex(4)}"
        self._sequence = 0
        self.state = "ready"

    def start(self):
        """Serve and send heartbeats."""
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def ping(self):
        """Send one heartbeat; return its status."""
        self._sequence += 1
        document = {
            "address": self.address,
            "born": self.born,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "zone-a",
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "seq": self._sequence,
                "warmupRemainingS": 0,
            },
        }
        path = f"/-/instances/{self.server_id}"
        status, _ = ask(self.control, "PUT", path, json.dumps(document))
        self.statuses.append(status)
        return status

    def leave(self):
        """Send the message that the server leaves; return its status."""
        path = f"/-/instances/{self.server_id}"
        return ask(self.control, "DELETE", path, json.dumps({"born": self.born}))[0]

    def _beat(self):
        while True:
            if self.beats:
                self.ping()
            time.sleep(HEARTBEAT_S)

    def _accept(self):
        while True:
            connection, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection):
        source = connection.makefile("rb")
        with contextlib.suppress(OSError, ValueError), connection:
            while self._serve_one(connection, source):
                pass

    def _serve_one(self, connection, source):
        line = source.readline()
        if not line:
            return False
        method, path, _ = line.decode("latin-1").split(" ", 2)
        headers = {}
        while (text := source.readline().strip()) != b"":
            name, _, value = text.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        head_at = now()
        request_id = headers.get(f"{HEADER}Request-Id".lower())
        if not _read_body(source, headers):
            return False
        if method == "GET" and path == "/healthz":
            own = f"{HEADER}Instance-Id: {self.server_id}\r\n"
            connection.sendall(_make_head(200, own, 0))
            return True
        expected = headers.get(f"{HEADER}Expect-Instance".lower(), self.server_id)
        if request_id is None or expected != self.server_id:
            own = f"{HEADER}Not-Executed: 1\r\n"
            if request_id is not None:
                own += f"{HEADER}Request-Id: {request_id}\r\n"
            connection.sendall(_make_head(421 if request_id else 400, own, 0))
            return True
        self.arrived.append((request_id, head_at))
        with self._slots:
            return self._run(connection, request_id, path)

    def _run(self, connection, request_id, path):
        began_at = now()
        self.runs.append((request_id, began_at))
        self.record.add(f"run     {request_id} at {self.server_id}")
        own = (
            f"{HEADER}Request-Id: {request_id}\r\n"
            f"{HEADER}Server-Stamp: {self.server_id}.{request_id}\r\n"
        )
        if self.stream is not None and path.startswith("/read/long/"):
            return self.stream(self, connection, request_id, own)
        if not self.work(connection, self.work_s):
            self.record.add(f"cut     {request_id} after {now() - began_at:.3f} s")
            return False
        if random.random() < self.failing_share:
            self.record.add(f"fails   {request_id} with 503, after its work")
            connection.sendall(_make_head(503, own, 0))
            return True
        connection.sendall(_make_head(200, own, 2) + b"ok")
        return True

    def work(self, connection, seconds):
        """Work for a time; return False once the connection is closed."""
        ends_at = time.monotonic() + seconds
        poller = select.poll()
        poller.register(connection, select.POLLIN)
        while (left_s := ends_at - time.monotonic()) > 0:
            if poller.poll(1000 * left_s):
                try:
                    if not connection.recv(1, socket.MSG_PEEK):
                        return False
                except OSError:
                    return False
                time.sleep(min(0.01, left_s))
        return True


def _make_head(status, own, length):
    return (
        f"HTTP/1.1 {status} X\r\n{own}Content-Length: {length}\r\n\r\n"
    ).encode()


def _read_body(source, headers):
    """Read a request's body; return whether it is whole."""
    if headers.get("transfer-encoding", "").lower() != "chunked":
        length = int(headers.get("content-length", 0))
        return len(source.read(length)) == length
    while True:
        size = int(source.readline().split(b";")[0], 16)
        if len(source.read(size)) < size:
            return False
        if source.readline().strip():
            return False
        if not size:
            return True


class Fleet:
    """Three control daemons, and daemons with a server each."""

    def __init__(self, record, servers=2, service="desk", slots=3, work_s=0.1):
        self.record = record
        self.service = service
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        block = _free_block(CONTROLS + servers)
        ips = [f"127.{block}.7.{n}" for n in range(1, CONTROLS + servers + 1)]
        self.seeds = [f"{ip}:{PORTS['control']}" for ip in ips[:CONTROLS]]
        self.controls = [Daemon(self, ip) for ip in ips[:CONTROLS]]
        self.instances = [Daemon(self, ip, service) for ip in ips[CONTROLS:]]
        for daemon in self.instances:
            daemon.server = Server(daemon.ip, service, record, slots, work_s)

    def __enter__(self):
        try:
            for daemon in (*self.controls, *self.instances):
                daemon.start(is_first=True)
            for daemon in self.instances:
                daemon.server.start()
            self._configure()
            for daemon in self.instances:
                wait_until(daemon.is_ready, 30)
            time.sleep(STABLE_S + 1)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for daemon in (*self.controls, *self.instances):
            daemon.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    def make_configuration(self):
        """Return the first configuration."""
        columns = [
            "name",
            "host",
            "pathPrefix",
            "type",
            "timeoutS",
            "targetLatencyS",
            "maxAttempts",
            "service",
        ]
        routes = [
            ["read", HOST, "/read/", "safe", 30, 5, 2, self.service],
            ["book", HOST, "/book/", "unsafe", 30, 5, 2, self.service],
            ["load", HOST, "/load/", "upload", 30, 5, 2, self.service],
        ]
        names = ["name", "healthCheckPath", "maxConnections", "protocol", "tls"]
        document = {
            "version": "00000001",
            "routes": {"columns": columns, "rows": routes},
            "services": {
                "columns": names,
                "rows": [[self.service, "/healthz", 360, "h1", False]],
            },
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutS": 3,
                "idleTimeoutS": 15,
            },
        }
        return json.dumps(document)

    def _configure(self):
        body = self.make_configuration()

        def is_accepted():
            return any(
                ask(address, "PUT", "/-/config", body, {"If-Match": "0"})[0] == 200
                for address in self.seeds
            )

        wait_until(is_accepted, 30)


def wait_until(condition, limit_s):
    """Wait for a condition; raise ``TimeoutError``."""
    until = time.monotonic() + limit_s
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(str(condition))
        time.sleep(0.1)


class Client:
    """A client attempt on a connection of its own."""

    def __init__(self, record, address, request_id, path, body=b"", budget_ms=15000):
        self.record = record
        self.request_id = request_id
        self.left_at = None
        self.status = None
        self.is_whole = False
        host, _, port = address.rpartition(":")
        self._connection = socket.create_connection((host, int(port)), timeout=1.0)
        self._connection.settimeout(budget_ms / 1000)
        head = (
            f"{'POST' if body else 'GET'} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"{HEADER}Request-Id: {request_id}\r\n"
            f"{HEADER}Deadline-Ms: {budget_ms}\r\n"
        )
        if body:
            head += f"Content-Length: {len(body)}\r\n"
        self._data = head.encode() + b"\r\n" + body

    def send(self):
        """Send the whole request."""
        self._connection.sendall(self._data)
        self.record.add(f"sent    {self.request_id} ({len(self._data)} bytes)")

    def leave(self):
        """Close the connection before the answer."""
        self.left_at = now()
        self.record.add(f"left    {self.request_id}")
        self._connection.close()

    def read(self):
        """Read the answer."""
        answer = http.client.HTTPResponse(self._connection)
        try:
            answer.begin()
            self.status = answer.status
            answer.read()
            self.is_whole = True
        except (OSError, http.client.HTTPException) as error:
            self.record.add(f"failed  {self.request_id} {type(error).__name__}")
        finally:
            self._connection.close()
        self.record.add(f"answer  {self.request_id} {self.status} {self.is_whole}")

    def read_for(self, seconds):
        """Read what comes for a time; return the number of bytes."""
        until = time.monotonic() + seconds
        count = 0
        while (left_s := until - time.monotonic()) > 0:
            self._connection.settimeout(left_s)
            try:
                data = self._connection.recv(65536)
            except TimeoutError:
                break
            if not data:
                break
            count += len(data)
        return count


def run_case(folder, case):
    """Run a case; exit with 0 if the rule held, 1 if not, 2 if it could not run."""
    record = Record(pathlib.Path(folder) / "record.txt")
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record.add(f"begin with TROUBLE={int(is_troubled)}")
    try:
        is_broken = case(record, is_troubled)
    except Exception as error:  # the case could not run
        record.add(f"could not run: {type(error).__name__}: {error}")
        print(f"could not run: {error!r}")
        raise SystemExit(2) from error
    record.add("rule broken" if is_broken else "rule held")
    raise SystemExit(1 if is_broken else 0)
