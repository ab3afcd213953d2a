"""Send a daemon pings that cannot come from the server beside it.

Guards against one ping of another writer that takes a sound server out of work.
"""

import json
import pathlib
import urllib.request
from collections.abc import Iterator

import pytest
from platform_fleet import Fleet
from platform_fleet import run_fleet
from platform_fleet import wait_until

REQUESTS = 20


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    with run_fleet(tmp_path) as running:
        yield running


@pytest.mark.parametrize("service", ["no-such-service", "", "بکنگ"])
def test_a_ping_of_an_unknown_service_leaves_the_server_in_use(
    fleet: Fleet, service: str
) -> None:
    first, second = fleet.instances
    assert first.server is not None
    assert second.server is not None
    second.server.state = "draining"
    wait_until(lambda: second.server.beat() == 200, "the other server is draining")
    ping = first.server.make_heartbeat()
    document = json.loads(ping.data or b"")
    document["info"]["service"] = service
    document["born"] += 1
    url = ping.full_url.replace(first.server.server_id, "i-other")
    data = json.dumps(document).encode()
    assert first.server.send(urllib.request.Request(url, data, method="PUT")) == 0
    assert "event='announcement-refused'" in first.log()
    assert first.server.beat() == 200
    for number in range(REQUESTS):
        request_id = f"after-{number}"
        assert first.request("/book/1", "POST", request_id).status == 200
        assert request_id in first.server.ran
