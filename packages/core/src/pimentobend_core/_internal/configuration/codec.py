"""Encode configuration log commands, snapshots and messages to daemons."""

from typing import TypeVar

import msgspec

from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.state import ConfigurationSnapshot
from pimentobend_core._internal.exceptions import CodecError

Value = TypeVar("Value")

_ENCODER = msgspec.msgpack.Encoder()


def encode(value: object) -> bytes:
    """Encode a command, snapshot or message as msgpack."""
    return _ENCODER.encode(value)


def decode(data: bytes, kind: type[Value]) -> Value:
    """Decode bytes as ``kind``; raise ``CodecError`` if they do not match it."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise CodecError(
            "cannot decode a configuration message",
            context=f"{kind.__name__}: {error}",
        ) from error


def decode_command(data: bytes) -> TablesCommand:
    """Decode a log entry's command; raise ``CodecError`` if it is malformed."""
    return decode(data, TablesCommand)


def decode_snapshot(data: bytes) -> ConfigurationSnapshot:
    """Decode a state snapshot; raise ``CodecError`` if it is malformed."""
    return decode(data, ConfigurationSnapshot)
