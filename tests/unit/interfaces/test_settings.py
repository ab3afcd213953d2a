"""Check that each fault of the settings is reported with its place."""

import json
from typing import Any

import pytest

from pimentobendd._internal.exceptions import SettingsError
from pimentobendd._internal.settings import parse_settings

LISTEN = {
    "callers": "127.0.0.1:1",
    "servers": "127.0.0.1:2",
    "operators": "127.0.0.1:3",
    "link": "127.0.0.1:4",
}
GOOD: dict[str, Any] = {
    "instance": "i-1",
    "data_centre": "a",
    "region": "r",
    "roles": ["instance", "control"],
    "listen": LISTEN,
    "control": ["127.0.0.1:4"],
    "data_folder": "data",
}


def _changed(**changes: Any) -> str:
    return json.dumps({k: v for k, v in {**GOOD, **changes}.items() if v != "gone"})


FAULTS = [
    ("not json", ["line 1"]),
    ("{}", ["instance", "data_centre", "region", "roles", "listen", "control"]),
    (_changed(instance=""), ["instance"]),
    (_changed(colour=1), ["colour"]),
    (_changed(roles=[]), ["roles"]),
    (_changed(roles=["boss"]), ["roles[0]"]),
    (_changed(data_folder="gone"), ["data_folder"]),
    (_changed(control=[]), ["control"]),
    (_changed(control=["localhost:1"]), ["control[0]"]),
    (_changed(control=["127.0.0.1:99999"]), ["control[0]"]),
    (_changed(listen={**LISTEN, "link": "10.0.0.1:4"}), ["link_key_file"]),
    (_changed(listen={**LISTEN, "operators": "0.0.0.0:4"}), ["operator_token_file"]),
    (
        _changed(listen={"operators": "127.0.0.1:3", "link": "127.0.0.1:4"}),
        ["listen.callers", "listen.servers"],
    ),
    (_changed(announce_from=["10.0.0.0/99"]), ["announce_from[0]"]),
    (_changed(shutdown_grace_s=0), ["shutdown_grace_s"]),
]


@pytest.mark.parametrize(("text", "places"), FAULTS, ids=lambda value: str(value)[:50])
def test_each_fault_is_reported(text: str, places: list[str]) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_settings(text, "file")
    found = [fault.place for fault in caught.value.faults]
    assert [place for place in places if place not in found] == []


def test_good_settings_are_read() -> None:
    settings = parse_settings(json.dumps(GOOD), "file")
    assert settings.roles == {"instance", "control"}
    assert str(settings.link) == "127.0.0.1:4"
    assert settings.announce_from == ("127.0.0.0/8", "::1/128")
