"""Encode the messages between instances as versioned msgpack, compressed if large."""

import zlib
from typing import NamedTuple

import msgspec

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.membership.spread.messages import Alive
from pimentobend_core._internal.membership.spread.messages import Attach
from pimentobend_core._internal.membership.spread.messages import Beacon
from pimentobend_core._internal.membership.spread.messages import Busy
from pimentobend_core._internal.membership.spread.messages import Delta
from pimentobend_core._internal.membership.spread.messages import Echo
from pimentobend_core._internal.membership.spread.messages import FetchSnapshot
from pimentobend_core._internal.membership.spread.messages import PeerMessage
from pimentobend_core._internal.membership.spread.messages import Publish

VERSION = 1
COMPRESS_BYTES = 256
MESSAGE_BYTES_MAX = 16 * 1024 * 1024

# The index of a kind is its tag on the wire.
_KINDS = (Attach, Alive, Publish, Echo, Delta, Beacon, Busy, FetchSnapshot)


class _Envelope(NamedTuple):
    """Wire format: version, tag of the kind, and the encoded message."""

    version: int
    kind: int
    is_compressed: bool
    body: bytes


_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE_DECODER = msgspec.msgpack.Decoder(_Envelope)
_DECODERS: "tuple[msgspec.msgpack.Decoder[PeerMessage], ...]" = tuple(
    msgspec.msgpack.Decoder(kind) for kind in _KINDS
)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message for the link between instances."""
    body = _ENCODER.encode(message)
    is_large = len(body) > COMPRESS_BYTES
    if is_large:
        body = zlib.compress(body)
    kind = _KINDS.index(type(message))
    return _ENCODER.encode(_Envelope(VERSION, kind, is_large, body))


def decode_message(payload: bytes) -> PeerMessage:
    """Decode a message; raise CodecError if the bytes are malformed."""
    try:
        envelope = _ENVELOPE_DECODER.decode(payload)
        _check(envelope)
        return _DECODERS[envelope.kind].decode(_get_body(envelope))
    except (
        msgspec.DecodeError,
        UnicodeDecodeError,
        RecursionError,
        zlib.error,
    ) as error:
        raise CodecError(
            "cannot decode a spread message", context=str(error)
        ) from error


def _check(envelope: _Envelope) -> None:
    if envelope.version != VERSION:
        raise CodecError(
            "unsupported version of a spread message",
            context=f"version {envelope.version}, expected {VERSION}",
        )
    if not 0 <= envelope.kind < len(_KINDS):
        raise CodecError(
            "unknown kind of spread message", context=f"kind {envelope.kind}"
        )


def _get_body(envelope: _Envelope) -> bytes:
    if not envelope.is_compressed:
        return envelope.body
    inflater = zlib.decompressobj()
    body = inflater.decompress(envelope.body, MESSAGE_BYTES_MAX)
    if not inflater.eof:
        raise CodecError(
            "spread message is too large or truncated",
            context=f"{len(body)} bytes read, limit {MESSAGE_BYTES_MAX}",
        )
    return body
