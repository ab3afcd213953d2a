"""Traffic of the soak test: callers and an operator that record what they saw."""

import abc
import http.client
import math
import random
import threading
import time
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from platform_fleet import Fleet
from platform_process import Answer
from platform_process import Process
from platform_server import PREFIX
from soak_client import Exchange
from soak_client import Failure
from soak_client import LastingConnection
from soak_routes import DEADLINE_S
from soak_routes import ROUTE_KINDS
from soak_routes import ROUTE_WEIGHTS
from soak_routes import RouteKind

TIMEOUT_S = 12.0  # 2 s more than the timeout of the routes
SAFE_SHARE = 0.3
BODY_BYTES = (0, 300, 20_000)
RETRY_INTERVAL_S = 0.1  # pause after a request without a response or a read
RECONNECT_INTERVAL_S = 0.3
MAX_RETRY_AFTER_S = DEADLINE_S / 3
MAX_PAUSE_S = 0.4  # between two requests of a caller
UPDATE_INTERVAL_S = 0.5


class RequestRecord(NamedTuple):
    """Request of a caller and its answer; times are of the monotonic clock."""

    request_id: str
    process: Process
    is_safe: bool
    is_direct: bool  # sent to the daemon without the fault proxy in between
    started_at: float
    ended_at: float
    answer: Answer
    failure: Failure = Failure.NONE
    sent_at: float | None = None  # when its last byte was sent
    api_key: str | None = None  # empty without a key; None if its route needs none


class ConfigurationRead(NamedTuple):
    """Version that was read, and the last one acknowledged before the read began."""

    version: int
    acknowledged: int


class ConfigurationChange(NamedTuple):
    """Version that was put; times are of the monotonic clock."""

    label: int
    began_at: float
    acknowledged_at: float  # infinite if no answer said that it was applied


class Caller(abc.ABC):
    """Send one request after another to one process."""

    def __init__(self, process: Process, number: int, seed: int) -> None:
        self.records: list[RequestRecord] = []
        self._process = process
        self._number = number
        self._rng = random.Random(f"{seed}/{process.ip}/{number}")

    @abc.abstractmethod
    def run(self, stopping: threading.Event) -> None:
        """Send requests until ``stopping`` is set."""

    def _next_id(self) -> str:
        return f"{self._process.ip}-{self._number}-{len(self.records)}"


class BusyCaller(Caller):
    """Send requests without pauses, on one connection for as long as it lasts.

    The first caller of a process connects to the daemon directly, the others
    through the fault proxy.
    """

    def __init__(self, process: Process, number: int, seed: int) -> None:
        super().__init__(process, number, seed)
        self._is_direct = number == 0
        self._connection: http.client.HTTPConnection | None = None

    def run(self, stopping: threading.Event) -> None:
        """Send one request after another until ``stopping`` is set."""
        while not stopping.is_set():
            request_id = self._next_id()
            is_safe = self._rng.random() < SAFE_SHARE
            started_at = time.monotonic()
            answer = self._send(request_id, is_safe)
            ended_at = time.monotonic()
            self.records.append(
                RequestRecord(
                    request_id,
                    self._process,
                    is_safe,
                    self._is_direct,
                    started_at,
                    ended_at,
                    answer,
                )
            )
            if answer.status == 0:
                time.sleep(RETRY_INTERVAL_S)
        self._disconnect()

    def _send(self, request_id: str, is_safe: bool) -> Answer:
        """Send one request; the status is 0 if no complete response arrived."""
        body = self._rng.randbytes(0 if is_safe else self._rng.choice(BODY_BYTES))
        headers = {
            "Host": "a.example",
            f"{PREFIX}Request-Id": request_id,
            f"{PREFIX}Deadline-Ms": "10000",
        }
        method, path = ("GET", "/look/1") if is_safe else ("POST", "/book/1")
        try:
            if self._connection is None:
                self._connection = self._connect()
            self._connection.request(method, path, body, headers)
            response = self._connection.getresponse()
            content = response.read()
        except (OSError, http.client.HTTPException):
            self._disconnect()
            return Answer(0, {}, b"")
        if response.will_close:
            self._disconnect()
        response_headers = {
            name.lower(): value for name, value in response.getheaders()
        }
        return Answer(response.status, response_headers, content)

    def _connect(self) -> http.client.HTTPConnection:
        address = self._process.to_callers.address
        if self._is_direct:
            address = self._process.address(8400)
        return http.client.HTTPConnection(address, timeout=TIMEOUT_S)

    def _disconnect(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class LastingCaller(Caller):
    """Send requests that take from no time to longer than a stop's grace time.

    The first caller of a process never closes its connection; the others close it
    when the answer says so. Refused callers come back as ``Retry-After`` says.
    """

    def __init__(
        self,
        process: Process,
        number: int,
        seed: int,
        services: tuple[str, ...],
        max_hold_s: float,
    ) -> None:
        super().__init__(process, number, seed)
        self._services = services
        self._max_hold_s = max_hold_s
        self._connection = LastingConnection(process.address(8400), TIMEOUT_S)
        self._ignores_close = number == 0

    def run(self, stopping: threading.Event) -> None:
        """Send one request after another until ``stopping`` is set."""
        while not stopping.is_set():
            request_id = self._next_id()
            kind = self._rng.choices(ROUTE_KINDS, ROUTE_WEIGHTS)[0]
            started_at = time.monotonic()
            exchange = self._send(request_id, kind)
            self.records.append(
                RequestRecord(
                    request_id,
                    self._process,
                    kind.is_safe,
                    True,
                    started_at,
                    time.monotonic(),
                    *exchange,
                )
            )
            is_closing = exchange.answer.headers.get("connection") == "close"
            if is_closing and not self._ignores_close:
                self._connection.close()
            stopping.wait(self._pause_s(exchange))
        self._connection.close()

    def _send(self, request_id: str, kind: RouteKind) -> Exchange:
        service = self._rng.choice(self._services)
        body = self._rng.randbytes(0 if kind.is_safe else self._rng.choice(BODY_BYTES))
        headers = {
            "Host": "a.example",
            f"{PREFIX}Request-Id": request_id,
            f"{PREFIX}Deadline-Ms": f"{1000 * DEADLINE_S:.0f}",
        }
        holds_s = [each for each in kind.holds_s if each <= self._max_hold_s]
        path = f"{kind.path(service)}1?hold={self._rng.choice(holds_s)}"
        return self._connection.send(
            "GET" if kind.is_safe else "POST", path, body, headers
        )

    def _pause_s(self, exchange: Exchange) -> float:
        if exchange.failure is Failure.CONNECT:
            return RECONNECT_INTERVAL_S
        retry_after = exchange.answer.headers.get("retry-after")
        if retry_after is not None:
            return min(MAX_RETRY_AFTER_S, float(retry_after))
        return self._rng.uniform(0.0, MAX_PAUSE_S)


class Operator:
    """Update the configuration of a fleet, and read it back."""

    def __init__(
        self,
        fleet: Fleet,
        seed: int,
        routes: Callable[[int], dict[str, Any]],
        tenants: Callable[[int], dict[str, Any] | None],
    ) -> None:
        self._fleet = fleet
        self._routes = routes  # by the version
        self._tenants = tenants  # by the version
        self._rng = random.Random(seed)
        self.acknowledged = 0  # the last version that was acknowledged
        self.reads: list[ConfigurationRead] = []
        self.changes: list[ConfigurationChange] = []

    def update(self, stopping: threading.Event) -> None:
        """Put one version after another, each until it is acknowledged."""
        while not stopping.wait(UPDATE_INTERVAL_S):
            label = self._fleet.label
            number, began_at = len(self.changes), time.monotonic()
            # A version may be in force before its acknowledgement arrives.
            self.changes.append(ConfigurationChange(label + 1, began_at, math.inf))
            if self._fleet.put(self._routes(label), self._tenants(label + 1)) == 200:
                self.acknowledged = self._fleet.label
                self.changes[number] = ConfigurationChange(
                    label + 1, began_at, time.monotonic()
                )

    def read(self, stopping: threading.Event) -> None:
        """Read the configuration from randomly chosen control instances."""
        while not stopping.wait(RETRY_INTERVAL_S):
            acknowledged = self.acknowledged
            version = self._fleet.read_at(self._rng.choice(self._fleet.control))
            if version is not None:
                self.reads.append(ConfigurationRead(version, acknowledged))
