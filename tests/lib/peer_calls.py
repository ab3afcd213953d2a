"""Send attempts to a stand-in for another daemon."""

from typing import Any

import eventlet
from kept_connection import ScriptedServer

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.host import LocalAttempt
from pimentobend_adapters._internal.forwarding.peers import PeerClient
from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.models.request import RequestHead


def run_at_peer(raw: ScriptedServer, wait_s: float) -> tuple[int, bytes]:
    """Send an attempt to another daemon; return its answer's status and body."""
    link: Any = None
    clock = HubClock()
    deadline = clock.now() + wait_s
    head = RequestHead("1", "POST", "h", "/x", "", (), "", None, 0.0, deadline)
    submit = Submit("1", "s", "r", 1, False, 1.0, deadline, "1")
    version, port = RowVersion(1, 0), raw.server.port
    peer = PeerRow("127.0.0.1:1", version, 7, "a", "r", False, port, False, ())
    attempt = LocalAttempt(submit, head, BufferedBody(b""))
    with eventlet.Timeout(wait_s):
        result = PeerClient(clock, link).run(peer, attempt)
    assert result.body is not None, result.kind
    return result.status, b"".join(result.body.chunks())
