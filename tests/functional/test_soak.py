"""Run the soak with short seeds, and with seeds that once found a fault."""

import pathlib

import pytest
from fleet_soak import KINDS
from fleet_soak import run_soak

# Kind, instances, servers of a service, seed, seconds, and what went wrong where the
# seed once failed.
SEEDS = [
    ("single", 2, 2, 1, 6.0, ""),
    ("single", 2, 2, 2, 6.0, ""),
    ("single", 2, 2, 114, 12.0, "SIGHUP during startup ended the daemon"),
    ("series", 2, 2, 1, 6.0, ""),
    ("series", 6, 2, 1, 6.0, "the last requests before a stop's end had no answer"),
    ("keys", 2, 2, 1, 10.0, ""),
    ("series", 12, 3, 440, 10.0, "late requests were sent on a guess of their time"),
]


@pytest.mark.parametrize(
    ("kind", "instances", "servers", "seed", "seconds", "cause"),
    SEEDS,
    ids=[f"{row[0]}-{row[1]}-{row[3]}" for row in SEEDS],
)
def test_soak_finds_no_violations(
    kind: str,
    instances: int,
    servers: int,
    seed: int,
    seconds: float,
    cause: str,
    tmp_path: pathlib.Path,
) -> None:
    soak_kind = KINDS[kind](instances, servers)
    assert run_soak(seed, seconds, tmp_path, soak_kind) == [], cause
