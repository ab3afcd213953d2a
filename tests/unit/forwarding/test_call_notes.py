"""Test which runs wait for the calls that reach their daemon."""

import pytest

from pimentobend_core._internal.forwarding.call_notes import CallWaits
from pimentobend_core._internal.forwarding.durations import DurationEstimate
from pimentobend_core._internal.forwarding.hosted_server import AttemptRecord
from pimentobend_core._internal.forwarding.hosted_server import HostedServer
from pimentobend_core._internal.forwarding.messages import CallMade
from pimentobend_core._internal.forwarding.messages import CallReturned
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

SERVER = Server("s", "checkout", "127.0.0.1", 1, 8, "a", "r", ServerState.READY, 0)
RUNS = ("old", "middle", "new")


def made(call: str, *runs: str, is_run_known: bool = False) -> CallMade:
    return CallMade("passbook", ("purchase",), runs, call, is_run_known)


# Name, what is reported, and the runs that then wait.
NOTES = [
    ("the longest run", [made("1", *RUNS)], {"old"}),
    ("two calls", [made("1", *RUNS), made("2", *RUNS)], {"old", "middle"}),
    ("a call that ended", [made("1", *RUNS), CallReturned("1")], set()),
    (
        "the first of two ended",
        [made("1", *RUNS), made("2", *RUNS), CallReturned("1")],
        {"middle"},
    ),
    ("the run that ends with the call", [made("1", "new", is_run_known=True)], {"new"}),
    (
        "two calls of one run",
        [
            made("1", "new", is_run_known=True),
            made("2", "new", is_run_known=True),
            CallReturned("1"),
        ],
        {"new"},
    ),
    ("more calls than runs", [made(str(n), *RUNS) for n in range(5)], set(RUNS)),
    ("a run that has ended", [made("1", "gone", "new")], {"new"}),
    ("an unknown call ends", [CallReturned("1")], set()),
]


@pytest.mark.parametrize(
    ("messages", "waiting"), [n[1:] for n in NOTES], ids=[n[0] for n in NOTES]
)
def test_which_runs_wait(
    messages: list[CallMade | CallReturned], waiting: set[str]
) -> None:
    """Guards against sound servers that are avoided as their runs wait for calls."""
    hosted = HostedServer(SERVER, 0.0)
    records = {}
    for run in RUNS:
        submit = Submit(run, "s", "purchase", 0, False, 0.0, 10.0)
        records[run] = AttemptRecord(submit, 0.0)
        hosted.liveness.record_sent(run, DurationEstimate(1.0).survival, 0.0)
    waits = CallWaits()
    for message in messages:
        waits.note(message, records, {"s": hosted}, 1.0)
    assert {run for run in RUNS if hosted.liveness.is_paused(run)} == waiting
