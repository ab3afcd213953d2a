"""Apply at a host what is known of the requests that crash servers."""

from collections.abc import Iterable
from collections.abc import Mapping

from pimentobend_core._internal.crashes.messages import CrashInput
from pimentobend_core._internal.crashes.messages import CrashOutput
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.messages import RunSucceeded
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.crashes.suspects import CrashSuspects
from pimentobend_core._internal.forwarding.hosted_server import AttemptRecord
from pimentobend_core._internal.forwarding.messages import CallJudged
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import Submit

_OBSERVER_MASK = 0xFFFFFFFF  # keeps the ids of crashes short in a daemon's row


class HostCrashes:
    """The suspects of a host, and what follows from them for its attempts."""

    def __init__(self, process_id: int) -> None:
        self._suspects = CrashSuspects(f"{process_id & _OBSERVER_MASK:08x}")

    def handle(self, message: CrashInput, now: float) -> tuple[CrashOutput, ...]:
        """Process reports or a tick and return what changed."""
        return self._suspects.handle(message, now)

    def learn(self, submit: Submit, now: float) -> tuple[CrashOutput, ...]:
        """Take over what the origin of an attempt has learnt of its request."""
        if not submit.crash_reports:
            return ()
        return self._suspects.handle(ReportsReceived(submit.crash_reports), now)

    def find_decline_reason(
        self, submit: Submit, others: Iterable[Submit], now: float
    ) -> DeclineReason | None:
        """Return why an attempt must not run beside ``others``, or None.

        Suspects run apart from each other, so that the next crash tells which of them
        caused it.
        """
        if not self._suspects.is_suspect(submit.fingerprint):
            return None
        if self._suspects.find_block(submit.fingerprint, now) is not None:
            return DeclineReason.CRASHES_SERVERS
        if any(self._suspects.is_suspect(other.fingerprint) for other in others):
            return DeclineReason.SUSPECT
        return None

    def decline(self, submit: Submit, reason: DeclineReason, now: float) -> Declined:
        """Return the decline of an attempt, with what is held against its request."""
        if reason is not DeclineReason.CRASHES_SERVERS:
            return Declined(submit.attempt_id, reason)
        reports = self._suspects.reports_on(submit.fingerprint, now)
        blocked_s = self._blocked_s(submit.fingerprint, now)
        return Declined(submit.attempt_id, reason, reports, blocked_s)

    def judge(self, submit: Submit, now: float) -> CallJudged:
        """Return the release of a broken call."""
        return CallJudged(
            submit.attempt_id,
            self._suspects.reports_on(submit.fingerprint, now),
            self._blocked_s(submit.fingerprint, now),
        )

    def blame(
        self, server_id: str, ran: Iterable[AttemptRecord], now: float
    ) -> tuple[HostOutput, ...]:
        """Record a crash against the attempts that ran on the server."""
        records = sorted(ran, key=lambda record: record.started_at)
        running = tuple(record.submit.fingerprint for record in records)
        crashed = ServerCrashed(server_id, running)
        return (crashed, *self._suspects.handle(crashed, now))

    def clear(self, submit: Submit, now: float) -> tuple[CrashOutput, ...]:
        """Record that a server answered an attempt."""
        return self._suspects.handle(RunSucceeded(submit.fingerprint), now)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return self._suspects.dump()

    def _blocked_s(self, fingerprint: str, now: float) -> float:
        block = self._suspects.find_block(fingerprint, now)
        return 0.0 if block is None else round(block.until - now, 3)
