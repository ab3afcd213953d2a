"""Send requests and orders while the soak runs, and keep what came back."""

import http.client
import random
import threading
import time
from typing import NamedTuple

from platform_fleet import ROUTES
from platform_fleet import Answer
from platform_fleet import Fleet
from platform_fleet import Process
from platform_server import PREFIX

TIMEOUT_S = 12.0  # two more than a route allows
SAFE_SHARE = 0.3
BODY_BYTES = (0, 300, 20_000)
RETRY_S = 0.1  # after no answer
ORDER_INTERVAL_S = 0.5


class Sent(NamedTuple):
    """Hold what a caller saw of one request; times are of the steady clock."""

    request_id: str
    process: Process
    is_safe: bool
    is_direct: bool  # not through the proxy
    began: float
    ended: float
    answer: Answer


class Read(NamedTuple):
    """Hold a label that was read, and the one acknowledged before it was asked."""

    label: int
    acknowledged: int


class Caller:
    """Own one caller, which keeps its connection as long as it can."""

    def __init__(self, process: Process, number: int, seed: int) -> None:
        self._process = process
        self._number = number
        self._is_direct = number == 0
        self._rng = random.Random(f"{seed}/{process.ip}/{number}")
        self._connection: http.client.HTTPConnection | None = None
        self.sent: list[Sent] = []

    def run(self, stopping: threading.Event) -> None:
        """Send one request after another."""
        while not stopping.is_set():
            request_id = f"{self._process.ip}-{self._number}-{len(self.sent)}"
            is_safe = self._rng.random() < SAFE_SHARE
            began = time.monotonic()
            answer = self._send(request_id, is_safe)
            ended = time.monotonic()
            self.sent.append(
                Sent(
                    request_id,
                    self._process,
                    is_safe,
                    self._is_direct,
                    began,
                    ended,
                    answer,
                )
            )
            if answer.status == 0:
                time.sleep(RETRY_S)
        self._drop()

    def _send(self, request_id: str, is_safe: bool) -> Answer:
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
            self._drop()
            return Answer(0, {}, b"")
        if response.will_close:
            self._drop()
        found = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, found, content)

    def _connect(self) -> http.client.HTTPConnection:
        address = self._process.to_callers.address
        if self._is_direct:
            address = self._process.address(8400)
        return http.client.HTTPConnection(address, timeout=TIMEOUT_S)

    def _drop(self) -> None:
        if self._connection is not None:
            self._connection.close()
            self._connection = None


class Operator:
    """Own the orders and the reads of the configuration."""

    def __init__(self, fleet: Fleet, seed: int) -> None:
        self._fleet = fleet
        self._rng = random.Random(seed)
        self.acknowledged = 0
        self.reads: list[Read] = []

    def order(self, stopping: threading.Event) -> None:
        """Send one order after another, each until it is acknowledged."""
        while not stopping.wait(ORDER_INTERVAL_S):
            if self._fleet.put(ROUTES) == 200:
                self.acknowledged = self._fleet.label

    def read(self, stopping: threading.Event) -> None:
        """Read at any control instance."""
        while not stopping.wait(RETRY_S):
            acknowledged = self.acknowledged
            label = self._fleet.read_at(self._rng.choice(self._fleet.control))
            if label is not None:
                self.reads.append(Read(label, acknowledged))
