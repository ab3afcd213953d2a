"""End requests that became blocked after they were accepted."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import SuspectsPort
from pimentobend_core._internal.ports import TrafficPort
from pimentobend_core._internal.request.crash_guard import refuse_blocked
from pimentobend_core._internal.request.stages import Admitted
from pimentobend_core._internal.request.stages import PendingAttempt


class BlockedAttemptFilter(Filter[PendingAttempt, PendingAttempt]):
    """Ends a request that became blocked before its next attempt."""

    def __init__(self, suspects: SuspectsPort, clock: ClockPort) -> None:
        self._suspects = suspects
        self._clock = clock

    def apply(self, value: PendingAttempt) -> Result[PendingAttempt, Refusal]:
        """Return the request, or a refusal."""
        block = self._suspects.find_block(value.request.fingerprint)
        if block is None:
            return Success(value)
        self._suspects.note_refused(value.request.head.request_id, block)
        return Failure(refuse_blocked(block, self._clock.now()))


class GrantedFilter(Filter[Admitted, Admitted]):
    """Ends a request that became blocked while it waited for a slot."""

    def __init__(
        self, suspects: SuspectsPort, traffic: TrafficPort, clock: ClockPort
    ) -> None:
        self._suspects = suspects
        self._traffic = traffic
        self._clock = clock

    def apply(self, value: Admitted) -> Result[Admitted, Refusal]:
        """Return the request with its slot, or give the slot back and refuse it."""
        block = self._suspects.find_block(value.request.fingerprint)
        if block is None:
            return Success(value)
        self._traffic.release(value.request.route.pool, value.ticket)
        self._suspects.note_refused(value.request.head.request_id, block)
        return Failure(refuse_blocked(block, self._clock.now()))


class NoSuspects(SuspectsPort):
    """Blocks no request."""

    def find_block(self, fingerprint: str) -> Block | None:
        """Return None."""
        return None

    def note_refused(self, request_id: str, block: Block) -> None:
        """Ignore the refusal."""

    def started(self, run: Run, head: RequestHead) -> None:
        """Ignore the attempt."""

    def ended(self, run: Run, result: AttemptResult) -> None:
        """Ignore the attempt."""


NO_SUSPECTS = NoSuspects()
