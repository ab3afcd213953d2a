"""Plays services whose servers call each other, and counts repeats as the rule does.

One daemon beside each server; every request starts at one of the daemons. What
arrives at a server beyond the first arrival of its request is a repeat, and so is
each arrival of a call that a repeated run makes.
"""

import heapq
import itertools
import random
from collections.abc import Callable
from typing import NamedTuple

from pimentobend_core._internal.forwarding.host import ServerHost
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.senders import EARLIER_RUNS_S
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.forwarding.senders import judge_sender
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.traffic.shared_budget import OriginBudget

TERMS = BudgetTerms(ratio=0.2, window_s=10.0, allowance=60.0)
START_S = -10.0  # when the daemons start; clients begin at 0
TICK_S = 0.2
ASKED = 4  # daemons that a request asks for bids
DEADLINE_S = 6.0
ROUTE_TIMEOUT_S = 3.0
CALL_DEADLINE_S = 0.6
TARGET_S = 1.0
REFUSAL_S = 0.003
ASK_PAUSE_S = 0.1
CALLS_AT = 0.3  # share of a run's time after which it makes its calls
MAX_ATTEMPTS = 3
MAX_REJECTIONS = 12
# A restarted daemon knows itself at first, then its neighbours, then the fleet.
LISTS_FILL_S = (0.0, 0.3, 1.5)


class Calls(NamedTuple):
    """What a share of a service's runs call."""

    service: str
    times: int
    share: float


class Service(NamedTuple):
    """A service and the requests that clients send for it; times are in seconds."""

    name: str
    servers: int
    per_s: float
    work_s: float
    is_repeatable: bool
    calls: Calls | None = None


class Trouble(NamedTuple):
    """What happens to the fleet from ``begins`` to ``ends``, in seconds."""

    begins: float = 0.0
    ends: float = 0.0
    shed_share: float = 0.0  # requests that servers refuse
    fail_share: float = 0.0  # requests that servers end with an error
    restarts_at: tuple[float, ...] = ()  # each of half of the daemons
    burst: float = 1.0  # times the usual requests


class Excess(NamedTuple):
    """A window in which a service got more repeats than the rule allows."""

    service: str
    at: float
    repeats: int
    limit: float


class _Request:
    def __init__(
        self,
        name: str,
        service: Service,
        machine: int,
        deadline: float,
        on_end: Callable[[bool], None],
        *,
        is_call: bool = False,
        is_repeats_call: bool = False,
    ) -> None:
        self.name = name
        self.service = service
        self.machine = machine
        self.deadline = deadline
        self.on_end = on_end
        self.is_call = is_call
        self.is_repeats_call = is_repeats_call
        self.sent_at = 0.0
        self.sender = Sender()
        self.attempts = itertools.count()
        self.arrivals = 0
        self.rejections = 0

    @property
    def route(self) -> str:
        """Return the route; servers use other routes than clients."""
        return f"{self.service.name}-{'calls' if self.is_call else 'clients'}"

    @property
    def is_repeatable(self) -> bool:
        return self.is_call or self.service.is_repeatable


class _Machine:
    def __init__(self, number: int, service: Service) -> None:
        self.server = Server(
            f"s{number}",
            service.name,
            "10.0.0.1",
            80,
            3,
            "z",
            "r",
            ServerState.READY,
            1,
        )
        self.origin = OriginBudget()
        self.host = ServerHost(number, TERMS)
        self.runs = LocalRuns((), 0.0)
        self.life = 0

    def update_runs(self, runs: LocalRuns) -> None:
        """Replace the runs of the server; those of an earlier life are not known."""
        latest = max(self.runs.latest_deadline, runs.latest_deadline)
        self.runs = runs._replace(latest_deadline=latest)


class BudgetPlay:
    """A fleet under one trouble; the same seed plays the same requests."""

    def __init__(
        self, services: tuple[Service, ...], trouble: Trouble, seed: int
    ) -> None:
        self._services = {each.name: each for each in services}
        self._trouble = trouble
        self._random = random.Random(seed)
        self._now = START_S
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._owners: dict[str, tuple[_Request, int]] = {}
        self._sent: dict[str, list[float]] = {name: [] for name in self._services}
        self._repeats: dict[str, list[float]] = {name: [] for name in self._services}
        self.served = 0
        self._machines: list[_Machine] = []
        self._hosts: dict[str, list[int]] = {name: [] for name in self._services}
        for service in services:
            for _ in range(service.servers):
                self._hosts[service.name].append(len(self._machines))
                self._machines.append(_Machine(len(self._machines), service))
        for number in range(len(self._machines)):
            self._start_daemon(number)

    def play(self, seconds: float) -> list[Excess]:
        """Play the load for a time and return the windows that break the rule."""
        for service in self._services.values():
            self._schedule_clients(service, seconds)
        for at in self._trouble.restarts_at:
            self._at(at, self._restart_half)
        for tick in range(int((seconds - START_S) / TICK_S)):
            self._at(START_S + tick * TICK_S, self._tick)
        while self._events and self._events[0][0] <= seconds:
            self._now, _, action = heapq.heappop(self._events)
            action()
        return [each for name in self._services for each in self._find_excess(name)]

    def _find_excess(self, name: str) -> list[Excess]:
        found: list[Excess] = []
        for at in self._repeats[name]:
            repeats = _count_within(self._repeats[name], at, TERMS.window_s)
            requests = max(
                _count_within(self._sent[name], at - back, TERMS.window_s)
                for back in (0.0, TERMS.window_s / 2, TERMS.window_s)
            )
            limit = TERMS.ratio * requests + TERMS.allowance
            if repeats > limit:
                found.append(Excess(name, round(at, 2), repeats, limit))
        return found

    def _at(self, due: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (due, next(self._order), action))

    def _schedule_clients(self, service: Service, seconds: float) -> None:
        at = 0.0
        while True:
            is_burst = self._trouble.begins <= at < self._trouble.ends
            factor = self._trouble.burst if is_burst else 1.0
            at += self._random.expovariate(service.per_s * factor)
            if at >= seconds:
                return
            self._at(at, lambda: self._send_from_client(service))

    def _send_from_client(self, service: Service) -> None:
        self._sent[service.name].append(self._now)
        request = _Request(
            f"r{next(self._numbers)}",
            service,
            self._random.randrange(len(self._machines)),
            self._now + DEADLINE_S,
            self._note_answer,
        )
        self._receive(request)

    def _receive(self, request: _Request) -> None:
        request.sent_at = self._now
        runs = self._machines[request.machine].runs
        request.sender = judge_sender(runs, request.deadline, self._now)
        self._try(request)

    def _note_answer(self, is_good: bool) -> None:
        self.served += is_good

    def _restart_half(self) -> None:
        for number in range(0, len(self._machines), 2):
            self._start_daemon(number)

    def _start_daemon(self, number: int) -> None:
        machine = self._machines[number]
        machine.life += 1
        machine.origin = OriginBudget()
        machine.host = ServerHost(number, TERMS)
        machine.runs = LocalRuns((), self._now + EARLIER_RUNS_S)
        self._give(number, ServerListed(machine.server))
        service = machine.server.service
        full = self._services[service].servers
        for delay_s, servers in zip(LISTS_FILL_S, (1, full // 3, full), strict=True):
            sizes = ServiceSizes(((service, servers),))
            self._at(self._now + delay_s, lambda sizes=sizes: self._give(number, sizes))

    def _tick(self) -> None:
        for number in range(len(self._machines)):
            self._give(number, HostTick())

    def _try(self, request: _Request) -> None:
        """Send the next attempt of a request, or end it."""
        is_repeat = request.arrivals > 0
        choices = [
            (bid, number)
            for number, bid in self._collect_bids(request)
            if bid.takes_repeats or not is_repeat
        ]
        if self._now >= request.deadline or request.rejections >= MAX_REJECTIONS:
            request.on_end(False)
            return
        if not choices:
            request.rejections += 1
            self._at(self._now + ASK_PAUSE_S, lambda: self._try(request))
            return
        origin = self._machines[request.machine].origin
        if is_repeat and not origin.may_retry(request.service.name, self._now):
            request.on_end(False)
            return
        _, number = min(choices, key=lambda each: _cost(each[0], self._random))
        self._submit(request, number, is_repeat=is_repeat)

    def _collect_bids(self, request: _Request) -> list[tuple[int, Bid]]:
        ask = Ask(1, request.service.name, request.route)
        found: list[tuple[int, Bid]] = []
        for number in self._random.sample(self._hosts[request.service.name], ASKED):
            (bids,) = self._machines[number].host.handle(ask, self._now)
            assert isinstance(bids, Bids)
            found.extend((number, bid) for bid in bids.bids)
        return found

    def _submit(self, request: _Request, number: int, *, is_repeat: bool) -> None:
        attempt_id = f"{request.name}.{next(request.attempts)}"
        self._owners[attempt_id] = (request, self._machines[number].life)
        submit = Submit(
            attempt_id,
            self._machines[number].server.server_id,
            request.route,
            1,
            request.is_repeatable,
            TARGET_S,
            min(request.deadline, request.sent_at + ROUTE_TIMEOUT_S),
            is_repeat=is_repeat,
            sender=request.sender,
        )
        self._give(number, submit)

    def _give(self, number: int, message: HostInput) -> None:
        for output in self._machines[number].host.handle(message, self._now):
            match output:
                case LocalRuns():
                    self._machines[number].update_runs(output)
                case StartCall():
                    self._run(number, output.attempt_id)
                case Declined():
                    request, _ = self._owners[output.attempt_id]
                    request.rejections += 1
                    self._at(
                        self._now + REFUSAL_S,
                        lambda request=request: self._try(request),
                    )

    def _run(self, number: int, attempt_id: str) -> None:
        """Let a request arrive at a server, and count it as the rule does."""
        request, _ = self._owners[attempt_id]
        request.arrivals += 1
        is_repeat = request.arrivals > 1 or request.is_repeats_call
        if is_repeat:
            self._repeats[request.service.name].append(self._now)
        work_s = request.service.work_s * self._random.lognormvariate(0.0, 0.3)
        is_troubled = self._trouble.begins <= self._now < self._trouble.ends
        chance = self._random.random() if is_troubled else 1.0
        if chance < self._trouble.shed_share:
            self._end_after(REFUSAL_S, number, attempt_id, EndKind.REFUSED)
        elif chance < self._trouble.shed_share + self._trouble.fail_share:
            self._end_after(work_s, number, attempt_id, EndKind.FAILED)
        elif request.is_call or request.service.calls is None:
            self._end_after(work_s, number, attempt_id, EndKind.GOOD)
        else:
            self._at(
                self._now + CALLS_AT * work_s,
                lambda: self._call(number, attempt_id, work_s, is_repeat=is_repeat),
            )

    def _call(
        self, number: int, attempt_id: str, work_s: float, *, is_repeat: bool
    ) -> None:
        """Make the calls of a run, whose server fails if one of them does."""
        request, _ = self._owners[attempt_id]
        calls = request.service.calls
        assert calls is not None
        rest_s = (1.0 - CALLS_AT) * work_s
        if self._random.random() >= calls.share:
            self._end_after(rest_s, number, attempt_id, EndKind.GOOD)
            return
        answers: list[bool] = []

        def end_call(is_good: bool) -> None:
            answers.append(is_good)
            if len(answers) == calls.times:
                kind = EndKind.GOOD if all(answers) else EndKind.FAILED
                self._end_after(rest_s, number, attempt_id, kind)

        for _ in range(calls.times):
            call = _Request(
                f"c{next(self._numbers)}",
                self._services[calls.service],
                number,
                min(request.deadline, self._now + CALL_DEADLINE_S),
                end_call,
                is_call=True,
                is_repeats_call=is_repeat,
            )
            self._receive(call)

    def _end_after(
        self, delay_s: float, number: int, attempt_id: str, kind: EndKind
    ) -> None:
        self._at(self._now + delay_s, lambda: self._end(number, attempt_id, kind))

    def _end(self, number: int, attempt_id: str, kind: EndKind) -> None:
        request, life = self._owners[attempt_id]
        if life == self._machines[number].life:
            self._give(number, CallEnded(attempt_id, kind))
        else:
            kind = EndKind.FAILED  # the daemon restarted; the answer was lost
        if kind is EndKind.GOOD:
            origin = self._machines[request.machine].origin
            origin.succeeded(request.service.name, self._now)
            request.on_end(True)
            return
        if kind is EndKind.REFUSED:
            request.rejections += 1
            self._try(request)
            return
        may_repeat = request.is_repeatable and request.arrivals < MAX_ATTEMPTS
        if may_repeat:
            self._try(request)
        else:
            request.on_end(False)


def _cost(bid: Bid, chance: random.Random) -> float:
    return bid.wait_s + bid.risk + 0.3 * bid.refusal_share + 0.01 * chance.random()


def _count_within(times: list[float], end: float, window_s: float) -> int:
    return sum(end - window_s < each <= end for each in times)
