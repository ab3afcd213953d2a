"""Decide when and where to send the attempts of one request.

A repeat is a retry or a hedge. An attempt is rejected if its server is known not
to have run it: the daemon or the server declined it, or no connection was made.
"""

import enum
from collections.abc import Mapping

from pimentobend_core._internal.forwarding.admission import Admission
from pimentobend_core._internal.forwarding.delivery_messages import AskServers
from pimentobend_core._internal.forwarding.delivery_messages import AttemptDone
from pimentobend_core._internal.forwarding.delivery_messages import CallerLeft
from pimentobend_core._internal.forwarding.delivery_messages import CancelAttempt
from pimentobend_core._internal.forwarding.delivery_messages import CancelUnsent
from pimentobend_core._internal.forwarding.delivery_messages import Deliver
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryInput
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryOutput
from pimentobend_core._internal.forwarding.delivery_messages import FinishBy
from pimentobend_core._internal.forwarding.delivery_messages import GiveUp
from pimentobend_core._internal.forwarding.delivery_messages import Held
from pimentobend_core._internal.forwarding.delivery_messages import HoldReason
from pimentobend_core._internal.forwarding.delivery_messages import Offers
from pimentobend_core._internal.forwarding.delivery_messages import RecallAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Stop
from pimentobend_core._internal.forwarding.delivery_messages import TimerDue
from pimentobend_core._internal.forwarding.delivery_messages import WakeAt
from pimentobend_core._internal.forwarding.holding import AskInterval
from pimentobend_core._internal.forwarding.holding import Waiting
from pimentobend_core._internal.forwarding.holding import find_busy_reason
from pimentobend_core._internal.forwarding.holding import find_hold_reason
from pimentobend_core._internal.forwarding.holding import hedge_delay_s
from pimentobend_core._internal.forwarding.holding import max_hold_s
from pimentobend_core._internal.forwarding.holding import usual_p90_s
from pimentobend_core._internal.forwarding.messages import Bid
from pimentobend_core._internal.forwarding.recalls import Recalls
from pimentobend_core._internal.forwarding.recalls import SubmittedAttempt
from pimentobend_core._internal.forwarding.rejection import make_blocked_refusal
from pimentobend_core._internal.forwarding.rejection import make_refusal
from pimentobend_core._internal.forwarding.rejection import must_reject
from pimentobend_core._internal.forwarding.rejection import retry_after_s
from pimentobend_core._internal.forwarding.search import Wanted
from pimentobend_core._internal.forwarding.search import find_next_distance
from pimentobend_core._internal.forwarding.selection import MIN_TIME_S
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.forwarding.selection import Requirements
from pimentobend_core._internal.models.request import UNKNOWN_SENDER
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.tables import DEFAULT_MAX_ATTEMPTS
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.request.dispatch import RetryPolicy
from pimentobend_core._internal.request.promises import withhold_promise

MAX_REJECTIONS = 12  # rejected attempts after which the request is refused
SERVER_ERROR = 500
MS_PER_S = 1000


class _Phase(enum.Enum):
    ASKING = "asking"
    WAITING = "waiting"
    ENDED = "ended"


class Delivery(StatefulFilter[DeliveryInput, DeliveryOutput]):
    """State machine of one request, from its route to its answer.

    Asks daemons for bids, sends attempts to the best server, retries and hedges
    requests that may be repeated, and ends with an answer or a refusal.
    """

    def __init__(
        self,
        request_id: str,
        route: Route,
        pool: str,
        deadline: float,
        can_replay: bool,
        retry_policy: RetryPolicy,
        body_bytes: int | None = 0,
    ) -> None:
        self._request_id = request_id
        self._admission = Admission(request_id, UNKNOWN_SENDER)
        self._pool = pool
        self._deadline = deadline
        self._can_replay = can_replay
        self._body_bytes = body_bytes
        self._is_repeatable = route.repeatable
        self._max_attempts = route.max_attempts or DEFAULT_MAX_ATTEMPTS
        self._target_s = route.target_latency_ms / MS_PER_S
        self._retry_policy = retry_policy
        self._phase = _Phase.WAITING
        self._started_at = 0.0
        self._last_number = 0
        self._running: dict[int, SubmittedAttempt] = {}  # by number
        self._recalls = Recalls()
        self._tried: set[str] = set()  # servers that the request may have run on
        self._rejected_by: set[str] = set()  # servers that rejected it recently
        self._attempts_made = 0  # attempts that were not rejected
        self._rejections = 0  # attempts that were rejected
        self._has_arrived = False  # an attempt has reached a server
        self._ran = Ran.NOT_RUN  # as far as known from all attempts
        self._hedge_at: float | None = None
        self._next_ask_at: float | None = None
        self._ask_interval = AskInterval()
        self._offered: tuple[Candidate, ...] = ()  # servers that were asked last
        self._hold_reason: HoldReason | None = None
        self._wait_s = 0.0  # wait that the best server stated last
        self._is_stopping = False
        # An answer of status 5xx, which is delivered if no better one comes.
        self._failed_answer: AttemptDone | None = None
        self._is_suspect = False  # it may have crashed servers
        self._blocked_s = 0.0  # time left of the request's block; 0 without one

    def begin(
        self, now: float, sender: Sender = UNKNOWN_SENDER
    ) -> tuple[DeliveryOutput, ...]:
        """Start the request at ``now`` (seconds) and return its first outputs."""
        self._admission = Admission(self._request_id, sender)
        self._started_at = now
        return (*self._ask(Distance.DATA_CENTRE), self._next_wake())

    def handle(self, message: DeliveryInput, now: float) -> tuple[DeliveryOutput, ...]:
        """Process one message and return what follows; nothing once it has ended."""
        if self._phase is _Phase.ENDED:
            return ()
        match message:
            case Offers():
                outputs = self._handle_offers(message, now)
            case AttemptDone():
                outputs = self._handle_attempt_done(message, now)
            case TimerDue():
                outputs = self._handle_timer(now)
            case CallerLeft():
                outputs = (*self._cancel_all(), self._finish(Stop()))
            case CancelUnsent():
                outputs = self._cancel_unsent(now)
            case FinishBy():
                outputs = self._plan_finish(message, now)
            case GiveUp():
                outputs = self._give_up(now)
        return outputs if self._is_ended() else (*outputs, self._next_wake())

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "request_id": self._request_id,
            "pool": self._pool,
            "phase": self._phase.value,
            "running": [each.candidate.server_id for each in self._running.values()],
            "tried": sorted(self._tried),
            "ran": self._ran.value,
        }

    def _is_ended(self) -> bool:
        return self._phase is _Phase.ENDED

    def _ask(self, distance: Distance) -> tuple[DeliveryOutput, ...]:
        self._phase = _Phase.ASKING
        self._next_ask_at = None
        return (AskServers(distance),)

    def _requirements(self, now: float) -> Requirements:
        has_second_chance = (
            self._is_repeatable
            and self._can_replay
            and not self._running
            and self._attempts_made + 1 < self._max_attempts
        )
        target_s = self._target_s
        if target_s:
            target_s = max(MIN_TIME_S, self._started_at + target_s - now)
        return Requirements(
            has_second_chance,
            target_s,
            self._deadline - now,
            body_bytes=self._body_bytes,
        )

    def _next_wake(self) -> WakeAt:
        times = (self._deadline, self._hedge_at, self._next_ask_at)
        known = (each for each in (*times, *self._recalls.times) if each is not None)
        return WakeAt(min(known))

    def _handle_offers(self, offers: Offers, now: float) -> tuple[DeliveryOutput, ...]:
        if self._phase is not _Phase.ASKING or self._is_stopping or self._blocked_s:
            return ()
        if self._admission.refuses((each.bid for each in offers.candidates), now):
            self._wait_s = self._deadline - now  # callers return spread widely
            detail = "the services that the request needs have no room"
            return self._refuse(RefusalReason.NO_ROOM_BEHIND, detail, now)
        self._offered = offers.candidates
        wanted = Wanted(
            self._requirements(now),
            frozenset(self._tried | self._rejected_by),
            tuple(each.candidate for each in self._running.values()),
            self._is_repeat(),
        )
        selection = wanted.select(offers.candidates)
        if selection.best is None and selection.is_hedge_optional and offers.candidates:
            return self._hold(find_busy_reason(selection), now)
        next_distance = find_next_distance(offers, selection.best, wanted)
        if next_distance is not None:
            return self._ask(next_distance)
        if selection.best is None and selection.lacks_budget:
            # A failed answer is delivered at once rather than wait for budget.
            can_wait = self._running or self._failed_answer is None
            if not can_wait:
                return self._end_with_failure(now)
        waiting = Waiting(
            bool(self._running),
            self._is_repeatable,
            now - self._started_at,
            self._target_s,
        )
        reason = find_hold_reason(selection, waiting)
        if selection.best is None or reason is not None:
            return self._hold(reason or HoldReason.NO_SERVER, now)
        if self._must_reject(selection.best.candidate.bid, now):
            return self._end_with_failure(now)
        return self._send(selection.best.candidate, now)

    def _must_reject(self, bid: Bid, now: float) -> bool:
        """Return whether the request cannot be served, not even by the best server."""
        self._wait_s = bid.wait_s
        times_s = (self._deadline - now, self._recalls.finish_by - now)
        return not self._running and must_reject(
            bid, *times_s, is_repeatable=self._is_repeatable
        )

    def _hold(self, reason: HoldReason, now: float) -> tuple[DeliveryOutput, ...]:
        """Wait before asking again, and report the reason if it has changed."""
        self._phase = _Phase.WAITING
        reports = (
            () if reason is self._hold_reason else (Held(reason, bool(self._running)),)
        )
        self._hold_reason = reason
        if self._running:
            self._hedge_at = now + self._ask_interval.take_s(reason)
            return reports
        hold_s = max_hold_s(
            self._deadline - self._started_at,
            self._target_s,
            has_arrived=self._has_arrived,
        )
        if now >= self._started_at + hold_s:
            return self._end_with_failure(now)
        self._next_ask_at = now + self._ask_interval.take_s(reason)
        self._rejected_by.clear()
        return reports

    def _send(self, candidate: Candidate, now: float) -> tuple[DeliveryOutput, ...]:
        self._phase = _Phase.WAITING
        is_hedge = bool(self._running)
        is_repeat = self._is_repeat()
        if is_repeat and not self._retry_policy.may_retry(self._pool, now):
            if is_hedge:
                return self._hold(HoldReason.BUDGET, now)
            return self._end_with_failure(now)
        self._last_number += 1
        submitted = SubmittedAttempt(self._last_number, candidate, now)
        self._running[self._last_number] = submitted
        self._recalls.plan(submitted)
        self._tried.add(candidate.server_id)
        self._attempts_made += 1
        self._hedge_at = self._find_hedge_time(candidate, now)
        demand = self._admission.demand
        return (SendAttempt(self._last_number, candidate, is_hedge, is_repeat, demand),)

    def _is_repeat(self) -> bool:
        """Return whether one more attempt would draw on the retry budget."""
        return bool(self._running) or self._has_arrived

    def _find_hedge_time(self, candidate: Candidate, now: float) -> float | None:
        if not self._may_hedge():
            return None
        others = self._offered if self._retry_policy.limits_copies else ()
        usual_s = usual_p90_s(each.bid for each in others)
        delay_s = hedge_delay_s(candidate.bid, usual_s, self._target_s)
        return now + delay_s

    def _may_hedge(self) -> bool:
        if not self._is_repeatable or not self._can_replay:
            return False
        if self._is_suspect or self._blocked_s:
            return False
        return (
            self._attempts_made < self._max_attempts
            and self._rejections < MAX_REJECTIONS
        )

    def _handle_attempt_done(
        self, done: AttemptDone, now: float
    ) -> tuple[DeliveryOutput, ...]:
        submitted = self._running.pop(done.number, None)
        self._recalls.forget(done.number)
        if submitted is None:
            return ()
        candidate = submitted.candidate
        self._is_suspect = self._is_suspect or done.is_suspect
        self._blocked_s = self._blocked_s or done.blocked_s
        match done.kind:
            case AttemptKind.ANSWERED:
                self._has_arrived = True
                return self._handle_answer(done, now)
            case AttemptKind.DECLINED | AttemptKind.NOT_CONNECTED:
                self._record_rejection(candidate)
                return self._try_another_server(
                    now, is_body_unsent=not done.is_body_spent
                )
            case AttemptKind.REFUSED:
                self._has_arrived = True
                self._record_rejection(candidate)
                return self._try_another_server(now, is_body_unsent=False)
            case _:
                self._has_arrived = True
                self._ran = Ran.UNKNOWN
                return self._retry(now)

    def _record_rejection(self, candidate: Candidate) -> None:
        self._attempts_made -= 1
        self._tried.discard(candidate.server_id)
        self._rejected_by.add(candidate.server_id)

    def _handle_answer(
        self, done: AttemptDone, now: float
    ) -> tuple[DeliveryOutput, ...]:
        withheld = withhold_promise(done.status, is_repeatable=self._is_repeatable)
        if withheld is not None:
            return (*self._cancel_all(), self._finish(Refuse(withheld)))
        if done.status < SERVER_ERROR:
            self._retry_policy.succeeded(self._pool, now)
            return (*self._cancel_all(), self._finish(Deliver(done.number)))
        self._ran = Ran.RAN
        self._failed_answer = done
        return self._retry(now)

    def _try_another_server(
        self, now: float, *, is_body_unsent: bool
    ) -> tuple[DeliveryOutput, ...]:
        """Try another server after one rejected the attempt without running it."""
        self._rejections += 1
        if (self._is_stopping or self._blocked_s) and not self._running:
            return self._end_with_failure(now)
        if self._running:
            if self._may_hedge():
                self._hedge_at = now + self._ask_interval.take_s()
            return ()
        if self._rejections >= MAX_REJECTIONS:
            detail = "every server declined the request"
            return self._refuse(RefusalReason.BACKEND, detail, now)
        if not self._can_replay and not is_body_unsent:
            detail = "a server refused the request, whose body cannot be sent again"
            return self._refuse(RefusalReason.BACKEND, detail, now)
        return self._ask(Distance.DATA_CENTRE)

    def _retry(self, now: float) -> tuple[DeliveryOutput, ...]:
        """Retry a failed attempt if the request may run more than once."""
        self._hedge_at = None
        if self._running:
            return ()
        may_repeat = self._is_repeatable and self._can_replay
        is_spent = self._attempts_made >= self._max_attempts or self._is_stopping
        if not may_repeat or is_spent or self._blocked_s:
            return self._end_with_failure(now)
        return self._ask(Distance.DATA_CENTRE)

    def _end_with_failure(self, now: float) -> tuple[DeliveryOutput, ...]:
        """Deliver the failed answer if there is one; otherwise refuse the request."""
        if self._failed_answer is not None:
            return (self._finish(Deliver(self._failed_answer.number)),)
        if self._blocked_s:
            return self._refuse_blocked()
        if self._ran is Ran.NOT_RUN:
            return self._refuse(
                RefusalReason.NO_SERVER, "no server accepts the request", now
            )
        return self._refuse(RefusalReason.BACKEND, "the server did not answer", now)

    def _cancel_unsent(self, now: float) -> tuple[DeliveryOutput, ...]:
        """End the request now, or once the attempts that are running have ended."""
        self._is_stopping = True
        if not self._running:
            return self._end_with_failure(now)
        return tuple(RecallAttempt(number) for number in self._running)

    def _give_up(self, now: float) -> tuple[DeliveryOutput, ...]:
        """End the request at once; what is running may end without a caller."""
        if self._running:
            self._ran = Ran.UNKNOWN
        return (*self._cancel_all(), *self._end_with_failure(now))

    def _handle_timer(self, now: float) -> tuple[DeliveryOutput, ...]:
        if now >= self._deadline:
            return self._expire(now)
        return (*self._recall_due(now), *self._ask_if_due(now))

    def _plan_finish(self, finish: FinishBy, now: float) -> tuple[DeliveryOutput, ...]:
        is_late = self._started_at >= finish.noticed_at
        if is_late and self._deadline > finish.ends_at:
            self._wait_s = finish.ends_at - now  # another process follows this one
            detail = "the process ends before the request must have ended"
            return self._refuse(RefusalReason.DRAINING, detail, now)
        self._recalls.plan_all(finish.at, self._running.values())
        return self._recall_due(now)

    def _recall_due(self, now: float) -> tuple[DeliveryOutput, ...]:
        return tuple(RecallAttempt(number) for number in self._recalls.take_due(now))

    def _ask_if_due(self, now: float) -> tuple[DeliveryOutput, ...]:
        """Ask for bids again where a hedge or the next try is due."""
        if self._hedge_at is not None and now >= self._hedge_at:
            self._hedge_at = None
            is_idle = self._phase is _Phase.WAITING and not self._is_stopping
            if is_idle and self._running:
                return self._ask(Distance.DATA_CENTRE)
        if self._next_ask_at is not None and now >= self._next_ask_at:
            return self._ask(Distance.DATA_CENTRE)
        return ()

    def _expire(self, now: float) -> tuple[DeliveryOutput, ...]:
        if self._running:
            self._ran = Ran.UNKNOWN
        cancelled = self._cancel_all()
        if self._failed_answer is not None:
            return (*cancelled, self._finish(Deliver(self._failed_answer.number)))
        detail = "the deadline passed before an answer came"
        return (*cancelled, *self._refuse(RefusalReason.DEADLINE, detail, now))

    def _cancel_all(self) -> tuple[DeliveryOutput, ...]:
        outputs = tuple(CancelAttempt(number) for number in self._running)
        for number in self._running:
            self._recalls.forget(number)
        self._running.clear()
        return outputs

    def _refuse(
        self, reason: RefusalReason, detail: str, now: float
    ) -> tuple[DeliveryOutput, ...]:
        pause_s = retry_after_s(self._request_id, self._wait_s, self._deadline - now)
        refusal = make_refusal(self._ran, reason, detail, pause_s)
        return (self._finish(Refuse(refusal)),)

    def _refuse_blocked(self) -> tuple[DeliveryOutput, ...]:
        """Refuse a request that crashes servers; it may have run on some of them."""
        refusal = make_blocked_refusal(self._ran, self._blocked_s)
        return (self._finish(Refuse(refusal)),)

    def _finish(self, output: DeliveryOutput) -> DeliveryOutput:
        self._phase = _Phase.ENDED
        return output
