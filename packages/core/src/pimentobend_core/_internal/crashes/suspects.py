"""Decide which requests are suspected of crashing servers, and which are blocked."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.crashes.fingerprint import NO_FINGERPRINT
from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.crashes.messages import CrashInput
from pimentobend_core._internal.crashes.messages import CrashOutput
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.messages import CrashTick
from pimentobend_core._internal.crashes.messages import EarlierReportsSeen
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import FingerprintReleased
from pimentobend_core._internal.crashes.messages import ReleaseReason
from pimentobend_core._internal.crashes.messages import ReportsChanged
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.messages import RunSucceeded
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.pipes import StatefulFilter

SHARED_WEIGHT = 1  # of a crash in which the request ran beside others
ALONE_WEIGHT = 2  # of a crash in which nothing else ran
# One crash may be the server's own; from this weight on, the request is to blame.
BLOCK_WEIGHT = 3
BLOCK_S = 120.0  # doubles with each further weight
MAX_DOUBLINGS = 3
SUSPECT_S = 300.0  # after this time without a crash, a suspect is forgotten
REPORT_S = 1800  # longer than the longest block and a time in which to watch a retry
REFRESH_S = 60  # how often published reports are brought up to date
MAX_FINGERPRINTS = 256
MAX_PUBLISHED = 16  # so that a daemon's row still fits a datagram
MAX_REPORTS = 16  # a fingerprint


class _Held(NamedTuple):
    """A report that this daemon holds, and whether it publishes it."""

    weight: int
    expires_at: float
    is_own: bool


class CrashSuspects(StatefulFilter[CrashInput, CrashOutput]):
    """Weighs the crashes in which each request ran, as seen by all daemons.

    A report counts once, by the id of its crash, however often and by whomever it is
    delivered. A clearance of a crash stays in force over its report.
    """

    def __init__(self, observer: str) -> None:
        self._observer = observer  # differs at each start of the daemon
        self._crashes = 0
        # By fingerprint, then by crash id.
        self._reports: dict[str, dict[str, _Held]] = {}
        self._blocks: dict[str, Block] = {}
        self._refresh_at = 0.0
        self._published: frozenset[tuple[str, str, int, int]] = frozenset()

    def handle(self, message: CrashInput, now: float) -> tuple[CrashOutput, ...]:
        """Process one message and return what changed."""
        match message:
            case ServerCrashed():
                touched = self._blame(message, now)
            case RunSucceeded():
                touched = self._clear(message.fingerprint)
            case ReportsReceived():
                touched = self._merge(message.reports, now, is_own=False)
            case EarlierReportsSeen():
                touched = self._merge(message.reports, now, is_own=True)
            case CrashTick():
                touched = self._forget(now)
        if not touched and now < self._refresh_at:
            return ()
        outputs = [*self._evict(), *self._update_blocks(touched, now)]
        outputs.extend(self._publish(now))
        return tuple(outputs)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a crash counts against a request."""
        return self.weight_of(fingerprint) > 0

    def weight_of(self, fingerprint: str) -> int:
        """Return the total weight of the crashes that count against a request."""
        reports = self._reports.get(fingerprint, {})
        return sum(held.weight for held in reports.values())

    def find_block(self, fingerprint: str, now: float) -> Block | None:
        """Return the block of a request that is in force at ``now`` (seconds)."""
        block = self._blocks.get(fingerprint)
        return block if block is not None and now < block.until else None

    def reports_on(self, fingerprint: str, now: float) -> tuple[CrashReport, ...]:
        """Return what this daemon holds against a request, to be passed on."""
        return tuple(
            _report(crash_id, fingerprint, held, now)
            for crash_id, held in self._reports.get(fingerprint, {}).items()
        )

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "observer": self._observer,
            "suspects": {
                fingerprint: self.weight_of(fingerprint)
                for fingerprint in sorted(self._reports)
                if self.is_suspect(fingerprint)
            },
            "blocked": [block._asdict() for _, block in sorted(self._blocks.items())],
            "published": len(self._published),
        }

    def _blame(self, crashed: ServerCrashed, now: float) -> set[str]:
        """Record a crash against its suspects, or, without any, all that ran.

        What ran beside a suspect is spared, so that its neighbours do not come under
        suspicion with each crash. What ran beside a request without a fingerprint is
        spared as well: that request may have caused the crash, and cannot be blamed.
        """
        if NO_FINGERPRINT in crashed.running:
            return set()
        ran = crashed.running
        blamed = [each for each in ran if self.is_suspect(each)] or ran
        self._crashes += 1
        crash_id = crashed.crash_id or f"{self._observer}-{self._crashes}"
        is_alone = len(crashed.running) == 1 and not crashed.crash_id
        weight = ALONE_WEIGHT if is_alone else SHARED_WEIGHT
        for fingerprint in blamed:
            held = _Held(weight, now + REPORT_S, is_own=True)
            self._put(fingerprint, crash_id, held)
        return set(blamed)

    def _put(self, fingerprint: str, crash_id: str, held: _Held) -> None:
        reports = self._reports.setdefault(fingerprint, {})
        reports[crash_id] = held
        if len(reports) > MAX_REPORTS:
            del reports[min(reports, key=lambda each: reports[each].expires_at)]

    def _clear(self, fingerprint: str) -> set[str]:
        """Turn the reports on a request into clearances, which others learn of."""
        if not self.is_suspect(fingerprint):
            return set()
        reports = self._reports[fingerprint]
        for crash_id, held in reports.items():
            reports[crash_id] = held._replace(weight=0, is_own=True)
        return {fingerprint}

    def _merge(
        self, reports: Iterable[CrashReport], now: float, *, is_own: bool
    ) -> set[str]:
        touched: set[str] = set()
        for report in reports:
            left_s = min(report.left_s, REPORT_S)
            if left_s <= 0 or not report.fingerprint:
                continue
            weight = min(max(report.weight, 0), ALONE_WEIGHT)
            received = _Held(weight, now + left_s, is_own)
            known = self._reports.get(report.fingerprint, {}).get(report.crash_id)
            if known is not None:
                received = _Held(
                    min(known.weight, weight),
                    min(known.expires_at, received.expires_at),
                    known.is_own or is_own,
                )
                is_news = known.weight > weight or (is_own and not known.is_own)
                if not is_news:
                    continue
            self._put(report.fingerprint, report.crash_id, received)
            touched.add(report.fingerprint)
        return touched

    def _forget(self, now: float) -> set[str]:
        """Drop old reports; return what changed, and what is no longer blocked."""
        touched = {
            fingerprint
            for fingerprint, block in self._blocks.items()
            if now >= block.until
        }
        for fingerprint, reports in list(self._reports.items()):
            old = [key for key, held in reports.items() if now >= held.expires_at]
            if 0 < self.weight_of(fingerprint) < BLOCK_WEIGHT:
                old = list(reports) if now >= self._suspect_until(reports) else old
            for crash_id in old:
                del reports[crash_id]
                touched.add(fingerprint)
            if not reports:
                del self._reports[fingerprint]
        return touched

    def _suspect_until(self, reports: Mapping[str, _Held]) -> float:
        return _last_crash_at(reports.values()) + SUSPECT_S

    def _evict(self) -> Iterator[CrashOutput]:
        """Drop the least incriminated fingerprints beyond the limit."""
        excess = len(self._reports) - MAX_FINGERPRINTS
        if excess <= 0:
            return
        for fingerprint in sorted(self._reports, key=self._importance)[:excess]:
            del self._reports[fingerprint]
            if self._blocks.pop(fingerprint, None) is not None:
                yield FingerprintReleased(fingerprint, ReleaseReason.EVICTED)

    def _importance(self, fingerprint: str) -> tuple[int, float]:
        reports = self._reports[fingerprint]
        last_at = max(held.expires_at for held in reports.values())
        return (self.weight_of(fingerprint), last_at)

    def _update_blocks(self, touched: set[str], now: float) -> Iterator[CrashOutput]:
        for fingerprint in sorted(touched):
            block = self._make_block(fingerprint, now)
            known = self._blocks.get(fingerprint)
            if block is not None:
                self._blocks[fingerprint] = block
                if known is None or known.crashes != block.crashes:
                    yield FingerprintBlocked(block, block.until - now)
            elif known is not None:
                del self._blocks[fingerprint]
                is_suspect = self.is_suspect(fingerprint)
                is_expired = is_suspect or now >= known.until
                reason = ReleaseReason.EXPIRED if is_expired else ReleaseReason.CLEARED
                yield FingerprintReleased(fingerprint, reason)

    def _make_block(self, fingerprint: str, now: float) -> Block | None:
        """Return the block that the reports call for at ``now``.

        It follows from the reports alone, so that all daemons, and a daemon after a
        restart, come to the same one.
        """
        reports = self._reports.get(fingerprint, {})
        against = {key: held for key, held in reports.items() if held.weight}
        weight = sum(held.weight for held in against.values())
        if weight < BLOCK_WEIGHT:
            return None
        doublings = min(weight - BLOCK_WEIGHT, MAX_DOUBLINGS)
        until = _last_crash_at(against.values()) + BLOCK_S * 2**doublings
        if now >= until:
            return None
        observers = {crash_id.rpartition("-")[0] for crash_id in against}
        return Block(fingerprint, weight, len(against), len(observers), until)

    def _publish(self, now: float) -> Iterator[CrashOutput]:
        own = [
            _report(crash_id, fingerprint, held, now)
            for fingerprint, reports in self._reports.items()
            for crash_id, held in reports.items()
            if held.is_own
        ]
        own.reverse()  # among equals, the one that started last comes first
        own.sort(
            key=lambda each: (self.weight_of(each.fingerprint), each.left_s),
            reverse=True,
        )
        chosen = tuple(own[:MAX_PUBLISHED])
        self._refresh_at = now + REFRESH_S
        # Whoever learns of a report later takes its ``left_s`` for what is left then.
        published = frozenset((*each[:3], each.left_s // REFRESH_S) for each in chosen)
        if published != self._published:
            self._published = published
            yield ReportsChanged(chosen)


def _last_crash_at(reports: Iterable[_Held]) -> float:
    return max(held.expires_at for held in reports if held.weight) - REPORT_S


def _report(crash_id: str, fingerprint: str, held: _Held, now: float) -> CrashReport:
    left_s = max(0, round(held.expires_at - now))
    return CrashReport(crash_id, fingerprint, held.weight, left_s)
