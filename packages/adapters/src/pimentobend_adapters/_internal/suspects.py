"""Run the task that finds the requests that crash servers."""

from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.metrics import Metrics
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.messages import CrashTick
from pimentobend_core._internal.crashes.messages import EarlierReportsSeen
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import FingerprintReleased
from pimentobend_core._internal.crashes.messages import ReportsChanged
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.observer import CrashObserver
from pimentobend_core._internal.crashes.observer_messages import CrashSeen
from pimentobend_core._internal.crashes.observer_messages import EndWeighed
from pimentobend_core._internal.crashes.observer_messages import ObserverInput
from pimentobend_core._internal.crashes.observer_messages import ObserverOutput
from pimentobend_core._internal.crashes.observer_messages import ReadyServers
from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.crashes.observer_messages import RunEnded
from pimentobend_core._internal.crashes.observer_messages import RunOutcome
from pimentobend_core._internal.crashes.observer_messages import RunStarted
from pimentobend_core._internal.membership.pools import PoolServersChanged
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import SuspectsPort
from pimentobend_core._internal.request.judgement import SERVER_ERROR

TICK_S = 1.0
WEIGHED_TIMEOUT_S = 1.0  # longest wait until the end of a server is weighed

Publish = Callable[[tuple[CrashReport, ...]], None]


class SuspectsTask(SuspectsPort):
    """Runs the observer of crashes, and logs and counts what it decides.

    ``publish`` is called with the reports that other instances shall learn of.
    """

    def __init__(
        self, observer: str, clock: ClockPort, metrics: Metrics, publish: Publish
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._publish = publish
        self._log = get_log()
        self._blocks: dict[str, Block] = {}  # as the observer reported them
        self._weighed: Replies[EndWeighed] = Replies(lambda reply: reply.ticket)
        self._task: FilterTask[ObserverInput, ObserverOutput] = FilterTask(
            "suspects",
            CrashObserver(observer),
            CallOutlet(self._handle_output),
            clock,
            PeriodicMessage(TICK_S, CrashTick()),
        )

    def start(self) -> None:
        """Start the task."""
        self._task.start()

    def dump(self) -> Mapping[str, object]:
        """Return the state of the task."""
        return self._task.dump()

    def rows(self) -> list[Mapping[str, object]]:
        """Return a row for each suspected request; one that is blocked first."""
        state = self._task.dump()
        suspects, requests = state.get("suspects", {}), state.get("requests", {})
        assert isinstance(suspects, dict) and isinstance(requests, dict)
        rows: list[Mapping[str, object]] = []
        for fingerprint, weight in suspects.items():
            block = self.find_block(fingerprint)
            rows.append(
                {
                    "fingerprint": fingerprint,
                    "state": "suspected" if block is None else "blocked",
                    "weight": weight,
                    "remaining_s": None if block is None else self._remaining_s(block),
                    "request": requests.get(fingerprint),
                }
            )
        return sorted(rows, key=lambda row: str(row["state"]))

    def find_block(self, fingerprint: str) -> Block | None:
        """Return the block of a request that is in force, or None."""
        block = self._blocks.get(fingerprint)
        return block if block is not None and self._clock.now() < block.until else None

    def note_refused(self, request_id: str, block: Block) -> None:
        """Log a request that was refused because of its block."""
        self._log.info(
            "request-refused",
            request_id=request_id,
            fingerprint=block.fingerprint,
            weight=block.weight,
            remaining_s=self._remaining_s(block),
        )

    def started(self, run: Run, head: RequestHead) -> None:
        """Report that a request is sent to a server."""
        request = f"{head.method} {head.host}{head.path} of {head.organisation or '-'}"
        self._task.put(RunStarted(run, request))

    def ended(self, run: Run, result: AttemptResult) -> None:
        """Report how the attempt ended; if its server has too, once that is weighed."""
        if not result.has_server_ended:
            is_good = result.kind is AttemptKind.ANSWERED
            is_good = is_good and result.status < SERVER_ERROR
            outcome = RunOutcome.SUCCEEDED if is_good else RunOutcome.OTHER
            self._task.put(RunEnded(run, outcome))
            return
        ended = RunEnded(run, RunOutcome.SERVER_ENDED)
        self._weighed.ask(run.ticket, lambda: self._task.put(ended), WEIGHED_TIMEOUT_S)

    def update_servers(self, message: PoolServersChanged) -> None:
        """Update which servers of a pool take requests."""
        ready = frozenset(
            server.server_id
            for server in message.change.servers
            if server.state is not ServerState.DRAINING
        )
        self._task.put(ReadyServers(message.pool, ready))

    def receive(self, reports: tuple[CrashReport, ...], *, is_own: bool) -> None:
        """Deliver reports of another instance, or of an earlier life of this one."""
        create = EarlierReportsSeen if is_own else ReportsReceived
        self._task.put(create(reports))

    def _handle_output(self, output: ObserverOutput) -> None:
        match output:
            case EndWeighed():
                self._weighed.put(output)
            case ReportsChanged():
                self._publish(output.reports)
            case CrashSeen():
                self._metrics.count("server_crashes")
                self._log.warning("server-crashed", **_describe_crash(output))
            case FingerprintBlocked(block=block):
                self._blocks[block.fingerprint] = block
                self._metrics.count("blocks.blocked")
                self._log.warning("request-blocked", **self._describe_block(block))
            case FingerprintReleased():
                self._blocks.pop(output.fingerprint, None)
                self._metrics.count(f"blocks.{output.reason.value}")
                self._log.info(
                    "request-released",
                    fingerprint=output.fingerprint,
                    reason=output.reason.value,
                )
        if isinstance(output, FingerprintBlocked | FingerprintReleased):
            self._metrics.gauge("blocked_fingerprints", len(self._blocks))

    def _describe_block(self, block: Block) -> Mapping[str, object]:
        return {
            "fingerprint": block.fingerprint,
            "weight": block.weight,
            "crashes": block.crashes,
            "remaining_s": self._remaining_s(block),
        }

    def _remaining_s(self, block: Block) -> float:
        return round(block.until - self._clock.now(), 1)


def _describe_crash(crash: CrashSeen) -> Mapping[str, object]:
    return {
        "server": crash.server_id,
        "crash": crash.crash_id,
        "running": crash.running,
        "fingerprints": ",".join(crash.fingerprints),
        "requests": ",".join(crash.requests),
    }
