"""Test that the repeats of a whole service stay within its budget."""

import pytest
from budget_play import BudgetPlay
from budget_play import Calls
from budget_play import Service
from budget_play import Trouble

SERVICES = (
    Service("schedule", 8, 14.1, 0.23, True, Calls("booking", 2, 0.7)),
    Service("booking", 14, 48.6, 0.17, False, Calls("billing", 1, 0.7)),
    Service("billing", 8, 15.9, 0.12, False),
)
TROUBLES = {
    "calls-of-repeated-runs": Trouble(4.0, 20.0, shed_share=0.5, fail_share=0.1),
    "restarts-amid-refusals": Trouble(
        4.0, 20.0, shed_share=0.6, restarts_at=(6.0, 12.0)
    ),
    "queues-of-a-burst": Trouble(4.0, 20.0, shed_share=0.2, fail_share=0.3, burst=2.2),
}


@pytest.mark.parametrize("seed", [2, 3])
@pytest.mark.parametrize("trouble", TROUBLES.values(), ids=TROUBLES.keys())
def test_repeats_of_a_service_stay_within_the_budget(
    trouble: Trouble, seed: int
) -> None:
    assert BudgetPlay(SERVICES, trouble, seed).play(20.0) == []
