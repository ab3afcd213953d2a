"""Encode and decode gossip messages."""

from typing import Any
from typing import cast

import msgspec

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.gossip.messages import Ack
from pimentobend_core._internal.gossip.messages import GossipMessage
from pimentobend_core._internal.gossip.messages import Ping
from pimentobend_core._internal.gossip.messages import Pull
from pimentobend_core._internal.gossip.messages import Rows

_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(tuple[int, msgspec.Raw])

# The index of a type is its number on the wire: append new types at the end.
_MESSAGES = (Ping, Ack, Pull, Rows)
_NUMBERS = {kind: number for number, kind in enumerate(_MESSAGES)}
_DECODERS = [msgspec.msgpack.Decoder(cast(Any, kind)) for kind in _MESSAGES]


def encode_message(message: GossipMessage) -> bytes:
    """Return the message as bytes, with its type number."""
    return _ENCODER.encode((_NUMBERS[type(message)], message))


def decode_message(data: bytes) -> GossipMessage:
    """Return the message in ``data``; raise ``CodecError`` if it is invalid."""
    try:
        number, raw = _ENVELOPE.decode(data)
        if not 0 <= number < len(_DECODERS):
            raise CodecError(f"unknown kind of gossip message {number}")
        return cast(GossipMessage, _DECODERS[number].decode(raw))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(
            f"cannot decode a gossip message of {len(data)} bytes: {error}"
        ) from error
