"""Check that a retry waits for the budget that other requests earn at the start.

Guards against failures that callers see in the first moments of an instance, though
other servers answer.
"""

import eventlet
import pytest

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.retries import WaitingRetries
from pimentobend_core._internal.traffic.retries import REFUSED_RETRY_COST
from pimentobend_core._internal.traffic.retries import RETRY_SHARE

FULL = round(1 / RETRY_SHARE)  # successes that pay for a retry
REFUSED = round(REFUSED_RETRY_COST / RETRY_SHARE + 0.5)
CASES = [  # name, of a refused request, successes before and after, counted, allowed
    ("no success", False, 0, 0, False, False),
    ("successes that follow", False, 0, FULL, False, True),
    ("some before, some after", False, FULL - 1, 1, False, True),
    ("too few", False, 0, FULL - 1, False, False),
    ("a refusal", True, 0, REFUSED, False, True),
    ("counted, where the minimum rate counts", False, 0, FULL, True, False),
]


@pytest.mark.parametrize(
    ("is_refused", "before", "after", "is_counted", "is_allowed"),
    [c[1:] for c in CASES],
    ids=[c[0] for c in CASES],
)
def test_a_retry_waits_for_successes(
    is_refused: bool, before: int, after: int, is_counted: bool, is_allowed: bool
) -> None:
    clock = HubClock()
    retries = WaitingRetries(clock)
    if is_counted:
        retries.update_instances(1_000, clock.now())
    for _ in range(before):
        retries.succeeded("p", clock.now())
    ask = retries.may_retry_refused if is_refused else retries.may_retry
    waiting = eventlet.spawn(ask, "p", clock.now())
    eventlet.sleep(0)
    retries.succeeded("other", clock.now())
    for _ in range(after):
        retries.succeeded("p", clock.now())
    assert waiting.wait() is is_allowed
