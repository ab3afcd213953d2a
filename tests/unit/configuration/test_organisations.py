"""Test the replication of organisations, and of tables that hold none."""

from typing import NamedTuple

import pytest
from table_fakes import make_pool
from table_fakes import make_route

from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.codec import decode_command
from pimentobend_core._internal.configuration.codec import decode_snapshot
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.follower import TablesFollower
from pimentobend_core._internal.configuration.follower_messages import Deltas
from pimentobend_core._internal.configuration.follower_messages import SpreadReceived
from pimentobend_core._internal.configuration.follower_messages import TablesSnapshot
from pimentobend_core._internal.configuration.follower_messages import VersionInForce
from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.state import ConfigurationState
from pimentobend_core._internal.models.tables import Organisation

# Written by the version before organisations were added.
OLD_COMMAND = bytes.fromhex(
    "92a2633197920000919ca27231a12aa22f3190a170c3cd03e89000000090909199a170a96361746"
    "16c6f677565cb3fe8000000000000cd0100c2a000a0c290c003"
)
OLD_SNAPSHOT = bytes.fromhex(
    "9296920102c41047adbbb310ab9851f77ed8d4d97f0faf919ca27231a12aa22f3190a170c3cd03e"
    "890000000909199a170a9636174616c6f677565cb3fe8000000000000cd0100c2a000a0c2c00391"
    "92a2633192a86163636570746564920102"
)
OLD_DIGEST = "47adbbb310ab9851f77ed8d4d97f0faf"
MUSEUM = Organisation("museum", ("k1", "k2"), 2, 5.0, 10.0)
ARCHIVE = Organisation("archive", ("k3",))


def make_state(*organisations: Organisation) -> ConfigurationState:
    state = ConfigurationState()
    delta = state.tables.diff((make_route(1),), (make_pool(),), organisations)
    state.apply(TablesCommand("c1", delta._replace(label=3)), Version(1, 2))
    return state


def test_data_of_earlier_versions_is_read_and_has_its_digest() -> None:
    """Guard against a control instance that cannot start after an update."""
    applied, restored = ConfigurationState(), ConfigurationState()
    applied.apply(decode_command(OLD_COMMAND), Version(1, 2))
    restored.restore(decode_snapshot(OLD_SNAPSHOT))
    for state in (applied, restored, make_state()):
        assert state.tables.digest.hex() == OLD_DIGEST
        assert state.tables.whole() == make_state().tables.whole()


class Change(NamedTuple):
    """Change of the organisations museum and archive."""

    name: str
    put: tuple[Organisation, ...]
    removed: tuple[str, ...]
    is_valid: bool = True


CHANGES = [
    Change("none", (), ()),
    Change("a new key", (MUSEUM._replace(api_keys=("k4",)),), ()),
    Change("a removal", (), ("archive",)),
    Change("removal of an unknown one", (), ("absent",)),
    Change("a swap", (MUSEUM._replace(api_keys=("k3",)),), ("archive",)),
    Change("a shared key", (MUSEUM._replace(api_keys=("k3",)),), (), is_valid=False),
]


@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.name)
def test_followers_hold_what_the_replicas_hold(change: Change) -> None:
    """Guard against daemons that serve a removed key, or reject the new version."""
    state = make_state(MUSEUM, ARCHIVE)
    whole = decode(encode(TablesSnapshot(state.tables.whole())), TablesSnapshot)
    follower = TablesFollower((), 0.0)
    follower.handle(SpreadReceived("a", whole), 0.0)
    assert follower.tables.digest == state.tables.digest
    delta = state.tables.diff((make_route(1),), (make_pool(),), (MUSEUM, ARCHIVE))
    delta = delta._replace(
        organisations=change.put, removed_organisations=change.removed
    )
    assert state.is_valid(delta, None) == change.is_valid
    versioned = state.apply(TablesCommand("c2", delta), Version(1, 3))
    assert (versioned is not None) == change.is_valid
    if versioned is None:
        assert state.tables.whole() == make_state(MUSEUM, ARCHIVE).tables.whole()
        return
    sent = decode(encode(versioned), VersionedDelta)
    outputs = follower.handle(SpreadReceived("a", Deltas((sent,))), 0.1)
    (in_force,) = (each for each in outputs if isinstance(each, VersionInForce))
    wanted = {"museum": MUSEUM, "archive": ARCHIVE}
    wanted.update((row.name, row) for row in change.put)
    rows = [row for name, row in wanted.items() if name not in change.removed]
    expected = sorted(rows, key=lambda row: row.name)
    assert sorted(in_force.tables.organisations, key=lambda row: row.name) == expected
    assert list(follower.tables.whole().organisations) == expected
    assert follower.tables.digest == versioned.digest
