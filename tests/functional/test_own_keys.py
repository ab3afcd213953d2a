"""Check that the own interface tells organisations apart by their keys."""

import json
import pathlib
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import pytest
from processes import Fleet
from processes import call
from processes import wait_until
from raw_backend import RawBackend
from settings_of import instance_settings

TABLES = {
    "routes": [{"name": "raw", "path": "/raw", "pool": "raw", "repeatable": True}],
    "pools": [{"name": "raw", "service": "raw"}],
    "organisations": [{"name": "museum", "api_keys": ["secret-a"], "priority": 0}],
}
FINE = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close\r\n\r\nfine"
NAME = b"pimentobend-organisation: "


class Site(NamedTuple):
    """One daemon with all roles in front of one raw backend server."""

    listen: dict[str, str]
    backend: RawBackend
    process: Any
    client: Any  # runs a command of the client


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    folder: pathlib.Path = tmp_path_factory.mktemp("site")
    fleet, backend = Fleet(folder), RawBackend({"fine": FINE})
    settings = instance_settings("all-1", [])
    listen = settings["listen"]
    settings |= {
        "roles": ["instance", "control"],
        "control": [listen["link"]],
        "data_folder": str(folder / "data"),
    }
    process = fleet.start_daemon(settings)
    announcement = {
        "server_id": "raw-1",
        "service": "raw",
        "host": "127.0.0.1",
        "port": backend.port,
        "slots": 6,
        "data_centre": "nord-a",
        "region": "nord",
        "state": "ready",
        "incarnation": 1,
        "lease_s": 60,
    }
    document = json.dumps(announcement).encode()
    url = f"http://{listen['servers']}/announce"
    assert call("POST", url, document).status == 200
    tables = folder / "tables.json"
    tables.write_text(json.dumps(TABLES))

    def run_client(command: str, *arguments: str) -> Any:
        operators = f"--operators={listen['operators']}"
        return fleet.run_client(command, operators, *arguments)

    wait_until(lambda: run_client("apply", str(tables)).returncode == 0)
    callers = f"http://{listen['callers']}/raw/fine"
    wait_until(lambda: call("GET", callers).status == 200)
    yield Site(listen, backend, process, run_client)
    fleet.stop()
    backend.close()


CASES = [  # credentials, status, and the organisation that the server sees
    ("known key", "Bearer secret-a", 200, b"museum"),
    ("unknown key", "Bearer secret-b", 401, b""),
    ("malformed", "secret-a", 401, b""),
    ("call of a local server", None, 200, b""),
]


@pytest.mark.parametrize(
    ("credentials", "status", "organisation"),
    [case[1:] for case in CASES],
    ids=[case[0] for case in CASES],
)
def test_servers_see_the_organisation_of_the_key(
    site: Site, credentials: str | None, status: int, organisation: bytes
) -> None:
    """Guard against claimed organisations, and against keys that servers get."""
    headers = {"Pimentobend-Organisation": "forged"}
    if credentials is not None:
        headers["Authorization"] = credentials
    count = len(site.backend.requests)
    answer = call("GET", f"http://{site.listen['callers']}/raw/fine", None, headers)
    assert answer.status == status
    seen = [each.lower() for each in site.backend.requests[count:]]
    assert len(seen) == (1 if status == 200 else 0)
    for each in seen:
        assert b"secret" not in each and b"forged" not in each
        assert (NAME + organisation in each) == bool(organisation)


def test_only_the_tables_show_keys(site: Site) -> None:
    """Guard against keys in logs, dumps and on terminals."""
    headers = {"Authorization": "Bearer secret-a"}
    url = f"http://{site.listen['callers']}/raw/fine"
    assert call("GET", url, None, headers).status == 200
    operators = f"http://{site.listen['operators']}"
    assert b"secret-a" in call("GET", f"{operators}/v1/tables").content
    shown = site.client("show", "organisations").stdout
    assert "museum" in shown
    dump = call("GET", f"{operators}/v1/dump").content.decode()
    wait_until(lambda: "organisation='museum'" in site.process.log.read_text())
    log = site.process.log.read_text()
    assert "forged" not in log
    assert all("secret" not in text for text in (shown, dump, log))
