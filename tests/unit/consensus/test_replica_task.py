"""Check whose messages a replica's task accepts, and how it handles a bad disk."""

from typing import NamedTuple

import eventlet
import pytest
from memory_disk import DiskFault
from memory_disk import MemoryDisk

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.disk.task import DiskTask
from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_core._internal.consensus.codec import encode_envelope
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import AppendEntries
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import Proposal
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import Propose
from pimentobend_core._internal.consensus.messages import ReadIndex
from pimentobend_core._internal.consensus.messages import ReadReady
from pimentobendd._internal.control.replica_task import LogOutput
from pimentobendd._internal.control.replica_task import ReplicaSettings
from pimentobendd._internal.control.replica_task import ReplicaTask

WAIT_S = 10.0


class Sent(NamedTuple):
    peer: str
    kind: str
    payload: bytes


class FakeLink:
    """Records the frames that are sent."""

    def __init__(self) -> None:
        self.sent: list[Sent] = []

    def send(self, peer: str, kind: str, payload: bytes) -> None:
        self.sent.append(Sent(peer, kind, payload))


class RunningTask:
    """A running replica task with a fake disk and a fake link."""

    def __init__(self, voters: str, listed: str | None = "") -> None:
        members = Members(tuple(Member(each, each) for each in voters))
        self.disk = MemoryDisk()
        self.outputs: list[LogOutput] = []
        self.link = FakeLink()
        self.task = ReplicaTask(
            ReplicaSettings(
                "test", "a", members, 1, None if listed is None else frozenset(listed)
            ),
            DiskTask(self.disk),
            self.link,  # type: ignore[arg-type]
            CallOutlet(self.outputs.append),
            HubClock(),
        )
        self.task.start()

    def propose(self, proposal_id: int) -> Outcome:
        """Propose a command and wait for its outcome."""
        command = b"command %d" % proposal_id
        self.task.put(Propose((Proposal(proposal_id, command),)))
        with eventlet.Timeout(WAIT_S):
            while True:
                ended = [
                    each for each in self.outputs if isinstance(each, ProposalResult)
                ]
                for output in ended:
                    if output.proposal_id == proposal_id:
                        return output.outcome
                eventlet.sleep(0.01)

    def commands(self) -> list[bytes]:
        """Return the commands that were delivered to be applied."""
        entries: list[Entry] = []
        for output in self.outputs:
            if isinstance(output, Committed):
                entries.extend(output.entries)
        return [entry.command for entry in entries if entry.is_command]


@pytest.mark.parametrize(
    ("voters", "listed", "sender", "is_accepted"),
    [
        ("abc", "", "b", True),
        ("abc", "", "x", False),
        ("abc", "bcx", "x", True),  # added while this replica was down
        ("", "x", "x", True),  # joins the cluster that the settings list
        ("", "bc", "x", False),  # another cluster had a replica at this address
        ("abc", None, "x", True),  # no other replica ever had the id "a"
        ("", None, "x", True),
    ],
)
def test_only_members_and_listed_replicas_are_accepted(
    voters: str, listed: str | None, sender: str, is_accepted: bool
) -> None:
    running = RunningTask(voters, listed)
    message = encode_envelope(sender, "a", AppendEntries(5, 0, 0, (), 0, 1.0))
    frame = Frame(sender, running.task.kind, message)
    if is_accepted:
        running.task.handle_frame(frame)
    else:
        with pytest.raises(FrameError, match="no member"):
            running.task.handle_frame(frame)
    with eventlet.Timeout(WAIT_S, False):
        while is_accepted and not running.link.sent:
            eventlet.sleep(0.01)
    assert (sender in {sent.peer for sent in running.link.sent}) == is_accepted
    running.task.stop()


@pytest.mark.parametrize(
    ("fault", "outcome"),
    [
        (DiskFault.LOST, Outcome.STORAGE),
        (None, Outcome.COMMITTED),
    ],
)
def test_failed_write_refuses_the_proposal(
    fault: DiskFault | None, outcome: Outcome
) -> None:
    running = RunningTask("a")
    eventlet.sleep(0.05)
    assert running.propose(1) is Outcome.COMMITTED
    running.disk.fault = fault
    assert running.propose(2) is outcome
    eventlet.sleep(0.05)
    assert running.propose(3) is Outcome.COMMITTED
    expected = [b"command 1", b"command 2", b"command 3"]
    if outcome is not Outcome.COMMITTED:
        del expected[1]
    assert running.commands() == expected
    running.task.stop()


def test_a_read_that_waits_at_a_disk_fault_fails() -> None:
    """It stayed unanswered, as the replica that would have confirmed it was gone."""
    running = RunningTask("a")
    eventlet.sleep(0.05)
    running.disk.fault = DiskFault.LOST
    running.task.put(ReadIndex(7))
    assert running.propose(2) is Outcome.STORAGE
    reads = [each for each in running.outputs if isinstance(each, ReadReady)]
    assert reads == [ReadReady(7, Outcome.STORAGE)]
    running.task.stop()
