"""Test which ends of a daemon's own attempts are crashes, and whom they blame."""

from typing import NamedTuple

import pytest
from fake_ports import make_server

from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.messages import CrashTick
from pimentobend_core._internal.crashes.messages import ReportsChanged
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.observer import CRASHES_KEPT_S
from pimentobend_core._internal.crashes.observer import SAME_CRASH_S
from pimentobend_core._internal.crashes.observer import CrashObserver
from pimentobend_core._internal.crashes.observer_messages import CrashSeen
from pimentobend_core._internal.crashes.observer_messages import EndWeighed
from pimentobend_core._internal.crashes.observer_messages import ObserverInput
from pimentobend_core._internal.crashes.observer_messages import ObserverOutput
from pimentobend_core._internal.crashes.observer_messages import ReadyServers
from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.crashes.observer_messages import RunEnded
from pimentobend_core._internal.crashes.observer_messages import RunOutcome
from pimentobend_core._internal.crashes.observer_messages import RunStarted
from pimentobend_core._internal.crashes.suspects import REPORT_S

READY = ReadyServers("p", frozenset({"s1", "s2", "s3"}))
DRAINED = ReadyServers("p", frozenset({"s2", "s3"}))
# The crash of s1 that other daemons saw, too.
CLEARED = ReportsReceived((CrashReport("s1.1-1", "f", 0, REPORT_S),))
OTHER_POOL = ReadyServers("q", frozenset({"s1"}))


def run(ticket: int, fingerprint: str, server: str, incarnation: int = 1) -> Run:
    row = make_server(server)._replace(incarnation=incarnation)
    return Run(ticket, fingerprint, row)


def start(
    ticket: int, fingerprint: str, server: str = "s1", incarnation: int = 1
) -> RunStarted:
    one = run(ticket, fingerprint, server, incarnation)
    return RunStarted(one, f"GET /{fingerprint}")


def crash(
    ticket: int, fingerprint: str, server: str = "s1", incarnation: int = 1
) -> RunEnded:
    one = run(ticket, fingerprint, server, incarnation)
    return RunEnded(one, RunOutcome.SERVER_ENDED)


def end(ticket: int, fingerprint: str, outcome: RunOutcome) -> RunEnded:
    return RunEnded(run(ticket, fingerprint, "s1"), outcome)


def weights(observer: CrashObserver) -> object:
    return observer.dump()["suspects"]


def play(
    messages: tuple[tuple[float, ObserverInput], ...],
) -> tuple[CrashObserver, list[ObserverOutput]]:
    observer = CrashObserver("a")
    outputs: list[ObserverOutput] = []
    for now, message in messages:
        outputs.extend(observer.handle(message, now))
    return observer, outputs


class Case(NamedTuple):
    """What happened, and the weights that it leaves."""

    name: str
    messages: tuple[tuple[float, ObserverInput], ...]
    weights: dict[str, int]


CASES = [
    Case(
        "others may have run beside", ((0, start(1, "f")), (1, crash(1, "f"))), {"f": 1}
    ),
    Case(
        "all that ran there",
        ((0, start(1, "f")), (0, start(2, "g")), (1, crash(1, "f"))),
        {"f": 1, "g": 1},
    ),
    Case(
        "what ran elsewhere is spared",
        ((0, start(1, "f")), (0, start(2, "g", "s2")), (1, crash(1, "f"))),
        {"f": 1},
    ),
    Case(
        "what had ended is spared",
        (
            (0, start(1, "f")),
            (0, start(2, "g")),
            (0, end(2, "g", RunOutcome.OTHER)),
            (1, crash(1, "f")),
        ),
        {"f": 1},
    ),
    Case(
        "cut off by the same crash",
        (
            (0, start(1, "f")),
            (0, start(2, "f")),
            (1, crash(1, "f")),
            (1 + SAME_CRASH_S / 2, crash(2, "f")),
        ),
        {"f": 1},
    ),
    Case(
        "two lives of a server",
        (
            (0, start(1, "f")),
            (1, crash(1, "f")),
            (4, start(2, "f", "s1", 2)),
            (5, crash(2, "f", "s1", 2)),
        ),
        {"f": 2},
    ),
    Case(
        "a second life that is not announced yet",
        (
            (0, start(1, "f")),
            (1, crash(1, "f")),
            (4, start(2, "f")),
            (5, crash(2, "f")),
        ),
        {"f": 2},
    ),
    Case(
        "a server that was drained",
        ((0, DRAINED), (0, start(1, "f")), (1, crash(1, "f"))),
        {},
    ),
    Case(
        "in use by another pool",
        ((0, OTHER_POOL), (0, DRAINED), (0, start(1, "f")), (1, crash(1, "f"))),
        {"f": 1},
    ),
    Case(
        "no answer, but the server lives",
        ((0, start(1, "f")), (1, end(1, "f", RunOutcome.OTHER))),
        {},
    ),
    Case(
        "answered elsewhere",
        (
            (0, start(1, "f")),
            (1, crash(1, "f")),
            (2, end(2, "f", RunOutcome.SUCCEEDED)),
        ),
        {},
    ),
    Case(
        "failed elsewhere",
        ((0, start(1, "f")), (1, crash(1, "f")), (2, end(2, "f", RunOutcome.OTHER))),
        {"f": 1},
    ),
    Case(
        "cleared by another daemon before this one noticed",
        (
            (0, start(1, "f")),
            (0, start(2, "g")),
            (1, CLEARED),
            (1, crash(1, "f")),
        ),
        {"g": 1},
    ),
    Case(
        "cleared of an earlier crash",
        (
            (0, start(1, "f")),
            (1, CLEARED),
            (1, crash(1, "f", "s1", 2)),
        ),
        {"f": 1},
    ),
    Case("no fingerprint", ((0, start(1, "")), (1, crash(1, ""))), {}),
]


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_crash_blames_what_ran_on_the_server(case: Case) -> None:
    observer, _ = play(((0.0, READY), *case.messages))
    assert weights(observer) == case.weights


def test_each_end_of_a_server_is_answered() -> None:
    messages = ((0, start(1, "f")), (1, crash(1, "f")), (1, crash(2, "g")))
    for first in (READY, DRAINED):
        _, outputs = play(((0.0, first), *messages))
        replies = [each for each in outputs if isinstance(each, EndWeighed)]
        assert replies == [EndWeighed(1), EndWeighed(2)]


def test_crash_is_reported_with_its_requests() -> None:
    _, outputs = play(
        (
            (0, READY),
            (0, start(1, "f")),
            (0, start(2, "g")),
            (0, start(3, "f")),
            (1, crash(1, "f")),
        )
    )
    seen = CrashSeen("s1.1-1", "s1", 3, ("f", "g"), ("GET /f", "GET /g"))
    assert outputs[0] == seen


def test_crash_that_several_daemons_saw_counts_once() -> None:
    # A common request runs on the server through each of three daemons.
    published: list[CrashReport] = []
    for name in ("a", "b", "c"):
        other = CrashObserver(name)
        for message in (READY, start(1, "f"), crash(1, "f")):
            for output in other.handle(message, 0.0):
                if isinstance(output, ReportsChanged):
                    published.extend(output.reports)
    assert len(published) == 3
    observer, _ = play(((0, ReportsReceived(tuple(published))),))
    assert weights(observer) == {"f": 1}


@pytest.mark.parametrize(("weight", "is_cleared"), [(1, False), (2, True)])
def test_only_a_close_block_is_cleared_by_others(weight: int, is_cleared: bool) -> None:
    # All daemons answer a common request; each clearance goes to all daemons.
    report = CrashReport("s9.1-1", "f", weight, REPORT_S)
    succeeded = end(1, "f", RunOutcome.SUCCEEDED)
    observer, outputs = play(((0, ReportsReceived((report,))), (1, succeeded)))
    assert weights(observer) == ({} if is_cleared else {"f": 1})
    published = [each for each in outputs if isinstance(each, ReportsChanged)]
    assert bool(published) is is_cleared


def test_memory_is_given_back() -> None:
    # The end of the second run is never reported.
    observer, _ = play(
        ((0, READY), (0, start(1, "f")), (0, start(2, "", "s2")), (1, crash(1, "f")))
    )
    state = observer.dump()
    assert (state["running"], state["requests"]) == (1, {"f": "GET /f"})
    observer.handle(CrashTick(), REPORT_S + CRASHES_KEPT_S)
    state = observer.dump()
    assert (state["running"], state["requests"], state["suspects"]) == (0, {}, {})
