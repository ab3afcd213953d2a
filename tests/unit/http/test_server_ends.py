"""Test how an attempt tells a server that has ended from a lost answer."""

import socket

from fake_ports import FakeBody
from fake_ports import make_head
from fake_ports import make_server

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.http.backend import BackendClient
from pimentobend_core._internal.models.request import AttemptKind

REMAINING_S = 0.5


def test_server_that_cannot_be_reached_ran_nothing() -> None:
    listener = socket.create_server(("127.0.0.1", 0))
    server = make_server("s")._replace(port=listener.getsockname()[1])
    listener.close()
    clock = HubClock()
    head = make_head()._replace(deadline=clock.now() + REMAINING_S)
    result = BackendClient(clock).send(server, head, FakeBody(), True)
    assert result.kind is AttemptKind.NOT_CONNECTED
