"""Play requests that crash servers through instances that share the servers.

Each instance sees only its own requests at a server, so it blames innocent ones that
ran beside another instance's. They must not add up to a block, neither rare requests
nor one that runs nearly everywhere through all instances at once.
"""

import pytest
from observed_fleet import ObservedFleet
from observed_fleet import ObservedLoad

from pimentobend_core._internal.crashes.suspects import BLOCK_S

CALM = ObservedLoad(
    instances=4,
    servers=10,
    innocents=300,
    common=0.0,
    busy=0.05,
    culprits=1,
    culprit_steps=7,
    delay_steps=10,
    restart=0.0,
    steps=600,
)
BUSY = CALM._replace(busy=0.8, innocents=5000)
COMMON = BUSY._replace(common=0.7, instances=8)
FEW = BUSY._replace(innocents=40)
RESTARTS = COMMON._replace(restart=0.002)
TWO = COMMON._replace(culprits=2)
LOADS = {
    "calm": CALM,
    "busy": BUSY,
    "common": COMMON,
    "few": FEW,
    "restarts": RESTARTS,
    "two": TWO,
}
CRASHES = 3
SETTLE_S = 4.0  # after the third crash
MAX_RETRIES = 3  # that may reach servers later than that


@pytest.mark.parametrize("seed", range(8))
@pytest.mark.parametrize(("name", "load"), LOADS.items(), ids=LOADS)
def test_a_culprit_is_blocked_and_no_innocent(
    name: str, load: ObservedLoad, seed: int
) -> None:
    assert load.steps * 0.1 < BLOCK_S
    counts = ObservedFleet(load, seed).play()
    assert {each for each in counts.blocked if each.startswith("innocent")} == set()
    assert len(counts.blocked) == load.culprits
    for times in counts.crashes.values():
        third_at = times[CRASHES - 1] if len(times) >= CRASHES else times[-1]
        late = [at for at in times if at > third_at + SETTLE_S]
        assert len(late) <= MAX_RETRIES, times
