"""Discrete-event simulation of several daemons that share backend servers."""

import heapq
import random
from collections.abc import Callable
from typing import NamedTuple

from pimentobend_bench._internal.traffic.servers import FakeServer
from pimentobend_bench._internal.traffic.servers import OverflowMode
from pimentobend_bench._internal.traffic.servers import Work
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import LoadReport
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.request.dispatch import MAX_REFUSED_ATTEMPTS
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import Granted
from pimentobend_core._internal.traffic.messages import Rejected
from pimentobend_core._internal.traffic.messages import ServersChanged
from pimentobend_core._internal.traffic.messages import TrafficInput
from pimentobend_core._internal.traffic.messages import TrafficOutput
from pimentobend_core._internal.traffic.messages import TrafficTick
from pimentobend_core._internal.traffic.retries import RetryBudget

TICK_S = 0.05
REGION_LATENCY_S = 0.0005  # one way, within a region
FAR_LATENCY_S = 0.03  # one way, to another region
CLIENT_LATENCY_S = 0.001  # one way, between caller and daemon

TrafficFilter = StatefulFilter[TrafficInput, TrafficOutput]


class Place(NamedTuple):
    """A data centre and its region."""

    data_centre: str
    region: str


class Shape(NamedTuple):
    """Size of one simulated service: its servers and the daemons that call them."""

    name: str
    servers: int
    slots: int  # per server
    daemons: int
    places: tuple[Place, ...]  # daemons and servers take these in turn
    mean_service_s: float
    mode: OverflowMode = OverflowMode.SHED

    @property
    def capacity_per_s(self) -> float:
        """Return how many requests of mean service time the slots serve per second."""
        return self.servers * self.slots / self.mean_service_s


class Arrival(NamedTuple):
    """A request as the caller sends it."""

    at: float  # simulated seconds
    daemon: int  # index of the daemon
    route: str
    organisation: str
    service_s: float
    timeout_s: float
    is_straggler: bool


class Outcome(NamedTuple):
    """How a request ended."""

    arrival: Arrival
    ended_at: float
    reason: str  # "answered", "late", "backend" (no retry left) or a refusal's
    attempts: int

    @property
    def latency_s(self) -> float:
        """Return the seconds from the request's arrival to its end."""
        return self.ended_at - self.arrival.at

    @property
    def is_good(self) -> bool:
        """Return whether the response came before the deadline."""
        return self.reason == "answered"


class Request:
    """State of one request across its attempts."""

    def __init__(self, arrival: Arrival) -> None:
        self.arrival = arrival
        self.deadline = arrival.at + arrival.timeout_s
        self.excluded: frozenset[str] = frozenset()
        self.attempts = 0


class Simulation:
    """The simulated clock with its event queue, the servers and the daemons."""

    def __init__(
        self, shape: Shape, create: Callable[[int, Place], TrafficFilter]
    ) -> None:
        self._shape = shape
        self._now = 0.0
        self._count = 0
        self._events: list[tuple[float, int, Callable[..., None], tuple[object, ...]]]
        self._events = []
        self._servers = _create_servers(shape)
        self._fakes = {
            server.server_id: FakeServer(server.slots, shape.mode, self._call_later)
            for server in self._servers
        }
        self._places = [
            shape.places[number % len(shape.places)] for number in range(shape.daemons)
        ]
        self._daemons = [
            create(number, place) for number, place in enumerate(self._places)
        ]
        self._budgets = [RetryBudget() for _ in self._daemons]
        for budget in self._budgets:
            budget.update_instances(len(self._daemons), self._now)
        self._waiting: dict[int, Request] = {}
        self._outcomes: list[Outcome] = []
        self._sheds = 0

    @property
    def outcomes(self) -> list[Outcome]:
        """Return the outcomes of the requests that have ended."""
        return self._outcomes

    @property
    def sheds(self) -> int:
        """Return how many attempts the servers shed."""
        return self._sheds

    @property
    def busy_s(self) -> float:
        """Return the slot seconds of all servers."""
        return sum(fake.busy_s for fake in self._fakes.values())

    def run(self, arrivals: list[Arrival]) -> list[Outcome]:
        """Simulate until every arrival has ended and return the outcomes."""
        for number in range(len(self._daemons)):
            self._deliver(number, ServersChanged(self._servers))
            self._call_later(TICK_S * number / len(self._daemons), self._tick, number)
        for arrival in arrivals:
            self._call_at(arrival.at + CLIENT_LATENCY_S, self._arrive, Request(arrival))
        expected = len(arrivals)
        while self._events and len(self._outcomes) < expected:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)
        return self._outcomes

    def _call_at(self, when: float, action: Callable[..., None], *args: object) -> None:
        self._count += 1
        heapq.heappush(self._events, (when, self._count, action, args))

    def _call_later(
        self, delay: float, action: Callable[..., None], *args: object
    ) -> None:
        self._call_at(self._now + delay, action, *args)

    def _tick(self, daemon: int) -> None:
        self._deliver(daemon, TrafficTick())
        self._call_later(TICK_S, self._tick, daemon)

    def _arrive(self, request: Request) -> None:
        self._acquire(request, is_retry=False)

    def _acquire(self, request: Request, is_retry: bool) -> None:
        self._count += 1
        ticket = self._count
        self._waiting[ticket] = request
        arrival = request.arrival
        message = Acquire(
            ticket=ticket,
            route=arrival.route,
            organisation=arrival.organisation,
            deadline=request.deadline - CLIENT_LATENCY_S,
            repeatable=True,
            excluded=request.excluded,
            is_retry=is_retry,
        )
        self._deliver(arrival.daemon, message)

    def _deliver(self, daemon: int, message: TrafficInput) -> None:
        for output in self._daemons[daemon].handle(message, self._now):
            request = self._waiting.pop(output.ticket)
            if isinstance(output, Rejected):
                self._end(request, output.refusal.reason.value)
            else:
                self._send(daemon, request, output)

    def _send(self, daemon: int, request: Request, granted: Granted) -> None:
        request.attempts += 1
        is_far = granted.server.region != self._places[daemon].region
        latency_s = FAR_LATENCY_S if is_far else REGION_LATENCY_S
        self._call_later(latency_s, self._serve, daemon, request, granted, latency_s)

    def _serve(
        self, daemon: int, request: Request, granted: Granted, latency_s: float
    ) -> None:
        fake = self._fakes[granted.server.server_id]

        def answer(kind: AttemptKind) -> None:
            self._call_later(
                latency_s,
                self._handle_response,
                daemon,
                request,
                _create_attempt_ended(request, granted, kind, fake.report()),
            )

        work = Work(
            request.arrival.service_s,
            request.deadline,
            lambda: answer(AttemptKind.ANSWERED),
        )
        if not fake.offer(work):
            self._sheds += 1
            answer(AttemptKind.REFUSED)

    def _handle_response(
        self, daemon: int, request: Request, message: AttemptEnded
    ) -> None:
        self._deliver(daemon, message)
        if message.kind is AttemptKind.ANSWERED:
            self._budgets[daemon].note_success()
            is_late = self._now + CLIENT_LATENCY_S > request.deadline
            self._end(request, "late" if is_late else "answered")
            return
        request.excluded |= {message.server_id}
        if request.attempts < MAX_REFUSED_ATTEMPTS and self._budgets[daemon].may_retry(
            message.kind, True, request.deadline, self._now
        ):
            self._acquire(request, is_retry=True)
        else:
            self._end(request, "backend")

    def _end(self, request: Request, reason: str) -> None:
        ended_at = self._now + CLIENT_LATENCY_S
        self._outcomes.append(
            Outcome(request.arrival, ended_at, reason, request.attempts)
        )


def _create_servers(shape: Shape) -> tuple[Server, ...]:
    return tuple(
        Server(
            server_id=f"s{number:03}",
            service=shape.name,
            host="127.0.0.1",
            port=8000 + number,
            slots=shape.slots,
            data_centre=shape.places[number % len(shape.places)].data_centre,
            region=shape.places[number % len(shape.places)].region,
            state=ServerState.READY,
            incarnation=1,
        )
        for number in range(shape.servers)
    )


def _create_attempt_ended(
    request: Request, granted: Granted, kind: AttemptKind, load: LoadReport
) -> AttemptEnded:
    return AttemptEnded(
        ticket=granted.ticket,
        pool="pool",
        route=request.arrival.route,
        server_id=granted.server.server_id,
        kind=kind,
        status=200 if kind is AttemptKind.ANSWERED else 503,
        latency_s=0.0,
        was_reused=True,
        load=load,
    )


def create_arrivals(
    shape: Shape,
    seed: int,
    until_s: float,
    load: Callable[[float], float],
    draw: Callable[[random.Random, float, int], Arrival],
) -> list[Arrival]:
    """Draw arrivals of a Poisson process with a varying rate, by thinning.

    ``load`` returns the rate at a time, as a share of the capacity.
    """
    rng = random.Random(seed)
    arrivals: list[Arrival] = []
    peak = max(load(step * until_s / 1000) for step in range(1000))
    now = 0.0
    while True:
        now += rng.expovariate(peak * shape.capacity_per_s)
        if now >= until_s:
            return arrivals
        daemon = rng.randrange(shape.daemons)
        arrival = draw(rng, now, daemon)
        if rng.random() * peak < load(now):
            arrivals.append(arrival)
