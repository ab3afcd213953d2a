"""Check that what a process sends to others is counted by kind."""

import eventlet
import pytest

from pimentobend_adapters._internal.links.datagrams import MAX_DATAGRAM_BYTES
from pimentobend_adapters._internal.links.datagrams import DatagramLink
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.frames import FrameError
from pimentobend_adapters._internal.tasks import CallOutlet

KEY = b"key"


@pytest.mark.parametrize("size_bytes", [0, 100, MAX_DATAGRAM_BYTES * 3])
def test_a_frame_is_counted_with_its_size(size_bytes: int) -> None:
    sent: list[tuple[str, int]] = []
    faults: list[FrameError] = []
    link = DatagramLink(
        "127.0.0.1:0",
        KEY,
        CallOutlet[Frame](lambda frame: None),
        faults.append,
        lambda kind, counted: sent.append((kind, counted)),
    )
    link.send("127.0.0.1:9", "gossip", bytes(size_bytes))
    eventlet.sleep(0)
    link.close()
    ((kind, counted),) = sent
    assert kind == "gossip"
    assert size_bytes < counted < size_bytes + 100
