"""Check that only intact, authentic frames are accepted."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import MAX_FRAME_BYTES
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.frames import decode_frame
from pimentobend_adapters._internal.links.frames import encode_frame
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.follower_messages import Deltas
from pimentobend_core._internal.consensus.codec import encode_envelope
from pimentobend_core._internal.consensus.constants import COMMAND_BYTES
from pimentobend_core._internal.consensus.entries import Entry
from pimentobend_core._internal.consensus.messages import AppendEntries

KEY = b"k" * 16
FRAME = Frame("127.0.0.1:1", "kind", b"payload")
ENCODED_FRAME = encode_frame(FRAME, KEY)

BAD_FRAMES = [
    ("empty", b"", "size"),
    ("short", ENCODED_FRAME[:20], "size"),
    ("too large", ENCODED_FRAME + b"x" * MAX_FRAME_BYTES, "size"),
    ("not a frame", b"GET / HTTP/1.1\r\n" + ENCODED_FRAME, "not a frame"),
    ("next version", ENCODED_FRAME[:3] + b"\x02" + ENCODED_FRAME[4:], "version"),
    ("cut", ENCODED_FRAME[:-1], "key"),
    ("flipped bit", ENCODED_FRAME[:-1] + bytes([ENCODED_FRAME[-1] ^ 1]), "key"),
    ("another key", encode_frame(FRAME, b"j" * 16), "key"),
]


@pytest.mark.parametrize(
    ("data", "message"), [c[1:] for c in BAD_FRAMES], ids=[c[0] for c in BAD_FRAMES]
)
def test_bad_frames_are_refused(data: bytes, message: str) -> None:
    with pytest.raises(FrameError, match=message):
        decode_frame(data, KEY)


LARGEST = b"x" * COMMAND_BYTES
CARRIERS = [
    (
        "replication",
        encode_envelope(
            "a" * 256, "b" * 256, AppendEntries(1, 1, 1, (Entry(1, 2, LARGEST),), 1, 0)
        ),
    ),
    # A delta has about the size of the command that it arrives in.
    ("spread", encode(Deltas(())) + LARGEST + b"x" * 256),
]


@pytest.mark.parametrize(
    "payload", [c[1] for c in CARRIERS], ids=[c[0] for c in CARRIERS]
)
def test_the_largest_command_fits_into_a_frame(payload: bytes) -> None:
    """Guard against a change that is in the leader's log and can never leave it."""
    data = encode_frame(Frame("a" * 256, "kind", payload), KEY)
    assert decode_frame(data, KEY).payload == payload


@given(strategies.text(), strategies.text(), strategies.binary())
@settings(derandomize=True)
def test_frames_round_trip(sender: str, kind: str, payload: bytes) -> None:
    frame = Frame(sender, kind, payload)
    assert decode_frame(encode_frame(frame, KEY), KEY) == frame


@given(strategies.binary(max_size=200))
@settings(derandomize=True)
def test_any_bytes_are_refused_cleanly(data: bytes) -> None:
    with pytest.raises(FrameError):
        decode_frame(data, KEY)
