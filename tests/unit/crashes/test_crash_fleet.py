"""Play requests that crash servers among innocent ones, on many seeds.

A request that crashes each server that runs it comes again and again, at any machine.
It must be blocked everywhere within the reports' time to spread, and nothing that ran
beside it may be blocked with it.
"""

import pytest
from crash_fleet import CrashFleet
from crash_fleet import CrashLoad

from pimentobend_core._internal.crashes.suspects import BLOCK_S
from pimentobend_core._internal.crashes.suspects import MAX_FINGERPRINTS

CALM = CrashLoad(
    servers=8,
    slots=4,
    innocents=300,
    busy=0.05,
    culprits=1,
    culprit_steps=13,
    loss=0.0,
    delay_steps=10,
    restart=0.0,
    steps=600,
)
BUSY = CALM._replace(busy=0.8, innocents=5000)
LOSSY = BUSY._replace(loss=0.3, delay_steps=30)
RESTARTS = BUSY._replace(restart=0.005)
TWO = BUSY._replace(culprits=2, servers=12)
# In touch, a culprit crashes three servers, and those that ran it while the reports of
# the third crash were on their way.
MAX_CRASHES = {"calm": 4, "busy": 5, "lossy": 8, "restarts": 8, "two": 5}


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(
    ("name", "load"),
    [
        ("calm", CALM),
        ("busy", BUSY),
        ("lossy", LOSSY),
        ("restarts", RESTARTS),
        ("two", TWO),
    ],
)
def test_a_culprit_is_blocked_and_no_innocent(
    name: str, load: CrashLoad, seed: int
) -> None:
    assert load.steps * 0.1 < BLOCK_S
    counts = CrashFleet(load, seed).play()
    innocent = {each for each in counts.blocked if each.startswith("innocent")}
    assert not innocent
    assert len(counts.blocked) == load.culprits
    assert max(counts.crashes.values()) <= MAX_CRASHES[name]
    assert counts.most_held <= MAX_FINGERPRINTS
