"""Check that each fault of the fleet settings is reported with its place."""

import json
from typing import Any

import pytest

from pimentobend_core._internal.memory.budget import MemoryTerms
from pimentobend_core._internal.memory.budget import make_terms
from pimentobendd._internal.exceptions import SettingsError
from pimentobendd._internal.fleet.settings import parse_fleet_settings

GOOD: dict[str, Any] = {
    "instance": "i-1",
    "data_centre": "a",
    "region": "r",
    "roles": ["instance"],
    "ip": "10.0.0.1",
    "link_ports": [7600, 7615],
    "seeds": ["10.0.0.2:8080"],
    "listen": {
        "callers": "10.0.0.1:1",
        "forward": "10.0.0.1:2",
        "ready": "10.0.0.1:3",
        "servers": "10.0.0.1:4",
        "metrics_port": 5,
    },
    "beside": {"service": "s", "address": "10.0.0.1:6"},
    "retry_budget": {"ratio": 0.2, "window_s": 10, "allowance": 56},
    "extra_copies": {"share": 0.05},
    "memory_mb": 200,
    "server_memory_mb": 32,
}


def changed(**changes: Any) -> str:
    return json.dumps({k: v for k, v in {**GOOD, **changes}.items() if v is not ...})


FAULTS = [
    ("nothing", "{}", ["instance", "roles", "ip", "link_ports", "seeds"]),
    ("not JSON", "x", ["line 1"]),
    ("an unknown key", changed(colour=1), ["colour"]),
    ("no role", changed(roles=[]), ["roles"]),
    ("an unknown role", changed(roles=["boss"]), ["roles[0]"]),
    ("no port", changed(link_ports=[]), ["link_ports"]),
    ("a port too high", changed(link_ports=[70000]), ["link_ports[0]"]),
    ("a seed without a port", changed(seeds=["10.0.0.1"]), ["seeds[0]"]),
    ("a seed with an invalid address", changed(seeds=["1.2.3.400:1"]), ["seeds[0]"]),
    (
        "a service whose name holds a line break",
        changed(beside={"service": "a\r\nX: y", "address": "10.0.0.1:6"}),
        ["beside.service"],
    ),
    ("no addresses", changed(listen={}), ["callers", "forward", "servers"]),
    ("control without a folder", changed(roles=["control"]), ["data_folder"]),
    (
        "a budget that is not a number",
        changed(retry_budget={"ratio": "x"}),
        ["retry_budget.ratio"],
    ),
    ("a bound without a time", changed(strict_revoke={}), ["strict_revoke.revoke_s"]),
    (
        "a bound of no time",
        changed(strict_revoke={"revoke_s": 0}),
        ["strict_revoke.revoke_s"],
    ),
    (
        "a share of extra copies below 0",
        changed(extra_copies={"share": -0.1}),
        ["extra_copies.share"],
    ),
    ("less memory than an idle process takes", changed(memory_mb=40), ["memory_mb"]),
    ("no memory at servers", changed(server_memory_mb=0), ["server_memory_mb"]),
    ("extra copies without a share", changed(extra_copies={}), ["extra_copies.share"]),
    ("a window of no time", changed(limits={"window_s": 0}), ["limits.window_s"]),
    ("a negative tolerance", changed(limits={"over": -1}), ["limits.over"]),
    ("a slack that is text", changed(limits={"slack": "20"}), ["limits.slack"]),
    ("an unknown part of limits", changed(limits={"burst": 1}), ["limits.burst"]),
    (
        "an admission that is not a boolean",
        changed(admission_behind_calls="yes"),
        ["admission_behind_calls"],
    ),
]


@pytest.mark.parametrize(
    ("text", "places"), [f[1:] for f in FAULTS], ids=[f[0] for f in FAULTS]
)
def test_each_fault_is_reported(text: str, places: list[str]) -> None:
    with pytest.raises(SettingsError) as caught:
        parse_fleet_settings(text, "file")
    message = str(caught.value)
    assert [place for place in places if place not in message] == []


def test_good_settings_are_read() -> None:
    settings = parse_fleet_settings(changed(data_folder=None), "file")
    assert settings.seeds == ("10.0.0.2:7600",)
    assert settings.link == "10.0.0.1:7600"
    assert settings.metrics == ("10.0.0.1", 5)
    assert settings.budget.allowance == 56
    assert settings.budget.copies_share == 0.05
    assert settings.memory == make_terms(200, 32)
    assert not settings.first_start


@pytest.mark.parametrize(
    ("strict_revoke", "revoke_s"), [(..., None), (None, None), ({"revoke_s": 5}, 5)]
)
def test_revoked_keys_are_bounded_only_by_the_setting(
    strict_revoke: Any, revoke_s: float | None
) -> None:
    """Guards against proof frames and refusals where nothing asks for them."""
    settings = parse_fleet_settings(changed(strict_revoke=strict_revoke), "file")
    assert settings.revoke_s == revoke_s


@pytest.mark.parametrize("memory_mb", [None, ...])
def test_memory_is_not_limited_by_default(memory_mb: Any) -> None:
    text = changed(memory_mb=memory_mb, server_memory_mb=...)
    assert parse_fleet_settings(text, "file").memory == MemoryTerms()


@pytest.mark.parametrize(
    ("limits", "expected"),
    [
        (..., (5.0, 0.1, 0.0)),
        (None, (5.0, 0.1, 0.0)),
        ({}, (5.0, 0.1, 0.0)),
        ({"slack": 20}, (5.0, 0.1, 20)),
        ({"window_s": 2, "over": 0, "slack": 3}, (2, 0, 3)),
    ],
)
def test_each_part_of_the_limits_has_a_default(
    limits: Any, expected: tuple[float, float, float]
) -> None:
    """Guards against a daemon that does not start without the setting."""
    settings = parse_fleet_settings(changed(limits=limits), "file")
    assert settings.limits == expected


@pytest.mark.parametrize("budget", [GOOD["retry_budget"], ...])
def test_extra_copies_are_not_limited_by_default(budget: Any) -> None:
    text = changed(extra_copies=..., retry_budget=budget)
    assert parse_fleet_settings(text, "file").budget.copies_share is None


@pytest.mark.parametrize(("value", "expected"), [(..., False), (True, True)])
def test_admission_behind_calls_is_off_by_default(value: Any, expected: bool) -> None:
    text = changed(admission_behind_calls=value)
    assert parse_fleet_settings(text, "file").admission_behind_calls is expected
