"""Test which deltas a daemon keeps for the daemons that follow it."""

import pytest

from pimentobend_core._internal.configuration.history import MAX_DELTAS
from pimentobend_core._internal.configuration.history import MAX_ROWS
from pimentobend_core._internal.configuration.history import DeltaHistory
from pimentobend_core._internal.configuration.messages import TablesDelta
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.models.tables import Organisation

CASES = [  # rows of successive deltas, and how many of the deltas are kept
    ("small ones", (1, 1), 2),
    ("too many rows in all", (MAX_ROWS // 2, MAX_ROWS // 2, 1), 2),
    ("a large one alone", (MAX_ROWS + 1,), 1),
    ("a large one last", (1, MAX_ROWS + 1), 1),
    ("a large one before", (MAX_ROWS + 1, 1), 1),
    ("large ones", (MAX_ROWS + 1, MAX_ROWS + 1), 1),
    ("too many", (1,) * (MAX_DELTAS + 2), MAX_DELTAS),
]


def make_delta(index: int, rows: int) -> VersionedDelta:
    organisations = tuple(Organisation(f"o{number}") for number in range(rows))
    delta = TablesDelta(
        Version(1, index - 1), (), (), (), (), organisations=organisations
    )
    return VersionedDelta(Version(1, index), b"", delta)


@pytest.mark.parametrize(
    ("sizes", "kept"), [case[1:] for case in CASES], ids=[case[0] for case in CASES]
)
def test_the_newest_delta_is_kept_whatever_its_size(
    sizes: tuple[int, ...], kept: int
) -> None:
    """Guard against large changes that reach followers only as whole tables."""
    history = DeltaHistory()
    for index, rows in enumerate(sizes, start=1):
        history.append(make_delta(index, rows))
    found = history.since(Version(1, len(sizes) - kept))
    assert found is not None
    assert len(found) == kept
    if kept < len(sizes):
        assert history.since(Version(1, len(sizes) - kept - 1)) is None
