"""Start and stop a fleet of platform daemons on loopback addresses."""

import http.client
import itertools
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from fault_proxy import FaultProxy
from platform_server import PREFIX
from platform_server import PlatformServer

ROOT = pathlib.Path(__file__).parents[2]
WAIT_S = 40.0  # longest wait for a condition; no test depends on its length
GRACE_S = 5.0
ROUTES = {
    "columns": ["name", "host", "pathPrefix", "type", "timeoutS", "service"],
    "rows": [
        ["look", "a.example", "/look/", "safe", 10, "shop"],
        ["book", "a.example", "/book/", "unsafe", 10, "shop"],
    ],
}
SERVICES = {"columns": ["name", "healthCheckPath"], "rows": [["shop", "/healthz"]]}
PORTS = (8400, 8401, 8402, 8403, 8410, 8420)  # ports on which a daemon listens
_BLOCKS = itertools.count(os.getpid() % 200)


class Answer(NamedTuple):
    """An HTTP response; the status is 0 if there was none."""

    status: int
    headers: dict[str, str]
    body: bytes


def ask(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 12.0,
) -> Answer:
    """Send a request; the status is 0 if no response arrives."""
    connection = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, found, response.read())
    except (OSError, http.client.HTTPException):
        return Answer(0, {}, b"")
    finally:
        connection.close()


def wait_until(condition: Callable[[], Any], what: str) -> None:
    """Wait until the condition that ``what`` describes holds; fail after ``WAIT_S``."""
    deadline = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < deadline, f"not within {WAIT_S} s: {what}"
        time.sleep(0.1)


def is_free(ip: str) -> bool:
    """Return whether all ports of a daemon are free on an address."""
    for port in PORTS:
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((ip, port))
            except OSError:
                return False
    return True


def free_block() -> int:
    """Return the second byte of a block of loopback addresses that none uses."""
    for _ in range(240):
        block = 10 + next(_BLOCKS) % 240
        if all(is_free(f"127.{block}.0.{number}") for number in range(1, 6)):
            return block
    raise AssertionError("none of 240 blocks of loopback addresses is free")


class Process:
    """A daemon on a loopback address of its own.

    Hold ``lock`` from stopping the daemon until it is started again, so that a
    second fault never starts a second daemon at the same address.
    """

    def __init__(self, fleet: "Fleet", number: int, is_control: bool) -> None:
        self.ip = f"127.{fleet.block}.0.{number}"
        self.is_control = is_control
        self.folder = fleet.folder / str(number)
        self.folder.mkdir()
        self._fleet = fleet
        self._popen: subprocess.Popen[bytes] | None = None
        self.lock = threading.Lock()
        self.server: PlatformServer | None = None
        self.to_server = FaultProxy(self.ip)  # between the daemon and its server
        self.to_callers = FaultProxy(self.ip)  # between callers and the daemon
        if not is_control:
            self.server = PlatformServer(
                self.ip, "shop", f"{self.ip}:8403", self.to_server.address
            )

    def address(self, port: int) -> str:
        """Return an address of this process."""
        return f"{self.ip}:{port}"

    def start(self, *, first: bool = False) -> None:
        """Start the daemon, which must not be running."""
        assert self.has_ended()
        settings: dict[str, Any] = {
            "instance": f"n-{self.ip}",
            "data_centre": "a",
            "region": "r",
            "roles": ["control" if self.is_control else "instance"],
            "ip": self.ip,
            "link_ports": [8410, 8420],
            "seeds": self._fleet.seeds,
            "first_start": first,
            "grace_s": GRACE_S,
            "listen": {"operators": self.address(8403)},
        }
        if self.is_control:
            settings["data_folder"] = str(self.folder / "data")
        else:
            assert self.server is not None
            settings["beside"] = {"service": "shop", "address": self.server.announced}
            settings["listen"] = {
                "callers": self.address(8400),
                "forward": self.address(8401),
                "ready": self.address(8402),
                "servers": self.address(8403),
            }
        path = self.folder / "settings.json"
        path.write_text(json.dumps(settings))
        with (self.folder / "log").open("ab") as log:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", "pimentobend_platform"],
                env={
                    **os.environ,
                    "PIMENTOBEND_SETTINGS": str(path),
                    "PYTHONPATH": str(ROOT / "platform"),
                    "EVENTLET_NO_GREENDNS": "yes",
                },
                stdout=log,
                stderr=log,
                cwd=ROOT / "deploy",
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the daemon."""
        assert self._popen is not None
        self._popen.send_signal(number)

    def limit_files(self, size_bytes: int | None) -> None:
        """Limit the size of files to simulate a full disk; None removes the limit."""
        assert self._popen is not None
        size = resource.RLIM_INFINITY if size_bytes is None else size_bytes
        resource.prlimit(
            self._popen.pid, resource.RLIMIT_FSIZE, (size, resource.RLIM_INFINITY)
        )

    def wait(self) -> int:
        """Wait until the daemon ends and return its exit code."""
        assert self._popen is not None
        return self._popen.wait(WAIT_S)

    def has_ended(self) -> bool:
        """Return whether the daemon is not running."""
        return self._popen is None or self._popen.poll() is not None

    def kill(self) -> None:
        """Kill the daemon and wait until it has ended."""
        if self._popen is not None and self._popen.poll() is None:
            self._popen.kill()
            self._popen.wait()

    def request(
        self, path: str = "/look/1", method: str = "GET", request_id: str = "1"
    ) -> Answer:
        """Send a request as a caller."""
        headers = {
            "Host": "a.example",
            f"{PREFIX}Request-Id": request_id,
            f"{PREFIX}Deadline-Ms": "10000",
        }
        return ask(self.address(8400), method, path, b"", headers)

    def is_ready(self) -> bool:
        """Return whether the readiness probe answers 200."""
        return ask(self.address(8402), "GET", "/-/readyz").status == 200

    def log(self) -> str:
        """Return the daemon's output."""
        return (self.folder / "log").read_text()


class Fleet:
    """Three control instances and two instances with a backend server each."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self.block = free_block()
        self.seeds = [f"127.{self.block}.0.{number}:8403" for number in (1, 2, 3)]
        self.control = [Process(self, number, True) for number in (1, 2, 3)]
        self.instances = [Process(self, number, False) for number in (4, 5)]
        self._label = 0

    @property
    def processes(self) -> list[Process]:
        """Return all processes."""
        return [*self.control, *self.instances]

    def start(self) -> None:
        """Start all processes and apply the first configuration."""
        for process in self.processes:
            process.start(first=True)
            if process.server is not None:
                process.to_server.start(process.server.address)
                process.to_callers.start(process.address(8400))
                process.server.start()
        self.put(ROUTES)
        for process in self.instances:
            wait_until(process.is_ready, "an instance is ready")
            wait_until(
                lambda p=process: p.request().status == 200, "a request is served"
            )

    @property
    def label(self) -> int:
        """Return the version number of the last configuration that was put."""
        return self._label

    def put(self, routes: dict[str, Any]) -> int:
        """Put a configuration until a control instance acknowledges it."""
        base, self._label = self._label, self._label + 1
        body = {
            "version": f"{self._label:08x}",
            "routes": routes,
            "services": SERVICES,
        }
        data = json.dumps(body).encode()
        headers = {"If-Match": f"{base:08x}"}
        statuses: list[int] = []

        def put() -> bool:
            for process in self.control:
                answer = ask(process.address(8403), "PUT", "/-/config", data, headers)
                statuses.append(answer.status)
                if answer.status in (200, 412):
                    return True
            return False

        wait_until(put, "a configuration is acknowledged")
        return statuses[-1]

    def read(self) -> list[int]:
        """Return the version numbers that the control instances read."""
        labels = (self.read_at(process) for process in self.control)
        return [label for label in labels if label is not None]

    def read_at(self, process: Process) -> int | None:
        """Return the version number that a control instance reads, None if it fails."""
        answer = ask(process.address(8403), "GET", "/-/config", timeout_s=3.0)
        if answer.status != 200:
            return None
        return int(json.loads(answer.body)["version"], 16)

    def stop(self) -> None:
        """Stop all processes, proxies and servers."""
        for process in self.processes:
            process.kill()
            process.to_server.stop()
            process.to_callers.stop()
            if process.server is not None:
                process.server.stop()
