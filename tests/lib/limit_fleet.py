"""Simulate a fleet that shares the limits of organisations, on a paused clock.

Time is the same for all processes, as they count the suspensions of their machines.
"""

import functools
import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import Any
from typing import NamedTuple

from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.limits.asker import TokenAsker
from pimentobend_core._internal.limits.messages import AskerTick
from pimentobend_core._internal.limits.messages import AskReceived
from pimentobend_core._internal.limits.messages import ControlsChanged
from pimentobend_core._internal.limits.messages import DemandReceived
from pimentobend_core._internal.limits.messages import Grant
from pimentobend_core._internal.limits.messages import GrantsReceived
from pimentobend_core._internal.limits.messages import LeaderKnown
from pimentobend_core._internal.limits.messages import LeadershipChanged
from pimentobend_core._internal.limits.messages import LeadershipProven
from pimentobend_core._internal.limits.messages import OwnerSweep
from pimentobend_core._internal.limits.messages import ReplyReceived
from pimentobend_core._internal.limits.messages import SendAsk
from pimentobend_core._internal.limits.messages import SendDemand
from pimentobend_core._internal.limits.messages import SendGrants
from pimentobend_core._internal.limits.messages import SendReply
from pimentobend_core._internal.limits.messages import TokenDecided
from pimentobend_core._internal.limits.messages import TokenWanted
from pimentobend_core._internal.limits.messages import Verdict
from pimentobend_core._internal.limits.messages import WakeAsker
from pimentobend_core._internal.limits.messages import WakeOwner
from pimentobend_core._internal.limits.messages import WakeStock
from pimentobend_core._internal.limits.owner import CONFIRMED_S
from pimentobend_core._internal.limits.owner import Limits
from pimentobend_core._internal.limits.owner import TokenOwner
from pimentobend_core._internal.limits.stock import TokenStock
from pimentobend_core._internal.limits.terms import Limit
from pimentobend_core._internal.limits.terms import LimitSettings
from pimentobend_core._internal.limits.terms import find_terms
from pimentobend_core._internal.pipes import StatefulFilter

CONFIRM_S = 0.25
WAIT_S = 1.0
NEAR_S = 0.001  # one way, within a data centre
FAR_S = 0.03  # one way, between data centres


class Decided(NamedTuple):
    """What became of a request; times are in seconds."""

    sent_at: float
    at: float
    organisation: str
    verdict: Verdict
    retry_after_s: float


class Tables:
    """The tables in force at one process; version and limits by organisation."""

    def __init__(self, limits: dict[str, Limit]) -> None:
        self.limits = limits
        self.version = Version(1, 1)

    def put(self, version: Version, limits: dict[str, Limit]) -> None:
        """Replace the tables by newer ones."""
        if version > self.version:
            self.version, self.limits = version, limits


class Process:
    """A process of the fleet, with a mailbox that fills up while it is frozen."""

    def __init__(self, address: str, centre: int) -> None:
        self.address = address
        self.centre = centre
        self.start = 0  # number of the start; mail to earlier ones is lost
        self.frozen_until = 0.0
        self.filters: dict[str, StatefulFilter[Any, Any]] = {}


class LimitFleet:
    """Daemons and control instances, their network and the log's leader.

    ``loss`` and ``repeat`` are the shares of messages that are lost and delivered
    twice; ``late_s`` is the longest additional delay. ``faults`` names what must not
    happen whatever the load: it shows faults that the sum of a window hides.
    """

    def __init__(
        self,
        limits: dict[str, Limit],
        settings: LimitSettings,
        daemons: int = 4,
        controls: int = 3,
        centres: int = 2,
        seed: int = 1,
    ) -> None:
        self.now = 1000.0
        self.settings = settings
        self.loss = self.repeat = self.late_s = 0.0
        self.decided: list[Decided] = []
        self.faults: list[str] = []
        self.granted = self.replied = self.used = 0  # tokens
        self.messages = 0
        self.message_kinds: dict[str, int] = {}
        self.random = random.Random(seed)
        self.leader = ""
        self.tables: dict[str, Tables] = {}
        self.newest = Version(1, 1)
        self._limits = limits
        self._granted_by = ""
        self._granted_until = 0.0  # end of the validity of all tokens
        self._earlier_owners: set[str] = set()
        self._election = 0
        self._elected_at: dict[str, float] = {}  # when a replica saw its election
        # Ends of validity and numbers of tokens of the present owner.
        self._granted: dict[str, list[tuple[float, int]]] = {}
        self._highest = limits  # before any is lowered
        self._terms: dict[str, int] = {}  # last election that a replica has heard of
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count(1)
        self._sent_at: dict[tuple[str, int, int], tuple[float, str]] = {}
        self.daemons = [f"d{n}" for n in range(daemons)]
        self.controls = [f"c{n}" for n in range(controls)]
        self.processes = {
            name: Process(name, number % centres)
            for names in (self.daemons, self.controls)
            for number, name in enumerate(names)
        }
        for name in self.processes:
            self._begin(name)
        self.elect(self.controls[0], seen_after_s=0.0)
        self._after(0.0, self._confirm)

    def restart(self, name: str) -> None:
        """Restart a process, which forgets all but its tables."""
        process = self.processes[name]
        process.start += 1
        process.frozen_until = 0.0
        self._begin(name)

    def freeze(self, name: str, seconds: float) -> None:
        """Stop a process for a while; its mail waits."""
        process = self.processes[name]
        process.frozen_until = max(process.frozen_until, self.now + seconds)

    def elect(self, name: str, seen_after_s: float, known_after_s: float = 0.0) -> None:
        """Elect a leader; the others, and the earlier one, hear of it later."""
        self.leader = name
        self._election += 1
        for control in self.controls:
            delay_s = seen_after_s if control == name else known_after_s + seen_after_s
            is_own = control == name
            changed = functools.partial(
                self._note_election, control, self._election, is_own
            )
            self._mail(control, "owner", changed, delay_s)
            self._mail(control, "stock", LeaderKnown(name), delay_s)

    def _note_election(self, name: str, election: int, is_own: bool) -> Any:
        """Return what a replica tells its owner; it hears of elections in order."""
        if election < self._terms.get(name, 0):
            return None
        self._terms[name] = election
        if is_own:
            self._elected_at[name] = self.now
        return LeadershipChanged(is_own)

    def change_limits(
        self, limits: dict[str, Limit], delays_s: dict[str, float]
    ) -> None:
        """Put new limits in force after a delay at each process."""
        self.newest = Version(1, self.newest.log_index + 1)
        self._limits = limits
        for name in self.processes:
            tables, version = self.tables[name], self.newest
            put = lambda t=tables, v=version: t.put(v, limits)  # noqa: E731
            self._after(delays_s.get(name, 0.0), put)

    def request(self, daemon: str, organisation: str, wait_s: float = WAIT_S) -> None:
        """Let a daemon receive a request now."""
        ticket = next(self._numbers)
        process = self.processes[daemon]
        self._sent_at[daemon, process.start, ticket] = (self.now, organisation)
        wanted = lambda: TokenWanted(ticket, organisation, self.now + wait_s)  # noqa: E731
        self._mail(daemon, "asker", wanted, 0.0)

    def schedule(self, at: float, daemon: str, organisation: str) -> None:
        """Let a daemon receive a request at a time (seconds)."""
        self._after(at - self.now, lambda: self.request(daemon, organisation))

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            self.now, _, event = heapq.heappop(self._events)
            event()
        self.now = end

    def _begin(self, name: str) -> None:
        process = self.processes[name]
        if name not in self.tables:
            self.tables[name] = Tables(self._limits)
        tables = self.tables[name]
        number = self.random.getrandbits(50)
        if name in self.daemons:
            process.filters = {"asker": TokenAsker(number)}
            groups = tuple(self._groups(process.centre))
            self._mail(name, "asker", ControlsChanged(groups), 0.0)
            return
        limits = Limits(lambda each: tables.limits.get(each), lambda: tables.version)
        process.filters = {
            "owner": TokenOwner(limits, self.settings),
            "stock": TokenStock(number),
        }
        if self.leader:
            self._mail(name, "stock", LeaderKnown(self.leader), 0.0)

    def _groups(self, centre: int) -> Iterable[tuple[str, ...]]:
        near = tuple(c for c in self.controls if self.processes[c].centre == centre)
        far = tuple(c for c in self.controls if c not in near)
        return (group for group in (near, far) if group)

    def _confirm(self) -> None:
        """Let each control instance ask whether it leads; a majority answers later.

        It is confirmed if it still leads once the question arrives. A replica which
        has not seen its election asks for an earlier one, which no majority confirms.
        """
        self._after(CONFIRM_S, self._confirm)
        for name in self.controls:
            process = self.processes[name]
            if process.frozen_until <= self.now:
                answer = functools.partial(
                    self._answer_confirm,
                    name,
                    self.now,
                    process.start,
                    self._terms.get(name),
                )
                self._after(self.random.uniform(0.0, 0.1), answer)

    def _answer_confirm(
        self, name: str, asked_at: float, start: int, election: int | None
    ) -> None:
        if self.leader == name and self._election == election:
            proven = LeadershipProven(asked_at, self.newest)
            self._mail(name, "owner", proven, 0.01, start)

    def _after(self, delay_s: float, event: Callable[[], None]) -> None:
        entry = (self.now + max(0.0, delay_s), next(self._numbers), event)
        heapq.heappush(self._events, entry)

    def _mail(
        self, name: str, part: str, message: Any, delay_s: float, start: int = -1
    ) -> None:
        """Deliver a message to a part of a process, unless that restarts before."""
        start = self.processes[name].start if start < 0 else start
        self._after(delay_s, lambda: self._deliver(name, part, message, start))

    def _deliver(self, name: str, part: str, message: Any, start: int) -> None:
        process = self.processes[name]
        if process.start != start:
            return
        if process.frozen_until > self.now:
            self._mail(name, part, message, process.frozen_until - self.now, start)
            return
        value = message() if callable(message) else message
        if value is None:
            return
        for output in process.filters[part].handle(value, self.now):
            self._handle(process, output)

    def _handle(self, process: Process, output: Any) -> None:
        name = process.address
        match output:
            case SendAsk():
                self._send(name, output.recipient, "stock", AskReceived, output.ask)
            case SendReply():
                self.replied += output.reply.is_granted
                self._check(self.replied <= self.granted, "a token for two requests")
                self._send(name, output.recipient, "asker", ReplyReceived, output.reply)
            case SendDemand():
                received = output.demand
                self._send(name, output.recipient, "owner", DemandReceived, received)
            case SendGrants():
                self._note_grants(process, output.grants.grants)
                message = lambda sender, grants: GrantsReceived(grants)  # noqa: E731
                self._send(name, output.recipient, "stock", message, output.grants)
            case WakeAsker():
                self._mail(name, "asker", AskerTick(), output.delay_s)
            case WakeStock():
                self._mail(name, "stock", output.message, output.delay_s)
            case WakeOwner():
                self._mail(name, "owner", OwnerSweep(), output.delay_s)
            case TokenDecided():
                self._decide(process, output)

    def _note_grants(self, process: Process, grants: tuple[Grant, ...]) -> None:
        """Check that no owner grants after its successor has begun to."""
        tokens = sum(grant.tokens for grant in grants)
        if not tokens:
            return
        self.granted += tokens
        longest_s = max(grant.valid_s for grant in grants)
        self._granted_until = max(self._granted_until, self.now + longest_s)
        owner = f"{process.address} {process.start} {self._terms[process.address]}"
        if owner != self._granted_by:
            self._check(owner not in self._earlier_owners, "two owners at once")
            self._earlier_owners.add(self._granted_by)
            self._granted_by = owner
            self._granted.clear()
        for grant in grants:
            self._check_terms(process.address, grant)

    def _check_terms(self, owner: str, grant: Grant) -> None:
        """Check an owner's valid tokens and all that it granted since its election."""
        limit = self._highest.get(grant.organisation)
        if limit is None:
            return
        terms = find_terms(limit, self.settings)
        granted = self._granted.setdefault(grant.organisation, [])
        granted.append((self.now + grant.valid_s, grant.tokens))
        valid = sum(tokens for until, tokens in granted if until > self.now)
        self._check(valid <= terms.capacity + 0.001, "more than the capacity")
        since_s = self.now - self._elected_at[owner] - CONFIRMED_S
        refill = terms.refill_per_s * since_s
        total = sum(tokens for _, tokens in granted)
        self._check(total <= refill + 0.001, "more than the refill")
        if since_s < terms.valid_s:
            self._check(total <= terms.first_capacity + 0.001, "too much at first")

    def _check(self, holds: bool, fault: str) -> None:
        if not holds:
            self.faults.append(fault)

    def _send(
        self, sender: str, recipient: str, part: str, kind: Any, message: Any
    ) -> None:
        self.messages += 1
        name = type(message).__name__
        self.message_kinds[name] = self.message_kinds.get(name, 0) + 1
        is_near = self.processes[sender].centre == self.processes[recipient].centre
        base_s = NEAR_S if is_near else FAR_S
        copies = 0 if self.random.random() < self.loss else 1
        copies += self.random.random() < self.repeat
        for _ in range(copies):
            delay_s = base_s + self.random.uniform(0.0, self.late_s)
            self._mail(recipient, part, kind(sender, message), delay_s)

    def _decide(self, process: Process, output: TokenDecided) -> None:
        key = (process.address, process.start, output.ticket)
        sent_at, organisation = self._sent_at.pop(key)
        verdict = output.verdict
        if verdict is Verdict.GRANTED and self.now >= output.valid_until:
            verdict = Verdict.UNKNOWN
        if verdict is Verdict.GRANTED:
            self.used += 1
            self._check(self.used <= self.replied, "a reply for two requests")
            self._check(self.now < self._granted_until, "an expired token")
        decided = Decided(
            sent_at, self.now, organisation, verdict, output.retry_after_s
        )
        self.decided.append(decided)


def count_most(times: list[float], window_s: float) -> int:
    """Return the largest number of times that any window holds."""
    times = sorted(times)
    most = first = 0
    for last, time in enumerate(times):
        while time - times[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def allowed(limit: Limit, settings: LimitSettings) -> float:
    """Return the number of requests that the requirement allows in a window."""
    base = limit.rate_per_s * settings.window_s + limit.burst
    return base * (1 + settings.over) + settings.slack
