"""Test the configuration service of a control replica."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from table_fakes import make_pool
from table_fakes import make_route

from pimentobend_core._internal.configuration.codec import decode_command
from pimentobend_core._internal.configuration.codec import decode_snapshot
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.messages import TablesDelta
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.service import ConfigurationService
from pimentobend_core._internal.configuration.service_messages import NextLabel
from pimentobend_core._internal.configuration.service_messages import ServiceInput
from pimentobend_core._internal.configuration.service_messages import ServiceOutput
from pimentobend_core._internal.configuration.service_messages import TablesChangeReply
from pimentobend_core._internal.configuration.service_messages import (
    TablesChangeRequest,
)
from pimentobend_core._internal.configuration.service_messages import VersionRead
from pimentobend_core._internal.configuration.service_messages import VersionReadRequest
from pimentobend_core._internal.configuration.state import MAX_ANSWERS
from pimentobend_core._internal.configuration.state import ConfigurationState
from pimentobend_core._internal.configuration.versioned import VersionedTables
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.members import NO_MEMBERS
from pimentobend_core._internal.consensus.messages import Committed
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.consensus.messages import Outcome
from pimentobend_core._internal.consensus.messages import ProposalResult
from pimentobend_core._internal.consensus.messages import Propose
from pimentobend_core._internal.consensus.messages import ReadIndex
from pimentobend_core._internal.consensus.messages import ReadReady
from pimentobend_core._internal.consensus.messages import Restored
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.exceptions import CoreError
from pimentobend_core._internal.models.tables import Route

POOLS = (make_pool(),)


class FakeLog:
    """Fake replicated log of one service; proposals wait until ``commit()``."""

    def __init__(self) -> None:
        self.service = ConfigurationService("a")
        self.entries: list[Entry] = []
        self.waiting: list[Propose] = []
        self.reads: list[ReadIndex] = []
        self.replies: list[TablesChangeReply] = []
        self.versions: list[VersionRead] = []
        self.send(LeaderChanged(3, "a"))
        self.append(b"")

    def send(self, message: ServiceInput) -> tuple[ServiceOutput, ...]:
        outputs = self.service.handle(message, 0.0)
        for output in outputs:
            if isinstance(output, Propose):
                self.waiting.append(output)
            if isinstance(output, ReadIndex):
                self.reads.append(output)
            if isinstance(output, TablesChangeReply):
                self.replies.append(output)
            if isinstance(output, VersionRead):
                self.versions.append(output)
        return outputs

    def append(self, command: bytes) -> Entry:
        entry = Entry(3, len(self.entries) + 1, command)
        self.entries.append(entry)
        self.send(Committed((entry,)))
        return entry

    def commit(self) -> None:
        waiting, self.waiting = self.waiting, []
        for propose in waiting:
            for proposal_id, command in propose.proposals:
                entry = self.append(command)
                outcome = Outcome.COMMITTED
                self.send(ProposalResult(proposal_id, outcome, 3, entry.log_index))

    def end_reads(
        self, outcome: Outcome, log_index: int = 0, leader_id: str | None = None
    ) -> None:
        """End the reads that wait for a majority."""
        reads, self.reads = self.reads, []
        for read in reads:
            self.send(ReadReady(read.read_id, outcome, log_index, leader_id))

    def ask(
        self, change_id: str, *numbers: int, expected: Version | None = None
    ) -> int:
        """Submit a change to routes of these numbers and return its token."""
        token = len(self.replies) + len(self.waiting) + 1
        expected = expected or self.service.state.tables.version
        routes = tuple(make_route(number) for number in numbers)
        self.send(TablesChangeRequest(token, change_id, expected, routes, POOLS))
        return token


def test_one_of_two_concurrent_changes_is_accepted() -> None:
    log = FakeLog()
    log.ask("change-1", 1)
    log.ask("change-2", 2)
    log.commit()
    outcomes = [reply.outcome for reply in log.replies]
    assert outcomes == [ChangeOutcome.ACCEPTED, ChangeOutcome.CONFLICT]
    assert log.service.state.tables.routes() == (make_route(1),)


@pytest.mark.parametrize(
    ("outcome", "is_confirmed"),
    [
        (Outcome.COMMITTED, True),
        (Outcome.NO_MAJORITY, False),
        (Outcome.NOT_LEADER, False),
        (Outcome.STORAGE, False),
    ],
)
def test_a_version_is_read_only_if_a_majority_confirms_the_leader(
    outcome: Outcome, is_confirmed: bool
) -> None:
    """Guards against a deposed leader that vouches for its own version."""
    log = FakeLog()
    log.ask("change-1", 1)
    log.commit()
    (read,) = log.send(VersionReadRequest(7))
    assert isinstance(read, ReadIndex)
    replies = log.send(ReadReady(read.read_id, outcome, log_index=2))
    version = log.service.state.tables.version if is_confirmed else None
    assert replies == (VersionRead(7, version),)


def test_a_version_is_read_once_the_confirmed_index_is_applied() -> None:
    """Guards against a version older than one that was acknowledged before."""
    log = FakeLog()
    (read,) = log.send(VersionReadRequest(7))
    assert isinstance(read, ReadIndex)
    assert not log.send(ReadReady(read.read_id, Outcome.COMMITTED, log_index=2))
    log.ask("change-1", 1)
    log.commit()
    assert log.service.state.tables.version == (3, 2)
    assert VersionRead(7, Version(3, 2)) in log.versions


@pytest.mark.parametrize("others", [0, 1, 500])
def test_a_resent_change_gets_its_first_answer(others: int) -> None:
    log = FakeLog()
    expected = log.service.state.tables.version
    log.ask("change-1", 1, expected=expected)
    log.commit()
    for number in range(others):
        log.ask(f"other-{number}", number)
        log.commit()
    before = log.service.state.tables.version
    log.ask("change-1", 1, expected=expected)
    assert log.replies[-1][1:3] == log.replies[0][1:3]
    assert log.service.state.tables.version == before


def test_a_change_resent_before_its_answer_runs_once() -> None:
    log = FakeLog()
    log.ask("change-1", 1)
    log.ask("change-1", 1)
    log.commit()
    assert [reply.outcome for reply in log.replies] == [ChangeOutcome.ACCEPTED] * 2
    assert log.replies[0].version == log.replies[1].version


@pytest.mark.parametrize(
    ("leader", "expected"),
    [
        (LeaderChanged(4, None), ChangeOutcome.NO_MAJORITY),
        (LeaderChanged(4, "b"), ChangeOutcome.NOT_LEADER),
        (LeaderChanged(4, "a"), ChangeOutcome.NO_MAJORITY),
    ],
)
def test_only_an_established_leader_accepts_changes(
    leader: LeaderChanged, expected: ChangeOutcome
) -> None:
    log = FakeLog()
    log.send(leader)
    log.ask("change-1", 1)
    assert log.replies[-1].outcome is expected
    assert not log.waiting


STALE = Version(1, 1)
ORDER = TablesChangeRequest(
    9, "order", STALE, (make_route(1),), POOLS, None, NextLabel(3, 4)
)
ODD_ORDERS = [  # that a replica would refuse for good, and its outcome
    ("other version", ORDER._replace(label=None), ChangeOutcome.CONFLICT),
    ("other base", ORDER, ChangeOutcome.CONFLICT),
    ("no growth", ORDER._replace(label=NextLabel(0, 0)), ChangeOutcome.INVALID),
    (
        "unknown pool",
        ORDER._replace(label=NextLabel(0, 1), pools=()),
        ChangeOutcome.INVALID,
    ),
]
UNCONFIRMED = [  # outcome of the read, new leader, outcome of the change
    (Outcome.NO_MAJORITY, None, ChangeOutcome.NO_MAJORITY),
    (Outcome.NOT_LEADER, "b", ChangeOutcome.NOT_LEADER),
    (Outcome.STORAGE, None, ChangeOutcome.STORAGE),
]


@pytest.mark.parametrize(
    ("order", "outcome"), [o[1:] for o in ODD_ORDERS], ids=[o[0] for o in ODD_ORDERS]
)
@pytest.mark.parametrize(("read", "leader_id", "expected"), UNCONFIRMED)
def test_a_refusal_waits_for_a_majority(
    order: TablesChangeRequest,
    outcome: ChangeOutcome,
    read: Outcome,
    leader_id: str | None,
    expected: ChangeOutcome,
) -> None:
    """A leader that was paused refused an order that its successor had accepted."""
    log = FakeLog()
    log.send(order)
    assert log.replies == []
    log.end_reads(read, leader_id=leader_id)
    assert [reply.outcome for reply in log.replies] == [expected]
    assert log.replies[0].leader_id == leader_id
    log.send(order)
    log.end_reads(Outcome.COMMITTED, len(log.entries))
    assert [reply.outcome for reply in log.replies[1:]] == [outcome]
    assert not log.waiting


def test_a_refusal_is_decided_again_once_the_confirmed_index_is_applied() -> None:
    log = FakeLog()
    order = ORDER._replace(label=None, expected=Version(3, 2))
    accepted = log.service.state.build_delta(order)
    log.send(order)
    log.end_reads(Outcome.COMMITTED, 2)
    assert log.replies == []
    log.append(encode(TablesCommand("order", accepted)))
    assert [reply.outcome for reply in log.replies] == [ChangeOutcome.ACCEPTED]


def test_a_change_is_proposed_if_the_confirmed_state_is_the_expected_one() -> None:
    log = FakeLog()
    log.send(ORDER._replace(label=None, expected=Version(3, 2)))
    log.end_reads(Outcome.COMMITTED, 2)
    other = TablesCommand("other", log.service.state.tables.diff((), POOLS))
    log.append(encode(other))
    assert log.replies == []
    log.commit()
    assert [reply.outcome for reply in log.replies] == [ChangeOutcome.ACCEPTED]


@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (Outcome.UNKNOWN, ChangeOutcome.UNKNOWN),
        (Outcome.STORAGE, ChangeOutcome.STORAGE),
        (Outcome.NO_MAJORITY, ChangeOutcome.NO_MAJORITY),
    ],
)
def test_log_failures_are_reported_to_the_sender(
    outcome: Outcome, expected: ChangeOutcome
) -> None:
    log = FakeLog()
    log.ask("change-1", 1)
    (proposal,) = log.waiting.pop().proposals
    log.send(ProposalResult(proposal.proposal_id, outcome))
    assert log.replies[-1].outcome is expected
    assert log.service.state.tables.routes() == ()


LONG_NAME = "x" * 65_536
UNFIT_ROWS = [  # the row that no table can hold, and what stands beside it
    ("a long name alone", (make_route(1)._replace(name=LONG_NAME),)),
    ("a long name last", (make_route(1), make_route(2)._replace(name=LONG_NAME))),
    ("a timeout of 50 days", (make_route(1), make_route(2, 1 << 32))),
]
unfit_rows = pytest.mark.parametrize(
    "routes", [r[1] for r in UNFIT_ROWS], ids=[r[0] for r in UNFIT_ROWS]
)


@unfit_rows
def test_a_change_that_does_not_fit_the_tables_is_refused(
    routes: tuple[Route, ...],
) -> None:
    log = FakeLog()
    order = ORDER._replace(label=NextLabel(0, 1), routes=routes)
    for change in (order, order._replace(label=None, expected=Version(0, 0))):
        log.send(change)
        log.end_reads(Outcome.COMMITTED, len(log.entries))
        assert [reply.outcome for reply in log.replies] == [ChangeOutcome.INVALID]
        assert not log.waiting
        log.replies.clear()


@unfit_rows
def test_a_committed_change_that_does_not_fit_changes_nothing(
    routes: tuple[Route, ...],
) -> None:
    """Each replica stopped halfway, and none accepted a change from then on."""
    log = FakeLog()
    log.ask("change-0", 0)
    log.commit()
    before = log.service.state.tables.whole()
    delta = TablesDelta(before.version, routes, ("r0",), POOLS, ())
    log.append(encode(TablesCommand("unfit", delta)))
    assert log.service.state.tables.whole() == before
    answer = log.service.state.answer("unfit")
    assert answer is not None
    assert answer.outcome is ChangeOutcome.INVALID
    log.ask("change-1", 1)
    log.commit()
    assert log.replies[-1].outcome is ChangeOutcome.ACCEPTED


@unfit_rows
def test_a_delta_is_applied_whole_or_not_at_all(routes: tuple[Route, ...]) -> None:
    tables = VersionedTables()
    tables.apply(tables.diff((make_route(0),), POOLS), Version(1, 1))
    before = tables.whole()
    with pytest.raises(CoreError):
        tables.apply(tables.diff(routes, ()), Version(1, 2))
    assert tables.whole() == before


def test_answers_are_kept_for_a_bounded_number_of_changes() -> None:
    state = ConfigurationState()
    delta = state.tables.diff((), ())
    for number in range(MAX_ANSWERS + 1):
        state.apply(TablesCommand(f"change-{number}", delta), Version(1, number + 1))
    assert state.answer("change-0") is None
    assert state.answer("change-1") is not None


def test_a_snapshot_carries_tables_and_answers() -> None:
    log = FakeLog()
    log.ask("change-1", 1, 2)
    log.commit()
    content = encode(log.service.state.snapshot())
    other = ConfigurationService("b")
    other.handle(Restored(Snapshot(3, 2, NO_MEMBERS, content)), 0.0)
    assert other.state.tables.whole() == log.service.state.tables.whole()
    assert other.state.answer("change-1") == log.service.state.answer("change-1")


NUMBERS = st.dictionaries(st.integers(0, 6), st.integers(1, 3))


@settings(derandomize=True, deadline=None, max_examples=200)
@given(before=NUMBERS, after=NUMBERS)
def test_a_delta_leads_from_one_version_to_another(
    before: dict[int, int], after: dict[int, int]
) -> None:
    first = tuple(make_route(*item) for item in before.items())
    second = tuple(make_route(*item) for item in after.items())
    stepping = VersionedTables()
    stepping.apply(stepping.diff(first, POOLS), Version(1, 1))
    delta = stepping.diff(second, POOLS)
    stepping.apply(delta, Version(1, 2))
    direct = VersionedTables()
    direct.apply(direct.diff(second, POOLS), Version(1, 2))
    assert stepping.whole() == direct.whole()
    assert len(delta.routes) == sum(before.get(n) != t for n, t in after.items())


@settings(derandomize=True, deadline=None, max_examples=300)
@given(position=st.integers(0, 10_000), byte=st.integers(0, 255))
def test_corrupt_bytes_decode_or_raise_codec_error(position: int, byte: int) -> None:
    state = ConfigurationState()
    delta = state.tables.diff((make_route(1),), POOLS)
    command = TablesCommand("change-1", delta)
    state.apply(command, Version(1, 1))
    for content, decode in (
        (encode(command), decode_command),
        (encode(state.snapshot()), decode_snapshot),
    ):
        changed = bytearray(content)
        changed[position % len(changed)] = byte
        try:
            assert isinstance(decode(bytes(changed)), tuple)
        except CodecError as error:
            assert "cannot decode a configuration message" in str(error)
