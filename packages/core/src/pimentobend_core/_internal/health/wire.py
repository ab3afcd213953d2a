"""Encoding of the messages between observers and the floor owner."""

import zlib
from typing import TypeVar

import msgspec

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported

BATCH_BYTES_MAX = 4 * 1024 * 1024

_ENCODER = msgspec.msgpack.Encoder()
_REPORTS_DECODER = msgspec.msgpack.Decoder(tuple[EvidenceReported, ...])
_GRANTS_DECODER = msgspec.msgpack.Decoder(tuple[EjectionsGranted, ...])

Message = TypeVar("Message")


def encode_reports(reports: tuple[EvidenceReported, ...]) -> bytes:
    """Encode the reports of one observer as compressed MessagePack."""
    return zlib.compress(_ENCODER.encode(reports), 1)


def encode_grants(grants: tuple[EjectionsGranted, ...]) -> bytes:
    """Encode the grants to one observer as compressed MessagePack."""
    return zlib.compress(_ENCODER.encode(grants), 1)


def decode_reports(payload: bytes) -> tuple[EvidenceReported, ...]:
    """Decode reports; raise CodecError if ``payload`` is invalid."""
    return _decode(_REPORTS_DECODER, payload)


def decode_grants(payload: bytes) -> tuple[EjectionsGranted, ...]:
    """Decode grants; raise CodecError if ``payload`` is invalid."""
    return _decode(_GRANTS_DECODER, payload)


def _decode(decoder: "msgspec.msgpack.Decoder[Message]", payload: bytes) -> Message:
    inflater = zlib.decompressobj()
    try:
        body = inflater.decompress(payload, BATCH_BYTES_MAX)
        if not inflater.eof:
            raise CodecError(
                "health messages are too large or truncated",
                context=f"{len(body)} bytes read, limit {BATCH_BYTES_MAX}",
            )
        return decoder.decode(body)
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
        zlib.error,
    ) as error:
        raise CodecError("cannot decode health messages", context=str(error)) from error
