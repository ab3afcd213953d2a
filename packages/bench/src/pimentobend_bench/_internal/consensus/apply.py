"""Measure how long a change takes until it is acknowledged."""

import collections
import os
import pathlib
import tempfile
import time
from collections.abc import Sequence

from pimentobend_adapters._internal.disk.files import FolderFiles
from pimentobend_adapters._internal.disk.folder import FolderDisk
from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status
from pimentobend_core._internal.consensus.codec import decode_message
from pimentobend_core._internal.consensus.codec import encode_message
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import Persist
from pimentobend_core._internal.consensus.messages import PersistSnapshot
from pimentobend_core._internal.consensus.messages import Proposal
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import Propose
from pimentobend_core._internal.consensus.messages import Received
from pimentobend_core._internal.consensus.messages import ReplicaInput
from pimentobend_core._internal.consensus.messages import Send
from pimentobend_core._internal.consensus.messages import Tick
from pimentobend_core._internal.consensus.replica import Replica
from pimentobend_core._internal.consensus.state import Role
from pimentobend_core._internal.consensus.writes import batch_outputs

ROUNDS = 500
COMMAND_BYTES = 300
BATCHES = (1, 8, 64)
REPLICAS = ("a", "b", "c")


class ApplyCommand(Command):
    """Run three replicas in one process, each with a real data folder."""

    name = "apply"
    usage = "apply [rounds]"
    summary = "time until acknowledged, with real syncs and without a network"

    def run(self, args: Sequence[str]) -> Status:
        """Print quantiles a batch size, beside a bare sync of the same bytes."""
        rounds = int(args[0]) if args else ROUNDS
        print(f"ms until acknowledged, 3 replicas, {rounds} rounds, {COMMAND_BYTES} B")
        print(f"{'batch':>6} {'p50':>8} {'p99':>8}   bare sync: {'p50':>8} {'p99':>8}")
        for batch in BATCHES:
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder)
                mine = _Trio(path).measure(batch, rounds)
                bare = _sync_only(path, batch, rounds)
            print(f"{batch:6} {_quantiles(mine)}              {_quantiles(bare)}")
        return Status.SUCCESS


class _Trio:
    """Own three replicas and pass their encoded messages on at once."""

    def __init__(self, folder: pathlib.Path) -> None:
        members = Members(tuple(Member(each, each) for each in REPLICAS))
        self._disks = {
            each: FolderDisk(FolderFiles(folder / each)) for each in REPLICAS
        }
        self._replicas = {
            each: Replica(each, disk.load(members), 1, 0.0)
            for each, disk in self._disks.items()
        }
        self._now = 0.0
        self._committed = 0

    def measure(self, batch: int, rounds: int) -> list[float]:
        """Return the seconds of each round."""
        leader = self._elect()
        times = []
        for number in range(rounds):
            proposals = tuple(
                Proposal(number * batch + each, b"x" * COMMAND_BYTES)
                for each in range(batch)
            )
            before = self._committed
            began = time.perf_counter()
            self._handle(leader, Propose(proposals))
            times.append(time.perf_counter() - began)
            if self._committed - before != batch:
                raise RuntimeError("a proposal was not acknowledged")
        for disk in self._disks.values():
            disk.close()
        return times

    def _elect(self) -> str:
        self._now = 1.0
        while True:
            self._now += 0.05
            for each in REPLICAS:
                if self._replicas[each].next_tick <= self._now:
                    self._handle(each, Tick())
                if self._replicas[each].state.role is Role.LEADER:
                    return each

    def _handle(self, first: str, message: ReplicaInput) -> None:
        waiting = collections.deque([(first, message)])
        while waiting:
            replica_id, each = waiting.popleft()
            outputs = batch_outputs(self._replicas[replica_id].handle(each, self._now))
            for write in outputs.writes:
                self._write(replica_id, write)
            for output in outputs.released:
                if isinstance(output, Send):
                    sent = decode_message(encode_message(output.message))
                    waiting.append((output.recipient, Received(replica_id, sent)))
                elif isinstance(output, ProposalResult):
                    self._committed += output.outcome is Outcome.COMMITTED

    def _write(self, replica_id: str, write: Persist | PersistSnapshot) -> None:
        if isinstance(write, Persist):
            self._disks[replica_id].append(write.records)
        else:
            self._disks[replica_id].save(write.snapshot, write.records)


def _sync_only(folder: pathlib.Path, batch: int, rounds: int) -> list[float]:
    times = []
    with (folder / "bare").open("ab", buffering=0) as file:
        for _ in range(rounds):
            began = time.perf_counter()
            file.write(b"x" * COMMAND_BYTES * batch)
            os.fdatasync(file.fileno())
            times.append(time.perf_counter() - began)
    return times


def _quantiles(times: list[float]) -> str:
    ordered = sorted(times)
    p50 = ordered[len(ordered) // 2] * 1000
    p99 = ordered[int(len(ordered) * 0.99)] * 1000
    return f"{p50:8.2f} {p99:8.2f}"
