"""Work out the weights of servers that are not wholly healthy."""

from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

AVOIDED_WEIGHT = 0.1
RAMP_FIRST_WEIGHT = 0.1
RAMP_S = 15.0
_STEPS = 20  # weights change in steps of 1/20


class Loss(NamedTuple):
    """Take a share of a server's traffic away, the weightiest cause first."""

    server_id: str
    weight: float


def ramp_weight(since_s: float) -> float:
    """Return the weight ``since_s`` seconds after a server's return."""
    share = RAMP_FIRST_WEIGHT + (1 - RAMP_FIRST_WEIGHT) * since_s / RAMP_S
    return min(1.0, int(share * _STEPS) / _STEPS)


def bounded_weights(losses: Iterable[Loss], allowance: float) -> Mapping[str, float]:
    """Grant losses in their order until ``allowance`` (servers) is used up."""
    weights: dict[str, float] = {}
    for loss in losses:
        if loss.server_id in weights:
            continue
        taken = min(1 - loss.weight, max(0.0, allowance))
        allowance -= taken
        if taken > 0:
            weights[loss.server_id] = 1 - taken
    return weights
