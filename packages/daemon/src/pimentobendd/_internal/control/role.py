"""Join the parts of the role control."""

import pathlib
from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_adapters._internal.disk.files import FolderFiles
from pimentobend_adapters._internal.disk.folder import FolderDisk
from pimentobend_adapters._internal.disk.task import DiskTask
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.link import Link
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_core._internal.configuration.follower_messages import Deltas
from pimentobend_core._internal.configuration.follower_messages import SpreadReceived
from pimentobend_core._internal.configuration.follower_messages import Whole
from pimentobend_core._internal.configuration.service import ConfigurationService
from pimentobend_core._internal.configuration.service_messages import ChangeReplied
from pimentobend_core._internal.configuration.service_messages import ServiceInput
from pimentobend_core._internal.configuration.service_messages import ServiceOutput
from pimentobend_core._internal.configuration.service_messages import TablesAccepted
from pimentobend_core._internal.configuration.service_messages import TablesReplaced
from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import Proposed
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.control.changes import KIND_ASK
from pimentobendd._internal.control.changes import KIND_REPLY
from pimentobendd._internal.control.changes import ReplicatedControl
from pimentobendd._internal.control.members import MembersInterface
from pimentobendd._internal.control.replica_task import LogOutput
from pimentobendd._internal.control.replica_task import ReplicaSettings
from pimentobendd._internal.control.replica_task import ReplicaTask

GROUP = "configuration"
_STATUS = ("role", "term", "leader_id", "commit_index", "voters", "learners", "peers")


class ControlRole:
    """Own a replica of the configuration and the service in front of it."""

    def __init__(
        self,
        link: Link,
        control: tuple[str, ...],
        data_folder: pathlib.Path,
        spread: Callable[[SpreadReceived], None],
        clock: ClockPort,
        seed: int,
    ) -> None:
        self._address = link.address
        self._spread = spread
        self.changes = ReplicatedControl(link, lambda asked: self._service.put(asked))
        self._service: FilterTask[ServiceInput, ServiceOutput] = FilterTask(
            "configuration",
            ConfigurationService(link.address),
            CallOutlet(self._release),
            clock,
        )
        self.replica = ReplicaTask(
            ReplicaSettings(
                GROUP, link.address, _first_members(link.address, control), seed
            ),
            DiskTask(FolderDisk(FolderFiles(data_folder / GROUP))),
            link,
            CallOutlet(self._take_log),
            clock,
        )
        self.members = MembersInterface(self.replica.put)

    @property
    def kinds(self) -> frozenset[str]:
        """Return the kinds of the frames that ``take`` takes."""
        return frozenset((self.replica.kind, KIND_ASK, KIND_REPLY))

    def start(self) -> None:
        """Load the data folder and start; raise ``DiskError``."""
        self._service.start()
        self.replica.start()

    def take(self, frame: Frame) -> None:
        """Take another control instance's frame; raise ``FrameError``."""
        if frame.kind == self.replica.kind:
            self.replica.take(frame)
        else:
            self.changes.take(frame)

    def stop(self) -> None:
        """Stop the replica; what it acknowledged is on its disk."""
        self.replica.stop()
        self._service.stop()

    def status(self) -> Mapping[str, object]:
        """Return what operators need to know of the replica."""
        state = self.replica.dump()
        return {name: state.get(name) for name in _STATUS}

    def dump(self) -> Mapping[str, object]:
        """Return the state of the tasks, a section each."""
        return {
            self.replica.name: self.replica.dump(),
            self._service.name: self._service.dump(),
        }

    def _take_log(self, output: LogOutput) -> None:
        if isinstance(output, Proposed) and self.members.take(output):
            return
        self._service.put(output)

    def _release(self, output: ServiceOutput) -> None:
        match output:
            case ChangeReplied():
                self.changes.put(output)
            case TablesAccepted():
                message = Deltas((output.delta,))
                self._spread(SpreadReceived(self._address, message))
            case TablesReplaced():
                self._spread(SpreadReceived(self._address, Whole(output.whole)))
            case _:
                self.replica.put(output)


def _first_members(address: str, control: tuple[str, ...]) -> Members:
    """Return the members of a new cluster; none for one that joins later."""
    if address not in control:
        return NO_MEMBERS
    return Members(tuple(Member(each, each) for each in control))
