"""Check the platform's interfaces with valid and invalid input."""

import json
from collections.abc import Callable
from typing import Any

import pytest
from platform_documents import CONFIGURATION
from platform_documents import ROUTE_COLUMNS
from platform_documents import ROWS
from platform_documents import changed
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.configuration.codec import decode_command
from pimentobend_core._internal.configuration.codec import decode_snapshot
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.state import ConfigurationState
from pimentobend_core.servers import Announcement
from pimentobend_core.servers import ServerState
from pimentobend_core.servers import Withdrawal
from pimentobend_core.tables import ChangeOutcome
from pimentobend_core.tables import WholeTables
from pimentobend_platform import documents
from pimentobend_platform.dialect import PlatformDialect
from pimentobend_platform.servers import read_heartbeat
from pimentobendd.fleet import ConfigurationPort
from pimentobendd.fleet import LabelledChange
from pimentobendd.fleet import ServersPort

HEARTBEAT: dict[str, Any] = {
    "address": "10.128.0.9:8080",
    "info": {"service": "a", "version": "v1", "zone": "z", "slots": 3},
    "status": {"state": "ready", "seq": 4, "warmupRemainingS": 0},
    "born": 1700000000000,
}


def test_a_configuration_round_trips() -> None:
    change = documents.read_whole(json.dumps(CONFIGURATION).encode(), "00000005")
    assert change.label == (5, 12)
    tables = WholeTables(
        (1, 2),  # type: ignore[arg-type]
        b"",
        change.routes,
        change.pools,
        change.limits,
        change.label.number,
    )
    assert json.loads(json.dumps(documents.write_tables(tables))) == CONFIGURATION


FINE_TIMES = [  # finer than the daemons reckon with
    ("routes.rows.0.4", 1.2345),
    ("routes.rows.0.4", 0.1 + 0.2),
    ("routes.rows.0.4", 0.0001),
    ("routes.rows.0.4", 600 / 7),
    ("routes.rows.1.5", 0.0375),
    ("routes.rows.1.5", 0.0004),
    ("limits.headerTimeoutS", 2.00049),
    ("limits.idleTimeoutS", 1 / 3),
]


@pytest.mark.parametrize(("path", "time_s"), FINE_TIMES)
def test_times_are_read_back_as_they_were_sent(path: str, time_s: float) -> None:
    sent = changed(CONFIGURATION, path, time_s)
    change = documents.read_whole(sent, "00000005")
    state = ConfigurationState()
    delta = state.tables.diff(change.routes, change.pools)
    delta = delta._replace(limits=change.limits, label=change.label.number)
    command = decode_command(encode(TablesCommand("change-1", delta)))
    state.apply(command, Version(1, 1))
    restored = ConfigurationState()
    restored.restore(decode_snapshot(encode(state.snapshot())))
    document = documents.write_tables(restored.tables.whole())
    assert json.loads(json.dumps(document)) == json.loads(sent)


@pytest.mark.parametrize("base", ["00000005", "00000006"])
def test_equal_changes_have_equal_ids(base: str) -> None:
    data = json.dumps(CONFIGURATION).encode()
    first = documents.read_whole(data, "00000005").change_id
    assert (documents.read_whole(data, base).change_id == first) == (base[-1] == "5")


INVALID_CONFIGURATIONS = [
    ("cut short", json.dumps(CONFIGURATION).encode()[:-20]),
    ("not JSON", b"\xff\xfe"),
    ("empty", b""),
    ("a list", b"[]"),
    ("no version", changed(CONFIGURATION, "version", ...)),
    ("a version that is not a number", changed(CONFIGURATION, "version", "zz")),
    ("an unknown service", changed(CONFIGURATION, "routes.rows.1.9", "c")),
    (
        "an unknown service in a split",
        changed(CONFIGURATION, "routes.rows.0.7.1.service", "c"),
    ),
    ("a weight below 0", changed(CONFIGURATION, "routes.rows.0.7.1.weight", -1)),
    ("a long timeout", changed(CONFIGURATION, "routes.rows.0.4", 601)),
    ("an empty host", changed(CONFIGURATION, "routes.rows.0.1", "")),
    ("no host", changed(CONFIGURATION, "routes.rows.0.1", None)),
    ("a row too short", changed(CONFIGURATION, "routes.rows.0.9", ...)),
    ("a timeout of another type", changed(CONFIGURATION, "routes.rows.0.4", "3")),
    ("no service and no split", changed(CONFIGURATION, "routes.rows.0.7", None)),
]


@pytest.mark.parametrize(
    "data",
    [case[1] for case in INVALID_CONFIGURATIONS],
    ids=[case[0] for case in INVALID_CONFIGURATIONS],
)
def test_invalid_configurations_are_refused(data: bytes) -> None:
    with pytest.raises(documents.DocumentError):
        documents.read_whole(data, "0")


def _with_text(path: str, text: str) -> bytes:
    """Return the configuration with JSON text in place of one value."""
    return changed(CONFIGURATION, path, "@").replace(b'"@"', text.encode())


NESTED = "[" * 50_000 + "]" * 50_000
HUGE = str(2**64)
ODD_NUMBERS = [
    ("a target", "routes.rows.0.5", ["1e300", "1e400", "-1", HUGE, "9" * 9000]),
    ("a priority", "routes.rows.0.6", [HUGE, "-1", "9" * 9000, NESTED]),
    ("a weight", "routes.rows.0.7.0.weight", ["1e308", "-1", "9" * 300, NESTED]),
    ("attempts", "routes.rows.0.8", [HUGE, "-1", "9" * 9000]),
    ("a time limit", "routes.rows.0.4", ["1e300", "1e400", "0", "NaN", HUGE]),
    ("connections", "services.rows.0.2", [HUGE, "-1", "9" * 9000]),
    ("header bytes", "limits.maxHeaderBytes", [HUGE, "-1", "1e400"]),
    ("body bytes", "limits.maxBodyBytes", [HUGE, "-1", NESTED]),
    ("a header's time", "limits.headerTimeoutS", ["1e308", "1e30", "-1"]),
    ("an idle time", "limits.idleTimeoutS", ["1e308", "1e30", "-1"]),
    ("a name", "routes.rows.0.0", [NESTED, "[" * 800 + "]" * 800, '"\\ud800"']),
    ("a version", "version", [f'"{"f" * 40}"', f'"{"f" * 9000}"', '"-5"', '"1_0"']),
    ("an unknown field", "limits.maxBodyBytes", [f'1,"x":{NESTED}']),
]
ODD_DOCUMENTS = [
    (f"{name} {text[:8]}, {len(text)} bytes", _with_text(path, text))
    for name, path, texts in ODD_NUMBERS
    for text in texts
]


@pytest.mark.parametrize(
    "data", [each[1] for each in ODD_DOCUMENTS], ids=[each[0] for each in ODD_DOCUMENTS]
)
def test_a_configuration_that_could_not_be_passed_on_is_refused(data: bytes) -> None:
    configuration = FakeConfiguration(ChangeOutcome.ACCEPTED, None)
    application = PlatformDialect().create_operators(configuration)
    assert call(application, "PUT", "/-/config", data) == "400"


@pytest.mark.parametrize("base", ["f" * 40, "-5", "zz", "0x5", "1_0", "5 5"])
def test_a_change_of_no_known_version_is_refused(base: str) -> None:
    with pytest.raises(documents.DocumentError):
        documents.read_whole(GOOD_BODY, base)


def test_a_patch_lists_the_changed_and_the_removed_routes() -> None:
    patch = {
        "version": "0000000e",
        "upsert": {"routes": {"columns": ROUTE_COLUMNS, "rows": ROWS[:1]}},
        "remove": {"routes": ["r9"]},
    }
    change = documents.read_patch(json.dumps(patch).encode(), "0000000c")
    assert [route.name for route in change.routes] == ["r1"]
    assert change.removals == (("r9",), (), ())


MALFORMED_HEARTBEATS = [
    ("not JSON", b"\x00\x01"),
    ("no address", changed(HEARTBEAT, "address", ...)),
    ("an address of another type", changed(HEARTBEAT, "address", 5)),
    ("an address without a port", changed(HEARTBEAT, "address", "10.0.0.1")),
    ("an unknown state", changed(HEARTBEAT, "status.state", "happy")),
    ("no sequence", changed(HEARTBEAT, "status.seq", ...)),
    ("slots of another type", changed(HEARTBEAT, "info.slots", "3")),
    ("a start time that is not an integer", changed(HEARTBEAT, "born", 1.5)),
    ("no service", changed(HEARTBEAT, "info.service", ...)),
]


@pytest.mark.parametrize(
    "data",
    [case[1] for case in MALFORMED_HEARTBEATS],
    ids=[case[0] for case in MALFORMED_HEARTBEATS],
)
def test_malformed_heartbeats_are_refused(data: bytes) -> None:
    assert isinstance(read_heartbeat("i-1", data), Failure)


@pytest.mark.parametrize(
    ("state", "expected"),
    [("ready", ServerState.READY), ("draining", ServerState.DRAINING)],
)
def test_a_heartbeat_announces_its_server(state: str, expected: ServerState) -> None:
    data = changed(HEARTBEAT, "status.state", state)
    announcement = read_heartbeat("i-1", data).unwrap()
    assert announcement.sequence == 4
    server = announcement.server
    assert server[:5] == ("i-1", "a", "10.128.0.9", 8080, 3)
    assert (server.state, server.incarnation) == (expected, 1700000000000)


@pytest.mark.parametrize(("seconds", "is_cold"), [(0, False), (0.4, True), (3, True)])
def test_a_server_is_cold_while_warm_up_time_remains(
    seconds: float, is_cold: bool
) -> None:
    data = changed(HEARTBEAT, "status.warmupRemainingS", seconds)
    announcement = read_heartbeat("i-1", data).unwrap()
    assert announcement.server.is_cold == is_cold


class FakeConfiguration(ConfigurationPort):
    """Configuration that answers every change with the same outcome."""

    def __init__(self, outcome: ChangeOutcome, tables: WholeTables | None) -> None:
        self.outcome = outcome
        self.tables = tables

    def apply(self, change: LabelledChange) -> ChangeOutcome:
        return self.outcome

    def read(self) -> WholeTables | None:
        return self.tables


class FakeServers(ServersPort):
    """Fake registry of servers that records announcements and withdrawals."""

    def __init__(self, faults: tuple[str, ...] = ()) -> None:
        self.faults = faults
        self.received: list[Announcement | Withdrawal] = []
        self.refused: list[tuple[str, ...]] = []

    def announce(self, announcement: Announcement) -> Result[None, tuple[str, ...]]:
        self.received.append(announcement)
        return Failure(self.faults) if self.faults else Success(None)

    def withdraw(self, withdrawal: Withdrawal) -> bool:
        self.received.append(withdrawal)
        return not self.faults

    def report_refused(self, server_id: str, faults: tuple[str, ...]) -> None:
        self.refused.append(faults)


class Input:
    """WSGI input with fixed data."""

    def __init__(self, data: bytes) -> None:
        self.data = data

    def read(self, size: int) -> bytes:
        chunk, self.data = self.data[:size], self.data[size:]
        return chunk


def call(
    application: Callable[..., Any],
    method: str,
    path: str,
    data: bytes = b"",
    *,
    stated_length: int | None = None,
) -> str:
    """Call a WSGI application and return its status."""
    statuses: list[str] = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "CONTENT_LENGTH": str(len(data) if stated_length is None else stated_length),
        "HTTP_IF_MATCH": "0000000b",
        "wsgi.input": Input(data),
    }
    list(application(environ, lambda status, headers: statuses.append(status)))
    return statuses[0][:3]


GOOD_BODY = json.dumps(CONFIGURATION).encode()
EMPTY_TABLES = WholeTables((0, 0), b"", (), ())  # type: ignore[arg-type]
CHANGES = [
    ("PUT", GOOD_BODY, ChangeOutcome.ACCEPTED, "200"),
    ("PUT", GOOD_BODY, ChangeOutcome.CONFLICT, "412"),
    ("PUT", GOOD_BODY, ChangeOutcome.INVALID, "400"),
    ("PUT", GOOD_BODY, ChangeOutcome.NO_MAJORITY, "503"),
    ("PUT", GOOD_BODY, ChangeOutcome.NOT_LEADER, "503"),
    ("PUT", GOOD_BODY, ChangeOutcome.STORAGE, "503"),
    ("PUT", GOOD_BODY, ChangeOutcome.UNKNOWN, "504"),
    ("PUT", b"{", ChangeOutcome.ACCEPTED, "400"),
    ("PATCH", b'{"version":"0000000e"}', ChangeOutcome.ACCEPTED, "200"),
    ("PATCH", b"{}", ChangeOutcome.ACCEPTED, "400"),
    ("POST", GOOD_BODY, ChangeOutcome.ACCEPTED, "405"),
]


@pytest.mark.parametrize(("method", "data", "outcome", "status"), CHANGES)
def test_changes(method: str, data: bytes, outcome: ChangeOutcome, status: str) -> None:
    application = PlatformDialect().create_operators(FakeConfiguration(outcome, None))
    assert call(application, method, "/-/config", data) == status


@pytest.mark.parametrize(("tables", "status"), [(None, "503"), (EMPTY_TABLES, "200")])
def test_reads(tables: WholeTables | None, status: str) -> None:
    port = FakeConfiguration(ChangeOutcome.ACCEPTED, tables)
    application = PlatformDialect().create_operators(port)
    assert call(application, "GET", "/-/config") == status
    assert call(application, "GET", "/-/other") == "404"


HEARTBEAT_CALLS = [
    ("PUT", "/-/instances/i-1", HEARTBEAT, (), "200", 1),
    ("PUT", "/-/instances/i-1", HEARTBEAT, ("late",), "409", 1),
    ("PUT", "/-/instances/", HEARTBEAT, (), "404", 0),
    ("PUT", "/-/instances/a/b", HEARTBEAT, (), "404", 0),
    ("PUT", "/-/instances/i\r\nX: y", HEARTBEAT, (), "400", 0),
    ("PUT", "/-/instances/i-1", {"address": "x"}, (), "400", 0),
    ("PUT", "/-/instances/i-1", {**HEARTBEAT, "address": "1.1.1.1:1"}, (), "400", 0),
    ("POST", "/-/instances/i-1", HEARTBEAT, (), "405", 0),
    ("DELETE", "/-/instances/i-1", {"born": 5}, (), "200", 1),
    ("DELETE", "/-/instances/i-1", {}, (), "200", 1),
    ("DELETE", "/-/instances/i-1", {}, ("not recorded",), "503", 1),
    ("DELETE", "/-/instances/i-1", {"born": "x"}, (), "400", 0),
    ("DELETE", "/-/instances/i-1", {"born": 2**70}, (), "400", 0),
    ("DELETE", "/-/instances/i-1", {"born": -1}, (), "400", 0),
    ("PUT", "/-/instances/i-1", {**HEARTBEAT, "address": "h:1"}, (), "400", 0),
]


@pytest.mark.parametrize(
    ("method", "path", "document", "faults", "status", "received"), HEARTBEAT_CALLS
)
def test_heartbeats(
    method: str,
    path: str,
    document: dict[str, Any],
    faults: tuple[str, ...],
    status: str,
    received: int,
) -> None:
    servers = FakeServers(faults)
    application = PlatformDialect().create_servers(servers, "10.128.0.9:8080")
    data = json.dumps(document).encode()
    assert call(application, method, path, data) == status
    assert len(servers.received) == received
    assert len(servers.refused) == (status == "400")
    assert call(application, method, path, data, stated_length=len(data) + 9) in (
        "400",
        "404",
    )


@pytest.mark.parametrize(
    ("is_ready", "path", "status"),
    [
        (True, "/-/readyz", "200"),
        (False, "/-/readyz", "503"),
        (True, "/", "404"),
    ],
)
def test_ready(is_ready: bool, path: str, status: str) -> None:
    application = PlatformDialect().create_ready(lambda: is_ready)
    assert call(application, "GET", path) == status
