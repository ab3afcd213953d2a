"""Test discovery and the list of the fleet in simulated gossip between nodes."""

import random
from collections import deque

import msgspec
import pytest

from pimentobend_adapters._internal.links.datagrams import MAX_DATAGRAM_BYTES
from pimentobend_core._internal.configuration.messages import FIRST_VERSION
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.suspects import MAX_PUBLISHED
from pimentobend_core._internal.crashes.suspects import REPORT_S
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.gossip.codec import decode_message
from pimentobend_core._internal.gossip.codec import encode_message
from pimentobend_core._internal.gossip.messages import Ack
from pimentobend_core._internal.gossip.messages import EarlierRowSeen
from pimentobend_core._internal.gossip.messages import GossipInput
from pimentobend_core._internal.gossip.messages import GossipMessage
from pimentobend_core._internal.gossip.messages import GossipReceived
from pimentobend_core._internal.gossip.messages import GossipTick
from pimentobend_core._internal.gossip.messages import NewerTablesSeen
from pimentobend_core._internal.gossip.messages import OwnRowChanged
from pimentobend_core._internal.gossip.messages import PeersChanged
from pimentobend_core._internal.gossip.messages import PeerUnreachable
from pimentobend_core._internal.gossip.messages import Ping
from pimentobend_core._internal.gossip.messages import Pull
from pimentobend_core._internal.gossip.messages import ReachabilityChanged
from pimentobend_core._internal.gossip.messages import Rows
from pimentobend_core._internal.gossip.messages import SendGossip
from pimentobend_core._internal.gossip.messages import TablesChanged
from pimentobend_core._internal.gossip.node import TICK_S
from pimentobend_core._internal.gossip.node import GossipNode
from pimentobend_core._internal.gossip.rows import HostedServer
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion

SERVER = HostedServer("s", "bookings", True)


def make_row(number: int, *, incarnation: int = 1, zones: int = 4) -> PeerRow:
    zone = number % zones
    return PeerRow(
        f"10.0.0.{number}:7",
        RowVersion(incarnation, 0),
        number,
        f"zone-{zone}",
        f"region-{zone % 2}",
        number < 3,
        8,
        False,
        (),
    )


class Fleet:
    """Simulated fleet that delivers messages between nodes and loses some of them."""

    def __init__(self, size: int, seeds: int = 3, lost_share: float = 0.0) -> None:
        self.now = 0.0
        self.rng = random.Random(size)
        self.lost_share = lost_share
        self.seeds = tuple(make_row(number).address for number in range(seeds))
        self.nodes: dict[str, GossipNode] = {}
        self.down: set[str] = set()
        self.cut_paths: set[frozenset[str]] = set()
        self.peers: dict[str, tuple[PeerRow, ...]] = {}
        self.other_outputs: list[tuple[str, object]] = []
        self.inbox: deque[tuple[str, GossipInput]] = deque()
        self.sent_bytes = 0
        for number in range(size):
            self.start(make_row(number))

    def start(self, row: PeerRow) -> None:
        self.nodes[row.address] = GossipNode(row, self.seeds, self.rng.randrange(999))
        self.peers[row.address] = ()
        self.down.discard(row.address)

    def deliver(self, address: str, message: GossipInput) -> None:
        self.inbox.append((address, message))
        while self.inbox:
            self._handle(*self.inbox.popleft())

    def _handle(self, address: str, message: GossipInput) -> None:
        if address in self.down or address not in self.nodes:
            return
        for output in self.nodes[address].handle(message, self.now):
            if isinstance(output, SendGossip):
                self._send(address, output)
            elif isinstance(output, PeersChanged):
                self.peers[address] = output.peers
            else:
                self.other_outputs.append((address, output))

    def run(self, seconds: float) -> None:
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            for address in list(self.nodes):
                self.deliver(address, GossipTick())

    def knows_all(self, address: str) -> bool:
        return len(self.peers[address]) == len(self.nodes) - 1

    def _send(self, sender: str, output: SendGossip) -> None:
        is_lost = frozenset((sender, output.recipient)) in self.cut_paths
        if is_lost or self.rng.random() < self.lost_share:
            return
        data = encode_message(output.message)
        self.sent_bytes += len(data)
        message = decode_message(data)
        self.inbox.append((output.recipient, GossipReceived(sender, message)))


@pytest.mark.parametrize(
    ("size", "lost_share", "within_s"),
    [(2, 0.0, 4.0), (35, 0.0, 4.0), (35, 0.3, 8.0), (120, 0.0, 4.0)],
)
def test_all_daemons_are_discovered_from_the_seeds(
    size: int, lost_share: float, within_s: float
) -> None:
    fleet = Fleet(size, lost_share=lost_share)
    fleet.run(within_s)
    assert all(fleet.knows_all(address) for address in fleet.nodes)


@pytest.mark.parametrize("size", [10, 60, 120])
def test_a_new_server_is_known_everywhere_within_4_s(size: int) -> None:
    fleet = Fleet(size)
    fleet.run(4.0)
    address = make_row(5).address
    fleet.deliver(address, OwnRowChanged(make_row(5)._replace(servers=(SERVER,))))
    fleet.run(4.0)
    for other, peers in fleet.peers.items():
        if other != address:
            assert (SERVER,) in [row.servers for row in peers if row.address == address]


PING_AND_ACK_BYTES = 60  # size of a ping and its ack together, without rows
START_LISTS = 6  # whole lists that may be sent to each daemon at the start


@pytest.mark.parametrize("size", [35, 77])
def test_daemons_that_agree_send_no_rows(size: int) -> None:
    fleet = Fleet(size)
    fleet.run(10.0)
    row_bytes = len(encode_message(Rows(tuple(fleet.peers[make_row(0).address]), ())))
    assert fleet.sent_bytes < START_LISTS * size * row_bytes
    fleet.run(10.0)
    fleet.sent_bytes = 0
    fleet.run(10.0)
    assert fleet.sent_bytes <= PING_AND_ACK_BYTES * size * 10.0 / TICK_S


def test_a_restarted_daemon_is_discovered_while_the_seeds_are_down() -> None:
    fleet = Fleet(12)
    fleet.run(3.0)
    fleet.down.update(fleet.seeds)
    fleet.run(2.0)
    fleet.start(make_row(7, incarnation=2))
    fleet.run(10.0)
    assert len(fleet.peers[make_row(7).address]) >= 8


def test_a_daemon_whose_clock_went_back_refutes_its_earlier_row() -> None:
    fleet = Fleet(6)
    fleet.run(2.0)
    fleet.start(make_row(4, incarnation=0)._replace(process_id=99))
    fleet.run(6.0)
    for address, peers in fleet.peers.items():
        if address != make_row(4).address:
            ids = {row.process_id for row in peers if row.address.endswith(".4:7")}
            assert ids == {99}


LEFT = HostedServer("left", "bookings", False, 7)
RESTARTED = [  # earlier servers, later incarnation of the daemon, is it told of them
    ("a server had left", (LEFT,), 2, True),
    ("the clock went back", (LEFT,), 0, True),
    ("all were ready", (SERVER,), 2, False),
]


@pytest.mark.parametrize(
    ("servers", "incarnation", "is_told"),
    [r[1:] for r in RESTARTED],
    ids=[r[0] for r in RESTARTED],
)
def test_a_restarted_daemon_hears_which_servers_had_left(
    servers: tuple[HostedServer, ...], incarnation: int, is_told: bool
) -> None:
    fleet = Fleet(8)
    row = make_row(5)
    fleet.run(2.0)
    fleet.deliver(row.address, OwnRowChanged(row._replace(servers=servers)))
    fleet.run(2.0)
    fleet.other_outputs.clear()
    fleet.start(make_row(5, incarnation=incarnation)._replace(process_id=99))
    fleet.run(3.0)
    told = [
        output.row.servers
        for address, output in fleet.other_outputs
        if address == row.address and isinstance(output, EarlierRowSeen)
    ]
    assert bool(told) == is_told
    assert all(each == servers for each in told)


SUCCESSORS = [  # servers in the earlier row, the restarted process's row, is it told
    ("a server had left", (LEFT,), make_row(5, incarnation=2), True),
    ("an older process", (LEFT,), make_row(5, incarnation=0), False),
    ("all were ready", (SERVER,), make_row(5, incarnation=2), False),
]


@pytest.mark.parametrize(
    ("servers", "successor", "is_told"),
    [s[1:] for s in SUCCESSORS],
    ids=[s[0] for s in SUCCESSORS],
)
def test_a_row_that_is_still_a_rumour_is_returned_to_a_restarted_daemon(
    servers: tuple[HostedServer, ...], successor: PeerRow, is_told: bool
) -> None:
    """A daemon ended before the daemons that its successor asks knew who had left."""
    node = GossipNode(make_row(1), (), 1)
    earlier = make_row(5)._replace(servers=servers)
    node.handle(GossipReceived(earlier.address, Rows((earlier,), ())), 0.0)
    rumour = Rows((successor._replace(process_id=99),), ())
    outputs = node.handle(GossipReceived(make_row(2).address, rumour), 0.1)
    returned = SendGossip(earlier.address, Rows((earlier,), ()))
    assert (returned in outputs) == is_told


REPORTS = tuple(
    CrashReport(f"{2**32 - 1:x}-{number}", "f" * 16, 2, REPORT_S)
    for number in range(MAX_PUBLISHED)
)


@pytest.mark.parametrize("reports", [(), REPORTS], ids=["none", "some"])
def test_a_restarted_daemon_hears_what_it_had_reported(
    reports: tuple[CrashReport, ...],
) -> None:
    fleet = Fleet(8)
    row = make_row(5)._replace(servers=(SERVER,), crash_reports=reports)
    fleet.run(2.0)
    fleet.deliver(row.address, OwnRowChanged(row))
    fleet.run(2.0)
    assert all(
        row.crash_reports in [each.crash_reports for each in peers]
        for address, peers in fleet.peers.items()
        if address != row.address
    )
    fleet.other_outputs.clear()
    fleet.start(make_row(5, incarnation=2)._replace(process_id=99))
    fleet.run(3.0)
    told = [
        output.row.crash_reports
        for address, output in fleet.other_outputs
        if address == row.address and isinstance(output, EarlierRowSeen)
    ]
    assert bool(told) == bool(reports)
    assert all(each == reports for each in told)


def test_a_row_with_all_reports_fits_a_datagram() -> None:
    row = make_row(1)._replace(servers=(SERVER,) * 2, crash_reports=REPORTS)
    ping = encode_message(Ping(1, 2, FIRST_VERSION, (row,)))
    assert len(ping) < 0.9 * MAX_DATAGRAM_BYTES


def test_a_row_of_an_earlier_version_has_no_reports() -> None:
    earlier = msgspec.msgpack.encode((3, ([ROW[:9]], ())))
    assert decode_message(earlier) == Rows((ROW,), ())


def test_a_broken_path_and_its_recovery_are_reported() -> None:
    fleet = Fleet(4)
    fleet.run(2.0)
    pair = (make_row(0).address, make_row(3).address)
    fleet.cut_paths.add(frozenset(pair))
    fleet.other_outputs.clear()
    fleet.run(40.0)
    assert (pair[0], ReachabilityChanged(pair[1], False)) in fleet.other_outputs
    fleet.cut_paths.clear()
    fleet.run(20.0)
    assert (pair[0], ReachabilityChanged(pair[1], True)) in fleet.other_outputs
    assert not [s for s in fleet.other_outputs if "0.1:7" in str(s[1])]


def test_other_unanswered_messages_count_as_misses() -> None:
    fleet = Fleet(4)
    fleet.run(2.0)
    fleet.other_outputs.clear()
    other = make_row(1).address
    fleet.deliver(make_row(0).address, PeerUnreachable(other))
    assert fleet.other_outputs == [
        (make_row(0).address, ReachabilityChanged(other, False))
    ]
    fleet.deliver(make_row(0).address, PeerUnreachable("10.9.9.9:1"))
    assert len(fleet.other_outputs) == 1


def test_a_newer_tables_version_is_reported() -> None:
    fleet = Fleet(3)
    fleet.run(2.0)
    newer = Version(3, 9)
    fleet.deliver(make_row(1).address, TablesChanged(newer))
    fleet.run(6.0)
    seen = [(a, o) for a, o in fleet.other_outputs if isinstance(o, NewerTablesSeen)]
    assert {address for address, _ in seen} == {
        make_row(0).address,
        make_row(2).address,
    }
    assert {output.version for _, output in seen} == {newer}


ROW = make_row(1)._replace(servers=(SERVER,))
MESSAGES: list[GossipMessage] = [
    Rows((ROW._replace(crash_reports=REPORTS),), ()),
    Ping(1, 2, FIRST_VERSION, (ROW,)),
    Ack(1, 2, Version(1, 2), ()),
    Pull(((ROW.address, ROW.version),)),
    Rows((ROW,), ("a",)),
]


@pytest.mark.parametrize("message", MESSAGES, ids=lambda m: type(m).__name__)
def test_messages_round_trip(message: GossipMessage) -> None:
    assert decode_message(encode_message(message)) == message


@pytest.mark.parametrize(
    "data", [b"", b"\x93", b"\x92\x09\x90", b"\x92\x00\x91\x01", b"noise" * 9]
)
def test_invalid_bytes_raise_codec_error(data: bytes) -> None:
    with pytest.raises(CodecError):
        decode_message(data)
