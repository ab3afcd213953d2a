"""Encode and decode the messages about tokens."""

from typing import Any
from typing import TypeVar
from typing import cast

import msgspec

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.limits.messages import Demand
from pimentobend_core._internal.limits.messages import Grants
from pimentobend_core._internal.limits.messages import TokenAsk
from pimentobend_core._internal.limits.messages import TokenReply

Message = TypeVar("Message", TokenAsk, TokenReply, Demand, Grants)

_ENCODER = msgspec.msgpack.Encoder()
_DECODERS = {
    kind: msgspec.msgpack.Decoder(cast(Any, kind))
    for kind in (TokenAsk, TokenReply, Demand, Grants)
}


def encode(message: TokenAsk | TokenReply | Demand | Grants) -> bytes:
    """Return a message as bytes."""
    return _ENCODER.encode(message)


def decode(data: bytes, kind: type[Message]) -> Message:
    """Decode bytes as ``kind``; raise ``CodecError`` if they do not match it."""
    try:
        return cast(Message, _DECODERS[kind].decode(data))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(
            "cannot decode a message about tokens", context=f"{kind.__name__}: {error}"
        ) from error
