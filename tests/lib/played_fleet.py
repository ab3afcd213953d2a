"""Plays a load on hosts and deliveries in simulated time, without a network.

Each daemon hosts one server of a service; every request starts at one of the daemons.
Asks, bids and sends take no time.
"""

import enum
import heapq
import itertools
import random
from collections import Counter
from collections import defaultdict
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from pimentobend_core._internal.forwarding.delivery import Delivery
from pimentobend_core._internal.forwarding.delivery_messages import AskServers
from pimentobend_core._internal.forwarding.delivery_messages import AttemptDone
from pimentobend_core._internal.forwarding.delivery_messages import CancelAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Deliver
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryInput
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryOutput
from pimentobend_core._internal.forwarding.delivery_messages import Offers
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.forwarding.delivery_messages import TimerDue
from pimentobend_core._internal.forwarding.delivery_messages import WakeAt
from pimentobend_core._internal.forwarding.host import ServerHost
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CancelCall
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import find_distance
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.traffic.shared_budget import OriginBudget

TICK_S = 0.1
MAX_RETURNS = 3
SLOWNESS = 8.0
SERVICE = "work"
_END_KINDS = {
    EndKind.GOOD: (AttemptKind.ANSWERED, 200),
    EndKind.FAILED: (AttemptKind.ANSWERED, 500),
    EndKind.REFUSED: (AttemptKind.REFUSED, 503),
    EndKind.GIVEN_UP: (AttemptKind.NO_ANSWER, 0),
}


class Condition(enum.Enum):
    """How a server treats the requests that it is sent."""

    SOUND = "sound"
    FAILING = "failing"  # answers most requests with an error at once
    HANGING = "hanging"  # never answers
    SHEDDING = "shedding"  # refuses most requests
    SLOW = "slow"  # takes SLOWNESS times as long


class OrganisationLoad(NamedTuple):
    """The requests of one organisation."""

    name: str
    per_s: float
    rank: int = 1


class Load(NamedTuple):
    """The load of one play; times are in seconds."""

    zones: int
    servers_per_zone: int
    slots: int
    per_s: float
    work_s: float
    target_s: float
    deadline_s: float
    length_s: float
    is_repeatable: bool = False
    body_bytes: int = 0
    condition: Callable[[int, float], Condition] = lambda server, now: Condition.SOUND
    copies_share: float | None = None  # the operators' limit on extra copies
    straggler_share: float = 0.0  # requests that take SLOWNESS times as long anywhere
    organisations: tuple[OrganisationLoad, ...] = ()  # that send all, if there are any


class Outcome(NamedTuple):
    """What the callers got."""

    in_time: int
    late: int
    refused: int  # truthfully not run, also after returning
    failed: int
    waited_s: float  # mean time until a caller that got no answer knew it
    far_share: float  # share of the attempts that left their zone
    p50_s: float = 0.0  # of the answers
    p99_s: float = 0.0
    copy_share: float = 0.0  # extra copies that servers began, for each request

    @property
    def requests(self) -> int:
        """Return the number of requests."""
        return self.in_time + self.late + self.refused + self.failed

    @property
    def served(self) -> float:
        """Return the share of requests that were answered."""
        return (self.in_time + self.late) / max(1, self.requests)


NOBODY = OrganisationLoad("", 0.0)


class _Request:
    def __init__(
        self, number: int, zone: int, now: float, sender: OrganisationLoad
    ) -> None:
        self.number = number
        self.sender = sender
        self.zone = zone
        self.started_at = now
        self.returns = 0
        self.generation = 0
        self.delivery: Any = None
        self.attempts: dict[int, tuple[str, int]] = {}
        self.statuses: dict[int, int] = {}  # by number of the attempt
        self.wake_at = 0.0


class PlayedFleet:
    """A fleet that serves one load; the same seed plays the same requests."""

    def __init__(self, load: Load, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._now = 0.0
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._attempt_owner: dict[str, tuple[_Request, int]] = {}
        self._counts: Counter[str] = Counter()
        self._unserved_waits: list[float] = []
        self._answer_times: list[float] = []
        # By organisation: answer times, and numbers of requests by how they ended.
        self.times_of: dict[str, list[float]] = defaultdict(list)
        self.counts_of: dict[str, Counter[str]] = defaultdict(Counter)
        self._copies: set[str] = set()
        terms = BudgetTerms(0.2, 10.0, 60.0, load.copies_share)
        count = load.zones * load.servers_per_zone
        self._hosts = [ServerHost(number, terms) for number in range(count)]
        self._budgets = [
            OriginBudget(limits_copies=load.copies_share is not None)
            for _ in range(load.zones)
        ]
        self._rows = [self._row(number) for number in range(count)]
        self._route = Route(
            "r",
            "*",
            "/",
            (),
            SERVICE,
            load.is_repeatable,
            60_000,
            target_latency_ms=int(load.target_s * 1000),
        )
        for number, host in enumerate(self._hosts):
            server = Server(
                f"s{number}",
                SERVICE,
                "10.0.0.1",
                80,
                load.slots,
                "z",
                "r",
                ServerState.READY,
                1,
            )
            host.handle(ServerListed(server), -terms.window_s)
            host.handle(ServiceSizes(((SERVICE, count),)), -terms.window_s)

    def play(self) -> Outcome:
        """Play the whole load and return what the callers got."""
        load = self._load
        at = 0.0
        for number in itertools.count():
            at += self._random.expovariate(load.per_s)
            if at >= load.length_s:
                break
            zone = self._random.randrange(load.zones)
            request = _Request(number, zone, at, self._draw_sender())
            self._at(at, lambda request=request: self._begin(request))
        end = load.length_s + load.deadline_s
        for tick in range(int(end / TICK_S)):
            self._at(tick * TICK_S, self._tick)
        while self._events and self._events[0][0] <= end + 1.0:
            self._now, _, action = heapq.heappop(self._events)
            action()
        counts = self._counts
        sends = max(1, counts["sends"])
        waits = self._unserved_waits
        return Outcome(
            counts["in_time"],
            counts["late"],
            counts["refused"],
            counts["failed"],
            sum(waits) / max(1, len(waits)),
            counts["far"] / sends,
            self._percentile(50),
            self._percentile(99),
            counts["copies"] / max(1, counts["requests"]),
        )

    def _draw_sender(self) -> OrganisationLoad:
        senders = self._load.organisations
        if not senders:
            return NOBODY
        return self._random.choices(senders, [each.per_s for each in senders])[0]

    def _percentile(self, percent: int) -> float:
        times = sorted(self._answer_times)
        return times[len(times) * percent // 100] if times else 0.0

    def _row(self, number: int) -> PeerRow:
        zone = number // self._load.servers_per_zone
        return PeerRow(
            f"10.0.{zone}.{number}:7",
            RowVersion(1, 0),
            number,
            f"z{zone}",
            f"r{zone % 2}",
            False,
            8,
            False,
            (),
        )

    def _at(self, due: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due, next(self._order), action))

    def _begin(self, request: _Request) -> None:
        load = self._load
        request.generation += 1
        request.attempts = {}
        deadline = request.started_at + load.deadline_s
        request.delivery = Delivery(
            f"{request.number}-{request.returns}",
            self._route,
            SERVICE,
            deadline,
            True,
            self._budgets[request.zone],
            load.body_bytes,
        )
        self._execute(request, request.delivery.begin(self._now))

    def _give(self, request: _Request, message: DeliveryInput) -> None:
        self._execute(request, request.delivery.handle(message, self._now))

    def _execute(self, request: _Request, outputs: tuple[DeliveryOutput, ...]) -> None:
        for output in outputs:
            match output:
                case AskServers():
                    offers = Offers(self._bids(request, output), output.distance)
                    self._at(
                        self._now,
                        lambda offers=offers: self._give(request, offers),
                    )
                case SendAttempt():
                    self._send(request, output)
                case CancelAttempt():
                    attempt_id, number = request.attempts[output.number]
                    self._run_host(number, Withdraw(attempt_id))
                case Deliver():
                    self._end(request, is_served=request.statuses[output.number] == 200)
                case Refuse():
                    self._handle_refusal(request, output)
                case WakeAt():
                    self._wake(request, output.due)

    def _wake(self, request: _Request, due: float) -> None:
        request.wake_at = due
        generation = request.generation

        def fire() -> None:
            if request.wake_at == due and request.generation == generation:
                self._give(request, TimerDue())

        self._at(max(due, self._now), fire)

    def _bids(self, request: _Request, ask: AskServers) -> tuple[Candidate, ...]:
        own = self._rows[request.zone * self._load.servers_per_zone]
        candidates: list[Candidate] = []
        for number, row in enumerate(self._rows):
            distance = find_distance(own, row)
            if distance > ask.distance:
                continue
            question = Ask(1, SERVICE, "r", request.sender.name)
            (bids,) = self._hosts[number].handle(question, self._now)
            assert isinstance(bids, Bids)
            candidates.extend(Candidate(row, bid, distance) for bid in bids.bids)
        return tuple(candidates)

    def _send(self, request: _Request, send: SendAttempt) -> None:
        number = send.candidate.peer.process_id
        attempt_id = f"{request.number}.{request.generation}.{send.number}"
        request.attempts[send.number] = (attempt_id, number)
        self._attempt_owner[attempt_id] = (request, send.number)
        self._counts["sends"] += 1
        zone = number // self._load.servers_per_zone
        self._counts["far"] += zone != request.zone
        deadline = request.started_at + self._load.deadline_s
        submit = Submit(
            attempt_id,
            send.candidate.server_id,
            "r",
            request.sender.rank,
            self._load.is_repeatable,
            self._load.target_s,
            deadline,
            is_repeat=send.is_repeat,
            sender=Sender(is_client=True),
            organisation=request.sender.name,
            is_copy=send.is_hedge,
        )
        self._copies.update({attempt_id} if send.is_hedge else ())
        self._at(self._now, lambda: self._run_host(number, submit))

    def _run_host(self, number: int, message: Any) -> None:
        for output in self._hosts[number].handle(message, self._now):
            self._handle_host_output(number, output)

    def _handle_host_output(self, number: int, output: HostOutput) -> None:
        match output:
            case StartCall():
                self._call(number, output.attempt_id)
            case Declined():
                self._done(output.attempt_id, AttemptKind.DECLINED, 0)
            case CancelCall():
                self._end_call(number, output.attempt_id, EndKind.GIVEN_UP)

    def _call(self, number: int, attempt_id: str) -> None:
        load = self._load
        condition = load.condition(number, self._now)
        chance = self._random.random()
        work_s = load.work_s * self._random.lognormvariate(0.0, 0.3)
        self._counts["copies"] += attempt_id in self._copies
        is_slow = condition is Condition.SLOW
        if load.straggler_share:
            is_slow = is_slow or self._random.random() < load.straggler_share
        if is_slow:
            work_s *= SLOWNESS
        kind = EndKind.GOOD
        if condition is Condition.HANGING:
            request, _ = self._attempt_owner[attempt_id]
            kind = EndKind.GIVEN_UP
            work_s = request.started_at + load.deadline_s - self._now
        elif condition is Condition.FAILING and chance < 0.75:
            kind, work_s = EndKind.FAILED, 0.003
        elif condition is Condition.SHEDDING and chance < 0.55:
            kind, work_s = EndKind.REFUSED, 0.003
        self._at(
            self._now + work_s,
            lambda: self._end_call(number, attempt_id, kind),
        )

    def _end_call(self, number: int, attempt_id: str, kind: EndKind) -> None:
        self._run_host(number, CallEnded(attempt_id, kind))
        self._done(attempt_id, *_END_KINDS[kind])

    def _done(self, attempt_id: str, kind: AttemptKind, status: int) -> None:
        request, number = self._attempt_owner[attempt_id]
        if attempt_id.split(".")[1] != str(request.generation):
            return
        request.statuses[number] = status
        self._give(request, AttemptDone(number, kind, status))

    def _tick(self) -> None:
        for number in range(len(self._hosts)):
            self._run_host(number, HostTick())

    def _handle_refusal(self, request: _Request, output: Refuse) -> None:
        """Let the caller return once, where the refusal says that nothing ran."""
        refusal = output.refusal
        left_s = request.started_at + self._load.deadline_s - self._now
        pause_s = refusal.retry_after_s
        may_return = refusal.ran is Ran.NOT_RUN and pause_s is not None
        if may_return and request.returns < MAX_RETURNS and left_s > 0:
            request.returns += 1
            pause_s = min(pause_s or 0.0, left_s / 3)
            self._at(self._now + pause_s, lambda: self._begin(request))
            return
        self._end(request, is_served=False, is_refused=refusal.ran is Ran.NOT_RUN)

    def _end(
        self, request: _Request, *, is_served: bool, is_refused: bool = False
    ) -> None:
        took_s = self._now - request.started_at
        self._counts["requests"] += 1
        self.counts_of[request.sender.name]["served" if is_served else "unserved"] += 1
        if is_served:
            is_in_time = took_s <= self._load.target_s
            self._counts["in_time" if is_in_time else "late"] += 1
            self._answer_times.append(took_s)
            self.times_of[request.sender.name].append(took_s)
            return
        self._unserved_waits.append(took_s)
        self._counts["refused" if is_refused else "failed"] += 1
