"""Run this process's replicas of the ledger groups.

The ledger records the requests that carry an Idempotency-Key. Each group is a
replicated log that holds the entries of a part of the keys.
"""

import pathlib
from collections.abc import Mapping

from pimentobend_adapters._internal.disk.files import FolderFiles
from pimentobend_adapters._internal.disk.folder import FolderDisk
from pimentobend_adapters._internal.disk.task import DiskTask
from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.ledger import KIND_REPLY
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import Compact
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import Proposal
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import Propose
from pimentobend_core._internal.consensus.messages import Restored
from pimentobend_core._internal.ledger.service import LedgerService
from pimentobend_core._internal.ledger.service_messages import CompactLog
from pimentobend_core._internal.ledger.service_messages import EntryAccepted
from pimentobend_core._internal.ledger.service_messages import EntryCommitted
from pimentobend_core._internal.ledger.service_messages import EntryUnserved
from pimentobend_core._internal.ledger.service_messages import LedgerReply
from pimentobend_core._internal.ledger.service_messages import ProposeEntry
from pimentobend_core._internal.ledger.service_messages import ServiceInput
from pimentobend_core._internal.ledger.service_messages import ServiceOutput
from pimentobend_core._internal.ledger.service_messages import StateRestored
from pimentobend_core._internal.ledger.service_messages import Unserved
from pimentobend_core._internal.ledger.service_messages import UnservedReason
from pimentobend_core._internal.ledger.wire import decode_request
from pimentobend_core._internal.ledger.wire import encode_reply
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.control.replica_task import LogOutput
from pimentobendd._internal.control.replica_task import ReplicaSettings
from pimentobendd._internal.control.replica_task import ReplicaTask

LEDGER_GROUPS = 4  # must be equal in the whole fleet: it maps keys to groups

_UNSERVED_REASONS = {
    Outcome.NOT_LEADER: UnservedReason.NOT_LEADER,
    Outcome.NO_MAJORITY: UnservedReason.NO_MAJORITY,
    Outcome.REJECTED: UnservedReason.NO_MAJORITY,
    Outcome.STORAGE: UnservedReason.NO_MAJORITY,
    Outcome.OVERLOADED: UnservedReason.OVERLOADED,
    Outcome.UNKNOWN: UnservedReason.LOST,
}


class LedgerGroup:
    """One replicated log and the ledger service on top of it."""

    def __init__(
        self,
        settings: ReplicaSettings,
        link: Transport,
        data_folder: pathlib.Path,
        clock: ClockPort,
    ) -> None:
        name = settings.group
        self._link = link
        self._service: FilterTask[ServiceInput, ServiceOutput] = FilterTask(
            name, LedgerService(), CallOutlet(self._handle_output), clock
        )
        self.replica = ReplicaTask(
            settings,
            DiskTask(FolderDisk(FolderFiles(data_folder / name))),
            link,
            CallOutlet(self._handle_log_output),
            clock,
        )

    def start(self) -> None:
        """Load the data folder and start the tasks; raise ``DiskError`` if it fails."""
        self._service.start()
        self.replica.start()

    def stop(self) -> None:
        """Stop the tasks; all that the replica acknowledged is on disk already."""
        self.replica.stop()
        self._service.stop()

    def put(self, message: ServiceInput) -> None:
        """Pass a daemon's command to the service."""
        self._service.put(message)

    def dump(self) -> Mapping[str, object]:
        """Return the state of both tasks."""
        return {
            self._service.name: self._service.dump(),
            self.replica.name: self.replica.dump(),
        }

    def _handle_log_output(self, output: LogOutput) -> None:
        match output:
            case Committed():
                for entry in output.entries:
                    self._service.put(EntryCommitted(entry.log_index, entry.command))
            case Restored():
                snapshot = output.snapshot
                self._service.put(StateRestored(snapshot.log_index, snapshot.state))
            case ProposalResult():
                self._service.put(_convert_result(output))
            case _:
                pass

    def _handle_output(self, output: ServiceOutput) -> None:
        match output:
            case LedgerReply():
                self._link.send(output.recipient, KIND_REPLY, encode_reply(output))
            case ProposeEntry():
                proposal = Proposal(output.proposal_id, output.payload)
                self.replica.put(Propose((proposal,)))
            case CompactLog():
                self.replica.put(Compact(output.log_index, output.state))


class LedgerRole:
    """Runs the replicas of all ledger groups in this process."""

    def __init__(
        self,
        link: Transport,
        settings: ReplicaSettings,
        data_folder: pathlib.Path,
        clock: ClockPort,
    ) -> None:
        self._groups = tuple(
            LedgerGroup(
                settings._replace(
                    group=f"ledger-{number}", seed=settings.seed + number
                ),
                link,
                data_folder,
                clock,
            )
            for number in range(LEDGER_GROUPS)
        )
        self._by_kind = {group.replica.kind: group for group in self._groups}

    @property
    def replica_kinds(self) -> frozenset[str]:
        """Return the kinds of the frames between replicas."""
        return frozenset(self._by_kind)

    def start(self) -> None:
        """Start all groups; raise ``DiskError`` if one cannot load its folder."""
        for group in self._groups:
            group.start()

    def stop(self) -> None:
        """Stop all groups."""
        for group in self._groups:
            group.stop()

    def handle_replica_frame(self, frame: Frame) -> None:
        """Handle another replica's frame; raise ``FrameError`` if it is refused."""
        self._by_kind[frame.kind].replica.handle_frame(frame)

    def handle_request(self, frame: Frame) -> None:
        """Handle a daemon's command.

        Raise ``CodecError`` if it is malformed, ``FrameError`` for an unknown group.
        """
        envelope = decode_request(frame.payload, frame.sender)
        if not 0 <= envelope.group < LEDGER_GROUPS:
            raise FrameError(
                f"unknown ledger group, expected 0 to {LEDGER_GROUPS - 1}",
                context=str(envelope.group),
            )
        self._groups[envelope.group].put(envelope.request)

    def dump(self) -> Mapping[str, object]:
        """Return the state of all groups."""
        state: dict[str, object] = {}
        for group in self._groups:
            state.update(group.dump())
        return state


def _convert_result(result: ProposalResult) -> EntryAccepted | EntryUnserved:
    if result.outcome is Outcome.COMMITTED:
        return EntryAccepted(result.proposal_id, result.log_index)
    unserved = Unserved(_UNSERVED_REASONS[result.outcome], result.leader_id)
    return EntryUnserved(result.proposal_id, unserved)
