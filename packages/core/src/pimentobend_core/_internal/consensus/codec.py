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
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])
_ENVELOPES = msgspec.msgpack.Decoder(list[tuple[int, msgspec.Raw]])
_ADDRESSED = msgspec.msgpack.Decoder(tuple[str, str, bytes])
_SNAPSHOT = msgspec.msgpack.Decoder(Snapshot)

# A type's place is its number on the wire; new ones go to the end.
_MESSAGES = (
    RequestVote,
    VoteReply,
    AppendEntries,
    AppendReply,
    InstallSnapshot,
    SnapshotReply,
)
_RECORDS = (BaseRecord, TermRecord, EntryRecord)

_MESSAGE_NUMBERS = {kind: number for number, kind in enumerate(_MESSAGES)}
_RECORD_NUMBERS = {kind: number for number, kind in enumerate(_RECORDS)}
_MESSAGE_DECODERS = [msgspec.msgpack.Decoder(cast(Any, kind)) for kind in _MESSAGES]
_RECORD_DECODERS = [msgspec.msgpack.Decoder(cast(Any, kind)) for kind in _RECORDS]


def encode_message(message: PeerMessage) -> bytes:
    """Return a message between replicas as bytes."""
    return _ENCODER.encode((_MESSAGE_NUMBERS[type(message)], message))


def decode_message(data: bytes) -> PeerMessage:
    """Return the message of the bytes; raise ``CodecError``."""
    try:
        number, raw = _ENVELOPE.decode(data)
        return cast(PeerMessage, _decoder(_MESSAGE_DECODERS, number).decode(raw))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CodecError("a replica's message does not decode") from error


class Envelope(NamedTuple):
    """Carry a message between two replicas, named by their ids."""

    sender: str
    recipient: str
    message: PeerMessage


def encode_envelope(sender: str, recipient: str, message: PeerMessage) -> bytes:
    """Return a message with the ids of both replicas as bytes."""
    return _ENCODER.encode((sender, recipient, encode_message(message)))


def decode_envelope(data: bytes) -> Envelope:
    """Return the envelope of the bytes; raise ``CodecError``."""
    try:
        sender, recipient, content = _ADDRESSED.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CodecError("a replica's envelope does not decode") from error
    return Envelope(sender, recipient, decode_message(content))


def encode_records(records: tuple[Record, ...]) -> bytes:
    """Return records, which are synced together, as bytes."""
    numbered = [(_RECORD_NUMBERS[type(record)], record) for record in records]
    return _ENCODER.encode(numbered)


def decode_records(data: bytes) -> tuple[Record, ...]:
    """Return the records of the bytes; raise ``CodecError``."""
    try:
        return tuple(
            cast(Record, _decoder(_RECORD_DECODERS, number).decode(raw))
            for number, raw in _ENVELOPES.decode(data)
        )
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CodecError("a stored record does not decode") from error


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return a snapshot as bytes."""
    return _ENCODER.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot of the bytes; raise ``CodecError``."""
    try:
        return _SNAPSHOT.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CodecError("a stored snapshot does not decode") from error


def _decoder(
    decoders: list[msgspec.msgpack.Decoder[Any]], number: int
) -> msgspec.msgpack.Decoder[Any]:
    if not 0 <= number < len(decoders):
        raise CodecError("a message or record of an unknown kind")
    return decoders[number]
