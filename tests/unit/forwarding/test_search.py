"""Test how far away servers are asked for bids."""

import pytest
from delivery_driver import candidate

from pimentobend_core._internal.forwarding.delivery_messages import Offers
from pimentobend_core._internal.forwarding.search import Wanted
from pimentobend_core._internal.forwarding.search import find_next_distance
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.forwarding.selection import Requirements

NEAR, REGION, FAR = Distance.DATA_CENTRE, Distance.REGION, Distance.FAR
ONCE = Wanted(Requirements(False, 4.0, 5.0), frozenset(), (), False)
REPEAT = ONCE._replace(is_repeat=True)


def server(
    name: str, distance: Distance, risk: float, *, takes_repeats: bool = True
) -> Candidate:
    found = candidate(name, risk, distance)
    return found._replace(bid=found.bid._replace(takes_repeats=takes_repeats))


def both(
    distance: Distance, risk: float, *, takes_repeats: bool = True
) -> list[Candidate]:
    return [
        server(f"{distance.name}-{number}", distance, risk, takes_repeats=takes_repeats)
        for number in range(2)
    ]


SPENT = both(NEAR, 0.02, takes_repeats=False)
# Name, near bids, recent bids further away, the request, and how far to ask next.
SEARCHES = [
    ("a sound server is near", both(NEAR, 0.02), [], ONCE, None),
    ("doubt, nothing known", both(NEAR, 0.3), [], ONCE, REGION),
    ("doubt, better in the region", both(NEAR, 0.3), both(REGION, 0.02), ONCE, REGION),
    ("doubt everywhere", both(NEAR, 0.3), both(REGION, 0.3), ONCE, None),
    (
        "one recent bid is not enough",
        both(NEAR, 0.3),
        both(REGION, 0.3)[:1],
        ONCE,
        REGION,
    ),
    (
        "failing in the region, unknown far away",
        both(NEAR, 0.9),
        both(REGION, 0.9),
        ONCE,
        FAR,
    ),
    (
        "failing everywhere",
        both(NEAR, 0.9),
        both(REGION, 0.9) + both(FAR, 0.9),
        ONCE,
        None,
    ),
    ("no server near", [], both(REGION, 0.9), ONCE, REGION),
    ("no budget near, nothing known", SPENT, [], REPEAT, REGION),
    (
        "no budget anywhere",
        SPENT,
        both(REGION, 0.02, takes_repeats=False) + both(FAR, 0.02, takes_repeats=False),
        REPEAT,
        None,
    ),
    (
        "budget far away only",
        SPENT,
        both(REGION, 0.02, takes_repeats=False) + both(FAR, 0.02),
        REPEAT,
        FAR,
    ),
]


@pytest.mark.parametrize(
    ("near", "recent", "wanted", "expected"),
    [each[1:] for each in SEARCHES],
    ids=[each[0] for each in SEARCHES],
)
def test_how_far_to_ask(
    near: list[Candidate],
    recent: list[Candidate],
    wanted: Wanted,
    expected: Distance | None,
) -> None:
    """Guards against questions to all regions in trouble that is the same there."""
    best = wanted.select(tuple(near)).best
    offers = Offers(tuple(near), NEAR, tuple(recent))
    assert find_next_distance(offers, best, wanted) is expected


def test_all_distances_are_asked_once_at_most() -> None:
    """Guards against a request that asks for bids in circles."""
    offers = Offers(tuple(both(NEAR, 0.9)), FAR)
    assert find_next_distance(offers, None, ONCE) is None
