"""Test frames, rows and hops that no process of this version would send.

Deep nesting, a number too large or a port out of range in one of them must be an error
that its receiver reports: what ended the receiving task ended the process's part in
the fleet.
"""

from collections.abc import Callable
from typing import Any

import eventlet
import pytest
from returns.result import Failure

from pimentobend_adapters._internal.forwarding.hop import HopRequest
from pimentobend_adapters._internal.forwarding.hop import decode_result
from pimentobend_adapters._internal.forwarding.hop import decode_submit
from pimentobend_adapters._internal.forwarding.hop import encode_hop
from pimentobend_adapters._internal.links.datagrams import DatagramLink
from pimentobend_adapters._internal.links.link import Link
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.configuration import codec as configuration
from pimentobend_core._internal.consensus import codec as consensus
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.exceptions import PimentobendError
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.gossip import codec as gossip
from pimentobend_core._internal.gossip.messages import Rows
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.health import wire as health
from pimentobend_core._internal.ledger import wire as ledger
from pimentobend_core._internal.membership.announcement import parse_announcement
from pimentobend_core._internal.membership.announcement import parse_withdrawal
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import ServerEvents
from pimentobend_core._internal.membership.rows import create_server_row
from pimentobend_core._internal.membership.rows import read_rows
from pimentobend_core._internal.membership.spread import codec as spread
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

NESTED = b"\x91" * 5000 + b"\x00"  # lists of one item each
KEY = b"k" * 16
STREAM_S = 0.02  # a large frame is sent by a task of its own
DECODERS: list[tuple[str, Callable[[bytes], object], list[bytes]]] = [
    ("gossip", gossip.decode_message, [b"\x92\x00", b"\x92\x03", b"\x93\x00\x00"]),
    ("consensus", consensus.decode_message, [b"\x92\x00", b"\x92\x04"]),
    ("an envelope", consensus.decode_envelope, [b"\x93\xa1a\xa1b"]),
    ("spread", spread.decode_message, [b"\x94\x01\x00\xc2"]),
    ("ledger", lambda data: ledger.decode_request(data, "a"), [b"\x92\x01"]),
    ("health", health.decode_reports, []),
    ("withdraw", lambda data: configuration.decode(data, Withdraw), [b"\x92\xa1a"]),
]
NESTED_FRAMES = [
    (f"{name} {start.hex()}", decode, start + NESTED)
    for name, decode, starts in DECODERS
    for start in [b"", *starts]
]


@pytest.mark.parametrize(
    ("decode", "data"),
    [each[1:] for each in NESTED_FRAMES],
    ids=[each[0] for each in NESTED_FRAMES],
)
def test_a_deeply_nested_message_is_a_reported_error(
    decode: Callable[[bytes], object], data: bytes
) -> None:
    with pytest.raises(PimentobendError):
        decode(data)


ROW = PeerRow("10.0.0.1:7", RowVersion(1, 0), 1, "a", "r", False, 8, False, ())
ODD_ROWS = [
    ("a port too large", {"forward_port": 70000}),
    ("a port below 0", {"forward_port": -1}),
    ("no address", {"address": ""}),
    ("a name for an address", {"address": "some.host.example:7"}),
    ("no port in the address", {"address": "10.0.0.1"}),
]


@pytest.mark.parametrize(
    "fields", [each[1] for each in ODD_ROWS], ids=[each[0] for each in ODD_ROWS]
)
def test_an_odd_row_of_a_daemon_is_a_reported_error(fields: dict[str, Any]) -> None:
    assert gossip.decode_message(gossip.encode_message(Rows((ROW,), ())))
    data = gossip.encode_message(Rows((ROW._replace(**fields),), ()))
    with pytest.raises(CodecError):
        gossip.decode_message(data)


SERVER = Server("a", "x", "127.0.0.1", 1, 3, "z", "r", ServerState.READY, 1)
GOOD_ROW = create_server_row(ServerEvent("i", Rank(1, 1), Presence.LIVE, SERVER))


def _row(**fields: Any) -> bytes:
    event = ServerEvent("i", Rank(1, 1), Presence.LIVE, SERVER._replace(**fields))
    return create_server_row(event).payload


ODD_PAYLOADS = [
    ("nested", NESTED),
    ("cut off", GOOD_ROW.payload[:-3]),
    ("port 0", _row(port=0)),
    ("port 70000", _row(port=70000)),
    ("no slots", _row(slots=0)),
    ("slots of 64 bits", _row(slots=2**64 - 1)),
    ("not UTF-8", GOOD_ROW.payload.replace(b"127.0.0.1", b"\xff27.0.0.1")),
]


@pytest.mark.parametrize(
    "payload",
    [each[1] for each in ODD_PAYLOADS],
    ids=[each[0] for each in ODD_PAYLOADS],
)
def test_an_odd_row_of_a_server_is_skipped_and_the_others_count(
    payload: bytes,
) -> None:
    faults: list[CodecError] = []
    odd = GOOD_ROW._replace(payload=payload)
    (events,) = read_rows((GOOD_ROW, odd, GOOD_ROW), faults.append)
    assert isinstance(events, ServerEvents)
    assert [each.server for each in events.events] == [SERVER, SERVER]
    assert len(faults) == 1


LINKS: list[type[Transport]] = [DatagramLink, Link]
PEERS = ["", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:-1", ":x", "a b"]


@pytest.mark.parametrize("size_bytes", [1, 5000])
@pytest.mark.parametrize("peer", PEERS)
@pytest.mark.parametrize("make", LINKS)
def test_a_frame_to_what_is_no_address_is_dropped(
    make: Callable[..., Transport], peer: str, size_bytes: int
) -> None:
    link = make("127.0.0.1:0", KEY, Discard(), lambda error: None)
    try:
        link.send(peer, "kind", b"x" * size_bytes)
        eventlet.sleep(STREAM_S)
        # nng connects in the background, and buffers the frame until then.
        assert make is Link or link.dropped_frames == 1
    finally:
        link.close()


HOP = HopRequest("1", "s", "r", 1, True, 100, 1000, 7, False)
ODD_HOPS = [
    ("nested", "[" * 5000 + "]" * 5000),
    ("nested within", encode_hop(HOP)[:-1] + "," + "[" * 5000 + "]" * 5000 + "]"),
    ("time beyond 64 bits", encode_hop(HOP._replace(remaining_ms=10**18))),
    ("time below 0", encode_hop(HOP._replace(remaining_ms=-1))),
    ("a target of 1e18 ms", encode_hop(HOP._replace(target_latency_ms=10**18))),
    ("a rank below 0", encode_hop(HOP._replace(priority=-2))),
    ("a list", "[]"),
    ("nothing", ""),
]


@pytest.mark.parametrize("decode", [decode_submit, decode_result])
@pytest.mark.parametrize(
    "text", [each[1] for each in ODD_HOPS], ids=[each[0] for each in ODD_HOPS]
)
def test_an_odd_hop_header_is_a_reported_error(
    text: str, decode: Callable[[str], object]
) -> None:
    assert decode_submit(encode_hop(HOP)) == HOP
    with pytest.raises(PimentobendError):
        decode(text)


@pytest.mark.parametrize("parse", [parse_announcement, parse_withdrawal])
def test_a_deeply_nested_document_is_a_fault(parse: Callable[[bytes], Any]) -> None:
    nested = b'{"x":' + b"[" * 5000 + b"]" * 5000 + b"}"
    assert isinstance(parse(nested), Failure)
