"""Settings of daemons that listen on free loopback addresses."""

from typing import Any

from processes import free_address


def control_settings(name: str, folder: str, link: str | None = None) -> dict[str, Any]:
    """Return settings of a control process that is the only replica."""
    link = link or free_address()
    return {
        "instance": name,
        "data_centre": "nord-a",
        "region": "nord",
        "roles": ["control"],
        "listen": {"operators": free_address(), "link": link},
        "control": [link],
        "data_folder": f"{folder}/{name}",
    }


def instance_settings(name: str, control: list[str]) -> dict[str, Any]:
    """Return settings of an instance; ``control`` are the replicas' links."""
    return {
        "instance": name,
        "data_centre": "nord-a",
        "region": "nord",
        "roles": ["instance"],
        "listen": {
            "callers": free_address(),
            "servers": free_address(),
            "operators": free_address(),
            "link": free_address(),
        },
        "control": control,
        "shutdown_grace_s": 10,
    }
