"""Test how table versions replicate to the daemons."""

import pytest
from hypothesis import HealthCheck
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import initialize
from hypothesis.stateful import precondition
from hypothesis.stateful import rule
from table_fakes import ROOT
from table_fakes import Tree
from table_fakes import make_route

from pimentobend_core._internal.configuration.follower_messages import Current
from pimentobend_core._internal.configuration.follower_messages import Deltas
from pimentobend_core._internal.configuration.follower_messages import SpreadReceived
from pimentobend_core._internal.configuration.follower_messages import TablesSnapshot
from pimentobend_core._internal.configuration.messages import Version

SOURCES = {
    "relay-1": (ROOT,),
    "relay-2": (ROOT,),
    "leaf-1": ("relay-1", "relay-2", "leaf-2"),
    "leaf-2": ("relay-2", "relay-1", "leaf-1"),
}
NAMES = st.sampled_from(sorted(SOURCES))


def _tree(versions: int = 3) -> Tree:
    tree = Tree(SOURCES)
    for number in range(versions):
        tree.accept(*(make_route(each) for each in range(number + 1)))
    tree.run(5.0)
    return tree


def _versions(tree: Tree) -> set[Version]:
    return {follower.in_force for follower in tree.followers.values()}


@pytest.mark.parametrize("changes", [1, 300, 3000])
def test_a_disconnected_follower_catches_up(changes: int) -> None:
    tree = _tree()
    tree.down.add("leaf-1")
    for number in range(changes):
        last = tree.accept(make_route(1, 1000 + number))
    tree.run(5.0)
    tree.down.discard("leaf-1")
    tree.run(5.0)
    assert _versions(tree) == {last}


def test_a_change_is_pushed_without_waiting_for_a_tick() -> None:
    tree = _tree()
    last = tree.accept(make_route(7))
    while tree.in_flight:
        tree.deliver(0)
    assert _versions(tree) == {last}


def test_a_lost_relay_is_replaced() -> None:
    tree = _tree()
    tree.down.add("relay-1")
    last = tree.accept(make_route(7))
    tree.run(9.0)
    assert tree.followers["leaf-1"].in_force == last


def test_peers_serve_a_restarted_daemon_while_control_is_down() -> None:
    tree = _tree()
    before = tree.followers["leaf-1"].in_force
    tree.down.update({ROOT, "relay-1", "relay-2"})
    tree.run(3600.0)
    tree.restart("leaf-1")
    tree.run(5.0)
    assert tree.followers["leaf-1"].in_force == before


def test_a_restarted_daemon_waits_for_the_newest_of_its_sources() -> None:
    tree = _tree()
    old = tree.followers["relay-1"].tables.whole()
    tree.accept(make_route(7))
    new = tree.followers[ROOT].tables.whole()
    tree.restart("leaf-1")
    tree.handle("leaf-1", SpreadReceived("relay-1", TablesSnapshot(old)))
    assert tree.followers["leaf-1"].in_force == Version(0, 0)
    tree.handle("leaf-1", SpreadReceived("relay-2", TablesSnapshot(new)))
    tree.handle("leaf-1", SpreadReceived("leaf-2", Current(old.version, old.digest)))
    assert tree.followers["leaf-1"].in_force == new.version


@pytest.mark.parametrize("sent", ["whole", "deltas"])
def test_an_older_version_is_ignored(sent: str) -> None:
    tree = _tree()
    old = tree.followers["leaf-1"].tables.whole()
    tree.accept(make_route(7))
    tree.run(5.0)
    before = tree.followers["leaf-1"].in_force
    message = TablesSnapshot(old) if sent == "whole" else Deltas(())
    tree.handle("leaf-1", SpreadReceived("relay-1", message))
    assert tree.followers["leaf-1"].in_force == before


def test_a_digest_mismatch_requests_all_rows() -> None:
    tree = _tree()
    tree.down.add("leaf-1")
    tree.accept(make_route(7))
    tree.run(1.0)
    tree.down.discard("leaf-1")
    versioned = tree.deltas[-1]
    wrong = versioned._replace(digest=b"\0" * 16)
    tree.handle("leaf-1", SpreadReceived("relay-1", Deltas((wrong,))))
    assert tree.followers["leaf-1"].in_force < versioned.version
    tree.run(3.0)
    assert tree.followers["leaf-1"].in_force == versioned.version


class SpreadMachine(RuleBasedStateMachine):
    """Run followers under message loss, duplication, reordering and restarts."""

    @initialize()
    def start(self) -> None:
        self.tree = Tree(SOURCES)

    @rule(numbers=st.sets(st.integers(0, 5)), timeout_ms=st.integers(1, 3))
    def accept(self, numbers: set[int], timeout_ms: int) -> None:
        self.tree.accept(*(make_route(number, timeout_ms) for number in numbers))

    @rule(seconds=st.sampled_from([0.5, 2.0]))
    def run(self, seconds: float) -> None:
        self.tree.run(seconds)

    @precondition(lambda self: self.tree.in_flight)
    @rule(data=st.data(), keep=st.booleans())
    def deliver(self, data: st.DataObject, keep: bool) -> None:
        last = len(self.tree.in_flight) - 1
        self.tree.deliver(data.draw(st.integers(0, last)), keep=keep)

    @rule()
    def lose(self) -> None:
        self.tree.in_flight.clear()

    @rule(name=NAMES)
    def stop(self, name: str) -> None:
        self.tree.down.add(name)

    @rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.tree.restart(name)

    @rule(name=NAMES)
    def reconnect(self, name: str) -> None:
        self.tree.down.discard(name)

    def teardown(self) -> None:
        if hasattr(self, "tree"):
            self.tree.down.clear()
            last = self.tree.accept(make_route(9))
            self.tree.run(9.0)
            assert _versions(self.tree) == {last}


SpreadMachine.TestCase.settings = settings(
    max_examples=100,
    stateful_step_count=30,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
TestSpreadMachine = SpreadMachine.TestCase
