"""Run the soak test with short seeds and with seeds that failed before."""

import pathlib

import pytest
from fleet_soak import play

SEEDS = [  # seed, duration (s), cause of an earlier failure
    (1, 6.0, ""),
    (2, 6.0, ""),
    (114, 12.0, "a reload during the start ended the process"),
]


@pytest.mark.parametrize(("seed", "seconds", "cause"), SEEDS)
def test_soak_finds_no_violation(
    seed: int, seconds: float, cause: str, tmp_path: pathlib.Path
) -> None:
    assert play(seed, seconds, tmp_path) == [], cause
