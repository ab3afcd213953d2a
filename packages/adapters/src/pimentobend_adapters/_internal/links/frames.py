"""Seal and open the frames between the processes of the fleet."""

import hashlib
import hmac
from typing import NamedTuple

import msgspec

from pimentobend_adapters._internal.exceptions import FrameError

MAGIC = b"PMB"
VERSION = 1
TAG_BYTES = 16  # of a truncated HMAC-SHA-256
HEAD_BYTES = len(MAGIC) + 1 + TAG_BYTES
MAX_FRAME_BYTES = 4 * 1024 * 1024


class Frame(NamedTuple):
    """Carry one encoded message; ``sender`` is the address that replies go to."""

    sender: str
    kind: str
    payload: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def seal_frame(frame: Frame, key: bytes) -> bytes:
    """Return the frame's bytes, authenticated with the key."""
    body = _ENCODER.encode(frame)
    return MAGIC + bytes([VERSION]) + _tag(body, key) + body


def open_frame(data: bytes, key: bytes) -> Frame:
    """Return the frame in ``data``; raise FrameError if it is not a member's."""
    if not HEAD_BYTES < len(data) <= MAX_FRAME_BYTES:
        raise FrameError("the frame's size is wrong", context=f"{len(data)} bytes")
    if data[: len(MAGIC)] != MAGIC:
        raise FrameError("the bytes are not a frame")
    version = data[len(MAGIC)]
    if version != VERSION:
        raise FrameError(
            "the frame is of another version",
            context=f"version {version}, expected {VERSION}",
            hint="run the same version in the whole fleet",
        )
    body = data[HEAD_BYTES:]
    if not hmac.compare_digest(data[len(MAGIC) + 1 : HEAD_BYTES], _tag(body, key)):
        raise FrameError(
            "the frame's key is wrong", hint="give all members the same key file"
        )
    return _decode(body)


def _decode(body: bytes) -> Frame:
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, ValueError) as error:
        raise FrameError("the frame does not decode", context=str(error)) from error


def _tag(body: bytes, key: bytes) -> bytes:
    return hmac.new(key, bytes([VERSION]) + body, hashlib.sha256).digest()[:TAG_BYTES]
