"""Check what a host counts against the retry budget in any order of messages."""

from typing import NamedTuple

import hypothesis.strategies as st
import pytest
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from pimentobend_core._internal.forwarding.host import CALL_REPORT_S
from pimentobend_core._internal.forwarding.host import ServerHost
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CallLost
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import DuplicateSubmission
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServerProbed
from pimentobend_core._internal.forwarding.messages import ServerUnlisted
from pimentobend_core._internal.forwarding.messages import ServiceSizes
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import StartDraining
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.shared_budget import REPEATS_SHARE
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

TERMS = BudgetTerms(0.5, 10.0, 10.0)
SERVICES = {"s1": "bookings", "s2": "bookings", "s3": "billing"}
SIZES = ServiceSizes((("bookings", 1), ("billing", 1)))
SLOTS = 3
LATEST_DEADLINE_S = 14.0
SENDERS = (Sender(is_client=True), Sender(), Sender(repeat_share=0.5))

servers = st.sampled_from(sorted(SERVICES))
states = st.sampled_from((ServerState.READY, ServerState.DRAINING))
numbers = st.integers(0, 200)


class Counted(NamedTuple):
    """An attempt that a host has admitted."""

    submit: Submit
    submitted_at: float
    has_started: bool = False


class Ended(NamedTuple):
    """An attempt that was sent to its server."""

    counted: Counted
    ended_at: float
    has_arrived: bool


def weigh(submit: Submit) -> float:
    """Return how much of a repeat an attempt counts as."""
    return 1.0 if submit.is_repeat else submit.sender.repeat_share


class HostBudgetMachine(RuleBasedStateMachine):
    """A host whose servers come, leave and restart while attempts wait and run."""

    def __init__(self) -> None:
        super().__init__()
        self.host = ServerHost(7, TERMS)
        self.now = 0.0
        self.submitted = 0
        self.is_stopping = False
        self.listed: dict[str, Server] = {}
        self.left_at: dict[str, float] = {}
        self.admitted: dict[str, Counted] = {}
        self.ended: list[Ended] = []
        self.known: list[Submit] = []
        self.runs = LocalRuns((), 0.0)
        self.give(SIZES)
        for server_id in SERVICES:
            self.list_server(server_id, ServerState.READY, is_new=False)

    def give(self, message: HostInput) -> tuple[HostOutput, ...]:
        outputs = self.host.handle(message, self.now)
        for output in outputs:
            self._follow(output)
        return outputs

    def _follow(self, output: HostOutput) -> None:
        match output:
            case StartCall():
                counted = self.admitted[output.attempt_id]
                assert not counted.has_started
                self.admitted[output.attempt_id] = counted._replace(has_started=True)
            case Declined():
                counted_declined = self.admitted.pop(output.attempt_id)
                assert not counted_declined.has_started
                self._check_state(output, counted_declined.submit.server_id)
            case CallLost():
                self._end(output.attempt_id, has_arrived=True)
            case LocalRuns():
                self.runs = output

    def _end(self, attempt_id: str, *, has_arrived: bool) -> None:
        counted = self.admitted.pop(attempt_id)
        self.ended.append(Ended(counted, self.now, has_arrived))

    def _check_state(self, declined: Declined, server_id: str) -> None:
        """Compare what the host has counted with what was seen from outside."""
        if declined.reason is not DeclineReason.BUDGET:
            return
        assert declined.budget is not None
        service = SERVICES[server_id]
        begins_at = self.now - TERMS.window_s
        of_service = [
            each
            for each in self.ended
            if SERVICES[each.counted.submit.server_id] == service
        ]
        repeats = sum(
            weigh(each.submit)
            for each in self.admitted.values()
            if SERVICES[each.submit.server_id] == service
        )
        repeats += sum(
            weigh(each.counted.submit)
            for each in of_service
            if each.ended_at >= begins_at
        )
        firsts = [
            each
            for each in of_service
            if each.has_arrived
            and each.counted.submitted_at >= begins_at
            and each.counted.submit.sender.is_client
            and not each.counted.submit.is_repeat
        ]
        assert declined.budget.repeats == pytest.approx(repeats)
        assert declined.budget.first == len(firsts)

    @rule(
        server_id=servers,
        sender=st.sampled_from(SENDERS),
        is_repeat=st.booleans(),
        is_repeatable=st.booleans(),
        remaining_s=st.floats(0.0, LATEST_DEADLINE_S),
        count=st.integers(1, 8),
    )
    def submit(
        self,
        server_id: str,
        sender: Sender,
        is_repeat: bool,
        is_repeatable: bool,
        remaining_s: float,
        count: int,
    ) -> None:
        for _ in range(count):
            self.submitted += 1
            submit = Submit(
                str(self.submitted),
                server_id,
                "r1",
                1,
                is_repeatable,
                1.0,
                self.now + remaining_s,
                is_repeat=is_repeat,
                sender=sender,
            )
            self.known.append(submit)
            self.admitted[submit.attempt_id] = Counted(submit, self.now)
            self.give(submit)

    @rule(number=numbers)
    def submit_again(self, number: int) -> None:
        if self.known:
            submit = self.known[number % len(self.known)]
            # A copy does not come later than the host keeps its record.
            if self.now < submit.deadline:
                copies = self.give(submit)
                assert copies == (DuplicateSubmission(submit.attempt_id),)

    @rule(number=numbers, only_queued=st.booleans())
    def withdraw(self, number: int, only_queued: bool) -> None:
        if self.known:
            attempt_id = self.known[number % len(self.known)].attempt_id
            self.give(Withdraw(attempt_id, only_queued))

    @rule(number=numbers, kind=st.sampled_from(EndKind))
    def end_call(self, number: int, kind: EndKind) -> None:
        started = [each for each, state in self.admitted.items() if state.has_started]
        if started:
            attempt_id = started[number % len(started)]
            self._end(attempt_id, has_arrived=kind is not EndKind.UNREACHABLE)
            self.give(CallEnded(attempt_id, kind, kind is EndKind.GOOD))

    @rule(number=numbers, kind=st.sampled_from(EndKind))
    def report_an_ended_call_again(self, number: int, kind: EndKind) -> None:
        if self.ended:
            counted = self.ended[number % len(self.ended)].counted
            self.give(CallEnded(counted.submit.attempt_id, kind))

    @rule(server_id=servers, state=states, is_new=st.booleans())
    def list_server(self, server_id: str, state: ServerState, is_new: bool) -> None:
        known = self.listed.get(server_id)
        incarnation = 1 if known is None else known.incarnation + is_new
        server = Server(
            server_id,
            SERVICES[server_id],
            "10.0.0.1",
            80,
            SLOTS,
            "a",
            "r",
            state,
            incarnation,
        )
        self._forget_unused()
        self.left_at.pop(server.service, None)
        self.listed[server_id] = server
        self.give(ServerListed(server))

    @rule(server_id=servers)
    def unlist_server(self, server_id: str) -> None:
        server = self.listed.pop(server_id, None)
        if server is None:
            return
        if all(each.service != server.service for each in self.listed.values()):
            self.left_at[server.service] = self.now
        self.give(ServerUnlisted(server_id))

    @rule(server_id=servers, is_listening=st.booleans())
    def probe(self, server_id: str, is_listening: bool) -> None:
        server = self.listed.get(server_id)
        if server is not None:
            self.give(ServerProbed(server_id, server.incarnation, is_listening))

    @rule(seconds=st.sampled_from((0.01, 0.3, 1.0, 4.0, 11.0)))
    def advance(self, seconds: float) -> None:
        self.now += seconds
        self._forget_unused()
        self.give(HostTick())

    @rule()
    def drain(self) -> None:
        if self.submitted > 30:
            self.is_stopping = True
            self.give(StartDraining(self.now + 3.0))

    def _forget_unused(self) -> None:
        """Drop what was counted for services without a server for a window."""
        for service, at in tuple(self.left_at.items()):
            if self.now - at >= TERMS.window_s:
                del self.left_at[service]
                self.ended = [
                    each
                    for each in self.ended
                    if SERVICES[each.counted.submit.server_id] != service
                ]

    @invariant()
    def the_runs_are_those_that_started(self) -> None:
        started = [each for each in self.admitted.values() if each.has_started]
        weights = sorted(weigh(each.submit) for each in started)
        assert sorted(each.repeat_share for each in self.runs.runs) == weights

    @invariant()
    def all_servers_are_answered_for(self) -> None:
        for service in sorted(set(SERVICES.values())):
            outputs = self.give(Ask(1, service, "r1"))
            assert [each.token for each in outputs if isinstance(each, Bids)] == [1]

    def teardown(self) -> None:
        """Once all deadlines have passed, nothing counts that came before."""
        self.now += LATEST_DEADLINE_S + CALL_REPORT_S
        self.advance(0.1)
        assert self.runs.runs == ()
        if self.is_stopping:
            return
        for server_id in SERVICES:
            self.list_server(server_id, ServerState.READY, is_new=True)
        self.now += TERMS.window_s + 1.0
        self.advance(0.1)
        for server_id, service in (("s1", "bookings"), ("s3", "billing")):
            declined = self._spend(server_id)
            assert declined.budget is not None, service
            assert declined.budget.repeats == REPEATS_SHARE * TERMS.allowance

    def _spend(self, server_id: str) -> Declined:
        """Submit repeats until the first is declined."""
        while True:
            self.submitted += 1
            attempt_id = str(self.submitted)
            submit = Submit(
                attempt_id,
                server_id,
                "r1",
                1,
                True,
                1.0,
                self.now + 9.0,
                is_repeat=True,
            )
            self.admitted[attempt_id] = Counted(submit, self.now)
            for output in self.give(submit):
                if isinstance(output, Declined):
                    return output


HostBudgetMachine.TestCase.settings = settings(
    derandomize=True, max_examples=200, stateful_step_count=40, deadline=None
)
TestHostBudget = HostBudgetMachine.TestCase
