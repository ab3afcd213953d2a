"""Test what a host does about a server that crashes and what ran on it."""

import pytest

from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import ReportsChanged
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.forwarding.host import CRASHED_S
from pimentobend_core._internal.forwarding.host import ServerHost
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import CallEnded
from pimentobend_core._internal.forwarding.messages import CallJudged
from pimentobend_core._internal.forwarding.messages import Declined
from pimentobend_core._internal.forwarding.messages import DeclineReason
from pimentobend_core._internal.forwarding.messages import EndKind
from pimentobend_core._internal.forwarding.messages import HostInput
from pimentobend_core._internal.forwarding.messages import HostOutput
from pimentobend_core._internal.forwarding.messages import HostTick
from pimentobend_core._internal.forwarding.messages import ProbeServer
from pimentobend_core._internal.forwarding.messages import ServerListed
from pimentobend_core._internal.forwarding.messages import ServerProbed
from pimentobend_core._internal.forwarding.messages import ServerUnlisted
from pimentobend_core._internal.forwarding.messages import StartCall
from pimentobend_core._internal.forwarding.messages import Submit
from pimentobend_core._internal.forwarding.senders import LocalRuns
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms

SERVER = Server("s", "shop", "10.0.0.1", 80, 2, "a", "r", ServerState.READY, 1)
DRAINING = SERVER._replace(state=ServerState.DRAINING)
BACK = SERVER._replace(incarnation=2)
TERMS = BudgetTerms(ratio=0.2, window_s=10.0, allowance=10.0)
REFUSED = ServerProbed("s", 1, False)
ACCEPTED = ServerProbed("s", 1, True)
TWO_REPORTS = (CrashReport("x-1", "f", 1, 1800), CrashReport("y-1", "f", 1, 900))


class Harness:
    """A host with one server of two slots."""

    def __init__(self) -> None:
        self.host = ServerHost(7, TERMS)
        self.now = 0.0
        self.give(ServerListed(SERVER))

    def give(self, *messages: HostInput) -> list[HostOutput]:
        outputs: list[HostOutput] = []
        for message in messages:
            self.now += 0.001
            outputs.extend(self.host.handle(message, self.now))
        return [each for each in outputs if not isinstance(each, LocalRuns)]

    def submit(
        self, name: str, fingerprint: str, reports: tuple[CrashReport, ...] = ()
    ) -> list[HostOutput]:
        deadline = self.now + 10.0
        submit = Submit(name, "s", "r", 1, True, 1.0, deadline, name)
        return self.give(
            submit._replace(fingerprint=fingerprint, crash_reports=reports)
        )


def of(kind: type, outputs: list[HostOutput]) -> list[HostOutput]:
    return [each for each in outputs if isinstance(each, kind)]


def broken(name: str) -> CallEnded:
    return CallEnded(name, EndKind.BROKEN)


def test_a_crash_is_blamed_on_what_ran_and_nobody_waits_for_the_server() -> None:
    harness = Harness()
    harness.submit("1", "f")
    harness.submit("2", "g")
    harness.submit("3", "h")
    assert of(ProbeServer, harness.give(broken("1"))) != []
    assert harness.give(broken("2")) == [], "one probe at a time, and no verdict yet"
    outputs = harness.give(REFUSED)
    assert of(ServerCrashed, outputs) == [ServerCrashed("s", ("f", "g"))]
    judged = of(CallJudged, outputs)
    assert [each[0] for each in judged] == ["1", "2"]
    assert all([report.weight for report in each[1]] == [1] for each in judged)
    assert all(each[2] == 0.0 for each in judged), "never blocked by a single crash"
    assert of(Declined, outputs) == [Declined("3", DeclineReason.NO_SERVER)]
    assert of(ReportsChanged, outputs) != []
    (bids,) = harness.give(Ask(1, "shop", "r"))
    assert bids[2] == ()
    harness.now += CRASHED_S
    (bids,) = harness.give(Ask(2, "shop", "r"))
    assert bids[2] != ()


@pytest.mark.parametrize(
    "messages",
    [
        [ACCEPTED, ACCEPTED],
        [ServerUnlisted("s")],
        [ServerListed(DRAINING), ACCEPTED, ACCEPTED],
    ],
    ids=["goes-on", "left", "drains"],
)
def test_a_break_alone_blames_nobody(messages: list[HostInput]) -> None:
    harness = Harness()
    harness.submit("1", "f")
    outputs = harness.give(broken("1"), *messages)
    assert of(ServerCrashed, outputs) == []
    assert of(CallJudged, outputs) == [CallJudged("1", (), 0.0)]


@pytest.mark.parametrize("kind", [EndKind.FAILED, EndKind.GIVEN_UP, EndKind.REFUSED])
def test_other_ends_are_not_checked(kind: EndKind) -> None:
    harness = Harness()
    harness.submit("1", "f")
    outputs = harness.give(CallEnded("1", kind))
    assert of(ProbeServer, outputs) == of(CallJudged, outputs) == []


def test_a_server_that_drains_has_not_crashed() -> None:
    harness = Harness()
    harness.submit("1", "f")
    outputs = harness.give(ServerListed(DRAINING), broken("1"))
    assert outputs == [CallJudged("1", (), 0.0)]


def test_a_new_life_of_the_server_confirms_the_crash() -> None:
    harness = Harness()
    harness.submit("1", "f")
    harness.submit("2", "g")
    outputs = harness.give(broken("1"), ServerListed(BACK))
    assert of(ServerCrashed, outputs) == [ServerCrashed("s", ("f", "g"))]
    assert [each[0] for each in of(CallJudged, outputs)] == ["1"]
    # The other call breaks a little later, when the new life has taken over.
    late = harness.give(broken("2"), REFUSED)
    assert of(ServerCrashed, late) == []
    assert [each[0] for each in of(CallJudged, late)] == ["2"]


def test_a_call_that_breaks_late_is_not_a_second_crash() -> None:
    harness = Harness()
    harness.submit("1", "f")
    harness.submit("2", "g")
    harness.give(broken("1"), REFUSED)
    harness.now += 5.0
    outputs = harness.give(broken("2"))
    (judged,) = outputs
    assert isinstance(judged, CallJudged)
    assert [report.weight for report in judged.crash_reports] == [1]


def test_a_server_that_resets_a_call_goes_on_with_its_queue() -> None:
    harness = Harness()
    for name in ("1", "2", "3"):
        harness.submit(name, name)
    assert of(StartCall, harness.give(broken("1"))) == []
    outputs = harness.give(ACCEPTED)
    assert [each[0] for each in of(StartCall, outputs)] == ["3"]
    # It ends all the same: what started since is not to blame.
    crashed = of(ServerCrashed, harness.give(REFUSED))
    assert crashed == [ServerCrashed("s", ("1", "2"))]


def test_a_lost_probe_releases_the_call() -> None:
    harness = Harness()
    harness.submit("1", "f")
    harness.give(broken("1"))
    harness.now += 1.0
    assert CallJudged("1", (), 0.0) in harness.give(HostTick())


def test_suspects_run_apart_and_others_beside_them() -> None:
    harness = Harness()
    reports = tuple(CrashReport("x-1", each, 1, 1800) for each in "fg")
    harness.give(ReportsReceived(reports))
    assert of(StartCall, harness.submit("1", "f")) != []
    assert harness.submit("2", "g") == [Declined("2", DeclineReason.SUSPECT)]
    assert of(StartCall, harness.submit("3", "innocent")) != []
    # An answer, even an error of the server's own, shows that the server lives.
    harness.give(CallEnded("1", EndKind.FAILED, has_answered=True))
    assert of(StartCall, harness.submit("4", "g")) != []
    assert of(Declined, harness.submit("5", "f")) == [], "it is cleared"


def test_the_origin_passes_on_what_it_learnt_and_the_next_crash_blocks() -> None:
    harness = Harness()
    harness.submit("1", "innocent")
    assert of(StartCall, harness.submit("2", "f", TWO_REPORTS)) != []
    outputs = harness.give(broken("2"), broken("1"), REFUSED)
    judged = {each[0]: each for each in of(CallJudged, outputs)}
    assert judged["2"][2] > 100.0
    assert len(judged["2"][1]) == 3
    assert judged["1"] == CallJudged("1", (), 0.0), "the neighbour is spared"
    assert of(FingerprintBlocked, outputs) != []
    harness.give(ServerListed(BACK))
    (declined,) = harness.submit("3", "f")
    assert isinstance(declined, Declined)
    assert declined.reason is DeclineReason.CRASHES_SERVERS
    assert declined.blocked_s > 100.0
    assert len(declined.crash_reports) == 3


def test_a_block_reaches_attempts_that_already_wait() -> None:
    harness = Harness()
    for name in ("1", "2"):
        harness.submit(name, f"innocent-{name}")
    assert of(Declined, harness.submit("3", "f")) == []
    harness.give(ReportsReceived((*TWO_REPORTS, CrashReport("z-1", "f", 1, 1800))))
    outputs = harness.give(CallEnded("1", EndKind.GOOD, has_answered=True))
    (declined,) = of(Declined, outputs)
    assert declined[1] is DeclineReason.CRASHES_SERVERS


def test_requests_without_a_fingerprint_do_not_suspect_each_other() -> None:
    harness = Harness()
    harness.submit("1", "")
    harness.submit("2", "")
    harness.give(broken("1"), broken("2"), REFUSED, ServerListed(BACK))
    assert of(StartCall, harness.submit("3", "")) != []
    assert of(StartCall, harness.submit("4", "")) != []
