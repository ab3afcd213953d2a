"""Encode and authenticate the frames exchanged between processes.

A frame is an encoded message with its sender and kind. A tag, computed with the
fleet's key, shows that a member of the fleet sent it.
"""

import hashlib
import hmac
from typing import NamedTuple

import msgspec

from pimentobend_adapters._internal.exceptions import FrameError

MAGIC = b"PMB"
VERSION = 1
TAG_BYTES = 16  # length of the truncated HMAC-SHA-256
HEAD_BYTES = len(MAGIC) + 1 + TAG_BYTES
MAX_FRAME_BYTES = 4 * 1024 * 1024


class Frame(NamedTuple):
    """One encoded message; ``sender`` is the address for replies."""

    sender: str
    kind: str
    payload: bytes


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Frame)


def encode_frame(frame: Frame, key: bytes) -> bytes:
    """Return the frame's bytes, authenticated with the key."""
    body = _ENCODER.encode(frame)
    return MAGIC + bytes([VERSION]) + _tag(body, key) + body


def decode_frame(data: bytes, key: bytes) -> Frame:
    """Verify and decode a frame; raise FrameError if it is not authentic."""
    if not HEAD_BYTES < len(data) <= MAX_FRAME_BYTES:
        raise FrameError(
            "the frame's size is out of range",
            context=f"{len(data)} bytes, at most {MAX_FRAME_BYTES}",
        )
    if data[: len(MAGIC)] != MAGIC:
        raise FrameError("the data is not a frame", context=f"begins with {data[:3]!r}")
    version = data[len(MAGIC)]
    if version != VERSION:
        raise FrameError(
            "unsupported version of a frame",
            context=f"version {version}, expected {VERSION}",
            hint="run the same version in the whole fleet",
        )
    body = data[HEAD_BYTES:]
    if not hmac.compare_digest(data[len(MAGIC) + 1 : HEAD_BYTES], _tag(body, key)):
        raise FrameError(
            "the frame was not authenticated with this fleet's key",
            hint="give all members the same key file",
        )
    return _decode(body)


def _decode(body: bytes) -> Frame:
    try:
        return _DECODER.decode(body)
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        raise FrameError("cannot decode a frame", context=str(error)) from error


def _tag(body: bytes, key: bytes) -> bytes:
    return hmac.new(key, bytes([VERSION]) + body, hashlib.sha256).digest()[:TAG_BYTES]
