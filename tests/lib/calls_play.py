"""Plays a service whose runs call a smaller one, which has direct callers too.

One daemon beside each server; every request starts at one of the daemons. Asks, bids
and sends take no time.
"""

import functools
import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

from pimentobend_core._internal.forwarding.admission import find_room
from pimentobend_core._internal.forwarding.delivery import Delivery
from pimentobend_core._internal.forwarding.delivery_messages import AskServers
from pimentobend_core._internal.forwarding.delivery_messages import AttemptDone
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
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CallMade
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.forwarding.senders import judge_sender
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.traffic.shared_budget import OriginBudget

TICK_S, DELAY_S, MAX_RETURNS, ASKED = 0.1, 0.003, 3, 6
SLOTS, CALLS, CALLING_SHARE, CALLS_AT = 8, 2, 0.7, 0.3
SERVERS = {"large": 51, "small": 7}
WAVE_S, SWING = 17.0, 0.55


class Kind(NamedTuple):
    """A kind of request; times are in seconds."""

    route: str
    service: str
    work_s: float
    target_s: float
    deadline_s: float


PURCHASE = Kind("purchase", "large", 1.1, 3.0, 6.0)
DIRECT = Kind("direct", "small", 0.75, 2.0, 4.0)
CALL = Kind("call", "small", 0.32, 1.0, math.inf)  # ends with its run
CALLED_S = CALLING_SHARE * CALLS * CALL.work_s  # slot time that a purchase calls for
ROOM = SERVERS["small"] * SLOTS  # in slots


class _Request:
    """One request or call; ``end`` gets its outcome and when its caller returns."""

    def __init__(
        self,
        play: "CallsPlay",
        kind: Kind,
        number: int,
        deadline: float,
        end: Callable[[str, float | None], None],
    ) -> None:
        self._play, self._kind, self._number = play, kind, number
        self._deadline, self._end, self._began = deadline, end, play.now
        self._id = f"r{next(play.order)}"
        self._sender = judge_sender(
            play.runs[number], deadline, play.now, is_local=kind is CALL
        )
        route = Route(kind.route, "*", "/", (), kind.service, False, 9_000)
        route = route._replace(target_latency_ms=int(kind.target_s * 1000))
        self._delivery = Delivery(
            self._id, route, kind.service, deadline, True, OriginBudget()
        )
        self._statuses: dict[int, int] = {}

    def begin(self) -> None:
        """Start the request."""
        routes = self._sender.calling_routes
        if routes:
            self._play.give(self._number, CallMade(self._kind.service, routes))
        self._execute(self._delivery.begin(self._play.now, self._sender))

    def done(self, attempt: int, result: AttemptKind, status: int) -> None:
        """Handle the end of an attempt."""
        self._statuses[attempt] = status
        self._step(AttemptDone(attempt, result, status))

    def _step(self, message: DeliveryInput) -> None:
        self._execute(self._delivery.handle(message, self._play.now))

    def _ask(self) -> None:
        play, kind = self._play, self._kind
        question = Ask(1, kind.service, kind.route, "", self._sender.is_call)
        offers = tuple(
            Candidate(peer, bid, Distance.DATA_CENTRE)
            for peer in play.random.sample(play.rows[kind.service], ASKED)
            for bid in play.ask(peer, question)
        )
        seen = find_room(kind.service, (each.bid for each in offers))
        if self._sender.calling_routes and seen is not None:
            play.give(self._number, seen)
        self._step(Offers(offers, Distance.FAR))

    def _execute(self, outputs: tuple[DeliveryOutput, ...]) -> None:
        for output in outputs:
            match output:
                case AskServers():
                    self._play.at(self._play.now, self._ask)
                case SendAttempt():
                    self._send(output)
                case Deliver():
                    is_good = self._statuses[output.number] == 200
                    self._end("served" if is_good else "failed", None)
                case Refuse():
                    self._refuse(output.refusal)
                case WakeAt():
                    self._play.at(output.due, lambda: self._step(TimerDue()))

    def _send(self, send: SendAttempt) -> None:
        kind, attempt_id = self._kind, f"{self._id}.{send.number}"
        submit = Submit(
            attempt_id,
            send.candidate.server_id,
            kind.route,
            0,
            False,
            kind.target_s,
            self._deadline,
            sender=self._sender,
            demand=send.demand,
        )
        done = functools.partial(self.done, send.number)
        self._play.owners[attempt_id] = (done, submit, kind)
        host = send.candidate.peer.process_id
        self._play.at(self._play.now, lambda: self._play.give(host, submit))

    def _refuse(self, refusal: Refusal) -> None:
        if refusal.reason is RefusalReason.NO_ROOM_BEHIND:
            self._play.refused_after_s.append(self._play.now - self._began)
        outcome = "refused" if refusal.ran is Ran.NOT_RUN else "failed"
        self._end(outcome, refusal.retry_after_s)


class CallsPlay:
    """One play; demands are shares of the small service's room, on average."""

    def __init__(
        self, purchases: float, direct: float, seed: int, *, admits: bool = True
    ) -> None:
        self._rates = {
            PURCHASE: purchases * ROOM / CALLED_S,
            DIRECT: direct * ROOM / DIRECT.work_s,
        }
        self.random = random.Random(seed)
        self.now = 0.0
        self.order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.counts: Counter[tuple[str, str]] = Counter()
        self.refused_after_s: list[float] = []  # of the purchases without room behind
        # Whether a request of a kind ends with an error at once.
        self.fails: Callable[[Kind], bool] = lambda kind: False
        self.owners: dict[str, tuple[Callable[..., None], Submit, Kind]] = {}
        services = [name for name, count in SERVERS.items() for _ in range(count)]
        terms = BudgetTerms(0.2, 10.0, 50.0)
        self._hosts = [
            ServerHost(number, terms, admits_by_calls=admits)
            for number in range(len(services))
        ]
        self.runs = [LocalRuns((), -math.inf) for _ in services]
        self.rows: dict[str, list[PeerRow]] = {name: [] for name in SERVERS}
        for number, name in enumerate(services):
            row = PeerRow("a", RowVersion(1, 0), number, "z", "r", False, 8, False, ())
            self.rows[name].append(row)
            place = (f"s{number}", name, "10.0.0.1", 80, SLOTS, "z", "r")
            server = Server(*place, ServerState.READY, 1)
            self.give(number, ServerListed(server))

    def play(self, seconds: float) -> None:
        """Play the load, in waves from the trough on."""
        for kind, rate in self._rates.items():
            at = 0.0
            while at < seconds:
                wave = 1.0 - SWING * math.cos(2 * math.pi * at / WAVE_S)
                at += self.random.expovariate(max(0.1, rate * wave))
                number = self.random.randrange(len(self._hosts))
                self.at(at, functools.partial(self._client, kind, number))
        for tick in range(int(seconds / TICK_S)):
            for number in range(len(self._hosts)):
                tick_host = functools.partial(self.give, number, HostTick())
                self.at(tick * TICK_S, tick_host)
        while self._events and self._events[0][0] <= seconds:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def at(self, due: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (max(due, self.now), next(self.order), action))

    def _client(self, kind: Kind, number: int) -> None:
        deadline, returns = self.now + kind.deadline_s, [0]

        def end(outcome: str, pause_s: float | None) -> None:
            returns[0] += 1
            due = self.now + (pause_s or 0.0)
            if pause_s is not None and returns[0] <= MAX_RETURNS and due < deadline:
                self.at(
                    due, lambda: _Request(self, kind, number, deadline, end).begin()
                )
                return
            self.counts[kind.route, outcome] += 1

        def send() -> None:
            _Request(self, kind, number, deadline, end).begin()

        send()

    def ask(self, peer: PeerRow, question: Ask) -> tuple[Bid, ...]:
        (bids,) = self._hosts[peer.process_id].handle(question, self.now)
        assert isinstance(bids, Bids)
        return bids.bids

    def give(self, number: int, message: Any) -> None:
        for output in self._hosts[number].handle(message, self.now):
            match output:
                case LocalRuns():
                    self.runs[number] = output
                case StartCall():
                    self._run(number, output.attempt_id)
                case Declined():
                    done, *_ = self.owners.pop(output.attempt_id)
                    done(AttemptKind.DECLINED, 0)

    def _run(self, number: int, attempt_id: str) -> None:
        done, submit, kind = self.owners[attempt_id]
        work_s = kind.work_s * self.random.lognormvariate(0.0, 0.3)
        makes_calls = self.random.random() < CALLING_SHARE
        if kind is not PURCHASE or not makes_calls:
            is_good = not self.fails(kind)
            self._end_after(work_s if is_good else 0.005, number, attempt_id, is_good)
            return
        answers: list[bool] = []

        def end_call(outcome: str, _: float | None) -> None:
            answers.append(outcome == "served")
            if len(answers) == CALLS:
                rest_s = (1.0 - CALLS_AT) * work_s
                self._end_after(rest_s, number, attempt_id, all(answers))

        def call() -> None:
            deadline = submit.deadline + DELAY_S
            for _ in range(CALLS):
                _Request(self, CALL, number, deadline, end_call).begin()

        self.at(self.now + CALLS_AT * work_s, call)

    def _end_after(
        self, delay_s: float, number: int, attempt_id: str, is_good: bool
    ) -> None:
        def end() -> None:
            done, submit, _ = self.owners.pop(attempt_id)
            kind = EndKind.GOOD if is_good else EndKind.FAILED
            self.give(number, CallEnded(attempt_id, kind))
            done(AttemptKind.ANSWERED, 200 if is_good else 500)

        self.at(self.now + delay_s, end)
