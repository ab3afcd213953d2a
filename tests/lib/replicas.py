"""Run control replicas as processes and change their tables."""

import json
import signal
import time
import urllib.error
from typing import Any
from typing import NamedTuple

from processes import Answer
from processes import Fleet
from processes import Process
from processes import call
from processes import free_address
from settings_of import control_settings

RETRY_S = 0.1
APPLY_TIMEOUT_S = 30.0
RETRIED_STATUSES = (503, 504)
POOLS = [{"name": "p", "service": "catalogue"}]


class Accepted(NamedTuple):
    """A change that was acknowledged."""

    number: int  # of the last route that the change contains
    version: tuple[int, int]


class Replicas:
    """Control replicas on loopback, and the last version that was accepted."""

    def __init__(self, fleet: Fleet, count: int) -> None:
        self._fleet = fleet
        links = [free_address() for _ in range(count)]
        self.settings: dict[str, dict[str, Any]] = {}
        for position, link in enumerate(links):
            name = f"control-{position}"
            settings = control_settings(name, str(fleet.folder), link)
            self.settings[name] = settings | {"control": links}
        self._processes: dict[str, Process] = {}
        self._paused: dict[str, Process] = {}
        self.names = list(self.settings)
        self.version = "0.0"
        for name in self.names:
            self.start(name)

    def start(self, name: str) -> None:
        """Start a replica's process."""
        self._processes[name] = self._fleet.start_daemon(self.settings[name])

    def join(self, name: str, link: str | None = None) -> None:
        """Start a replica that is not a member yet, by default at a new address."""
        settings = control_settings(name, str(self._fleet.folder), link)
        links = self.settings[self.names[0]]["control"]
        self.settings[name] = settings | {"control": links}
        self.names.append(name)
        self.start(name)

    def kill(self, name: str) -> None:
        """Kill a replica's process with SIGKILL."""
        self._processes[name].signal(signal.SIGKILL)
        self._processes[name].wait()
        del self._processes[name]

    def pause(self, name: str) -> None:
        """Suspend a replica's process, which gets no more changes from ``apply``."""
        self._paused[name] = self._processes.pop(name)
        self._paused[name].signal(signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a process that was paused."""
        self._processes[name] = self._paused.pop(name)
        self._processes[name].signal(signal.SIGCONT)

    def pid(self, name: str) -> int:
        """Return the id of a replica's process."""
        return self._processes[name].pid

    def leader(self) -> str | None:
        """Return the replica that reports itself as leader in the highest term."""
        terms = {}
        for name in self._processes:
            control = self.status(name)["control"]
            if control["role"] == "leader":
                terms[name] = control["term"]
        return max(terms, key=lambda name: terms[name], default=None)

    def status(self, name: str) -> dict[str, Any]:
        """Return a replica's status."""
        status: dict[str, Any] = json.loads(self.request("GET", name, "status").content)
        return status

    def route_names(self, name: str) -> set[str]:
        """Return the names of the routes in force at a replica."""
        tables = json.loads(self.request("GET", name, "tables").content)
        return {route["name"] for route in tables["routes"]}

    def apply(
        self, name: str, number: int, retried: tuple[int, ...] = RETRIED_STATUSES
    ) -> Accepted:
        """Apply routes 0 to ``number``, trying other replicas until one accepts.

        ``retried`` are the statuses after which the change is sent again.
        """
        base = self.version
        order = self.names[self.names.index(name) :] + self.names
        until = time.monotonic() + APPLY_TIMEOUT_S
        position = 0
        while time.monotonic() < until:
            each = order[position % len(order)]
            position += 1
            if each not in self._processes:
                continue
            answer = self._try(each, number, base)
            if answer is not None and answer.status == 200:
                self.version = json.loads(answer.content)["version"]
                term, log_index = self.version.split(".")
                return Accepted(number, (int(term), int(log_index)))
            if answer is not None and answer.status not in retried:
                raise AssertionError(f"{answer.status}: {answer.content!r}")
            time.sleep(RETRY_S)
        raise TimeoutError(f"change {number} was not accepted")

    def member_action(self, action: str, address: str) -> bool:
        """Ask the leader to change one member; return whether it did."""
        leader = self.leader()
        if leader is None:
            return False
        target = f"replicas/{action}?address={address}"
        return self.request("POST", leader, target).status == 200

    def send(self, name: str, number: int, base: str) -> Answer:
        """Send the change that applies routes 0 to ``number`` on a version."""
        rows = [
            {"name": f"r{n}", "path": f"/{n}", "pool": "p", "repeatable": True}
            for n in range(number + 1)
        ]
        body = json.dumps({"routes": rows, "pools": POOLS}).encode()
        target = f"tables?version={base}&change=change-{number}"
        return self.request("PUT", name, target, body)

    def _try(self, name: str, number: int, base: str) -> Answer | None:
        try:
            return self.send(name, number, base)
        except (OSError, urllib.error.URLError):
            return None

    def request(
        self, method: str, name: str, target: str, body: bytes | None = None
    ) -> Answer:
        """Send one request to a replica's interface for operators."""
        operators = self.settings[name]["listen"]["operators"]
        return call(method, f"http://{operators}/v1/{target}", body)
