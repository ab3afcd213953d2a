"""Send evidence to the owner of the floor and receive its grants.

Evidence is what this daemon observed of the health of backend servers. The floor
is the share of a pool's servers that must stay in use. Its owner, the leading
control instance, grants the ejections that the floor allows.
"""

from collections.abc import Callable

from pimentobend_adapters._internal.links.batches import Batcher
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.health.limits import BAD_SCORE
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.wire import decode_grants
from pimentobend_core._internal.health.wire import encode_reports
from pimentobend_core._internal.ports import ClockPort

KIND_REPORTS = "floor.reports"
KIND_GRANTS = "floor.grants"
WINDOW_S = 0.25  # non-urgent reports within this time share a frame
# After this time without a grant, reports go to all control instances.
OWNER_TIMEOUT_S = 4.0


class EvidenceReports(Outlet[EvidenceReported]):
    """Sends evidence to the owner, or to all control instances if none is known."""

    def __init__(
        self,
        link: Transport,
        control: tuple[str, ...],
        clock: ClockPort,
        on_grant: Callable[[EjectionsGranted], None],
    ) -> None:
        self._link = link
        self._control = control
        self._clock = clock
        self._on_grant = on_grant
        self._owner: str | None = None
        self._granted_at = 0.0
        self._batches: Batcher[EvidenceReported] = Batcher(self._send, WINDOW_S)

    def put(self, message: EvidenceReported) -> None:
        """Queue a report; urgent ones are sent at once."""
        is_urgent = any(server.score >= BAD_SCORE for server in message.servers)
        for address in self._recipients():
            self._batches.put(address, message, is_urgent)

    def handle_frame(self, frame: Frame) -> None:
        """Handle grants; raise CodecError if the frame is malformed."""
        grants = decode_grants(frame.payload)
        self._owner = frame.sender
        self._granted_at = self._clock.now()
        for grant in grants:
            self._on_grant(grant)

    def _send(self, address: str, reports: tuple[EvidenceReported, ...]) -> None:
        self._link.send(address, KIND_REPORTS, encode_reports(reports))

    def _recipients(self) -> tuple[str, ...]:
        has_timed_out = self._clock.now() - self._granted_at > OWNER_TIMEOUT_S
        if self._owner is None or has_timed_out:
            return self._control
        return (self._owner,)
