"""Benchmark of the time until a change is acknowledged."""

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
BATCHES = (1, 8, 64)  # proposals per round
REPLICAS = ("a", "b", "c")


class ApplyCommand(Command):
    """Runs three replicas in one process, each with a real data folder."""

    name = "apply"
    usage = "apply [rounds]"
    summary = "time until a change is acknowledged, with real syncs but no network"

    def run(self, args: Sequence[str]) -> Status:
        """Print quantiles by batch size, also for a bare sync of the same bytes."""
        rounds = int(args[0]) if args else ROUNDS
        print(f"ms until acknowledged, 3 replicas, {rounds} rounds, {COMMAND_BYTES} B")
        print(f"{'batch':>6} {'p50':>8} {'p99':>8}   bare sync: {'p50':>8} {'p99':>8}")
        for batch in BATCHES:
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder)
                replicated = _Replicas(path).measure(batch, rounds)
                bare = _time_syncs(path, batch, rounds)
            print(f"{batch:6} {_quantiles(replicated)}              {_quantiles(bare)}")
        return Status.SUCCESS


class _Replicas:
    """Three replicas; messages between them are encoded and delivered at once."""

    def __init__(self, folder: pathlib.Path) -> None:
        members = Members(
            tuple(Member(replica_id, replica_id) for replica_id in REPLICAS)
        )
        self._disks = {
            replica_id: FolderDisk(FolderFiles(folder / replica_id))
            for replica_id in REPLICAS
        }
        self._replicas = {
            replica_id: Replica(replica_id, disk.load(members), 1, 0.0)
            for replica_id, disk in self._disks.items()
        }
        self._now = 0.0
        self._committed = 0

    def measure(self, batch: int, rounds: int) -> list[float]:
        """Return the seconds from each batch of proposals to its acknowledgement."""
        leader = self._elect()
        times = []
        for number in range(rounds):
            proposals = tuple(
                Proposal(number * batch + offset, b"x" * COMMAND_BYTES)
                for offset in range(batch)
            )
            before = self._committed
            started = time.perf_counter()
            self._handle(leader, Propose(proposals))
            times.append(time.perf_counter() - started)
            committed = self._committed - before
            if committed != batch:
                raise RuntimeError(f"{committed} of {batch} proposals acknowledged")
        for disk in self._disks.values():
            disk.close()
        return times

    def _elect(self) -> str:
        """Advance the time until a replica leads, and return its id."""
        self._now = 1.0
        while True:
            self._now += 0.05
            for replica_id in REPLICAS:
                if self._replicas[replica_id].next_tick <= self._now:
                    self._handle(replica_id, Tick())
                if self._replicas[replica_id].state.role is Role.LEADER:
                    return replica_id

    def _handle(self, recipient: str, message: ReplicaInput) -> None:
        """Deliver a message and all messages that follow from it."""
        pending = collections.deque([(recipient, message)])
        while pending:
            replica_id, current = pending.popleft()
            outputs = batch_outputs(
                self._replicas[replica_id].handle(current, self._now)
            )
            for write in outputs.writes:
                self._write(replica_id, write)
            for output in outputs.released:
                if isinstance(output, Send):
                    sent = decode_message(encode_message(output.message))
                    pending.append((output.recipient, Received(replica_id, sent)))
                elif isinstance(output, ProposalResult):
                    self._committed += output.outcome is Outcome.COMMITTED

    def _write(self, replica_id: str, write: Persist | PersistSnapshot) -> None:
        if isinstance(write, Persist):
            self._disks[replica_id].append(write.records)
        else:
            self._disks[replica_id].save(write.snapshot, write.records)


def _time_syncs(folder: pathlib.Path, batch: int, rounds: int) -> list[float]:
    """Return the seconds to append the bytes of each batch to one file and sync it."""
    times = []
    with (folder / "bare").open("ab", buffering=0) as file:
        for _ in range(rounds):
            started = time.perf_counter()
            file.write(b"x" * COMMAND_BYTES * batch)
            os.fdatasync(file.fileno())
            times.append(time.perf_counter() - started)
    return times


def _quantiles(times: list[float]) -> str:
    ordered = sorted(times)
    p50 = ordered[len(ordered) // 2] * 1000
    p99 = ordered[int(len(ordered) * 0.99)] * 1000
    return f"{p50:8.2f} {p99:8.2f}"
