"""Encode the messages between replicas and the records on their disks."""

from typing import Any
from typing import NamedTuple
from typing import cast

import msgspec

from pimentobend_core._internal.consensus.entries import BaseRecord
from pimentobend_core._internal.consensus.entries import EntryRecord
from pimentobend_core._internal.consensus.entries import Record
from pimentobend_core._internal.consensus.entries import Snapshot
from pimentobend_core._internal.consensus.entries import TermRecord
from pimentobend_core._internal.consensus.messages import AppendEntries
from pimentobend_core._internal.consensus.messages import AppendReply
from pimentobend_core._internal.consensus.messages import InstallSnapshot
from pimentobend_core._internal.consensus.messages import PeerMessage
from pimentobend_core._internal.consensus.messages import RequestVote
from pimentobend_core._internal.consensus.messages import SnapshotReply
from pimentobend_core._internal.consensus.messages import VoteReply
from pimentobend_core._internal.exceptions import CodecError

_ENCODER = msgspec.msgpack.Encoder()
_TAGGED_DECODER = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_TAGGED_LIST_DECODER = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(tuple[str, str, bytes])
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)

# A type's position is its tag on the wire or on disk: append new types.
_MESSAGES = (
    RequestVote,
    VoteReply,
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
)
_RECORDS = (BaseRecord, TermRecord, EntryRecord)

_MESSAGE_TAGS = {kind: tag for tag, kind in enumerate(_MESSAGES)}
_RECORD_TAGS = {kind: tag for tag, kind in enumerate(_RECORDS)}
_MESSAGE_DECODERS = [msgspec.msgpack.Decoder(cast(Any, kind)) for kind in _MESSAGES]
_RECORD_DECODERS = [msgspec.msgpack.Decoder(cast(Any, kind)) for kind in _RECORDS]


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message between replicas."""
    return _ENCODER.encode((_MESSAGE_TAGS[type(message)], message))


def decode_message(data: bytes) -> PeerMessage:
    """Decode a message; raise ``CodecError`` for invalid bytes."""
    try:
        tag, raw = _TAGGED_DECODER.decode(data)
        return cast(PeerMessage, _decoder(_MESSAGE_DECODERS, tag).decode(raw))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(
            "cannot decode a message from a replica", context=str(error)
        ) from error


class Envelope(NamedTuple):
    """A message with the ids of its sender and recipient."""

    sender: str
    recipient: str
    message: PeerMessage


def encode_envelope(sender: str, recipient: str, message: PeerMessage) -> bytes:
    """Encode a message with the ids of its sender and recipient."""
    return _ENCODER.encode((sender, recipient, encode_message(message)))


def decode_envelope(data: bytes) -> Envelope:
    """Decode an envelope; raise ``CodecError`` for invalid bytes."""
    try:
        sender, recipient, content = _ENVELOPE_DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(
            "cannot decode an envelope from a replica", context=str(error)
        ) from error
    return Envelope(sender, recipient, decode_message(content))


def encode_records(records: tuple[Record, ...]) -> bytes:
    """Encode records that are written to the disk with one sync."""
    tagged = [(_RECORD_TAGS[type(record)], record) for record in records]
    return _ENCODER.encode(tagged)


def decode_records(data: bytes) -> tuple[Record, ...]:
    """Decode records; raise ``CodecError`` for invalid bytes."""
    try:
        return tuple(
            cast(Record, _decoder(_RECORD_DECODERS, tag).decode(raw))
            for tag, raw in _TAGGED_LIST_DECODER.decode(data)
        )
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError("cannot decode a stored record", context=str(error)) from error


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot."""
    return _ENCODER.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot; raise ``CodecError`` for invalid bytes."""
    try:
        return _SNAPSHOT_DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(
            "cannot decode a stored snapshot", context=str(error)
        ) from error


def _decoder(
    decoders: list[msgspec.msgpack.Decoder[Any]], tag: int
) -> msgspec.msgpack.Decoder[Any]:
    if not 0 <= tag < len(decoders):
        raise CodecError("unknown kind of message or record", context=f"tag {tag}")
    return decoders[tag]
