"""Run replicas through random partitions, crashes and elections."""

import random

import pytest
from memory_disk import DiskFault
from replica_cluster import Cluster

from pimentobend_core._internal.consensus.members import MemberAction
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.messages import Outcome

STEPS = 250


class RandomRun:
    """A cluster and the random actions of one seed."""

    def __init__(self, seed: int, voters: str, others: str) -> None:
        self._rng = random.Random(seed)
        self._cluster = Cluster(voters, others, seed)
        self._nodes = voters + others
        self._actions = (
            [self._run] * 6
            + [self._propose] * 6
            + [self._deliver] * 8
            + [self._read] * 3
            + [
                self._isolate,
                self._block_link,
                self._unblock_links,
                self._unblock_links,
                self._drop_messages,
            ]
            + [self._crash, self._restart, self._restart, self._fail_write]
            + [self._compact, self._change_members, self._change_members]
        )

    def run(self) -> Cluster:
        """Run all steps, then end the faults and let the cluster recover."""
        cluster = self._cluster
        for _ in range(STEPS):
            self._rng.choice(self._actions)()
            cluster.check()
        cluster.heal()
        cluster.run(8.0)
        cluster.check()
        return cluster

    def _node(self) -> str:
        leader = self._cluster.leader
        if leader is not None and self._rng.random() < 0.5:
            return leader
        return self._rng.choice(self._nodes)

    def _run(self) -> None:
        self._cluster.run(self._rng.choice((0.05, 0.2, 0.8, 1.5)))

    def _deliver(self) -> None:
        cluster = self._cluster
        cluster.now += self._rng.choice((0.0, 0.01, 0.1))
        cluster.tick()
        for _ in range(self._rng.randint(1, 6)):
            if cluster.in_transit:
                position = self._rng.randrange(len(cluster.in_transit))
                cluster.deliver(position, keep=self._rng.random() < 0.1)

    def _drop_messages(self) -> None:
        self._cluster.in_transit.clear()

    def _propose(self) -> None:
        first = len(self._cluster.commands)
        count = self._rng.randint(1, 3)
        commands = [b"command %d" % (first + each) for each in range(count)]
        self._cluster.propose(self._node(), *commands)

    def _read(self) -> None:
        for node in self._nodes:
            self._cluster.read(node)

    def _isolate(self) -> None:
        self._cluster.isolate(self._node())

    def _block_link(self) -> None:
        self._cluster.blocked_links.add((self._node(), self._rng.choice(self._nodes)))

    def _unblock_links(self) -> None:
        self._cluster.blocked_links.clear()

    def _crash(self) -> None:
        self._cluster.nodes[self._node()].crash_after = self._rng.randint(0, 3)

    def _restart(self) -> None:
        for node in self._nodes:
            if self._cluster.nodes[node].replica is None or self._rng.random() < 0.1:
                self._cluster.restart(node)

    def _fail_write(self) -> None:
        fault = self._rng.choice(tuple(DiskFault))
        self._cluster.nodes[self._node()].disk.fault = fault

    def _compact(self) -> None:
        self._cluster.compact(self._node())

    def _change_members(self) -> None:
        leader = self._cluster.leader
        if leader is None:
            return
        node = self._rng.choice(self._nodes)
        action = self._rng.choice(tuple(MemberAction))
        change = MemberChange(action, node, f"address-{node}")
        self._cluster.change_members(leader, change)


@pytest.mark.parametrize(
    ("voters", "others"), [("abc", ""), ("abc", "de"), ("abcde", "f")]
)
@pytest.mark.parametrize("seed", range(12))
def test_guarantees_hold(seed: int, voters: str, others: str) -> None:
    cluster = RandomRun(seed, voters, others).run()
    leader = cluster.leader
    assert leader is not None
    (proposal_id,) = cluster.propose(leader, b"last")
    cluster.run(1.0)
    assert cluster.outcomes[proposal_id].outcome is Outcome.COMMITTED
    applied = cluster.nodes[leader].applied
    commands = [entry.command for entry in cluster.committed.values()]
    assert all(command in applied for command in commands if command)
