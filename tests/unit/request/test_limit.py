"""Test which requests wait for a token of their organisation, and their refusals."""

from typing import NamedTuple

import pytest
from fake_ports import FakeBody
from fake_ports import FakeClock
from fake_ports import FakeTables
from fake_ports import make_head
from fake_ports import make_route
from returns.result import Success

from pimentobend_core._internal.limits.messages import Verdict
from pimentobend_core._internal.limits.terms import Limit
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.ports import LimitsPort
from pimentobend_core._internal.ports import Permission
from pimentobend_core._internal.request.limit import LimitFilter
from pimentobend_core._internal.request.stages import Routed

LIMITED = "museum"


class LimitedTables(FakeTables):
    """Tables in which one organisation has a limit."""

    def find_limit(self, organisation: str) -> Limit | None:
        """Return the limit of the one organisation."""
        return Limit(1, 1) if organisation == LIMITED else None


class FakeLimits(LimitsPort):
    """Decides as told and records what it was asked."""

    def __init__(self, permission: Permission) -> None:
        self.asked: list[tuple[str, float]] = []
        self._permission = permission

    def acquire(self, organisation: str, timeout_s: float) -> Permission:
        """Return the decision."""
        self.asked.append((organisation, timeout_s))
        return self._permission


class Case(NamedTuple):
    """A request, the decision, the wait and the refusal, which is None if admitted."""

    name: str
    organisation: str
    left_s: float
    permission: Permission
    wait_s: float | None
    refusal: tuple[int, RefusalReason, float] | None = None


GRANTED = Permission(Verdict.GRANTED)
OVER = Permission(Verdict.OVER_LIMIT, 0.1234)
UNKNOWN = Permission(Verdict.UNKNOWN, 1.0)
CASES = [
    Case("granted", LIMITED, 10.0, GRANTED, 1.0),
    Case("short deadline", LIMITED, 2.0, GRANTED, 0.5),
    Case("over", LIMITED, 10.0, OVER, 1.0, (429, RefusalReason.OVER_LIMIT, 0.13)),
    Case(
        "unknown", LIMITED, 10.0, UNKNOWN, 1.0, (503, RefusalReason.LIMIT_UNKNOWN, 1.0)
    ),
    Case("no limit", "archive", 10.0, OVER, None),
    Case("no organisation", "", 10.0, OVER, None),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_requests_of_limited_organisations_need_a_token(case: Case) -> None:
    """Guards against refusals that ran, and against questions without a limit."""
    clock = FakeClock()
    head = make_head()._replace(deadline=clock.now() + case.left_s)
    route = make_route(repeatable=True)
    routed = Routed(head, FakeBody(), route, "p", organisation=case.organisation)
    limits = FakeLimits(case.permission)
    result = LimitFilter(LimitedTables(route), limits, clock).apply(routed)
    assert limits.asked == ([] if case.wait_s is None else [(LIMITED, case.wait_s)])
    if case.refusal is None:
        assert result == Success(routed)
        return
    refusal = result.failure()
    assert refusal.ran is Ran.NOT_RUN
    found = (refusal.status, refusal.reason, refusal.retry_after_s)
    assert found == case.refusal
