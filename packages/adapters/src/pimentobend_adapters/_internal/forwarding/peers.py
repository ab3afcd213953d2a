"""Send attempts to the daemons on their servers' machines."""

from http.client import HTTPException
from typing import Any
from typing import NamedTuple

import eventlet
from urllib3.exceptions import HTTPError

from pimentobend_adapters._internal.forwarding.answers import make_attempt_result
from pimentobend_adapters._internal.forwarding.answers import read_answer
from pimentobend_adapters._internal.forwarding.hop import RESULT_HEADER
from pimentobend_adapters._internal.forwarding.hop import SUBMIT_HEADER
from pimentobend_adapters._internal.forwarding.hop import HopError
from pimentobend_adapters._internal.forwarding.hop import HopRequest
from pimentobend_adapters._internal.forwarding.hop import decode_result
from pimentobend_adapters._internal.forwarding.hop import encode_hop
from pimentobend_adapters._internal.forwarding.host import LocalAttempt
from pimentobend_adapters._internal.forwarding.peer_front import BROKEN_REQUEST
from pimentobend_adapters._internal.forwarding.peer_front import WRONG_PROCESS
from pimentobend_adapters._internal.forwarding.requests import send_request
from pimentobend_adapters._internal.http.connections import StrictConnection
from pimentobend_adapters._internal.http.headers import find_header
from pimentobend_adapters._internal.http.headers import without_hop_by_hop
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.memory import MemoryOwner
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.forwarding.messages import Withdraw
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.ports import AttemptResult
from pimentobend_core._internal.ports import ClockPort

KIND_WITHDRAW = "withdraw"
CONNECT_TIMEOUT_S = 0.5  # five round trips between regions, with one packet lost
RESEND_MIN_S = 0.05
RESEND_MAX_S = 1.0
MS_PER_S = 1000


class _Sent(NamedTuple):
    """Result of sending an attempt to a daemon once."""

    result: AttemptResult | None  # None if the attempt has to be sent again
    may_have_arrived: bool


class PeerClient:
    """Sends each attempt until its result is known.

    The server's daemon runs an attempt only once, so the attempt is
    sent again on a new connection if the connection breaks.
    """

    def __init__(
        self, clock: ClockPort, link: Transport, memory: MemoryOwner | None = None
    ) -> None:
        self._memory = memory or MemoryOwner()
        self._clock = clock
        self._link = link

    def run(self, peer: PeerRow, attempt: LocalAttempt) -> AttemptResult:
        """Return an attempt's result; killing the caller closes the connection."""
        started = self._clock.now()
        submit = attempt.submit
        may_have_arrived = False
        wait_s = RESEND_MIN_S
        while self._clock.now() < submit.deadline:
            sent = self._send_once(peer, attempt, may_have_arrived)
            if sent.result is not None:
                return sent.result._replace(latency_s=self._clock.now() - started)
            may_have_arrived = may_have_arrived or sent.may_have_arrived
            if not may_have_arrived:
                return self._failed(AttemptKind.NOT_CONNECTED, started)
            if not attempt.body.can_replay:
                break
            eventlet.sleep(wait_s)
            wait_s = min(RESEND_MAX_S, wait_s * 2)
        return self._failed(AttemptKind.NO_ANSWER, started)

    def withdraw(
        self, peer: PeerRow, attempt_id: str, *, only_queued: bool = False
    ) -> None:
        """Tell a daemon that nobody waits for an attempt any more.

        If the frame is lost, the daemon notices the closed connection instead, unless
        the attempt was only recalled, which is repeated.
        """
        payload = encode(Withdraw(attempt_id, only_queued))
        self._link.send(peer.address, KIND_WITHDRAW, payload)

    def _send_once(
        self, peer: PeerRow, attempt: LocalAttempt, is_resent: bool
    ) -> _Sent:
        connection = StrictConnection(
            peer.host, peer.forward_port, timeout=CONNECT_TIMEOUT_S
        )
        is_passed_on = False
        is_complete = False
        has_sent = False
        try:
            connection.connect()
            # urllib3 sets this timeout on the socket again before each request.
            connection.timeout = None
            has_sent = True
            hop = self._make_submit(peer, attempt)
            with eventlet.Timeout(hop.remaining_ms / MS_PER_S, False):
                result, is_passed_on = self._exchange(connection, attempt, hop)
                is_complete = True
                return _Sent(self._judge(result, is_resent), True)
            return _Sent(None, True)
        except (HTTPError, HTTPException, EOFError, OSError, HopError):
            return _Sent(None, has_sent)
        finally:
            if not is_complete:
                # What is still in transit must not reach the daemon and run later.
                connection.abort()
            elif not is_passed_on:
                connection.close()

    def _judge(self, result: AttemptResult, is_resent: bool) -> AttemptResult | None:
        """Return the result of sending an attempt; None if it has to be sent again.

        If the daemon restarted after an earlier copy of the attempt may have
        reached it, that copy may have run.
        """
        if result.kind is AttemptKind.CANCELLED:
            reason = find_header(result.headers, "reason")
            return None if reason == BROKEN_REQUEST else result
        is_wrong_process = find_header(result.headers, "reason") == WRONG_PROCESS
        if is_wrong_process and is_resent:
            return result._replace(kind=AttemptKind.NO_ANSWER)
        return result

    def _exchange(
        self, connection: Any, attempt: LocalAttempt, hop: HopRequest
    ) -> tuple[AttemptResult, bool]:
        own_headers = {SUBMIT_HEADER: encode_hop(hop)}
        response = send_request(connection, attempt.head, attempt.body, own_headers)
        headers = tuple(response.headers.items())
        hop_result = decode_result(find_header(headers, RESULT_HEADER) or "")
        headers = tuple(
            (name, value)
            for name, value in without_hop_by_hop(headers)
            if name.lower() != RESULT_HEADER.lower()
        )
        if hop_result.reason:
            headers = (("reason", hop_result.reason),)
        if hop_result.kind not in (AttemptKind.ANSWERED, AttemptKind.REFUSED):
            result = make_attempt_result(hop_result.kind, 0.0, headers=headers)
            return result._replace(
                crash_reports=hop_result.crash_reports, blocked_s=hop_result.blocked_s
            ), False
        content, is_whole = read_answer(
            response,
            connection,
            self._clock,
            attempt.submit.deadline,
            self._memory,
        )
        result = make_attempt_result(
            hop_result.kind, 0.0, response.status, headers, content
        )
        return result, not is_whole

    def _make_submit(self, peer: PeerRow, attempt: LocalAttempt) -> HopRequest:
        submit = attempt.submit
        remaining_s = submit.deadline - self._clock.now()
        return HopRequest(
            submit.attempt_id,
            submit.server_id,
            submit.route,
            submit.priority,
            submit.is_repeatable,
            int(submit.target_s * MS_PER_S),
            max(1, int(remaining_s * MS_PER_S)),
            peer.process_id,
            submit.is_repeat,
            submit.fingerprint,
            submit.crash_reports,
            submit.sender.is_client,
            submit.sender.repeat_share,
            submit.organisation,
            submit.is_copy,
            submit.sender.is_call,
            submit.demand,
        )

    def _failed(self, kind: AttemptKind, started: float) -> AttemptResult:
        return make_attempt_result(kind, self._clock.now() - started)
