"""Check that messages and records round-trip and invalid bytes are rejected."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from pimentobend_core._internal.consensus.codec import decode_message
from pimentobend_core._internal.consensus.codec import decode_records
from pimentobend_core._internal.consensus.codec import decode_snapshot
from pimentobend_core._internal.consensus.codec import encode_message
from pimentobend_core._internal.consensus.codec import encode_records
from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.entries import EntryRecord
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import TermRecord
from pimentobend_core._internal.consensus.members import Member
from pimentobend_core._internal.consensus.members import Members
from pimentobend_core._internal.consensus.messages import AppendEntries
from pimentobend_core._internal.consensus.messages import AppendReply
from pimentobend_core._internal.consensus.messages import InstallSnapshot
from pimentobend_core._internal.consensus.messages import PeerMessage
from pimentobend_core._internal.consensus.messages import RequestVote
from pimentobend_core._internal.consensus.messages import SnapshotReply
from pimentobend_core._internal.consensus.messages import VoteReply
from pimentobend_core._internal.exceptions import CodecError

MEMBERS = Members((Member("a", "x:1"),), (Member("b", "x:2"),))
ENTRIES = (Entry(1, 2, b"\x00\xff"), Entry(1, 3, b"", MEMBERS))
MESSAGES: list[PeerMessage] = [
    RequestVote(1, 2, 3, True),
    VoteReply(1, False, True),
    AppendEntries(1, 2, 3, ENTRIES, 4, 5.5),
    AppendReply(1, True, 2, 5.5),
    InstallSnapshot(1, 2, 3, MEMBERS, 4, 5, b"chunk", 6.5),
    SnapshotReply(1, 2, 3, False, 4.5),
]
RECORDS: tuple[Record, ...] = (
    BaseRecord(1, 2, MEMBERS),
    TermRecord(3, None),
    TermRecord(3, "a"),
    EntryRecord(ENTRIES[0]),
    EntryRecord(ENTRIES[1]),
)


@pytest.mark.parametrize("message", MESSAGES, ids=lambda each: type(each).__name__)
def test_messages_round_trip(message: PeerMessage) -> None:
    assert decode_message(encode_message(message)) == message


def test_records_round_trip() -> None:
    assert decode_records(encode_records(RECORDS)) == RECORDS


@settings(derandomize=True, max_examples=500, deadline=None)
@given(
    message=st.sampled_from(MESSAGES),
    position=st.integers(0, 10_000),
    byte=st.integers(0, 255),
    random_bytes=st.binary(max_size=60),
)
def test_invalid_bytes_decode_or_raise_codec_error(
    message: PeerMessage, position: int, byte: int, random_bytes: bytes
) -> None:
    changed = bytearray(encode_message(message))
    changed[position % len(changed)] = byte
    for data in (
        bytes(changed),
        random_bytes,
        bytes(changed[: position % len(changed)]),
    ):
        for decode in (decode_message, decode_records, decode_snapshot):
            try:
                value = decode(data)
            except CodecError:
                continue
            assert isinstance(value, tuple)
