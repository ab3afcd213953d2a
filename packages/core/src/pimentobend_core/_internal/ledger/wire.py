"""Encode the requests and replies between daemons and the ledger's replicas."""

from typing import NamedTuple

import msgspec

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.ledger.codec import decode_command
from pimentobend_core._internal.ledger.codec import decode_result
from pimentobend_core._internal.ledger.codec import encode_command
from pimentobend_core._internal.ledger.codec import encode_result
from pimentobend_core._internal.ledger.service_messages import LedgerReply
from pimentobend_core._internal.ledger.service_messages import LedgerRequest
from pimentobend_core._internal.ledger.service_messages import Unserved
from pimentobend_core._internal.ledger.service_messages import UnservedReason


class GroupRequest(NamedTuple):
    """A request and the replicated log, counted from 0, that it is for."""

    group: int
    request: LedgerRequest


class _WireRequest(NamedTuple):
    group: int
    token: int
    command: bytes


class _WireReply(NamedTuple):
    token: int
    result: bytes | None  # None if the replica gave no result
    reason: str  # ``UnservedReason`` if there is no result, else empty
    leader_id: str | None


_REQUEST_DECODER = msgspec.msgpack.Decoder(_WireRequest)
_REPLY_DECODER = msgspec.msgpack.Decoder(_WireReply)
_ENCODER = msgspec.msgpack.Encoder()


def encode_request(group: int, request: LedgerRequest) -> bytes:
    """Encode a request; the frame around it names its sender."""
    command = encode_command(request.command)
    return _ENCODER.encode(_WireRequest(group, request.token, command))


def decode_request(payload: bytes, sender: str) -> GroupRequest:
    """Decode a request of a sender; raise CodecError for invalid bytes."""
    try:
        wire = _REQUEST_DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise CodecError(
            "cannot decode a ledger request", context=str(error)
        ) from error
    request = LedgerRequest(sender, wire.token, decode_command(wire.command))
    return GroupRequest(wire.group, request)


def encode_reply(reply: LedgerReply) -> bytes:
    """Encode a reply without its recipient, to whose address it is sent."""
    result = reply.result
    if isinstance(result, Unserved):
        wire = _WireReply(reply.token, None, result.reason.value, result.leader_id)
    else:
        wire = _WireReply(reply.token, encode_result(result), "", None)
    return _ENCODER.encode(wire)


def decode_reply(payload: bytes, recipient: str) -> LedgerReply:
    """Decode a reply to a recipient; raise CodecError for invalid bytes."""
    try:
        wire = _REPLY_DECODER.decode(payload)
        if wire.result is not None:
            return LedgerReply(recipient, wire.token, decode_result(wire.result))
        unserved = Unserved(UnservedReason(wire.reason), wire.leader_id)
    except (msgspec.DecodeError, ValueError) as error:
        raise CodecError("cannot decode a ledger reply", context=str(error)) from error
    return LedgerReply(recipient, wire.token, unserved)
