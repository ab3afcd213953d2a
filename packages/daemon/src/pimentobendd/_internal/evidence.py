"""Carry evidence to the floor's owner and its grants back."""

from collections.abc import Callable

from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.link import Link
from pimentobend_adapters._internal.tasks import Outlet
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.wire import decode_grant
from pimentobend_core._internal.health.wire import encode_health
from pimentobend_core._internal.ports import ClockPort

KIND_REPORT = "floor.report"
KIND_GRANT = "floor.grant"
OWNER_SILENT_S = 4.0  # then all control instances are asked


class EvidenceReports(Outlet[EvidenceReported]):
    """Send evidence to the owner that granted last, or to all that may be it."""

    def __init__(
        self,
        link: Link,
        control: tuple[str, ...],
        clock: ClockPort,
        give_grant: Callable[[EjectionsGranted], None],
    ) -> None:
        self._link = link
        self._control = control
        self._clock = clock
        self._give_grant = give_grant
        self._owner: str | None = None
        self._heard_at = 0.0

    def put(self, message: EvidenceReported) -> None:
        """Send one report."""
        payload = encode_health(message)
        for address in self._recipients():
            self._link.send(address, KIND_REPORT, payload)

    def take_frame(self, frame: Frame) -> None:
        """Take a grant; raise CodecError for other bytes."""
        grant = decode_grant(frame.payload)
        self._owner = frame.sender
        self._heard_at = self._clock.now()
        self._give_grant(grant)

    def _recipients(self) -> tuple[str, ...]:
        is_silent = self._clock.now() - self._heard_at > OWNER_SILENT_S
        if self._owner is None or is_silent:
            return self._control
        return (self._owner,)
