"""Test announcements that no server would send, on both interfaces.

Another writer's entry may be nested deeply, or hold a number that later cannot be
encoded for the other daemons. The task that met it then ended, and with it the list of
servers; the other servers must hold.
"""

import abc
from collections.abc import Iterator
from typing import Any

import eventlet
import pytest

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_core._internal.gossip.codec import encode_message
from pimentobend_core._internal.gossip.messages import Rows
from pimentobend_core._internal.gossip.published import PublishedServers
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.membership.messages import RegistryInput
from pimentobend_core._internal.membership.messages import RegistryOutput
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.registry import ServerRegistry
from pimentobend_core._internal.membership.rows import create_server_row
from pimentobend_platform.servers import ServersApplication
from pimentobendd._internal.fleet.local_servers import LocalServers
from pimentobendd._internal.interfaces.servers import RegistryReply
from pimentobendd._internal.interfaces.servers import ServersInterface

NESTED = "[" * 50_000 + "]" * 50_000
WAIT_S = 5.0
ROW = PeerRow("127.0.0.1:1", RowVersion(1, 0), 7, "a", "r", False, 1, False, ())


class Input:
    """WSGI input with fixed data."""

    def __init__(self, data: bytes) -> None:
        self._data = data

    def read(self, size: int) -> bytes:
        chunk, self._data = self._data[:size], self._data[size:]
        return chunk


class Interface(abc.ABC):
    """An interface for announcements, with its registry and what follows it.

    ``refusals`` counts the refused entries that were reported.
    """

    refusals = 0

    @abc.abstractmethod
    def announce(self, server_id: str, fields: dict[str, str]) -> int:
        """Send an announcement with fields as JSON text; return the status."""

    @abc.abstractmethod
    def servers(self) -> set[str]:
        """Return the ids of the servers in the registry."""

    def count(self, server_id: str, faults: tuple[str, ...]) -> None:
        """Count a refused entry."""
        assert faults
        self.refusals += 1


class PlatformInterface(Interface):
    """The platform's heartbeats, up to the encoded row of the daemon."""

    def __init__(self) -> None:
        self._published = PublishedServers()
        self._servers = LocalServers("127.0.0.1:1", 1, self._encode, self.count)
        self._servers.task.start()
        self._application = ServersApplication(self._servers, "")

    def announce(self, server_id: str, fields: dict[str, str]) -> int:
        values = {
            "host": "127.0.0.1",
            "port": "9001",
            "slots": "3",
            "incarnation": "7",
            "sequence": "4",
            "warm_up": "0",
            "service": '"x"',
            "more": "0",
            **fields,
        }
        text = (
            '{{"more":{more},"address":"{host}:{port}","info":{{"service":'
            '{service},"version":"v","zone":"z","slots":{slots}}},"status":{{"state":'
            '"ready","seq":{sequence},"warmupRemainingS":{warm_up}}},'
            '"born":{incarnation}}}'.format(**values)
        )
        return _call(self._application, "PUT", f"/-/instances/{server_id}", text)

    def servers(self) -> set[str]:
        return _ids(self._servers.task)

    def _encode(self, event: ServerEvent) -> None:
        self._published.update(event)
        row = ROW._replace(servers=self._published.all())
        encode_message(Rows((row,), ()))


class OwnInterface(Interface):
    """The own announcements, up to the encoded row in the spread tree."""

    def __init__(self) -> None:
        self._replies: Replies[RegistryReply] = Replies(lambda reply: reply.server_id)
        self._task: FilterTask[RegistryInput, RegistryOutput] = FilterTask(
            "registry",
            ServerRegistry("127.0.0.1:1", 1),
            CallOutlet(self._handle),
            HubClock(),
        )
        self._task.start()
        self._application = ServersInterface(
            self._task, self._replies, ("127.0.0.0/8",), self.count
        )

    def announce(self, server_id: str, fields: dict[str, str]) -> int:
        values = {
            "host": "127.0.0.1",
            "port": "9001",
            "slots": "3",
            "incarnation": "7",
            "lease": "6",
            "service": '"x"',
            "more": "",
            **fields,
        }
        if values["more"]:
            values["more"] = f'"more":{values["more"]},'
        text = (
            '{{{more}"server_id":"{id}","host":"{host}","port":{port},'
            '"service":{service},"slots":{slots},"data_centre":"z","region":"r",'
            '"state":"ready","incarnation":{incarnation},"lease_s":{lease}}}'.format(
                **values, id=server_id
            )
        )
        return _call(self._application, "POST", "/announce", text)

    def servers(self) -> set[str]:
        return _ids(self._task)

    def _handle(self, output: RegistryOutput) -> None:
        if isinstance(output, ServerEvent):
            create_server_row(output)
            return
        self._replies.put(output)


def _call(application: Any, method: str, path: str, text: str) -> int:
    data = text.encode("utf-8", "surrogateescape")
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": path,
        "REMOTE_ADDR": "127.0.0.1",
        "CONTENT_LENGTH": str(len(data)),
        "wsgi.input": Input(data),
    }
    statuses: list[str] = []
    with eventlet.Timeout(WAIT_S):
        list(application(environ, lambda status, headers: statuses.append(status)))
    return int(statuses[0][:3])


def _ids(task: Any) -> set[str]:
    servers: dict[str, object] = task.dump().get("servers", {})
    return set(servers)


INTERFACES: list[type[Interface]] = [PlatformInterface, OwnInterface]

# Name, interfaces that have the field, and the fields as JSON text.
ODD = [
    ("deeply nested, unknown field", INTERFACES, {"more": NESTED}),
    ("deeply nested, known field", INTERFACES, {"slots": NESTED}),
    ("deeply nested text", INTERFACES, {"service": NESTED}),
    ("a start beyond 64 bits", INTERFACES, {"incarnation": str(2**64)}),
    ("a start far beyond 64 bits", INTERFACES, {"incarnation": "9" * 300}),
    ("a start of thousands of digits", INTERFACES, {"incarnation": "9" * 9000}),
    ("a start below 0", INTERFACES, {"incarnation": str(-(2**64))}),
    ("a start above every withdrawal", INTERFACES, {"incarnation": str(2**63)}),
    ("a start that is no number", INTERFACES, {"incarnation": "NaN"}),
    ("port 0", INTERFACES, {"port": "0"}),
    ("port 70000", INTERFACES, {"port": "70000"}),
    ("port of thousands of digits", INTERFACES, {"port": "9" * 9000}),
    ("port below 0", INTERFACES, {"port": "-1"}),
    ("no slots", INTERFACES, {"slots": "0"}),
    ("slots beyond 64 bits", INTERFACES, {"slots": str(2**64)}),
    ("slots 1e400", INTERFACES, {"slots": "1e400"}),
    ("a sequence beyond 64 bits", [PlatformInterface], {"sequence": str(2**64)}),
    ("a sequence below 0", [PlatformInterface], {"sequence": "-1"}),
    ("a warm-up of 1e400 s", [PlatformInterface], {"warm_up": "1e400"}),
    ("a warm-up without end", [PlatformInterface], {"warm_up": "Infinity"}),
    ("a lease of 1e400 s", [OwnInterface], {"lease": "1e400"}),
    ("a lease that is no number", [OwnInterface], {"lease": "NaN"}),
    ("a lone surrogate", INTERFACES, {"service": '"\\ud800"'}),
    ("bytes that are not UTF-8", INTERFACES, {"service": '"\udcff"'}),
    ("a long service", INTERFACES, {"service": '"' + "x" * 9000 + '"'}),
    ("a host that is no address", INTERFACES, {"host": "x" * 70 + ".example"}),
    ("no host", INTERFACES, {"host": ""}),
]
CASES = [
    (f"{name}, {kind.__name__}", kind, fields)
    for name, kinds, fields in ODD
    for kind in kinds
]


@pytest.mark.parametrize(
    ("make", "fields"), [c[1:] for c in CASES], ids=[c[0] for c in CASES]
)
def test_an_odd_entry_is_refused_and_the_others_hold(
    make: type[Interface], fields: dict[str, str]
) -> None:
    interface = make()
    assert interface.announce("before", {"port": "9002"}) == 200
    assert 400 <= interface.announce("odd", fields) < 500
    assert interface.refusals == 1
    assert interface.announce("before", {"port": "9002", "sequence": "5"}) == 200
    assert interface.announce("after", {"port": "9003"}) == 200
    assert interface.servers() == {"before", "after"}


IDS = [
    ("a line end", "a\r\nHost: b"),
    ("a control character", "a\x00"),
    ("characters above ASCII", "\u20ac"),
    ("a space", "a b"),
    ("very long", "x" * 9000),
]


def _id_cases() -> Iterator[tuple[str, str]]:
    for _, server_id in IDS:
        yield server_id, server_id.encode("unicode_escape").decode()


@pytest.mark.parametrize(
    ("plain", "escaped"), list(_id_cases()), ids=[each[0] for each in IDS]
)
@pytest.mark.parametrize("make", INTERFACES)
def test_an_id_that_cannot_be_sent_in_a_header_is_refused(
    make: type[Interface], plain: str, escaped: str
) -> None:
    interface = make()
    server_id = plain if make is PlatformInterface else escaped.replace("\\x", "\\u00")
    assert 400 <= interface.announce(server_id, {}) < 500
    assert interface.announce("after", {"port": "9003"}) == 200
    assert interface.servers() == {"after"}


def test_a_later_entry_does_not_change_a_server_that_it_cannot_describe() -> None:
    interface = PlatformInterface()
    assert interface.announce("a", {"sequence": "4"}) == 200
    odd = {"sequence": str(2**64), "incarnation": str(2**64)}
    assert 400 <= interface.announce("a", odd) < 500
    assert interface.announce("a", {"sequence": "5"}) == 200
    assert interface.servers() == {"a"}
