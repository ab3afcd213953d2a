"""Settings, tables and stand-in servers of the demo."""

import json
import pathlib
import socket

from pimentobend._internal.demo.stand_in import Behaviour
from pimentobend._internal.demo.stand_in import Crashing
from pimentobend._internal.demo.stand_in import HalfAlive
from pimentobend._internal.demo.stand_in import Healthy
from pimentobend._internal.demo.stand_in import StandInOptions
from pimentobend._internal.demo.stand_in import StandInServer
from pimentobend_adapters._internal.http.server import Address
from pimentobendd._internal.settings import Settings
from pimentobendd._internal.settings import parse_settings

LOOPBACK = "127.0.0.1"
ANY_PORT = Address(LOOPBACK, 0)
HEALTHY_S = 0.01  # service time
SLOW_S = 0.25  # service time
CRASH_PATH = "/catalogue/unreadable"  # healthy catalogue servers crash on it
DOWN_S = 1.0  # after a crash
SLOTS = 6  # per server
FLOOR = 0.5

HEALTHY_CATALOGUE_SERVERS = 6
BOOKING_SERVERS = 3


def make_settings(data_folder: pathlib.Path) -> Settings:
    """Return the settings of one process that has all roles, on free ports."""
    callers, servers, operators, link = (str(find_free_address()) for _ in range(4))
    document = {
        "instance": "demo-1",
        "data_centre": "demo-a",
        "region": "demo",
        "roles": ["instance", "control"],
        "listen": {
            "callers": callers,
            "servers": servers,
            "operators": operators,
            "link": link,
        },
        "control": [link],
        "data_folder": str(data_folder),
    }
    return parse_settings(json.dumps(document), "demo")


def make_tables() -> str:
    """Return the demo's tables as JSON text."""
    return json.dumps(
        {
            "routes": [
                {
                    "name": "catalogue",
                    "path": "/catalogue",
                    "pool": "catalogue",
                    "repeatable": True,
                    "timeout_ms": 2000,
                },
                {
                    "name": "bookings",
                    "path": "/bookings",
                    "methods": ["POST"],
                    "pool": "bookings",
                    "repeatable": False,
                    "timeout_ms": 5000,
                },
            ],
            "pools": [
                {"name": "catalogue", "service": "catalogue", "floor": FLOOR},
                {"name": "bookings", "service": "bookings", "floor": FLOOR},
            ],
        }
    )


def make_servers(daemon: Address) -> list[StandInServer]:
    """Return the stand-in servers: healthy, slow and half-alive ones."""
    names = [
        f"catalogue-{number}" for number in range(1, HEALTHY_CATALOGUE_SERVERS + 1)
    ]
    servers = [
        _make_server(
            "catalogue",
            name,
            daemon,
            Crashing(CRASH_PATH, DOWN_S, Healthy(HEALTHY_S)),
        )
        for name in names
    ]
    servers.append(_make_server("catalogue", "catalogue-slow", daemon, Healthy(SLOW_S)))
    servers.append(_make_server("catalogue", "catalogue-half", daemon, HalfAlive()))
    for number in range(1, BOOKING_SERVERS + 1):
        name = f"bookings-{number}"
        servers.append(_make_server("bookings", name, daemon, Healthy(HEALTHY_S)))
    return servers


def find_free_address() -> Address:
    """Return a loopback address with a port that is free at the moment."""
    with socket.socket() as probe:
        probe.bind(tuple(ANY_PORT))
        return Address(*probe.getsockname()[:2])


def _make_server(
    service: str, server_id: str, daemon: Address, behaviour: Behaviour
) -> StandInServer:
    options = StandInOptions(server_id, service, SLOTS, "demo-a", "demo", daemon)
    return StandInServer(options, ANY_PORT, behaviour)
