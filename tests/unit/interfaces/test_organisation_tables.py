"""Test organisations in the own interface's tables, and in what the client prints."""

import json
from typing import Any

import pytest

from pimentobend._internal.commands.diff import compare_rows
from pimentobend._internal.commands.show import format_rows
from pimentobend._internal.commands.show import hide_keys
from pimentobend_core._internal.compact.organisations import pack_organisations
from pimentobend_core._internal.configuration.checks import check_tables
from pimentobend_core._internal.configuration.checks import read_organisations
from pimentobend_core._internal.configuration.checks import read_pools
from pimentobend_core._internal.configuration.checks import read_routes
from pimentobend_core._internal.models.tables import Tables
from pimentobendd._internal.interfaces.operators import describe_tables

MUSEUM = {
    "name": "museum",
    "api_keys": ["secret-a", "secret-b"],
    "priority": 0,
    "rate_per_s": 2.5,
    "burst": 10.0,
}
ARCHIVE = {"name": "archive", "api_keys": ["secret-c"]}
DEFAULTS = {"priority": None, "rate_per_s": 0.0, "burst": 0.0}
ROUTE = {"name": "r", "path": "/r", "pool": "p", "repeatable": True}
OPEN = {**ROUTE, "name": "o", "path": "/o", "allow_anonymous": True}
POOL = {"name": "p", "service": "s"}


def make_text(*organisations: Any) -> str:
    document = {"routes": [ROUTE, OPEN], "pools": [POOL]}
    return json.dumps({**document, "organisations": organisations})


def read_back(text: str) -> Any:
    """Return the tables as operators read them after they have sent a document."""
    document = check_tables(text).unwrap()
    rows = pack_organisations(read_organisations(document))
    tables = Tables(
        1, 2, read_routes(document), read_pools(document), organisations=rows
    )
    return json.loads(json.dumps(describe_tables(tables)))


def test_operators_read_back_what_they_sent() -> None:
    """Guard against keys and settings that get lost or change."""
    found = read_back(make_text(MUSEUM, ARCHIVE))
    assert found["organisations"] == [{**ARCHIVE, **DEFAULTS}, MUSEUM]
    assert [route["allow_anonymous"] for route in found["routes"]] == [None, True]
    assert "organisations" not in read_back(make_text())


FAULTS: list[tuple[str, list[Any], str]] = [
    ("no name", [{"api_keys": ["secret"]}], "organisations[0].name"),
    ("a key as the name", [{"name": "secret\tkey"}], "organisations[0].name"),
    ("a name of another type", [{"name": ["secret"]}], "organisations[0].name"),
    ("keys that are no list", [{**ARCHIVE, "api_keys": "secret"}], "[0].api_keys"),
    ("a key with a space", [{**ARCHIVE, "api_keys": ["secret x"]}], ".api_keys[0]"),
    ("an empty key", [{**ARCHIVE, "api_keys": ["secret", ""]}], ".api_keys[1]"),
    ("too many keys", [{**ARCHIVE, "api_keys": ["secret"] * 65}], "[0].api_keys"),
    ("a bad priority", [{**ARCHIVE, "priority": "secret"}], "[0].priority"),
    ("a bad rate", [{**ARCHIVE, "rate_per_s": -1}], "[0].rate_per_s"),
    ("a bad burst", [{**ARCHIVE, "burst": True}], "[0].burst"),
    ("an unknown column", [{**ARCHIVE, "colour": "secret"}], "[0].colour"),
    ("no object", ["secret"], "organisations[0]"),
    ("one name twice", [MUSEUM, {"name": "museum"}], "organisations[1].name"),
    ("a shared key", [MUSEUM, {**ARCHIVE, "api_keys": ["secret-b"]}], "museum"),
]


@pytest.mark.parametrize(
    ("rows", "shown"), [case[1:] for case in FAULTS], ids=[case[0] for case in FAULTS]
)
def test_faults_show_their_place_and_no_key(rows: list[Any], shown: str) -> None:
    """Guard against keys in error messages, which operators' tools log."""
    text = "; ".join(str(fault) for fault in check_tables(make_text(*rows)).failure())
    assert shown in text
    assert "secret" not in text


DIFFERENCES = [
    ("none", [MUSEUM, ARCHIVE], []),
    ("removed", [MUSEUM], ["removed organisations archive"]),
    ("added", [MUSEUM, ARCHIVE, {"name": "new"}], ["added organisations new"]),
    (
        "keys",
        [{**MUSEUM, "api_keys": ["secret-d"]}, ARCHIVE],
        ["changed organisations museum api_keys differ"],
    ),
    (
        "priority",
        [{**MUSEUM, "priority": None}, ARCHIVE],
        ["changed organisations museum priority: 0 -> None"],
    ),
]


@pytest.mark.parametrize(
    ("rows", "lines"),
    [case[1:] for case in DIFFERENCES],
    ids=[case[0] for case in DIFFERENCES],
)
def test_diff_shows_no_keys(rows: list[Any], lines: list[str]) -> None:
    """Guard against keys on terminals, and against differences that are none."""
    current = read_back(make_text(MUSEUM, ARCHIVE))
    wanted: Any = check_tables(make_text(*rows)).unwrap()
    found = [
        " ".join(each).rstrip()
        for table in ("routes", "pools", "organisations")
        for each in compare_rows(table, current[table], wanted[table])
    ]
    assert found == lines


def test_show_counts_keys() -> None:
    lines = format_rows(hide_keys(read_back(make_text(MUSEUM))["organisations"]))
    assert lines[1].split() == ["museum", "2", "0", "2.5", "10.0"]
