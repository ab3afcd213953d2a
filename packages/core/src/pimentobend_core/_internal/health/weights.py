"""Reduced weights of ejected, avoided and returning servers."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

AVOIDED_WEIGHT = 0.1  # of a server that one observer avoids on its own evidence
RAMP_FIRST_WEIGHT = 0.1  # of a server that has just returned to use
RAMP_S = 15.0  # how long a returning server's weight takes to grow to 1
_STEPS_PER_UNIT = 20  # weights on the ramp change in steps of 1/20


class WeightReduction(NamedTuple):
    """A requested reduction of a server's weight to ``weight``."""

    server_id: str
    weight: float


def ramp_weight(since_s: float) -> float:
    """Return a server's weight ``since_s`` seconds after its return."""
    share = RAMP_FIRST_WEIGHT + (1 - RAMP_FIRST_WEIGHT) * since_s / RAMP_S
    return min(1.0, int(share * _STEPS_PER_UNIT) / _STEPS_PER_UNIT)


def bounded_weights(
    reductions: Iterable[WeightReduction], spare_servers: float
) -> Mapping[str, float]:
    """Apply reductions in order until they add up to ``spare_servers``.

    The last one may be applied in part. Only the first one of each server counts.
    """
    weights: dict[str, float] = {}
    for reduction in reductions:
        if reduction.server_id in weights:
            continue
        reduced = min(1 - reduction.weight, max(0.0, spare_servers))
        spare_servers -= reduced
        if reduced > 0:
            weights[reduction.server_id] = 1 - reduced
    return weights
