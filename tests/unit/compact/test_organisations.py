"""Test the table of organisations under random changes, and at its target size."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pimentobend_bench._internal.capacity.rows import make_organisation_row
from pimentobend_core._internal.compact.organisations import CompactOrganisations
from pimentobend_core._internal.compact.organisations import SharedKey
from pimentobend_core._internal.compact.organisations import pack_organisations
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.utils.api_keys import digest_key

MB = 1 << 20
KEYS = [f"key-{number}" for number in range(6)]
ROWS = st.builds(
    Organisation,
    name=st.sampled_from(["a", "b", "c", "ä€", ""]),
    api_keys=st.lists(st.sampled_from(KEYS), max_size=2).map(tuple),
    priority=st.none() | st.integers(0, 2**31 - 1),
    rate_per_s=st.floats(0, 1e9),
    burst=st.floats(0, 1e9),
    sent_empty=st.tuples() | st.just(("burst",)),
)
CHANGES = st.lists(
    st.tuples(
        st.lists(ROWS, max_size=3, unique_by=lambda row: row.name),
        st.lists(st.sampled_from(["a", "b", "c"]), max_size=2),
    ),
    max_size=8,
)


@given(CHANGES)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_holds_what_a_dictionary_holds(
    changes: list[tuple[list[Organisation], list[str]]],
) -> None:
    """Guard against keys that outlive their organisation, and against lost rows."""
    table = CompactOrganisations()
    model: dict[str, Organisation] = {}
    for put, removed in changes:
        wanted = {name: row for name, row in model.items() if name not in removed}
        wanted.update((row.name, row) for row in put)
        pairs = {(key, row.name) for row in wanted.values() for key in row.api_keys}
        is_shared = len({key for key, _ in pairs}) < len(pairs)
        assert (table.find_shared_key(put, removed) is not None) == is_shared
        if is_shared:
            continue
        earlier, rows_before = table, sorted(table, key=lambda row: row.name)
        table, model = table.change(put, removed), wanted
        assert sorted(earlier, key=lambda row: row.name) == rows_before
        assert len(table) == len(model)
        assert table.find(b"") is None
        assert {row.name: row for row in table} == model
        holders = dict(pairs)
        for key in KEYS:
            found = table.find(digest_key(key))
            assert (found and found.name) == holders.get(key)


SHARED = [
    ((Organisation("b", ("k1",)),), (), SharedKey("a", "b")),
    ((Organisation("b", ("k1",)),), ("a",), None),
    ((Organisation("b", ("k1",)), Organisation("a", ("k2",))), (), None),
    ((Organisation("a", ("k1", "k1")),), (), None),
    ((Organisation("b", ("k3",)), Organisation("c", ("k3",))), (), SharedKey("b", "c")),
]


@pytest.mark.parametrize(("put", "removed", "expected"), SHARED)
def test_a_shared_key_names_both_organisations(
    put: tuple[Organisation, ...], removed: tuple[str, ...], expected: SharedKey | None
) -> None:
    table = pack_organisations([Organisation("a", ("k1",))])
    assert table.find_shared_key(put, removed) == expected


def test_target_size_fits() -> None:
    """Guard against an object per organisation: 85,000 take 34 MB as objects."""
    table = pack_organisations(
        [make_organisation_row(number) for number in range(85_000)]
    )
    assert len(table) == 85_000
    assert table.footprint_bytes <= 16 * MB
    wanted = make_organisation_row(84_999)
    assert table.find(digest_key(wanted.api_keys[-1])) == wanted


def test_descriptions_do_not_show_keys() -> None:
    assert "secret" not in repr((Organisation("a", ("secret",)),))
