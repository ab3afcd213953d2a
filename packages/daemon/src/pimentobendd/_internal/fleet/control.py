"""Run a replica of the configuration on an instance with a disk."""

import pathlib
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import eventlet

from pimentobend_adapters._internal.clock import BootClock
from pimentobend_adapters._internal.disk.files import FolderFiles
from pimentobend_adapters._internal.disk.folder import FolderDisk
from pimentobend_adapters._internal.disk.task import DiskTask
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.router import FrameRouter
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.codec import encode
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
from pimentobend_core._internal.consensus.formation import address_of
from pimentobend_core._internal.consensus.formation import first_members
from pimentobend_core._internal.consensus.messages import ChangeMembers
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.supervisor import FIRST_PROPOSAL_ID
from pimentobend_core._internal.consensus.supervisor import CandidateHeard
from pimentobend_core._internal.consensus.supervisor import Supervisor
from pimentobend_core._internal.consensus.supervisor import SupervisorInput
from pimentobend_core._internal.consensus.supervisor import SupervisorTick
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.control.replica_task import LogOutput
from pimentobendd._internal.control.replica_task import ReplicaSettings
from pimentobendd._internal.control.replica_task import ReplicaTask
from pimentobendd._internal.fleet.configuration import KINDS
from pimentobendd._internal.fleet.configuration import LeaderClient
from pimentobendd._internal.fleet.confirmations import LeaderConfirmations
from pimentobendd._internal.fleet.identity import load_identity

GROUP = "configuration"
KIND_CANDIDATE = "candidate"
SUPERVISE_INTERVAL_S = 0.25
CANDIDATE_INTERVAL_S = 0.5
# A replica that has had no leader for longer may have been removed.
LEADERLESS_TIMEOUT_S = 1.0


class FleetControl:
    """Runs a replica, the service in front of it and the supervisor of the cluster.

    ``founders`` are the addresses whose replicas form the cluster at its first start.
    """

    def __init__(
        self,
        link: Transport,
        data_folder: pathlib.Path,
        founders: tuple[str, ...],
        is_first_start: bool,
        spread: Callable[[SpreadReceived], None],
        clock: ClockPort,
        seed: int,
    ) -> None:
        identity = load_identity(
            FolderFiles(data_folder / "replica"),
            link.address,
            founders,
            is_first_start=is_first_start,
        )
        self.replica_id = identity.replica_id
        self._link = link
        self._clock = clock
        self._spread = spread
        self._log = get_log()
        self._peers: tuple[PeerRow, ...] = ()
        self._leader_id: str | None = None
        self._leader_lost_at = clock.now()
        self._leader_subscribers: list[Callable[[str | None], None]] = []
        self.confirmations = LeaderConfirmations(
            identity.replica_id, lambda read: self._service.put(read), BootClock()
        )
        self.leader_client = LeaderClient(
            link, lambda request: self._service.put(request), clock
        )
        self._service: FilterTask[ServiceInput, ServiceOutput] = FilterTask(
            "configuration",
            ConfigurationService(identity.replica_id),
            CallOutlet(self._handle_output),
            clock,
        )
        self._replica = ReplicaTask(
            ReplicaSettings(
                GROUP,
                identity.replica_id,
                first_members(identity),
                seed,
                listed_replicas=None,
            ),
            DiskTask(FolderDisk(FolderFiles(data_folder / GROUP))),
            link,
            CallOutlet(self._handle_log_output),
            clock,
        )
        self._supervisor: FilterTask[SupervisorInput, ChangeMembers] = FilterTask(
            "supervisor", Supervisor(), CallOutlet(self._change_members), clock
        )
        self._greenlets: list[Any] = []

    def start(self) -> None:
        """Load the data folder and start the tasks; raise ``DiskError`` if it fails."""
        self._service.start()
        self._supervisor.start()
        self.confirmations.start()
        self._replica.start()
        self._greenlets = [
            eventlet.spawn(self._supervise),
            eventlet.spawn(self._send_candidacy),
        ]

    def stop(self) -> None:
        """Stop the tasks; all that the replica acknowledged is on disk already."""
        for greenlet in self._greenlets:
            greenlet.kill()
        self._replica.stop()
        self.confirmations.stop()
        self._supervisor.stop()
        self._service.stop()

    def register(self, router: FrameRouter) -> None:
        """Register the handlers of the frames for control instances."""
        router.register(self._replica.kind, self._replica.handle_frame)
        router.register(KIND_CANDIDATE, self._handle_candidate_frame)
        for kind in KINDS:
            router.register(kind, self.leader_client.handle_frame)

    def subscribe_leader(self, function: Callable[[str | None], None]) -> None:
        """Call ``function`` with the address of each new leader, None if unknown."""
        self._leader_subscribers.append(function)

    def update_peers(self, peers: tuple[PeerRow, ...]) -> None:
        """Replace the list of known daemons."""
        self._peers = peers

    def dump(self) -> Mapping[str, object]:
        """Return the state of the tasks, one section per task."""
        return {
            self._replica.name: self._replica.dump(),
            self._service.name: self._service.dump(),
            self._supervisor.name: self._supervisor.dump(),
            **self.confirmations.dump(),
        }

    def _supervise(self) -> None:
        while True:
            eventlet.sleep(SUPERVISE_INTERVAL_S)
            self._supervisor.put(SupervisorTick(self._replica.leader_view()))

    def _send_candidacy(self) -> None:
        """Ask for membership at intervals while this replica may not be a member.

        The request goes to every control instance; only the leader acts on it.
        """
        payload = encode(CandidateHeard(self.replica_id))
        while True:
            eventlet.sleep(CANDIDATE_INTERVAL_S)
            if not self._needs_membership():
                continue
            for peer in self._peers:
                if peer.is_control:
                    self._link.send(peer.address, KIND_CANDIDATE, payload)

    def _needs_membership(self) -> bool:
        """Return whether this replica is no member or may have been removed."""
        if not self._replica.is_member():
            return True
        if self._leader_id is not None:
            return False
        return self._clock.now() - self._leader_lost_at > LEADERLESS_TIMEOUT_S

    def _handle_candidate_frame(self, frame: Frame) -> None:
        self._supervisor.put(decode(frame.payload, CandidateHeard))

    def _change_members(self, output: ChangeMembers) -> None:
        self._log.info(
            "members-change",
            action=output.change.action.name.lower(),
            replica=output.change.replica_id,
            proposal=output.proposal_id,
        )
        self._replica.put(output)

    def _handle_log_output(self, output: LogOutput) -> None:
        if (
            isinstance(output, ProposalResult)
            and output.proposal_id >= FIRST_PROPOSAL_ID
        ):
            self._supervisor.put(output)
            return
        if isinstance(output, LeaderChanged):
            self._change_leader(output)
        self._service.put(output)

    def _change_leader(self, change: LeaderChanged) -> None:
        if self._leader_id is not None and change.leader_id is None:
            self._leader_lost_at = self._clock.now()
        self._leader_id = change.leader_id
        self._log.info("leader", term=change.term, leader=change.leader_id)
        self.confirmations.put(change)
        address = None if change.leader_id is None else address_of(change.leader_id)
        for function in self._leader_subscribers:
            function(address)

    def _handle_output(self, output: ServiceOutput) -> None:
        match output:
            case TablesChangeReply() | TablesRead():
                self.leader_client.put(output)
            case VersionRead():
                self.confirmations.put(output)
            case TablesAccepted():
                message = Deltas(output.deltas)
                self._spread(SpreadReceived(self._link.address, message))
            case TablesReplaced():
                whole = TablesSnapshot(output.whole)
                self._spread(SpreadReceived(self._link.address, whole))
            case _:
                self._replica.put(output)
