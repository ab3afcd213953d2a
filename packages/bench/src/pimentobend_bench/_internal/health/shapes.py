"""Sizes of the simulated fleets.

Qalamkar and Kattevakt are the two platforms whose fleets are simulated; a number
in a name is the number of servers of the service.
"""

from typing import NamedTuple


class Shape(NamedTuple):
    """Size and load of one service, its daemons and the network between them."""

    name: str
    service: str
    servers: int
    slots: int  # per server
    daemons: int
    rate: float  # requests per second, all daemons together
    service_s: float  # median service time
    sigma: float  # standard deviation of the logarithm of the service time
    straggler_share: float  # share of the requests that take much longer
    straggler_ratio: float  # their service time relative to the usual one
    floor: float  # share of the servers that must stay in use
    timeout_s: float
    near_round_trip_s: float  # within a region
    far_round_trip_s: float  # between the regions
    far_weight: float  # weight of a far server relative to a near one


QALAMKAR = Shape(
    name="qalamkar",
    service="bookings",
    servers=8,
    slots=6,
    daemons=24,
    rate=480.0,
    service_s=0.03,
    sigma=0.5,
    straggler_share=0.01,
    straggler_ratio=30.0,
    floor=0.5,
    timeout_s=5.0,
    near_round_trip_s=0.001,
    far_round_trip_s=0.061,
    far_weight=0.2,
)
KATTEVAKT = QALAMKAR._replace(
    name="kattevakt-8",
    service="schedule",
    slots=3,
    rate=240.0,
    near_round_trip_s=0.0028,
)
KATTEVAKT_BOOKING = KATTEVAKT._replace(
    name="kattevakt-14", service="booking", servers=14, daemons=30, rate=420.0
)
SHAPES = (QALAMKAR, KATTEVAKT, KATTEVAKT_BOOKING)
