"""Run the soak with short seeds, and with seeds that once found a fault."""

import pathlib

import pytest
from fleet_soak import run_soak

SEEDS = [  # seed, seconds, and what went wrong where the seed once failed
    (1, 6.0, ""),
    (2, 6.0, ""),
    (114, 12.0, "SIGHUP during startup ended the daemon"),
]


@pytest.mark.parametrize(("seed", "seconds", "cause"), SEEDS)
def test_soak_finds_no_violations(
    seed: int, seconds: float, cause: str, tmp_path: pathlib.Path
) -> None:
    assert run_soak(seed, seconds, tmp_path) == [], cause
