"""Check that invalid scenarios are rejected and failed expectations reported."""

import pytest
from scenario.language import ScenarioError
from scenario.runner import load
from scenario.runner import run

POOL = "pool bookings servers 8 slots 6 floor 0.5\n"


@pytest.mark.parametrize(
    ("text", "error"),
    [
        ("end 5s", "one pool"),
        (POOL, "one end"),
        (POOL + "when 5s heal\nend 5s", "unknown statements"),
        (POOL + "at 5s explode\nend 6s", "unknown action"),
        (POOL + "at 5 heal\nend 6s", "expected a number"),
    ],
)
def test_an_invalid_scenario_is_rejected(text: str, error: str) -> None:
    with pytest.raises(ScenarioError, match=error):
        load(text)


@pytest.mark.parametrize(
    ("expectation", "failures"),
    [
        ("expect by 4s ejected 3", 1),
        ("expect at 4s ejected 3", 1),
        ("expect always ejected 3", 1),
        ("expect never in-use all", 1),
        ("expect never ejected all", 0),
        ("expect always floor", 0),
        ("expect at 4s in-use all", 0),
    ],
)
def test_a_failed_expectation_is_reported(expectation: str, failures: int) -> None:
    assert len(run(f"{POOL}{expectation}\nend 5s")) == failures
