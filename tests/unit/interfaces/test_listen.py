"""Check that only one server can listen on an address."""

import pytest
from processes import free_address

from pimentobend_adapters._internal.http.server import Address
from pimentobend_adapters._internal.http.server import HttpServer
from pimentobend_adapters._internal.http.server import ListenError


def test_a_second_server_on_an_address_is_refused() -> None:
    host, _, port = free_address().rpartition(":")
    address = Address(host, int(port))
    server = HttpServer(address, lambda environ, start_response: [])
    server.start()
    with pytest.raises(ListenError):
        HttpServer(address, lambda environ, start_response: [])
    server.close()
