"""Test how a daemon tells requests of clients from calls of its servers."""

import pytest

from pimentobend_core._internal.forwarding.senders import LocalRun
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.forwarding.senders import RunTracker
from pimentobend_core._internal.forwarding.senders import judge_sender
from pimentobend_core._internal.models.request import Sender

NOW = 100.0
FIRST = LocalRun(0.0, NOW + 0.2, NOW + 3.0)
HUNG = LocalRun(0.0, NOW - 1.0, NOW + 3.0)
REPEAT = LocalRun(1.0, NOW + 0.2, NOW + 3.0)
SLOW_REPEAT = LocalRun(1.0, NOW - 1.0, NOW + 3.0)
CALL = LocalRun(0.25, NOW + 0.2, NOW + 3.0)  # of a run that may be a repeat
SHORT = LocalRun(0.0, NOW + 0.2, NOW + 0.5)
CLIENT = Sender(is_client=True)

SENDERS = [
    ("nothing has run", (), float("-inf"), NOW + 0.6, CLIENT),
    ("ends after all runs", (FIRST, REPEAT), NOW + 3.0, NOW + 6.0, CLIENT),
    ("ends with the last run", (REPEAT,), NOW + 3.0, NOW + 3.0, Sender(False, 1.0)),
    ("ends with an earlier run", (), NOW + 3.0, NOW + 0.6, Sender()),
    ("only first attempts run", (FIRST, FIRST), NOW + 3.0, NOW + 0.6, Sender()),
    (
        "one of two is a repeat",
        (FIRST, REPEAT),
        NOW + 3.0,
        NOW + 0.6,
        Sender(False, 0.5),
    ),
    (
        "first attempts that hang",
        (HUNG, HUNG, REPEAT),
        NOW + 3.0,
        NOW,
        Sender(False, 1.0),
    ),
    ("a slow repeat", (FIRST, SLOW_REPEAT), NOW + 3.0, NOW, Sender(False, 0.5)),
    (
        "a run that ends sooner",
        (SHORT, REPEAT),
        NOW + 3.0,
        NOW + 2.0,
        Sender(False, 1.0),
    ),
    ("calls of calls", (FIRST, CALL), NOW + 3.0, NOW, Sender(False, 0.125)),
]


@pytest.mark.parametrize(
    ("runs", "latest", "deadline", "sender"),
    [case[1:] for case in SENDERS],
    ids=[case[0] for case in SENDERS],
)
def test_sender(
    runs: tuple[LocalRun, ...], latest: float, deadline: float, sender: Sender
) -> None:
    assert judge_sender(LocalRuns(runs, latest), deadline, NOW) == sender


def test_the_latest_deadline_outlasts_its_run() -> None:
    tracker = RunTracker()
    tracker.begin("1", FIRST)
    tracker.begin("2", SHORT)
    assert tracker.take_change() == (LocalRuns((FIRST, SHORT), NOW + 3.0),)
    tracker.end("1")
    assert tracker.take_change() == (LocalRuns((SHORT,), NOW + 3.0),)
    assert tracker.take_change() == ()


PURCHASE = LocalRun(0.0, NOW + 1.0, NOW + 8.0, "purchase", 2.0, "a1")
OTHER = LocalRun(0.0, NOW + 1.0, NOW + 8.02, "redeem", 1.0, "a2")
BOTH_ROUTES = ("purchase", "redeem")


@pytest.mark.parametrize("is_local", [False, True])
@pytest.mark.parametrize("runs", [(), (PURCHASE,), (PURCHASE, OTHER)])
def test_what_ends_after_all_runs_is_a_clients(
    runs: tuple[LocalRun, ...], is_local: bool
) -> None:
    """Guards against clients on a server's machine that never count as such.

    Their first attempts are what the retry budget grows with.
    """
    local = LocalRuns(runs, NOW + 9.0)
    assert judge_sender(local, NOW + 15.0, NOW, is_local=is_local) == CLIENT


@pytest.mark.parametrize(
    ("runs", "deadline", "is_local", "routes", "attempt_ids", "demand"),
    [
        ((PURCHASE,), NOW + 8.0, True, ("purchase",), ("a1",), 2.0),
        ((PURCHASE,), NOW + 8.03, True, ("purchase",), ("a1",), 2.0),
        ((PURCHASE,), NOW + 8.0, False, (), (), 1.0),
        ((PURCHASE,), NOW + 7.9, False, (), (), 1.0),
        ((PURCHASE, OTHER), NOW + 8.02, True, BOTH_ROUTES, ("a1", "a2"), 1.5),
        ((FIRST,), NOW + 3.0, True, (), (), 1.0),
        ((PURCHASE, OTHER), NOW + 4.0, True, BOTH_ROUTES, ("a1", "a2"), 1.5),
        ((PURCHASE, OTHER), NOW + 8.0, True, ("purchase",), ("a1",), 2.0),
        ((PURCHASE,), NOW + 8.1, True, (), (), 1.0),
    ],
    ids=[
        "exact",
        "delayed",
        "a-client-that-ends-with-a-run",
        "a-client",
        "two-runs",
        "unmatched",
        "less-time",
        "exact-for-one-of-two",
        "after-all-runs",
    ],
)
def test_the_runs_that_make_a_call(
    runs: tuple[LocalRun, ...],
    deadline: float,
    is_local: bool,
    routes: tuple[str, ...],
    attempt_ids: tuple[str, ...],
    demand: float,
) -> None:
    """Guards against calls that are counted for runs that did not make them."""
    local = LocalRuns(runs, NOW + 9.0)
    sender = judge_sender(local, deadline, NOW, is_local=is_local)
    assert sender.calling_routes == routes
    assert sender.calling_runs == attempt_ids
    assert sender.is_call == bool(routes)
    assert sender.demand == demand
