"""Check how much of a long log a replica that joins is sent.

Guards against a replica that needs longer to catch up than the time after which the
next one may be lost: compaction left a number of entries, however large they were.
"""

import pytest
from replica_cluster import Cluster

from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.messages import TablesDelta
from pimentobend_core._internal.configuration.service import ConfigurationService
from pimentobend_core._internal.consensus.constants import COMPACT_BYTES
from pimentobend_core._internal.consensus.constants import RETAINED_BYTES
from pimentobend_core._internal.consensus.constants import RETAINED_ENTRIES
from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.log import Log
from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.members import MemberAction
from pimentobend_core._internal.consensus.members import MemberChange
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import Compact
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route

CHANGE_BYTES = 64 * 1024
CHANGES = 200
PATH_CHARACTERS = 60_000
POOL = Pool("p", "p", 0.5, 10, False)


@pytest.mark.parametrize(
    ("entries", "size_bytes", "retained"),
    [
        (0, 1, 0),
        (10, 1, 10),
        (RETAINED_ENTRIES + 5, 1, RETAINED_ENTRIES),
        (20, RETAINED_BYTES // 4, 4),
        (20, RETAINED_BYTES + 1, 0),
    ],
)
def test_a_compaction_leaves_few_entries_and_bytes(
    entries: int, size_bytes: int, retained: int
) -> None:
    log = Log(BaseRecord(0, 0, NO_MEMBERS))
    for number in range(entries):
        log.append(Entry(1, number + 1, bytes(size_bytes)))
    assert log.count_retained(log.last_index) == retained


def test_a_replica_that_joins_is_sent_little_of_a_long_log() -> None:
    cluster = Cluster("abc", "d", seed=5)
    cluster.run(3.0)
    leader = cluster.leader or ""
    for number in range(CHANGES):
        cluster.propose(leader, bytes([number]) * CHANGE_BYTES)
        cluster.run(0.05)
    replica = cluster.nodes[leader].replica
    assert replica is not None
    cluster.handle(leader, Compact(replica.commit_index, b"all changes"))
    add = MemberChange(MemberAction.ADD_LEARNER, "d", "address-d")
    cluster.change_members(leader, add)
    cluster.run(2.0)
    joined = cluster.nodes["d"].replica
    assert joined is not None
    assert joined.commit_index == replica.commit_index
    log = joined.state.log
    entries = log.between(log.base.log_index + 1, log.last_index)
    assert sum(len(entry.command) for entry in entries) <= RETAINED_BYTES


@pytest.mark.parametrize("routes", [1, 40], ids=["small tables", "large tables"])
def test_the_log_is_compacted_by_its_bytes(routes: int) -> None:
    """The log after a snapshot is as large as that at most, or ``COMPACT_BYTES``."""
    service = ConfigurationService("a")
    since_bytes = snapshot_bytes = compactions = 0
    for number in range(CHANGES):
        path = f"/{number}/".ljust(PATH_CHARACTERS, "x")
        route = Route(f"r{number % routes}", "h", path, (), "p", True, 1)
        version = service.state.tables.version
        delta = TablesDelta(version, (route,), (), () if number else (POOL,), ())
        command = encode(TablesCommand(f"change-{number}", delta))
        since_bytes += len(command)
        entry = Entry(1, number + 1, command)
        for output in service.handle(Committed((entry,)), 0.0):
            if isinstance(output, Compact):
                compactions += 1
                since_bytes, snapshot_bytes = 0, len(output.state)
        assert since_bytes < max(COMPACT_BYTES, snapshot_bytes) + CHANGE_BYTES
    assert compactions
    assert (snapshot_bytes > COMPACT_BYTES) is (routes > 1)
