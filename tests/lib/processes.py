"""Start and stop the project's programs as processes of a test."""

import contextlib
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
POLL_S = 0.05
FIRST_PORT = 12_000
END_PORT = 32_000


class Answer(NamedTuple):
    """An HTTP response."""

    status: int
    headers: Mapping[str, str]
    content: bytes


_PORTS = itertools.cycle(range(FIRST_PORT, END_PORT))
# Test processes start at ports that are far apart, so that they do not collide.
# All ports are below the range of outgoing connections.
for _ in range(os.getpid() * 97 % (END_PORT - FIRST_PORT)):
    next(_PORTS)


def free_address() -> str:
    """Return a loopback address on which no process listens."""
    for port in _PORTS:
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            return f"127.0.0.1:{port}"
    raise AssertionError("no port is free")


def wait_until(
    condition: Callable[[], object], timeout_s: float = START_TIMEOUT_S
) -> None:
    """Wait until a condition holds; raise TimeoutError if it takes too long."""
    deadline = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > deadline:
            raise TimeoutError(f"{condition} did not hold within {timeout_s} s")
        time.sleep(POLL_S)


def call(
    method: str,
    url: str,
    content: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> Answer:
    """Send an HTTP request and return the response, whatever its status."""
    request = urllib.request.Request(
        url, data=content, method=method, headers=dict(headers or {})
    )
    try:
        with urllib.request.urlopen(request, timeout=10) as response:
            return Answer(response.status, response.headers, response.read())
    except urllib.error.HTTPError as error:
        return Answer(error.code, error.headers, error.read())


class Process:
    """A process that a test started."""

    def __init__(self, module: str, arguments: list[str], log: pathlib.Path) -> None:
        self.log = log
        with log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", module, *arguments],
                stdout=output,
                stderr=output,
                env={**os.environ, "EVENTLET_NO_GREENDNS": "yes"},
            )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._process.pid

    @property
    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self._process.poll() is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self._process.send_signal(number)

    def wait(self) -> int:
        """Wait until the process ends and return its exit code."""
        return self._process.wait(STOP_TIMEOUT_S)

    def stop(self) -> int:
        """Send SIGTERM and return the exit code.

        A process that has not ended after ``STOP_TIMEOUT_S`` gets SIGKILL.
        """
        if self._process.poll() is None:
            self._process.send_signal(signal.SIGTERM)
        try:
            return self._process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            self._process.kill()
            return self._process.wait()


class Fleet:
    """Processes whose settings and logs are in one folder."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._processes: list[Process] = []

    def start_daemon(self, settings: Mapping[str, object]) -> Process:
        """Start a daemon and wait for its operators' interface."""
        name = str(settings["instance"])
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        process = self._start("pimentobendd", [f"--settings={path}"], name)
        listen = settings["listen"]
        assert isinstance(listen, dict)
        wait_until(lambda: is_reachable(listen["operators"]))
        return process

    def start_stand_in(self, server_id: str, *options: str) -> Process:
        """Start a stand-in backend server."""
        return self._start("pimentobend", ["stand-in", *options, server_id], server_id)

    def run_client(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a command of the client and return its result."""
        return subprocess.run(
            [sys.executable, "-m", "pimentobend", *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def stop(self) -> None:
        """Stop all processes, the last started first."""
        for process in reversed(self._processes):
            process.stop()

    def _start(self, module: str, arguments: list[str], name: str) -> Process:
        process = Process(module, arguments, self.folder / f"{name}.log")
        self._processes.append(process)
        return process


def is_reachable(address: str) -> bool:
    """Return whether a process listens on an address."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port)), timeout=1).close()
    except OSError:
        return False
    return True
