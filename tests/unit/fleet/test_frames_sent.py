"""Check that sent frames are reported with their kind and size, for the metrics."""

import eventlet
import pytest

from pimentobend_adapters._internal.links.datagrams import MAX_DATAGRAM_BYTES
from pimentobend_adapters._internal.links.datagrams import DatagramLink
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.frames import FrameError
from pimentobend_adapters._internal.tasks import CallOutlet

KEY = b"key"


@pytest.mark.parametrize("payload_bytes", [0, 100, MAX_DATAGRAM_BYTES * 3])
def test_frame_is_reported_with_kind_and_size(payload_bytes: int) -> None:
    sent: list[tuple[str, int]] = []
    errors: list[FrameError] = []
    link = DatagramLink(
        "127.0.0.1:0",
        KEY,
        CallOutlet[Frame](lambda frame: None),
        errors.append,
        lambda kind, frame_bytes: sent.append((kind, frame_bytes)),
    )
    link.send("127.0.0.1:9", "gossip", bytes(payload_bytes))
    eventlet.sleep(0)
    link.close()
    ((kind, frame_bytes),) = sent
    assert kind == "gossip"
    assert payload_bytes < frame_bytes < payload_bytes + 100
