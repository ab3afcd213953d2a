"""Test the detection of organisations that exceed their share of a pool."""

import pytest

from pimentobend_core._internal.traffic.fairness import FairShares


@pytest.mark.parametrize(
    ("heavy", "others", "is_over"),
    [(200, 100, True), (3, 100, False), (60, 1, True), (5, 85_000, False)],
)
def test_only_heavy_use_exceeds_the_share(
    heavy: int, others: int, is_over: bool
) -> None:
    shares = FairShares(1)
    for _ in range(heavy):
        shares.charge("heavy", 0.0)
    for number in range(others):
        shares.charge(f"o{number}", 0.0)
    assert shares.is_over_share("heavy", 0.0) is is_over


@pytest.mark.parametrize("others", [50, 500])
def test_small_organisations_are_within_their_share(others: int) -> None:
    shares = FairShares(1)
    for _ in range(500):
        shares.charge("heavy", 0.0)
    for number in range(others):
        shares.charge(f"o{number}", 0.0)
    over = [one for one in range(others) if shares.is_over_share(f"o{one}", 0.0)]
    assert len(over) <= 0.01 * others


def test_use_decays() -> None:
    shares = FairShares(1)
    for _ in range(100):
        shares.charge("heavy", 0.0)
    for number in range(100):
        shares.charge(f"o{number}", 0.0)
    assert shares.is_over_share("heavy", 0.0)
    assert not shares.is_over_share("heavy", 10.0)
