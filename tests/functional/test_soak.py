"""Play short seeds of the soak, and those that ever broke a promise."""

import pathlib

import pytest
from fleet_soak import play

SEEDS = [  # seed, seconds, and for one that ever failed the cause
    (1, 6.0, ""),
    (2, 6.0, ""),
    (114, 12.0, "a reload during the start ended the process"),
]


@pytest.mark.parametrize(("seed", "seconds", "cause"), SEEDS)
def test_a_soak_keeps_the_promises(
    seed: int, seconds: float, cause: str, tmp_path: pathlib.Path
) -> None:
    assert play(seed, seconds, tmp_path) == [], cause
