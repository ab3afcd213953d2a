"""Simulated services, compared policies and a quantile function."""

import math
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

from pimentobend_bench._internal.traffic.baselines import FifoQueueTraffic
from pimentobend_bench._internal.traffic.baselines import RoundRobinTraffic
from pimentobend_bench._internal.traffic.simulation import Place
from pimentobend_bench._internal.traffic.simulation import Shape
from pimentobend_bench._internal.traffic.simulation import TrafficFilter
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.traffic.pool import PoolTraffic

QUEUE_LIMIT = 256  # requests per daemon

QALAMKAR_PLACES = (
    Place("lahore-a", "punjab"),
    Place("karachi-a", "sindh"),
    Place("lahore-b", "punjab"),
    Place("karachi-b", "sindh"),
)
KATTEVAKT_PLACES = (
    Place("nord-a", "nord"),
    Place("vest-a", "vest"),
    Place("nord-b", "nord"),
    Place("vest-b", "vest"),
)

SHAPES = (
    Shape("qalamkar 8x6", 8, 6, 8, QALAMKAR_PLACES, 0.06),
    Shape("qalamkar 8x6, all 24 daemons", 8, 6, 24, QALAMKAR_PLACES, 0.06),
    Shape("kattevakt 8x3", 8, 3, 8, KATTEVAKT_PLACES, 0.04),
    Shape("kattevakt 14x3", 14, 3, 14, KATTEVAKT_PLACES, 0.04),
    Shape("kattevakt 8x3, all 30 daemons", 8, 3, 30, KATTEVAKT_PLACES, 0.04),
    Shape("target 33x6, 3 daemons", 33, 6, 3, QALAMKAR_PLACES[:3], 0.06),
)


class Policy(NamedTuple):
    """A policy; ``create`` returns its traffic filter for one daemon."""

    name: str
    create: Callable[[Shape, int, Place, int], TrafficFilter]


def _pool_traffic(shape: Shape, number: int, place: Place, seed: int) -> TrafficFilter:
    pool = Pool("pool", shape.name, 0.5, QUEUE_LIMIT, False)
    return PoolTraffic(pool, place.data_centre, place.region, 1000 * seed + number)


def _round_robin(shape: Shape, number: int, place: Place, seed: int) -> TrafficFilter:
    return RoundRobinTraffic(seed + number)


def _fifo_queue(shape: Shape, number: int, place: Place, seed: int) -> TrafficFilter:
    return FifoQueueTraffic(seed + number, shape.daemons, QUEUE_LIMIT)


PIMENTOBEND = Policy("pimentobend", _pool_traffic)
ROUND_ROBIN = Policy("round robin", _round_robin)
FIFO_QUEUE = Policy("fifo queue", _fifo_queue)
POLICIES = (PIMENTOBEND, ROUND_ROBIN, FIFO_QUEUE)


def find_policies(text: str) -> list[Policy]:
    """Return the policies whose name contains ``text``."""
    return [policy for policy in POLICIES if text in policy.name]


def quantile(values: Sequence[float], share: float) -> float:
    """Return a quantile by nearest rank, or NaN if there are no values."""
    if not values:
        return math.nan
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]
