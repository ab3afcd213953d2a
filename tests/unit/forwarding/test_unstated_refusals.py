"""Test what a host learns from answers that promise what their servers did not state.

Their callers get an error, so a server that gives such answers fails its requests.
"""

import eventlet
import pytest
from hop_harness import PROCESS
from hop_harness import SERVER
from hop_harness import TERMS
from hop_harness import WAIT_S
from hop_harness import FakeCalls
from hop_harness import make_attempt

from pimentobend_adapters._internal.clock import HubClock
from pimentobend_adapters._internal.forwarding.answers import BufferedAnswer
from pimentobend_adapters._internal.forwarding.answers import make_attempt_result
from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.tasks import Discard
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import Body


class AnsweringCalls(FakeCalls):
    """Ends each call with the same outcome."""

    def __init__(self, kind: AttemptKind, status: int) -> None:
        super().__init__()
        self._kind = kind
        self._status = status

    def call(
        self, server: Server, head: RequestHead, body: Body, is_repeatable: bool
    ) -> AttemptResult:
        return make_attempt_result(
            self._kind, 0.0, self._status, (), BufferedAnswer(b"ok")
        )


def find_risk(host: HostTasks) -> float:
    bids: list[Bids] = []
    host.ask(Ask(1, SERVER.service, "r"), bids.append)
    with eventlet.Timeout(WAIT_S):
        while not bids:
            eventlet.sleep(0.01)
    (bid,) = bids[0].bids
    return bid.risk


# Outcome of the call, whether the request may be repeated, and what the risk does.
ANSWERS = [
    *((AttemptKind.ANSWERED, status, False, True) for status in (408, 429, 503)),
    (AttemptKind.ANSWERED, 503, True, True),
    (AttemptKind.ANSWERED, 429, True, False),
    (AttemptKind.ANSWERED, 404, False, False),
    (AttemptKind.REFUSED, 503, False, False),
    (AttemptKind.REFUSED, 429, False, False),
]


@pytest.mark.parametrize(("kind", "status", "is_repeatable", "raises_risk"), ANSWERS)
def test_an_unstated_refusal_is_a_failure_of_its_server(
    kind: AttemptKind, status: int, is_repeatable: bool, raises_risk: bool
) -> None:
    calls = AnsweringCalls(kind, status)
    host = HostTasks(PROCESS, TERMS, calls, HubClock(), Discard())
    host.start()
    host.update_server(SERVER)
    before = find_risk(host)
    result = host.run(make_attempt("1", safe=is_repeatable))
    assert (result.kind, result.status) == (kind, status)
    assert (find_risk(host) > before + 0.1) is raises_risk
