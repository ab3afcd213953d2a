"""Test what a control instance logs about the limits of organisations."""

import pytest
import structlog.testing
from fake_ports import FakeClock
from no_link import NoLink

from pimentobend_adapters._internal.exposition import CounterTable
from pimentobend_core._internal.limits.messages import OverLimitChanged
from pimentobend_core._internal.limits.terms import LimitSettings
from pimentobendd._internal.fleet.token_control import LINES_S
from pimentobendd._internal.fleet.token_control import MAX_LINES
from pimentobendd._internal.fleet.token_control import TokenControl
from pimentobendd._internal.tables import TablesInForce


@pytest.mark.parametrize(
    ("gap_s", "lines", "omitted"),
    [
        (0.0, MAX_LINES - 1, 1),
        (LINES_S / 10, 60, 0),
        (LINES_S / 40, 2 * (MAX_LINES - 1), 2),
    ],
    ids=["all at once", "spread", "two periods"],
)
def test_lines_about_limits_are_bounded_in_total(
    gap_s: float, lines: int, omitted: int
) -> None:
    """Guards against 85,000 lines when demand rises everywhere, and against silence."""
    clock = FakeClock()
    with structlog.testing.capture_logs() as logs:
        control = TokenControl(
            NoLink(), TablesInForce(), LimitSettings(), CounterTable(), clock
        )
        for number in range(60):
            control._handle_owner_output(OverLimitChanged(f"o{number}", is_over=True))
            clock.time += gap_s
    events = [each["event"] for each in logs]
    assert events.count("limit-reached") == lines
    assert events.count("limit-lines-omitted") == omitted
