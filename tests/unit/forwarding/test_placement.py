"""Test how far from its caller a request is sent."""

import pytest
from delivery_driver import candidate
from played_fleet import Load
from played_fleet import PlayedFleet

from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.forwarding.selection import Requirements
from pimentobend_core._internal.forwarding.selection import is_worth_asking
from pimentobend_core._internal.forwarding.selection import select_cheapest

ORDER_BYTES = 1200
UPLOAD_BYTES = 1_000_000
PHOTO_BYTES = 60_000


def server(distance: Distance, wait_s: float, risk: float = 0.02) -> Candidate:
    found = candidate(distance.name, risk, distance)
    bid = found.bid._replace(wait_s=wait_s, free_slots=0 if wait_s else 3)
    return found._replace(bid=bid)


NEAR, REGION, FAR = Distance.DATA_CENTRE, Distance.REGION, Distance.FAR
# Name, bytes of the body, wait at the near server, its risk, place of the free
# server, and the choice; the target latency is 4 s.
PLACES = [
    ("order, wait of an eighth of the target", ORDER_BYTES, 0.5, 0.02, REGION, NEAR),
    ("order, doubt about the near server", ORDER_BYTES, 0.0, 0.1, REGION, NEAR),
    ("order, the near server often fails", ORDER_BYTES, 0.0, 0.4, REGION, REGION),
    ("order, late at the near server", ORDER_BYTES, 4.0, 0.02, REGION, REGION),
    ("look-up, doubt about the near server", 0, 0.0, 0.15, REGION, REGION),
    ("look-up, doubt, other region", 0, 0.0, 0.15, FAR, NEAR),
    ("order, late, other region", ORDER_BYTES, 4.5, 0.02, FAR, FAR),
    ("upload, late at the near server", UPLOAD_BYTES, 6.0, 0.02, REGION, REGION),
    ("upload, late, other region", UPLOAD_BYTES, 6.0, 0.02, FAR, FAR),
    ("photo, doubt about the near server", PHOTO_BYTES, 0.0, 0.4, REGION, NEAR),
    ("photo, wait within the target", PHOTO_BYTES, 1.5, 0.02, REGION, NEAR),
    ("photo, the near server fails", PHOTO_BYTES, 0.0, 0.7, REGION, REGION),
    ("photo, the near server fails, other region", PHOTO_BYTES, 0.0, 0.7, FAR, NEAR),
    ("photo, the near server loses it", PHOTO_BYTES, 0.0, 0.9, FAR, FAR),
]


@pytest.mark.parametrize(
    ("body_bytes", "wait_s", "risk", "place", "choice"),
    [p[1:] for p in PLACES],
    ids=[p[0] for p in PLACES],
)
def test_a_request_goes_further_only_for_more_than_its_bytes_cost(
    body_bytes: int, wait_s: float, risk: float, place: Distance, choice: Distance
) -> None:
    requirements = Requirements(False, 4.0, 5.0, body_bytes=body_bytes)
    candidates = (server(NEAR, wait_s, risk), server(place, 0.0))
    best = select_cheapest(candidates, requirements, frozenset())
    assert best is not None
    assert best.candidate.distance is choice
    if choice is not NEAR:
        near = select_cheapest(candidates[:1], requirements, frozenset())
        assert is_worth_asking(place, near, requirements), "it is found"


def test_a_loaded_data_centre_keeps_most_of_its_orders() -> None:
    load = Load(
        zones=4,
        servers_per_zone=4,
        slots=5,
        per_s=110.0,
        work_s=0.5,
        target_s=4.0,
        deadline_s=5.0,
        length_s=15.0,
        body_bytes=ORDER_BYTES,
    )
    outcome = PlayedFleet(load, seed=1).play()
    assert outcome.served >= 0.99
    assert outcome.far_share <= 0.1
