"""Run the role control: configuration, floor and ledger."""

import pathlib
from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_adapters._internal.disk.files import FolderFiles
from pimentobend_adapters._internal.disk.folder import FolderDisk
from pimentobend_adapters._internal.disk.task import DiskTask
from pimentobend_adapters._internal.ledger import KIND_REQUEST
from pimentobend_adapters._internal.links.router import FrameRouter
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_core._internal.configuration.follower_messages import Deltas
from pimentobend_core._internal.configuration.follower_messages import SpreadReceived
from pimentobend_core._internal.configuration.follower_messages import TablesSnapshot
from pimentobend_core._internal.configuration.service import ConfigurationService
from pimentobend_core._internal.configuration.service_messages import ServiceInput
from pimentobend_core._internal.configuration.service_messages import ServiceOutput
from pimentobend_core._internal.configuration.service_messages import TablesAccepted
from pimentobend_core._internal.configuration.service_messages import TablesChangeReply
from pimentobend_core._internal.configuration.service_messages import TablesRead
from pimentobend_core._internal.configuration.service_messages import TablesReplaced
from pimentobend_core._internal.configuration.service_messages import VersionRead
from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import ReadReady
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.control.changes import KIND_ASK
from pimentobendd._internal.control.changes import KIND_REPLY
from pimentobendd._internal.control.changes import ReplicatedConfiguration
from pimentobendd._internal.control.members import MembersInterface
from pimentobendd._internal.control.replica_task import LogOutput
from pimentobendd._internal.control.replica_task import ReplicaSettings
from pimentobendd._internal.control.replica_task import ReplicaTask
from pimentobendd._internal.evidence import KIND_REPORTS
from pimentobendd._internal.floor_role import FloorRole
from pimentobendd._internal.ledger_role import LedgerRole

GROUP = "configuration"
_STATUS = ("role", "term", "leader_id", "commit_index", "voters", "learners", "peers")


class ControlRole:
    """Runs the configuration's replica and service, the floor and the ledger."""

    def __init__(
        self,
        link: Transport,
        control: tuple[str, ...],
        data_folder: pathlib.Path,
        spread: Callable[[SpreadReceived], None],
        clock: ClockPort,
        seed: int,
    ) -> None:
        members = first_members(link.address, control)
        settings = ReplicaSettings(
            GROUP, link.address, members, seed, frozenset(control)
        )
        self._address = link.address
        self._subscribers: list[Callable[[LeaderChanged], None]] = []
        self._spread = spread
        self.changes = ReplicatedConfiguration(
            link, lambda change: self._service.put(change)
        )
        self._service: FilterTask[ServiceInput, ServiceOutput] = FilterTask(
            "configuration",
            ConfigurationService(link.address),
            CallOutlet(self._handle_output),
            clock,
        )
        self.replica = ReplicaTask(
            settings,
            DiskTask(FolderDisk(FolderFiles(data_folder / GROUP))),
            link,
            CallOutlet(self._handle_log_output),
            clock,
        )
        self.members = MembersInterface(self.replica.put)
        self.floor = FloorRole(link, clock, self.replica.put)
        self.ledger = LedgerRole(link, settings, data_folder, clock)

    def start(self) -> None:
        """Load the data folder and start the tasks; raise ``DiskError`` if it fails."""
        self._service.start()
        self.floor.start()
        self.replica.start()
        self.ledger.start()

    def subscribe_to_leader(self, function: Callable[[LeaderChanged], None]) -> None:
        """Call ``function`` at each change of the leader of the configuration's log."""
        self._subscribers.append(function)

    def register(self, router: FrameRouter) -> None:
        """Register the handlers of the frames for control instances."""
        router.register(self.replica.kind, self.replica.handle_frame)
        router.register(KIND_ASK, self.changes.handle_frame)
        router.register(KIND_REPLY, self.changes.handle_frame)
        router.register(KIND_REPORTS, self.floor.handle_reports)
        router.register(KIND_REQUEST, self.ledger.handle_request)
        for kind in self.ledger.replica_kinds:
            router.register(kind, self.ledger.handle_replica_frame)

    def stop(self) -> None:
        """Stop the tasks; all that the replica acknowledged is on disk already."""
        self.ledger.stop()
        self.replica.stop()
        self.floor.stop()
        self._service.stop()

    def status(self) -> Mapping[str, object]:
        """Return the part of the replica's state that operators need."""
        state = self.replica.dump()
        return {name: state.get(name) for name in _STATUS}

    def dump(self) -> Mapping[str, object]:
        """Return the state of the tasks, one section per task."""
        return {
            self.replica.name: self.replica.dump(),
            self._service.name: self._service.dump(),
            "floor": self.floor.dump(),
            **self.ledger.dump(),
        }

    def _handle_log_output(self, output: LogOutput) -> None:
        if isinstance(output, ProposalResult) and self.members.handle_result(output):
            return
        if isinstance(output, LeaderChanged):
            self.floor.update_leader(output)
            for function in self._subscribers:
                function(output)
        if isinstance(output, ReadReady) and self.floor.handle_read_result(output):
            return
        self._service.put(output)

    def _handle_output(self, output: ServiceOutput) -> None:
        match output:
            case TablesChangeReply():
                self.changes.put(output)
            case TablesAccepted():
                message = Deltas(output.deltas)
                self._spread(SpreadReceived(self._address, message))
            case TablesReplaced():
                self._spread(
                    SpreadReceived(self._address, TablesSnapshot(output.whole))
                )
            case TablesRead() | VersionRead():
                pass  # this role's operators' interface reads the tables in force
            case _:
                self.replica.put(output)


def first_members(address: str, control: tuple[str, ...]) -> Members:
    """Return the members of a new cluster; none if ``address`` joins it later."""
    if address not in control:
        return NO_MEMBERS
    return Members(tuple(Member(replica, replica) for replica in control))
