"""Encode the messages between daemons."""

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

# A type's place is its number on the wire; new ones go to the end.
_MESSAGES = (Ping, Ack, Pull, Rows)
_NUMBERS = {kind: number for number, kind in enumerate(_MESSAGES)}
_DECODERS = [msgspec.msgpack.Decoder(cast(Any, kind)) for kind in _MESSAGES]


def encode_message(message: GossipMessage) -> bytes:
    """Return a message as bytes."""
    return _ENCODER.encode((_NUMBERS[type(message)], message))


def decode_message(data: bytes) -> GossipMessage:
    """Return the message of the bytes; raise ``CodecError``."""
    try:
        number, raw = _ENVELOPE.decode(data)
        if not 0 <= number < len(_DECODERS):
            raise CodecError("a gossip message of an unknown kind")
        return cast(GossipMessage, _DECODERS[number].decode(raw))
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CodecError("a gossip message does not decode") from error
