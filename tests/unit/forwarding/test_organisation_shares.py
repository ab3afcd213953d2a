"""Test how organisations share full servers, in loads played without a network."""

import pytest
from played_fleet import Load
from played_fleet import OrganisationLoad
from played_fleet import PlayedFleet

CAPACITY_PER_S = 64.0
USUAL_PER_S = 7.0
SURGE = 7.0
LOAD = Load(
    zones=2,
    servers_per_zone=2,
    slots=4,
    per_s=0.0,
    work_s=0.25,
    target_s=1.0,
    deadline_s=3.0,
    length_s=25.0,
)
OTHERS = tuple(OrganisationLoad(f"o{n}", USUAL_PER_S) for n in range(7))
CALM = (OrganisationLoad("a", USUAL_PER_S), *OTHERS)
SURGED = (OrganisationLoad("a", SURGE * USUAL_PER_S), *OTHERS)
ANONYMOUS = (OrganisationLoad("", SURGE * USUAL_PER_S), *OTHERS)
RANKED = tuple(OrganisationLoad(f"o{n}", 12.0, n % 2) for n in range(8))
URGENT_SURGE = (OrganisationLoad("a", SURGE * USUAL_PER_S, 0), *OTHERS)
FEW = (OrganisationLoad("a", 10.0), OrganisationLoad("b", 5.0))
FEW_SURGED = (OrganisationLoad("a", 100.0), OrganisationLoad("b", 5.0))
ONE_SERVER = {"zones": 1, "servers_per_zone": 1}
# Work that waits until the queue has QUEUE_LIMIT attempts.
LONG_WAITS = {**ONE_SERVER, "work_s": 0.1, "target_s": 5.0, "deadline_s": 10.0}


def play(organisations: tuple[OrganisationLoad, ...], **changes: object) -> PlayedFleet:
    per_s = sum(each.per_s for each in organisations)
    load = LOAD._replace(per_s=per_s, organisations=organisations)
    fleet = PlayedFleet(load._replace(**changes), 1)  # type: ignore[arg-type]
    fleet.play()
    return fleet


def served(fleet: PlayedFleet, *names: str) -> float:
    """Return the served share of the requests of organisations; of all by default."""
    counts = [fleet.counts_of[name] for name in names or fleet.counts_of]
    good = sum(each["served"] for each in counts)
    return good / max(1, good + sum(each["unserved"] for each in counts))


def percentile(fleet: PlayedFleet, percent: int, *names: str) -> float:
    times = sorted(each for name in names for each in fleet.times_of[name])
    return times[len(times) * percent // 100]


SURGES = [  # name, who sends usually and in a surge, longer median wait, changes
    ("of an organisation", CALM, SURGED, 0.3, {}),
    ("of anonymous requests", CALM, ANONYMOUS, 0.3, {}),
    ("of a more urgent rank", CALM, URGENT_SURGE, 0.6, {}),
    ("that fills the queue", FEW, FEW_SURGED, 0.1, LONG_WAITS),
]


@pytest.mark.parametrize(
    ("usual", "surge", "longer_s", "changes"),
    [case[1:] for case in SURGES],
    ids=[case[0] for case in SURGES],
)
def test_others_do_not_wait_for_a_surge(
    usual: tuple[OrganisationLoad, ...],
    surge: tuple[OrganisationLoad, ...],
    longer_s: float,
    changes: dict[str, float],
) -> None:
    """Guard against a queue that one organisation fills for all of them."""
    names = [each.name for each in usual[1:]]
    calm, surged = play(usual, **changes), play(surge, **changes)
    assert served(surged, *names) >= served(calm, *names) - 0.01
    wait_s = percentile(surged, 50, *names)
    assert wait_s <= percentile(calm, 50, *names) + longer_s
    assert served(surged, surge[0].name) >= served(surged) / 4


SINGLE = [  # name, requests per second at one server, least share of the anonymous rate
    ("nearly full", 15.5, 0.98),
    ("twice the capacity", 32.0, 0.98),
]


@pytest.mark.parametrize(
    ("per_s", "least"), [case[1:] for case in SINGLE], ids=[case[0] for case in SINGLE]
)
def test_an_organisation_that_is_alone_uses_everything(
    per_s: float, least: float
) -> None:
    """Guard against debts that grow as work is expected to take longer than it does."""
    changes = {**ONE_SERVER, "length_s": 100.0}
    alone = play((OrganisationLoad("a", per_s),), **changes)
    anonymous = play((OrganisationLoad("", per_s),), **changes)
    assert served(alone) >= least * served(anonymous)


def test_a_more_urgent_rank_goes_first_and_leaves_a_quarter_to_the_others() -> None:
    """Guard against ranks that change nothing, and against ones that starve others."""
    fleet = play(RANKED)
    urgent, others = (
        [each.name for each in RANKED if each.rank == rank] for rank in (0, 1)
    )
    assert served(fleet, *urgent) >= served(fleet, *others) + 0.2
    assert percentile(fleet, 50, *urgent) < percentile(fleet, 50, *others)
    assert min(served(fleet, name) for name in others) >= served(fleet) / 4
