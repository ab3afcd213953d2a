"""Run the demo's steps against a daemon and check each result."""

import time
import uuid
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import eventlet

from pimentobend._internal.demo import fleet
from pimentobend._internal.demo.stand_in import StandInServer
from pimentobend._internal.operators import OperatorsClient
from pimentobend_adapters._internal.http.headers import IDEMPOTENCY_KEY
from pimentobend_adapters._internal.http.headers import ORGANISATION
from pimentobend_adapters._internal.http.headers import RAN
from pimentobend_adapters._internal.http.headers import REASON
from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.strict_pools import create_pools
from pimentobend_core._internal.models.request import RefusalReason

START_TIMEOUT_S = 10.0
POLL_INTERVAL_S = 0.1
CALLERS = 8
REQUESTS_PER_CALLER = 60
PAUSE_S = 0.02  # between two requests of a caller
EJECTION_TIMEOUT_S = 15.0
CRASHING_REQUESTS = 12
MAX_CRASHES = 3
FAULTY_SERVERS = frozenset({"catalogue-half", "catalogue-slow"})


class Step(NamedTuple):
    """Result of one step of the demo."""

    name: str
    passed: bool
    detail: str


class DemoScript:
    """The demo's steps, run in order; each checks one property of the system."""

    def __init__(
        self, callers: Address, operators: Address, servers: list[StandInServer]
    ) -> None:
        self._callers = callers
        self._servers = servers
        self._operators = OperatorsClient(str(operators), None)
        self._http = create_pools(timeout=5.0, maxsize=CALLERS)

    def run(self) -> list[Step]:
        """Run all steps and return their results."""
        return [
            self._apply_tables(),
            self._wait_for_servers(),
            self._send_requests(),
            self._book_twice(),
            self._wait_for_ejection(),
            self._check_floor(),
            self._send_crashing_request(),
        ]

    def _apply_tables(self) -> Step:
        version = self._operators.get("/v1/tables")["version"]
        answer = self._operators.put(
            "/v1/tables",
            fleet.make_tables().encode(),
            version=version,
            change=uuid.uuid4().hex,
        )
        return Step("tables applied", True, f"version {answer['version']}")

    def _wait_for_servers(self) -> Step:
        wanted = len(self._servers)
        seen = _wait_until(
            lambda: len(self._operators.get("/v1/servers")["servers"]) >= wanted,
            START_TIMEOUT_S,
        )
        return Step("backend servers announced", seen, f"{wanted} servers")

    def _send_requests(self) -> Step:
        statuses: Counter[int] = Counter()
        pool = eventlet.GreenPool(CALLERS)
        for number in range(CALLERS):
            pool.spawn(self._call_catalogue, f"caller-{number}", statuses)
        pool.waitall()
        total = sum(statuses.values())
        served = statuses[200]
        return Step(
            "all requests succeed despite faulty servers",
            served == total,
            f"{served} of {total} answered 200",
        )

    def _call_catalogue(self, organisation: str, statuses: Counter[int]) -> None:
        for number in range(REQUESTS_PER_CALLER):
            response = self._http.request(
                "GET",
                f"http://{self._callers}/catalogue/{number}",
                headers={ORGANISATION: organisation},
            )
            statuses[response.status] += 1
            eventlet.sleep(PAUSE_S)

    def _book_twice(self) -> Step:
        key = uuid.uuid4().hex
        first = self._book(key)
        second = self._book(key)
        runs = sum(server.runs.count(key) for server in self._servers)
        detail = f"first {first}, second {second}, executed {runs} time(s)"
        return Step("a booking sent twice is executed once", runs == 1, detail)

    def _book(self, key: str) -> str:
        response = self._http.request(
            "POST",
            f"http://{self._callers}/bookings/enamel-sign",
            body=b"one kiln",
            headers={ORGANISATION: "archive", IDEMPOTENCY_KEY: key},
        )
        return f"{response.status} {response.headers.get(RAN)}"

    def _wait_for_ejection(self) -> Step:
        ejected = _wait_until(lambda: "catalogue-half" in self._ejected(), 0.0)
        until = time.monotonic() + EJECTION_TIMEOUT_S
        while not ejected and time.monotonic() < until:
            self._call_catalogue("watcher", Counter())
            ejected = "catalogue-half" in self._ejected()
        names = ", ".join(sorted(self._ejected())) or "none"
        return Step("the half-alive server is ejected", ejected, f"ejected: {names}")

    def _check_floor(self) -> Step:
        pool = fleet.HEALTHY_CATALOGUE_SERVERS + len(FAULTY_SERVERS)
        ejected = self._ejected()
        in_use = pool - len(ejected)
        healthy_ejected = ejected - FAULTY_SERVERS
        return Step(
            "the pool stays above its floor",
            in_use >= fleet.FLOOR * pool and not healthy_ejected,
            f"{in_use} of {pool} servers in use, floor {fleet.FLOOR:.0%}",
        )

    def _send_crashing_request(self) -> Step:
        reason = None
        for _ in range(CRASHING_REQUESTS):
            response = self._http.request(
                "GET",
                f"http://{self._callers}{fleet.CRASH_PATH}",
                headers={ORGANISATION: "archive"},
            )
            reason = response.headers.get(REASON)
        crashes = sum(len(server.crashes) for server in self._servers)
        return Step(
            "a request that crashes servers is refused",
            reason == RefusalReason.CRASHES_SERVERS.value and crashes <= MAX_CRASHES,
            f"{crashes} servers crashed, then {reason}",
        )

    def _ejected(self) -> set[str]:
        rows = self._operators.get("/v1/ejections")["ejections"]
        return {row["server"] for row in rows if row["state"] == "ejected"}


def _wait_until(condition: Callable[[], bool], timeout_s: float) -> bool:
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() >= until:
            return False
        eventlet.sleep(POLL_INTERVAL_S)
    return True
