"""Decide whether a host's budgets admit an attempt."""

from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.traffic.extra_copies import CopyRefusal
from pimentobend_core._internal.traffic.shared_budget import BudgetState

BUDGET_REASONS = frozenset(
    {DeclineReason.BUDGET, DeclineReason.NO_FREE_SLOT, DeclineReason.EXTRA_COPIES}
)
_COPY_REASONS = {
    CopyRefusal.NO_FREE_SLOT: DeclineReason.NO_FREE_SLOT,
    CopyRefusal.SHARE_SPENT: DeclineReason.EXTRA_COPIES,
}


def find_budget_reason(
    submit: Submit, state: BudgetState, free_slots: int
) -> DeclineReason | None:
    """Return why the budgets do not admit an attempt; None if they do.

    ``state`` is that of its service, ``free_slots`` the number at its server.
    """
    if submit.is_copy:
        refusal = state.copies.find_refusal(free_slots)
        if refusal is not None:
            return _COPY_REASONS[refusal]
    repeat_share = submit.sender.repeat_share
    if submit.is_repeat:
        is_allowed = takes_repeats(state, is_call=submit.sender.is_call)
    else:
        is_allowed = not repeat_share or state.allows_call(repeat_share)
    return None if is_allowed else DeclineReason.BUDGET


def takes_repeats(state: BudgetState, *, is_call: bool) -> bool:
    """Return whether one more repeat may come, of a client's request or of a call."""
    return state.allows_call_repeat if is_call else state.allows_repeat
