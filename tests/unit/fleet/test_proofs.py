"""Test what a daemon tells its requests and its readiness probe about its proof."""

import eventlet
import pytest
from fake_ports import FakeClock
from no_link import NoLink

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.exposition import CounterTable
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.proof_messages import Proof
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Tables
from pimentobendd._internal.fleet import proof_in_force
from pimentobendd._internal.fleet.proof_in_force import ProofInForce
from pimentobendd._internal.fleet.proofs import FleetProofs
from pimentobendd._internal.fleet.proofs import ProofPorts
from pimentobendd._internal.tables import TablesInForce

LIMIT_S = 4.5
SPELL_S = 0.05  # in place of MAX_SPELL_S
VERSION = Version(3, 8)
ORGANISATIONS = (Organisation("org", ("key",)),)


@pytest.mark.parametrize(
    ("is_instance", "organisations", "is_ready"),
    [(True, ORGANISATIONS, False), (True, (), True), (False, ORGANISATIONS, True)],
    ids=["unproven", "no-organisations", "a-control-instance-admits-no-requests"],
)
def test_only_a_daemon_that_refuses_requests_is_not_ready(
    is_instance: bool, organisations: tuple[Organisation, ...], is_ready: bool
) -> None:
    """Guards against control instances that are replaced as never ready."""
    tables = TablesInForce()
    tables.put(Tables(3, 8, (), (), organisations=organisations))
    ports = ProofPorts(
        link=NoLink(),
        tables=tables,
        control=None,
        is_instance=is_instance,
        counters=CounterTable(),
        on_newer=lambda _: None,
        clock=HubClock(),
    )
    assert FleetProofs(5.0, ports).is_ready() is is_ready


def make_proof(boot_clock: FakeClock, age_s: float) -> Proof:
    return Proof(VERSION, boot_clock.time - age_s, "c")


@pytest.mark.parametrize(
    ("age_s", "later_s", "is_proven"),
    [(0.0, 4.4, True), (0.0, 4.5, False), (4.5, 0.0, False), (1.0, 600.0, False)],
    ids=["valid", "at-the-limit", "put-too-late", "suspended"],
)
def test_a_proof_is_valid_until_its_age_reaches_the_limit(
    age_s: float, later_s: float, is_proven: bool
) -> None:
    """Guards against a proof that is taken for valid because no task has run since."""
    boot_clock = FakeClock()
    in_force = ProofInForce(LIMIT_S, boot_clock, HubClock())
    assert not in_force.is_proven()
    in_force.put(make_proof(boot_clock, age_s))
    boot_clock.time += later_s
    assert in_force.is_proven() is is_proven


@pytest.mark.parametrize(
    ("age_s", "is_proven"), [(0.0, True), (9.0, False)], ids=["valid", "too-old"]
)
def test_requests_wait_for_the_next_valid_proof(age_s: float, is_proven: bool) -> None:
    """Guards against requests that are not woken, or woken by a proof of no use."""
    boot_clock = FakeClock()
    in_force = ProofInForce(LIMIT_S, boot_clock, HubClock())
    waiters = [eventlet.spawn(in_force.await_proof, 0.2) for _ in range(3)]
    eventlet.sleep(0.01)
    in_force.put(make_proof(boot_clock, age_s))
    eventlet.sleep(0)
    assert [each.dead for each in waiters] == [is_proven] * 3
    assert [each.wait() for each in waiters] == [is_proven] * 3


def test_later_requests_of_a_spell_are_refused_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a cut-off daemon that holds each request, also the second time."""
    monkeypatch.setattr(proof_in_force, "MAX_SPELL_S", SPELL_S)
    boot_clock, clock = FakeClock(), HubClock()
    in_force = ProofInForce(LIMIT_S, boot_clock, clock)
    for _ in range(2):
        started = clock.now()
        assert not in_force.await_proof(1.0)
        assert SPELL_S <= clock.now() - started < 0.5
        started = clock.now()
        assert not in_force.await_proof(1.0)
        assert clock.now() - started < SPELL_S
        in_force.put(make_proof(boot_clock, 0.0))
        assert in_force.await_proof(1.0)
        boot_clock.time += LIMIT_S
