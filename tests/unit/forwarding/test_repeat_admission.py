"""Test which repeats a host admits while its part of the retry budget runs out."""

import pytest

from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.repeat_admission import find_budget_reason
from pimentobend_core._internal.forwarding.repeat_admission import takes_repeats
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.traffic.shared_budget import BudgetState

LIMIT = 100.0
CLIENT = Sender(is_client=True)
CALL = Sender(is_call=True)


@pytest.mark.parametrize(
    ("sender", "repeats", "is_admitted"),
    [
        (CLIENT, 0, True),
        (CLIENT, 60, True),
        (CLIENT, 70, False),
        (CALL, 0, True),
        (CALL, 40, True),
        (CALL, 60, False),
    ],
)
def test_repeats_of_calls_leave_room_for_those_of_clients(
    sender: Sender, repeats: float, is_admitted: bool
) -> None:
    """Guards against calls that use up the repeats of a service that sheds load."""
    state = BudgetState(0, repeats, LIMIT, 1, 100.0)
    submit = Submit("a", "s", "r", 0, True, 0.0, 10.0, is_repeat=True, sender=sender)
    reason = find_budget_reason(submit, state, 1)
    assert reason is (None if is_admitted else DeclineReason.BUDGET)
    assert takes_repeats(state, is_call=sender.is_call) is is_admitted
