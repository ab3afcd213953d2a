"""Test when the filters that prove the tables need their next tick."""

import pytest

from pimentobend_core._internal.configuration.confirmation import INTERVAL_S
from pimentobend_core._internal.configuration.confirmation import LeadershipConfirmation
from pimentobend_core._internal.configuration.confirmation_messages import (
    ConfirmationTick,
)
from pimentobend_core._internal.configuration.confirmation_messages import (
    LeadershipConfirmed,
)
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.proof import TablesProof
from pimentobend_core._internal.configuration.proof_messages import ProofInput
from pimentobend_core._internal.configuration.proof_messages import ProofReply
from pimentobend_core._internal.configuration.proof_messages import ProofReplyReceived
from pimentobend_core._internal.configuration.proof_messages import ProofTargetsChanged
from pimentobend_core._internal.configuration.proof_messages import TablesVersionChanged
from pimentobend_core._internal.configuration.proof_relay import ProofRelay
from pimentobend_core._internal.consensus.messages import LeaderChanged

LIMIT_S = 4.5
VERSION = Version(3, 8)
TABLES = TablesVersionChanged(VERSION)
ONE, NONE = ProofTargetsChanged(("a",)), ProofTargetsChanged(())
REPLY = ProofReplyReceived("a", ProofReply(1, VERSION, 0.5))


@pytest.mark.parametrize(
    ("messages", "due_at"),
    [
        ([TABLES], None),
        ([TABLES, ONE], 10.2),
        ([TABLES, ONE, REPLY], 10.7),
        ([TABLES, ONE, REPLY, NONE], 14.0),
    ],
    ids=["no-target", "unanswered", "answered", "the-end-of-the-proof"],
)
def test_a_daemon_is_woken_for_its_next_question(
    messages: list[ProofInput], due_at: float | None
) -> None:
    """Guards against ticks without work, and proofs whose end is not reported."""
    state = TablesProof(LIMIT_S, first_token=1)
    for message in messages:
        state.handle(message, 10.0)
    assert state.due_at == pytest.approx(due_at)


def test_a_leader_is_woken_for_the_end_of_its_proof_only() -> None:
    """Guards against questions of a leader to itself."""
    relay = ProofRelay("c", LIMIT_S, first_token=1)
    assert relay.due_at is None
    relay.handle(LeadershipConfirmed(10.0, VERSION), 10.1)
    assert relay.due_at == pytest.approx(14.5)


@pytest.mark.parametrize(
    ("leader_id", "after_change", "after_tick"),
    [("a", 10.0, 10.0 + INTERVAL_S), ("b", None, None), (None, None, None)],
    ids=["leader", "follower", "no-leader"],
)
def test_only_the_leader_is_woken_to_ask_a_majority(
    leader_id: str | None, after_change: float | None, after_tick: float | None
) -> None:
    """Guards against ticks on followers, and a late first confirmation."""
    confirmation = LeadershipConfirmation("a")
    confirmation.handle(LeaderChanged(3, leader_id), 10.0)
    assert confirmation.due_at == after_change
    confirmation.handle(ConfirmationTick(), 10.0)
    assert confirmation.due_at == after_tick
