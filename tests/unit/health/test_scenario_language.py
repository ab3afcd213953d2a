"""Check that scenarios are understood and can fail."""

import pytest
from scenario.language import ScenarioError
from scenario.runner import load
from scenario.runner import run

POOL = "pool bookings servers 8 slots 6 floor 0.5\n"


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        ("end 5s", "one pool"),
        (POOL, "one end"),
        (POOL + "when 5s heal\nend 5s", "unknown statements"),
        (POOL + "at 5s explode\nend 6s", "unknown action"),
        (POOL + "at 5 heal\nend 6s", "expected a number"),
    ],
)
def test_a_faulty_scenario_is_refused(text: str, fault: str) -> None:
    with pytest.raises(ScenarioError, match=fault):
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
def test_a_broken_expectation_is_reported(expectation: str, failures: int) -> None:
    assert len(run(f"{POOL}{expectation}\nend 5s")) == failures
