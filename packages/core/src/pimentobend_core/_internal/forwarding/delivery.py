"""Decide the attempts of one request, from its route to its answer."""

import enum
import zlib
from collections.abc import Mapping

from pimentobend_core._internal.forwarding.delivery_messages import AskServers
from pimentobend_core._internal.forwarding.delivery_messages import AttemptDone
from pimentobend_core._internal.forwarding.delivery_messages import CallerLeft
from pimentobend_core._internal.forwarding.delivery_messages import CancelAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Deliver
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryInput
from pimentobend_core._internal.forwarding.delivery_messages import DeliveryOutput
from pimentobend_core._internal.forwarding.delivery_messages import EndWaiting
from pimentobend_core._internal.forwarding.delivery_messages import Held
from pimentobend_core._internal.forwarding.delivery_messages import HoldReason
from pimentobend_core._internal.forwarding.delivery_messages import Offers
from pimentobend_core._internal.forwarding.delivery_messages import RecallAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Refuse
from pimentobend_core._internal.forwarding.delivery_messages import SendAttempt
from pimentobend_core._internal.forwarding.delivery_messages import Stop
from pimentobend_core._internal.forwarding.delivery_messages import TimerDue
from pimentobend_core._internal.forwarding.delivery_messages import WakeAt
from pimentobend_core._internal.forwarding.selection import HEDGE_COST_LIMIT
from pimentobend_core._internal.forwarding.selection import RISK_LIMIT
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.forwarding.selection import Found
from pimentobend_core._internal.forwarding.selection import Need
from pimentobend_core._internal.forwarding.selection import find_next
from pimentobend_core._internal.forwarding.selection import is_worth_asking
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.tables import DEFAULT_MAX_ATTEMPTS
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.request.dispatch import RetryPolicy

MAX_OFFERS = 12  # of work that was declined or refused unrun
ASK_AGAIN_S = 0.1  # while no server takes the work or a hedge, doubled each time
ASK_AGAIN_MAX_S = 0.8
HOLD_SHARE = 0.6  # of the time left, in which unsent work waits for a server
RISK_HOLD_SHARE = 0.2  # of the target, in which unsafe work waits for a sound server
HEDGE_MULTIPLE = 1.2  # of the time in which nine of ten requests are answered
HEDGE_LEAST_S = 0.05
HEDGE_TARGET_SHARE = 0.5  # of the target, at which a hedge is due at the latest
RETRY_AFTER_S = 1.0
SERVER_ERROR = 500
MS_PER_S = 1000


class _Phase(enum.Enum):
    ASKING = "asking"
    WAITING = "waiting"
    ENDED = "ended"


class Delivery(StatefulFilter[DeliveryInput, DeliveryOutput]):
    """Own the attempts of one request."""

    def __init__(
        self,
        request_id: str,
        route: Route,
        pool: str,
        deadline: float,
        can_replay: bool,
        repeats: RetryPolicy,
    ) -> None:
        self._request_id = request_id
        self._pool = pool
        self._deadline = deadline
        self._can_replay = can_replay
        self._is_repeatable = route.repeatable
        self._max_attempts = route.max_attempts or DEFAULT_MAX_ATTEMPTS
        self._target_s = route.target_latency_ms / MS_PER_S
        self._repeats = repeats
        self._phase = _Phase.WAITING
        self._begun_at = 0.0
        self._numbers = 0
        self._running: dict[int, Candidate] = {}
        self._tried: set[str] = set()  # servers that the request may have run on
        self._turned_away: set[str] = set()  # servers that took no work just now
        self._reached = 0  # servers that the request may have run on
        self._offers = 0  # that were declined or refused
        self._has_arrived = False  # an attempt has reached a server
        self._ran = Ran.NOT_RUN
        self._hedge_at: float | None = None
        self._ask_at: float | None = None
        self._ask_again_s = ASK_AGAIN_S
        self._held_for: HoldReason | None = None
        self._is_ending = False
        self._failed: AttemptDone | None = None  # an answer to give if no better comes

    def begin(self, now: float) -> tuple[DeliveryOutput, ...]:
        """Return the first steps at ``now`` (seconds)."""
        self._begun_at = now
        return (*self._ask(Distance.DATA_CENTRE), self._wake())

    def handle(self, message: DeliveryInput, now: float) -> tuple[DeliveryOutput, ...]:
        """Take offers, the end of an attempt, or the passing of time."""
        if self._phase is _Phase.ENDED:
            return ()
        match message:
            case Offers():
                outputs = self._take_offers(message, now)
            case AttemptDone():
                outputs = self._end(message, now)
            case TimerDue():
                outputs = self._time(now)
            case CallerLeft():
                outputs = (*self._cancel_all(), self._finish(Stop()))
            case EndWaiting():
                outputs = self._end_waiting()
        return outputs if self._is_ended() else (*outputs, self._wake())

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "request_id": self._request_id,
            "pool": self._pool,
            "phase": self._phase.value,
            "running": [each.server_id for each in self._running.values()],
            "tried": sorted(self._tried),
            "ran": self._ran.value,
        }

    def _is_ended(self) -> bool:
        return self._phase is _Phase.ENDED

    def _ask(self, distance: Distance) -> tuple[DeliveryOutput, ...]:
        self._phase = _Phase.ASKING
        self._ask_at = None
        return (AskServers(distance),)

    def _need(self) -> Need:
        has_second_chance = (
            self._is_repeatable
            and self._can_replay
            and not self._running
            and self._reached + 1 < self._max_attempts
        )
        return Need(has_second_chance, self._target_s)

    def _wake(self) -> WakeAt:
        times = (self._deadline, self._hedge_at, self._ask_at)
        return WakeAt(min(each for each in times if each is not None))

    def _take_offers(self, offers: Offers, now: float) -> tuple[DeliveryOutput, ...]:
        if self._phase is not _Phase.ASKING or self._is_ending:
            return ()
        found = find_next(
            offers.candidates,
            self._need(),
            frozenset(self._tried | self._turned_away),
            tuple(self._running.values()),
            is_repeat=self._is_repeat(),
        )
        if found.best is None and found.is_spare_hedge and offers.candidates:
            return self._hold(HoldReason.BUSY, now)
        if offers.distance < Distance.FAR:
            further = Distance(offers.distance + 1)
            if is_worth_asking(further, found.best, self._need()):
                return self._ask(further)
        if found.best is None and found.lacks_budget:
            # an answer that failed is given at once
            can_wait = self._running or self._failed is None
            if not can_wait:
                return self._give_failed()
        reason = self._find_hold(found, now)
        if found.best is None or reason is not None:
            return self._hold(reason or HoldReason.NO_SERVER, now)
        return self._send(found.best.candidate, now)

    def _find_hold(self, found: Found, now: float) -> HoldReason | None:
        """Return why the best server is not used now, if it is not."""
        if found.best is None:
            return HoldReason.BUDGET if found.lacks_budget else HoldReason.NO_SERVER
        if self._running:
            is_dear = found.best.cost > HEDGE_COST_LIMIT
            return HoldReason.COST if is_dear else None
        if self._is_repeatable or found.best.candidate.bid.risk < RISK_LIMIT:
            return None
        is_early = now - self._begun_at < RISK_HOLD_SHARE * self._target_s
        return HoldReason.RISK if is_early else None

    def _hold(self, reason: HoldReason, now: float) -> tuple[DeliveryOutput, ...]:
        """Wait before the next question; say why, once for each reason in turn."""
        self._phase = _Phase.WAITING
        held = () if reason is self._held_for else (Held(reason, bool(self._running)),)
        self._held_for = reason
        if self._running:
            self._hedge_at = self._next_ask(now)
            return held
        hold_s = HOLD_SHARE * (self._deadline - self._begun_at)
        if self._has_arrived and self._target_s:
            hold_s = min(hold_s, self._target_s)
        if now >= self._begun_at + hold_s:
            return self._give_failed()
        self._ask_at = self._next_ask(now)
        self._turned_away.clear()
        return held

    def _next_ask(self, now: float) -> float:
        pause_s = self._ask_again_s
        self._ask_again_s = min(ASK_AGAIN_MAX_S, 2 * pause_s)
        return now + pause_s

    def _send(self, candidate: Candidate, now: float) -> tuple[DeliveryOutput, ...]:
        self._phase = _Phase.WAITING
        is_hedge = bool(self._running)
        is_repeat = self._is_repeat()
        if is_repeat and not self._repeats.may_retry(self._pool, now):
            if is_hedge:
                return self._hold(HoldReason.BUDGET, now)
            return self._give_failed()
        self._numbers += 1
        self._running[self._numbers] = candidate
        self._tried.add(candidate.server_id)
        self._reached += 1
        self._hedge_at = self._find_hedge_time(candidate, now)
        return (SendAttempt(self._numbers, candidate, is_hedge, is_repeat),)

    def _is_repeat(self) -> bool:
        """Say whether one more attempt would draw on the retry budget."""
        return bool(self._running) or self._has_arrived

    def _find_hedge_time(self, candidate: Candidate, now: float) -> float | None:
        if not self._may_hedge():
            return None
        bid = candidate.bid
        delay_s = bid.wait_s + max(HEDGE_LEAST_S, HEDGE_MULTIPLE * bid.usual_s)
        if self._target_s:
            delay_s = min(delay_s, HEDGE_TARGET_SHARE * self._target_s)
        return now + delay_s

    def _may_hedge(self) -> bool:
        if not self._is_repeatable or not self._can_replay:
            return False
        return self._reached < self._max_attempts and self._offers < MAX_OFFERS

    def _end(self, done: AttemptDone, now: float) -> tuple[DeliveryOutput, ...]:
        candidate = self._running.pop(done.number, None)
        if candidate is None:
            return ()
        match done.kind:
            case AttemptKind.ANSWERED:
                self._has_arrived = True
                return self._take_answer(done, now)
            case AttemptKind.DECLINED | AttemptKind.NOT_CONNECTED:
                self._turn_away(candidate)
                return self._offer_again(now, is_free=True)
            case AttemptKind.REFUSED:
                self._has_arrived = True
                self._turn_away(candidate)
                return self._offer_again(now, is_free=False)
            case _:
                self._has_arrived = True
                self._ran = Ran.UNKNOWN
                return self._retry(now)

    def _turn_away(self, candidate: Candidate) -> None:
        self._reached -= 1
        self._tried.discard(candidate.server_id)
        self._turned_away.add(candidate.server_id)

    def _take_answer(self, done: AttemptDone, now: float) -> tuple[DeliveryOutput, ...]:
        if done.status < SERVER_ERROR:
            self._repeats.succeeded(self._pool, now)
            return (*self._cancel_all(), self._finish(Deliver(done.number)))
        self._ran = Ran.RAN
        self._failed = done
        return self._retry(now)

    def _offer_again(self, now: float, *, is_free: bool) -> tuple[DeliveryOutput, ...]:
        """Offer work elsewhere that has not run."""
        self._offers += 1
        if self._is_ending and not self._running:
            return self._give_failed()
        if self._running:
            if self._may_hedge():
                self._hedge_at = self._next_ask(now)
            return ()
        if self._offers >= MAX_OFFERS:
            return self._give_up(RefusalReason.BACKEND, "every server turned it away")
        if not self._can_replay and not is_free:
            return self._give_up(RefusalReason.BACKEND, "the body was sent")
        return self._ask(Distance.DATA_CENTRE)

    def _retry(self, now: float) -> tuple[DeliveryOutput, ...]:
        """Repeat work that may run more than once."""
        self._hedge_at = None
        if self._running:
            return ()
        may_repeat = self._is_repeatable and self._can_replay
        is_spent = self._reached >= self._max_attempts or self._is_ending
        if not may_repeat or is_spent:
            return self._give_failed()
        return self._ask(Distance.DATA_CENTRE)

    def _give_failed(self) -> tuple[DeliveryOutput, ...]:
        """Give the server's own failure, or say that the outcome is unknown."""
        if self._failed is not None:
            return (self._finish(Deliver(self._failed.number)),)
        if self._ran is Ran.NOT_RUN:
            return self._give_up(RefusalReason.NO_SERVER, "no server takes the work")
        return self._give_up(RefusalReason.BACKEND, "the server gave no answer")

    def _end_waiting(self) -> tuple[DeliveryOutput, ...]:
        """End now, but for attempts that a server may be running."""
        self._is_ending = True
        if not self._running:
            return self._give_failed()
        return tuple(RecallAttempt(number) for number in self._running)

    def _time(self, now: float) -> tuple[DeliveryOutput, ...]:
        if now >= self._deadline:
            return self._expire()
        if self._hedge_at is not None and now >= self._hedge_at:
            self._hedge_at = None
            is_idle = self._phase is _Phase.WAITING and not self._is_ending
            if is_idle and self._running:
                return self._ask(Distance.DATA_CENTRE)
        if self._ask_at is not None and now >= self._ask_at:
            return self._ask(Distance.DATA_CENTRE)
        return ()

    def _expire(self) -> tuple[DeliveryOutput, ...]:
        if self._running:
            self._ran = Ran.UNKNOWN
        cancelled = self._cancel_all()
        if self._failed is not None:
            return (*cancelled, self._finish(Deliver(self._failed.number)))
        detail = "the deadline passed"
        return (*cancelled, *self._give_up(RefusalReason.DEADLINE, detail))

    def _cancel_all(self) -> tuple[DeliveryOutput, ...]:
        outputs = tuple(CancelAttempt(number) for number in self._running)
        self._running.clear()
        return outputs

    def _give_up(
        self, reason: RefusalReason, detail: str
    ) -> tuple[DeliveryOutput, ...]:
        if self._ran is Ran.NOT_RUN:
            refusal = Refusal(503, Ran.NOT_RUN, reason, detail, self._retry_after_s())
        else:
            status = 504 if reason is RefusalReason.DEADLINE else 502
            refusal = Refusal(status, self._ran, reason, detail)
        return (self._finish(Refuse(refusal)),)

    def _retry_after_s(self) -> float:
        """Return a delay that differs between requests, so that they spread."""
        share = zlib.crc32(self._request_id.encode()) / 0xFFFFFFFF
        return round(RETRY_AFTER_S * (0.5 + share), 2)

    def _finish(self, output: DeliveryOutput) -> DeliveryOutput:
        self._phase = _Phase.ENDED
        return output
