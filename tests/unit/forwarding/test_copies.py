"""Check what a host tells of an attempt that is sent to it once more.

Guards against a decline of a copy whose first one runs: its origin takes that for the
promise that the request has not run, and sends it to another server.
"""

from collections.abc import Callable

import eventlet
import pytest
from hop_harness import PROCESS
from hop_harness import SERVER
from hop_harness import HopHarness

from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_adapters._internal.memory import Reservation
from pimentobend_core._internal.memory.budget import REQUEST_BYTES
from pimentobend_core._internal.memory.budget import MemoryTerms
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.server import ServerState

HOLD_S = 0.4
CHANGES_AT_S = 0.05
BREAKS_AT_S = 0.1
BODY_BYTES = 4
MEMORY = MemoryTerms(reserved_bytes=10 * REQUEST_BYTES, server_bytes=BODY_BYTES)


class Host:
    """A host daemon that is brought to decline attempts."""

    def __init__(self) -> None:
        self.memory = MemoryOwner(MEMORY)
        self.harness = HopHarness(HOLD_S, memory=self.memory)
        self.reserved: Reservation | None = None

    def fill_memory(self) -> None:
        """Reserve all memory for others."""
        self.reserved = self.memory.open()
        self.reserved.change(int(MEMORY.reserved_bytes))

    def fill_server(self) -> None:
        """Do nothing: the first attempt has filled its server."""

    def stop(self) -> None:
        """Begin a planned stop."""
        self.harness.host.start_draining(self.harness.clock.now())

    def drain_server(self) -> None:
        """Let the server report that it is leaving."""
        draining = SERVER._replace(state=ServerState.DRAINING)
        self.harness.host.update_server(draining)

    def remove_server(self) -> None:
        """Let the server leave."""
        self.harness.host.remove_server(SERVER.server_id)


CHANGES: dict[str, Callable[[Host], None]] = {
    "no memory": Host.fill_memory,
    "no room at the server": Host.fill_server,
    "the daemon stops": Host.stop,
    "the server drains": Host.drain_server,
    "the server has left": Host.remove_server,
}


@pytest.mark.parametrize("change", CHANGES.values(), ids=CHANGES)
def test_a_copy_gets_the_outcome_of_the_first_one(
    change: Callable[[Host], None],
) -> None:
    host = Host()
    harness = host.harness
    harness.proxy.breaks_after = [BREAKS_AT_S]
    first = eventlet.spawn(harness.run, "1")
    eventlet.sleep(CHANGES_AT_S)
    change(host)
    declined = harness.run("2")
    assert declined.kind is AttemptKind.DECLINED
    assert first.wait().kind is AttemptKind.ANSWERED
    assert harness.calls.runs == ["1"]


@pytest.mark.parametrize("change", [Host.fill_memory, Host.fill_server])
def test_a_copy_on_its_way_does_not_run_after_a_decline(
    change: Callable[[Host], None],
) -> None:
    """Guards against a first copy that is read only after a second one was declined."""
    host = Host()
    harness = host.harness
    first = eventlet.spawn(harness.run, "1")
    eventlet.sleep(CHANGES_AT_S)
    change(host)
    assert harness.run("2").kind is AttemptKind.DECLINED
    first.wait()
    if host.reserved is not None:
        host.reserved.release()
    assert harness.run("2").kind is AttemptKind.DECLINED
    assert harness.run("3").kind is AttemptKind.ANSWERED
    assert harness.calls.runs == ["1", "3"]


def test_another_process_says_so_whatever_its_memory() -> None:
    """Guards against a "not run" of a process that cannot know of the first copy."""
    host = Host()
    host.fill_memory()
    result = host.harness.run("1", PROCESS + 1)
    assert dict(result.headers)["reason"] == "wrong-process"
