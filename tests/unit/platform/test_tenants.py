"""Check the organisations of the platform's configuration documents."""

import copy
import json
from typing import Any

import pytest
from platform_documents import CONFIGURATION
from platform_documents import changed

from pimentobend_core._internal.configuration.codec import decode_command
from pimentobend_core._internal.configuration.codec import decode_snapshot
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.service_messages import (
    TablesChangeRequest,
)
from pimentobend_core._internal.configuration.state import ConfigurationState
from pimentobend_platform import documents
from pimentobend_platform.values import DocumentError
from pimentobendd.fleet import LabelledChange

COLUMNS = ["name", "apiKeys", "priority", "ratePerS", "burst"]
ROWS = [
    ["t0", ["secret-0", "secret-1"], 0, 12.5, 30],
    ["t1", ["secret-2"], None, None, None],
    ["t2", [], 3, 0, 0],
    ["t3", None, 2147483647, 0.1, 1e9],
]


def make_document() -> dict[str, Any]:
    document = copy.deepcopy(CONFIGURATION)
    document["tenants"] = {"columns": COLUMNS, "rows": ROWS}
    routes = document["routes"]
    routes["columns"] = [*routes["columns"][:-1], "allowAnonymous", "service"]
    values = [True, False]
    routes["rows"] = [
        [*row[:-1], value, row[-1]]
        for row, value in zip(routes["rows"], values, strict=True)
    ]
    routes["rows"].append(
        ["r3", "*", "/up/", "upload", 9, None, 0, None, None, None, "b"]
    )
    return document


DOCUMENT = make_document()


def apply(state: ConfigurationState, change: LabelledChange) -> bool:
    """Apply a change as a leader and its followers do; return whether it is valid."""
    request = TablesChangeRequest(
        0,
        change.change_id,
        state.tables.version,
        change.routes,
        change.pools,
        change.limits,
        change.label,
        change.removals,
        change.organisations,
    )
    delta = state.build_delta(request)
    if not state.is_valid(delta, change.label):
        return False
    command = decode_command(encode(TablesCommand(change.change_id, delta)))
    version = Version(1, state.tables.version.log_index + 1)
    return state.apply(command, version) is not None


def read_back(state: ConfigurationState) -> Any:
    restored = ConfigurationState()
    restored.restore(decode_snapshot(encode(state.snapshot())))
    return json.loads(json.dumps(documents.write_tables(restored.tables.whole())))


def start(document: dict[str, Any]) -> ConfigurationState:
    state = ConfigurationState()
    assert apply(state, documents.read_whole(json.dumps(document).encode(), "0"))
    return state


def by_name(table: dict[str, Any]) -> dict[str, dict[str, Any]]:
    """Return the rows by name, without the values that are omitted."""
    rows = [dict(zip(table["columns"], row, strict=True)) for row in table["rows"]]
    return {
        row["name"]: {name: value for name, value in row.items() if value is not None}
        for row in rows
    }


def test_organisations_are_read_back_as_they_were_sent() -> None:
    document = read_back(start(DOCUMENT))
    for table in ("tenants", "services"):
        assert by_name(document[table]) == by_name(DOCUMENT[table])
    found, sent = by_name(document["routes"]), by_name(DOCUMENT["routes"])
    assert found == sent
    assert document["routes"]["columns"].count("allowAnonymous") == 1


@pytest.mark.parametrize("columns", [1, 2, 3])
def test_absent_columns_are_omitted_values(columns: int) -> None:
    rows = [row[:columns] for row in ROWS]
    table = {"columns": COLUMNS[:columns], "rows": rows}
    document = read_back(start({**DOCUMENT, "tenants": table}))
    assert by_name(document["tenants"]) == by_name(table)


NEW = {"columns": ["name", "apiKeys"], "rows": [["t9", ["secret-9"]]]}
TAKEN = {"columns": ["name", "apiKeys"], "rows": [["t9", ["secret-2"]]]}
PATCHES: list[tuple[str, dict[str, Any], dict[str, Any], list[str] | None]] = [
    ("others stay", {}, {}, ["t0", "t1", "t2", "t3"]),
    ("added", {"tenants": NEW}, {}, ["t0", "t1", "t2", "t3", "t9"]),
    ("removed", {}, {"tenants": ["t0", "t1", "t7"]}, ["t2", "t3"]),
    ("a key that is taken", {"tenants": TAKEN}, {}, None),
    (
        "a key that moves",
        {"tenants": TAKEN},
        {"tenants": ["t1"]},
        ["t0", "t2", "t3", "t9"],
    ),
]


@pytest.mark.parametrize(
    ("upsert", "remove", "names"),
    [case[1:] for case in PATCHES],
    ids=[case[0] for case in PATCHES],
)
def test_patches(
    upsert: dict[str, Any], remove: dict[str, Any], names: list[str] | None
) -> None:
    state = start(DOCUMENT)
    patch = {"version": "0000000e", "upsert": upsert, "remove": remove}
    change = documents.read_patch(json.dumps(patch).encode(), "0000000c")
    assert apply(state, change) == (names is not None)
    found = sorted(by_name(read_back(state)["tenants"]))
    assert found == (["t0", "t1", "t2", "t3"] if names is None else names)


def test_whole_documents_without_organisations_define_none() -> None:
    state = start(DOCUMENT)
    data = changed(CONFIGURATION, "version", "0000000f")
    assert apply(state, documents.read_whole(data, "0000000c"))
    assert read_back(state) == {**CONFIGURATION, "version": "0000000f"}


LONG = "secret" * 50
INVALID = [
    ("no name", "0.0", None, "name"),
    ("an empty name", "0.0", "", "name"),
    ("a name with a line end", "0.0", "t\r\nX: 1", "name"),
    ("a name with a space at its end", "0.0", "t ", "name"),
    ("a long name", "0.0", "t" * 129, "128"),
    ("a key in the place of a name", "0.0", "secret\tkey", "10 characters"),
    ("a name that is used", "0.0", "t1", "t1"),
    ("a key that is shared", "1.1", ["secret-1"], "tenants t0 and t1"),
    ("a key with a space", "0.1", ["secret key"], "t0: API key 1"),
    ("an empty key", "0.1", ["secret-5", ""], "t0: API key 2"),
    ("a long key", "0.1", [LONG], "256"),
    ("a key that is no text", "0.1", [5], "apiKeys"),
    ("keys that are no list", "0.1", "secret-0", "apiKeys"),
    ("too many keys", "0.1", ["secret"] * 65, "64"),
    ("a negative priority", "0.2", -1, "priority"),
    ("a priority with a fraction", "0.2", 1.5, "priority"),
    ("a huge priority", "0.2", 2**31, "priority"),
    ("a negative rate", "0.3", -0.5, "ratePerS"),
    ("a huge rate", "0.3", 1e10, "ratePerS"),
    ("a rate that is no number", "0.3", "secret", "ratePerS"),
    ("a negative burst", "0.4", -1, "burst"),
]


@pytest.mark.parametrize(
    ("path", "value", "shown"),
    [case[1:] for case in INVALID],
    ids=[case[0] for case in INVALID],
)
def test_faults_are_named_without_keys(path: str, value: Any, shown: str) -> None:
    """Guard against keys in error messages, which operators' tools log."""
    data = changed(DOCUMENT, f"tenants.rows.{path}", value)
    with pytest.raises(DocumentError) as caught:
        documents.read_whole(data, "0")
    assert shown in str(caught.value)
    assert "secret" not in str(caught.value)
    assert "secret" not in repr(caught.value.__cause__)
