"""Start and stop a fleet of platform daemons on loopback addresses."""

import contextlib
import itertools
import json
import os
import pathlib
import socket
import time
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from platform_process import Process
from platform_process import ask
from platform_process import wait_until

CONTROL_INSTANCES = 3
GRACE_S = 5.0
ROUTE_COLUMNS = ["name", "host", "pathPrefix", "type", "timeoutS", "service"]
ROUTES = {
    "columns": ROUTE_COLUMNS,
    "rows": [
        ["look", "a.example", "/look/", "safe", 10, "shop"],
        ["book", "a.example", "/book/", "unsafe", 10, "shop"],
    ],
}
PORTS = (8400, 8401, 8402, 8403, 8410, 8420)  # ports on which a daemon listens
BID_S = 0.1  # daemons share a bid for a shorter time
_BLOCKS = itertools.count(os.getpid() % 200)


class FleetShape(NamedTuple):
    """Numbers of instances and servers, and the settings that they share."""

    instances: int = 2
    services: tuple[str, ...] = ("shop",)  # the servers take them by turns
    grace_s: float = GRACE_S
    slots: int = 3  # of each server
    has_server_proxies: bool = True  # between the daemons and their servers
    revoke_s: float | None = None  # None without a bound on revoked keys
    memory_mb: float | None = None  # of each daemon
    server_memory_mb: float | None = None
    limits: dict[str, float] | None = None  # None without limits of organisations


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


def free_block(processes: int = 5) -> int:
    """Return the second byte of a block of loopback addresses that none uses."""
    for _ in range(240):
        block = 10 + next(_BLOCKS) % 240
        numbers = range(1, processes + 1)
        if all(is_free(f"127.{block}.0.{number}") for number in numbers):
            return block
    raise AssertionError("none of 240 blocks of loopback addresses is free")


class Fleet:
    """Three control instances, and instances with a backend server each."""

    def __init__(self, folder: pathlib.Path, shape: FleetShape | None = None) -> None:
        self.folder = folder
        self.shape = shape or FleetShape()
        self.block = free_block(CONTROL_INSTANCES + self.shape.instances)
        numbers = range(1, CONTROL_INSTANCES + 1)
        self.seeds = [f"127.{self.block}.0.{number}:8403" for number in numbers]
        self.control = [Process(self, number, "") for number in numbers]
        services = itertools.cycle(self.shape.services)
        self.instances = [
            Process(self, CONTROL_INSTANCES + number, next(services))
            for number in range(1, self.shape.instances + 1)
        ]
        self._label = 0

    @property
    def processes(self) -> list[Process]:
        """Return all processes."""
        return [*self.control, *self.instances]

    def start(
        self, routes: dict[str, Any] = ROUTES, tenants: dict[str, Any] | None = None
    ) -> None:
        """Start all processes and apply the first configuration."""
        for process in self.processes:
            process.start(first=True)
            if process.server is not None:
                process.to_server.start(process.server.address)
                process.to_callers.start(process.address(8400))
                process.server.start()
        self.put(routes, tenants)
        for process in self.instances:
            wait_until(process.is_ready, "an instance is ready")
            wait_until(
                lambda p=process: p.request().status == 200, "a request is served"
            )

    @property
    def label(self) -> int:
        """Return the version number of the last configuration that was put."""
        return self._label

    def put(self, routes: dict[str, Any], tenants: dict[str, Any] | None = None) -> int:
        """Put a configuration until a control instance acknowledges it."""
        base, self._label = self._label, self._label + 1
        body: dict[str, Any] = {
            "version": f"{self._label:08x}",
            "routes": routes,
            "services": {
                "columns": ["name", "healthCheckPath"],
                "rows": [[service, "/healthz"] for service in self.shape.services],
            },
        }
        if tenants is not None:
            body["tenants"] = tenants
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


@contextlib.contextmanager
def run_fleet(folder: pathlib.Path, shape: FleetShape | None = None) -> Iterator[Fleet]:
    """Run a fleet that serves until the context ends."""
    running = Fleet(folder, shape)
    try:
        running.start()
        yield running
    finally:
        with contextlib.suppress(OSError):
            running.stop()


def wait_until_trusted(origin: Process) -> None:
    """Wait until the answers of earlier tests no longer keep bookings from servers.

    The bids that the next request gets are younger than the booking that was served.
    """
    time.sleep(BID_S)
    wait_until(
        lambda: origin.request("/book/1", "POST").status == 200, "a booking runs"
    )
    time.sleep(BID_S)
