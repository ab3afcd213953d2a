"""Encode the messages between observers and the floor's owner."""

from typing import TypeVar

import msgspec

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported

_ENCODER = msgspec.msgpack.Encoder()
_REPORT_DECODER = msgspec.msgpack.Decoder(EvidenceReported)
_GRANT_DECODER = msgspec.msgpack.Decoder(EjectionsGranted)

Message = TypeVar("Message")


def encode_health(message: EvidenceReported | EjectionsGranted) -> bytes:
    """Encode a report or a grant."""
    return _ENCODER.encode(message)


def decode_report(payload: bytes) -> EvidenceReported:
    """Decode a report; raise CodecError for other bytes."""
    return _decode(_REPORT_DECODER, payload)


def decode_grant(payload: bytes) -> EjectionsGranted:
    """Decode a grant; raise CodecError for other bytes."""
    return _decode(_GRANT_DECODER, payload)


def _decode(decoder: "msgspec.msgpack.Decoder[Message]", payload: bytes) -> Message:
    try:
        return decoder.decode(payload)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise CodecError("a health message does not decode") from error
