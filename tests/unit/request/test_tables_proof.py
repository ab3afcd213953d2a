"""Test which requests are refused while the tables are unproven."""

from collections.abc import Callable

import pytest
from fake_ports import FakeClock
from returns.result import Failure
from returns.result import Success

from pimentobend_adapters._internal.http.bodies import BufferedBody
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.ports import ProofPort
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.request.route import RouteFilter
from pimentobend_core._internal.request.stages import Routed
from pimentobend_core._internal.request.tables_proof import TablesProofFilter

KEYED = Route("keyed", "*", "/", (), "p", True, 1000)
OPEN = KEYED._replace(name="open", allow_anonymous=True)
HEAD = RequestHead("id", "GET", "h", "/", "", (), "", None, 100.0, 108.0)
LOCAL = HEAD._replace(is_local=True)
WITH_KEY = HEAD._replace(api_key_digest=b"digest")
LOCAL_WITH_KEY = LOCAL._replace(api_key_digest=b"digest")
ORGANISATIONS = (Organisation("org", ("key",)),)
TABLES = Tables(1, 2, (KEYED,), (), organisations=ORGANISATIONS)


class OneRoute(TablesPort):
    """Tables that match every request with their only route, if they have one."""

    def __init__(self, tables: Tables) -> None:
        self.tables = tables

    def match(self, head: RequestHead) -> Route | None:
        return self.tables.routes[0] if self.tables.routes else None

    def current(self) -> Tables:
        return self.tables

    def find_organisation(self, key_digest: bytes) -> Organisation | None:
        return None


class SetProof(ProofPort):
    """A proof that a test sets; ``on_wait`` runs while a request waits."""

    def __init__(self, is_valid: bool) -> None:
        self.is_valid = is_valid
        self.waits: list[float] = []
        self.on_wait: Callable[[], None] = lambda: None

    def is_proven(self) -> bool:
        return self.is_valid

    def await_proof(self, timeout_s: float) -> bool:
        self.waits.append(timeout_s)
        self.on_wait()
        return self.is_valid


def make_filter(proof: SetProof, tables: OneRoute) -> TablesProofFilter:
    return TablesProofFilter(
        proof, tables, RouteFilter(tables), FakeClock(), draw=lambda: 0.5
    )


def routed(head: RequestHead, route: Route) -> Routed:
    return Routed(head, BufferedBody(b""), route, route.pool)


@pytest.mark.parametrize(
    ("head", "route", "organisations", "is_proven", "is_refused"),
    [
        (WITH_KEY, KEYED, ORGANISATIONS, False, True),
        (HEAD, KEYED, ORGANISATIONS, False, True),
        (LOCAL_WITH_KEY, KEYED, ORGANISATIONS, False, True),
        (WITH_KEY, KEYED, ORGANISATIONS, True, False),
        (LOCAL, KEYED, ORGANISATIONS, False, False),
        (HEAD, OPEN, ORGANISATIONS, False, False),
        (WITH_KEY, OPEN, ORGANISATIONS, False, True),
        (WITH_KEY, KEYED, (), False, True),
        (HEAD, KEYED, (), False, False),
    ],
    ids=[
        "a-key",
        "no-key-where-one-is-needed",
        "a-key-from-this-machine",
        "a-key-with-a-proof",
        "a-call-of-a-server-on-this-machine",
        "an-anonymous-route",
        "a-key-on-an-anonymous-route",
        "a-key-without-organisations",
        "no-organisations",
    ],
)
def test_requests_that_need_a_key_need_a_proof(
    head: RequestHead,
    route: Route,
    organisations: tuple[Organisation, ...],
    is_proven: bool,
    is_refused: bool,
) -> None:
    """Guards against revoked keys on cut-off daemons, and other requests refused."""
    proof = SetProof(is_proven)
    tables = OneRoute(TABLES._replace(routes=(route,), organisations=organisations))
    value = routed(head, route)
    result = make_filter(proof, tables).apply(value)
    assert isinstance(result, Failure) is is_refused
    assert proof.waits == [1.0] * is_refused
    if isinstance(result, Failure):
        refusal = result.failure()
        assert refusal[:3] == (503, Ran.NOT_RUN, RefusalReason.TABLES_UNPROVEN)
        assert refusal.retry_after_s == 0.75
    else:
        assert result == Success(value)


@pytest.mark.parametrize(("left_s", "wait_s"), [(100.0, 1.0), (2.0, 0.5), (0.0, 0.0)])
def test_a_request_waits_for_a_quarter_of_its_time(
    left_s: float, wait_s: float
) -> None:
    """Guards against waits that use up the time in which a request could run."""
    proof = SetProof(False)
    head = WITH_KEY._replace(deadline=100.0 + left_s)
    make_filter(proof, OneRoute(TABLES)).apply(routed(head, KEYED))
    assert proof.waits == [wait_s]


NEWER = TABLES._replace(log_index=3)


@pytest.mark.parametrize(
    ("newer", "is_proven", "expected"),
    [
        (NEWER, True, KEYED),
        (NEWER, False, RefusalReason.TABLES_UNPROVEN),
        (NEWER._replace(routes=(OPEN,)), False, OPEN),
        (NEWER._replace(organisations=()), False, RefusalReason.TABLES_UNPROVEN),
        (NEWER._replace(organisations=()), True, KEYED),
        (NEWER._replace(routes=()), True, RefusalReason.NO_ROUTE),
    ],
    ids=[
        "proven",
        "unproven",
        "the-route-became-anonymous",
        "the-organisations-went-unproven",
        "the-organisations-went",
        "the-route-went",
    ],
)
def test_a_request_that_waited_is_routed_by_the_newer_tables(
    newer: Tables, is_proven: bool, expected: Route | RefusalReason
) -> None:
    """Guards against a request that runs by a route of tables that are replaced."""
    proof, tables = SetProof(False), OneRoute(TABLES)
    is_anonymous = newer.routes == (OPEN,)

    def replace() -> None:
        tables.tables = newer
        proof.is_valid = is_proven

    proof.on_wait = replace
    result = make_filter(proof, tables).apply(
        routed(HEAD if is_anonymous else WITH_KEY, KEYED)
    )
    found = (
        result.failure().reason
        if isinstance(result, Failure)
        else result.unwrap().route
    )
    assert found == expected
