"""Encode what the configuration keeps in the log and sends to daemons."""

from typing import TypeVar

import msgspec

from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.state import ConfigurationSnapshot
from pimentobend_core._internal.exceptions import CodecError

Value = TypeVar("Value")

_ENCODER = msgspec.msgpack.Encoder()


def encode(value: object) -> bytes:
    """Return a message of the configuration as bytes."""
    return _ENCODER.encode(value)


def decode(data: bytes, kind: type[Value]) -> Value:
    """Return the message of a kind; raise ``CodecError``."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise CodecError(
            "a message of the configuration does not decode", context=kind.__name__
        ) from error


def decode_command(data: bytes) -> TablesCommand:
    """Return the command of the bytes; raise ``CodecError``."""
    return decode(data, TablesCommand)


def decode_snapshot(data: bytes) -> ConfigurationSnapshot:
    """Return the snapshot of the bytes; raise ``CodecError``."""
    return decode(data, ConfigurationSnapshot)
