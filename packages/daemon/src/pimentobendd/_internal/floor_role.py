"""Run the owner of the floor on the leader of the configuration's log.

The floor is the share of a pool's servers that must stay in use. Its owner grants
the ejections that the floor allows.
"""

from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import eventlet

from pimentobend_adapters._internal.links.batches import Batcher
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import ReadIndex
from pimentobend_core._internal.consensus.messages import ReadReady
from pimentobend_core._internal.health.floor import FloorOwner
from pimentobend_core._internal.health.limits import TICK_S
from pimentobend_core._internal.health.messages import ConfigurePools
from pimentobend_core._internal.health.messages import EjectionEnded
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EjectionStarted
from pimentobend_core._internal.health.messages import EjectionWithheld
from pimentobend_core._internal.health.messages import FloorInput
from pimentobend_core._internal.health.messages import FloorOutput
from pimentobend_core._internal.health.messages import FloorTick
from pimentobend_core._internal.health.messages import OwnershipConfirmed
from pimentobend_core._internal.health.messages import OwnershipLost
from pimentobend_core._internal.health.messages import OwnershipTaken
from pimentobend_core._internal.health.messages import ServiceServersChanged
from pimentobend_core._internal.health.wire import decode_reports
from pimentobend_core._internal.health.wire import encode_grants
from pimentobend_core._internal.membership.messages import ServiceChanged
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.evidence import KIND_GRANTS
from pimentobendd._internal.evidence import WINDOW_S

FIRST_READ_ID = 1 << 48  # the service's own reads have smaller ids
CONFIRM_INTERVAL_S = 0.5


class FloorRole:
    """Grants ejections within the floor while this process leads the log.

    The term is confirmed by reads of the log, which a majority has to answer,
    so an owner that is cut off from the majority stops granting.
    """

    def __init__(
        self,
        link: Transport,
        clock: ClockPort,
        request_read: Callable[[ReadIndex], None],
    ) -> None:
        self._link = link
        self._clock = clock
        self._request_read = request_read
        self._log = get_log()
        self._term: int | None = None
        self._pending_reads: dict[int, float] = {}  # start time (s) by read id
        self._last_read_id = FIRST_READ_ID
        self._observer_addresses: dict[str, str] = {}  # link address by observer
        self._confirm_greenlet: Any = None
        self._batches: Batcher[EjectionsGranted] = Batcher(self._send, WINDOW_S)
        self._task: FilterTask[FloorInput, FloorOutput] = FilterTask(
            "floor",
            FloorOwner(),
            CallOutlet(self._handle_output),
            clock,
            PeriodicMessage(TICK_S, FloorTick()),
        )

    def start(self) -> None:
        """Start the task and the periodic confirmation of its term."""
        self._task.start()
        self._confirm_greenlet = eventlet.spawn(self._confirm)

    def stop(self) -> None:
        """Stop the confirmation and the task."""
        self._confirm_greenlet.kill()
        self._task.stop()

    def dump(self) -> Mapping[str, object]:
        """Return the state of the owner."""
        return self._task.dump()

    def handle_reports(self, frame: Frame) -> None:
        """Handle a daemon's evidence; raise CodecError if it is malformed."""
        for report in decode_reports(frame.payload):
            self._observer_addresses[report.observer] = frame.sender
            self._task.put(report)

    def update_tables(self, tables: Tables) -> None:
        """Apply the floors of new tables."""
        self._task.put(ConfigurePools(tables.pools))

    def update_servers(self, message: ServiceChanged) -> None:
        """Update the live servers of a service."""
        servers = message.change.servers
        self._task.put(ServiceServersChanged(message.service, servers))

    def update_leader(self, message: LeaderChanged) -> None:
        """Take or give up the ownership after a change of the leader."""
        self._pending_reads.clear()
        if message.leader_id == self._link.address:
            self._term = message.term
            self._task.put(OwnershipTaken(message.term))
            return
        self._term = None
        self._task.put(OwnershipLost())

    def handle_read_result(self, message: ReadReady) -> bool:
        """Confirm the term if a majority answered; return whether the read is own."""
        began_at = self._pending_reads.pop(message.read_id, None)
        is_confirmed = message.outcome is Outcome.COMMITTED
        if began_at is not None and self._term is not None and is_confirmed:
            self._task.put(OwnershipConfirmed(self._term, began_at))
        return message.read_id >= FIRST_READ_ID

    def _send(self, address: str, grants: tuple[EjectionsGranted, ...]) -> None:
        self._link.send(address, KIND_GRANTS, encode_grants(grants))

    def _confirm(self) -> None:
        while True:
            if self._term is not None:
                self._last_read_id += 1
                self._pending_reads = {self._last_read_id: self._clock.now()}
                self._request_read(ReadIndex(self._last_read_id))
            eventlet.sleep(CONFIRM_INTERVAL_S)

    def _handle_output(self, output: FloorOutput) -> None:
        match output:
            case EjectionsGranted():
                address = self._observer_addresses.get(output.observer)
                if address is not None:
                    is_urgent = bool(output.ejections) or output.report_now
                    self._batches.put(address, output, is_urgent)
            case EjectionStarted():
                self._log.warning(
                    "server-ejected",
                    service=output.service,
                    server=output.ejection.server_id,
                    reason=output.ejection.reason.value,
                    observers=output.observers,
                    timeout_s=round(output.timeout_s, 1),
                )
            case EjectionEnded():
                self._log.info(
                    "server-returned", service=output.service, server=output.server_id
                )
            case EjectionWithheld():
                self._log.warning(
                    "ejection-withheld",
                    service=output.service,
                    server=output.server_id,
                    cause=output.cause,
                )
