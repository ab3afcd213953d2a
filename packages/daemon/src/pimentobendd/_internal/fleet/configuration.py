"""Send changes and reads of the configuration to the leader of its log."""

import itertools
from collections.abc import Callable

import eventlet

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.messages import FIRST_VERSION
from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.configuration.service_messages import TablesChangeReply
from pimentobend_core._internal.configuration.service_messages import (
    TablesChangeRequest,
)
from pimentobend_core._internal.configuration.service_messages import TablesRead
from pimentobend_core._internal.configuration.service_messages import TablesReadRequest
from pimentobend_core._internal.consensus.formation import address_of
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.fleet.dialect import ConfigurationPort
from pimentobendd._internal.fleet.dialect import LabelledChange

KIND_CHANGE = "change.ask"
KIND_CHANGE_REPLY = "change.reply"
KIND_READ = "read.ask"
KIND_READ_REPLY = "read.reply"
KINDS = (KIND_CHANGE, KIND_CHANGE_REPLY, KIND_READ, KIND_READ_REPLY)
ANSWER_TIMEOUT_S = 0.9  # operators try another daemon after 1 s
RESEND_S = 0.3  # then a frame counts as lost; five round trips between regions
LEADER_POLL_S = 0.1  # pause between two attempts while no leader is known

LeaderRequest = TablesChangeRequest | TablesReadRequest
LeaderReply = TablesChangeReply | TablesRead

_RETRYABLE = (ChangeOutcome.NOT_LEADER, ChangeOutcome.NO_MAJORITY)


class LeaderClient(ConfigurationPort):
    """Asks the local replica, or the leader that it names, and waits for the reply."""

    def __init__(
        self,
        link: Transport,
        send_local: Callable[[LeaderRequest], None],
        clock: ClockPort,
    ) -> None:
        self._link = link
        self._send_local = send_local
        self._clock = clock
        self._replies: Replies[LeaderReply] = Replies(lambda reply: reply.token)
        self._tokens = itertools.count(1)

    def apply(self, change: LabelledChange) -> ChangeOutcome:
        """Make a change durable and return the outcome."""
        request = TablesChangeRequest(
            0,
            change.change_id,
            FIRST_VERSION,
            change.routes,
            change.pools,
            change.limits,
            change.label,
            change.removals,
            change.organisations,
        )
        reply = self._ask_leader(request)
        if isinstance(reply, TablesChangeReply):
            return reply.outcome
        return ChangeOutcome.UNKNOWN

    def read(self) -> WholeTables | None:
        """Return the newest tables, or None if no leader confirms that they are."""
        reply = self._ask_leader(TablesReadRequest(0))
        return reply.whole if isinstance(reply, TablesRead) else None

    def put(self, reply: LeaderReply) -> None:
        """Handle a reply of the local service."""
        self._replies.put(reply)

    def handle_frame(self, frame: Frame) -> None:
        """Handle a request or a reply of another control instance."""
        try:
            match frame.kind:
                case "change.reply":
                    self._replies.put(decode(frame.payload, TablesChangeReply))
                case "read.reply":
                    self._replies.put(decode(frame.payload, TablesRead))
                case "change.ask":
                    change = decode(frame.payload, TablesChangeRequest)
                    eventlet.spawn_n(self._answer_peer, frame.sender, change)
                case _:
                    read = decode(frame.payload, TablesReadRequest)
                    eventlet.spawn_n(self._answer_peer, frame.sender, read)
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error

    def _answer_peer(self, sender: str, request: LeaderRequest) -> None:
        reply = self._ask_local_replica(request, ANSWER_TIMEOUT_S)
        if reply is None:
            return
        kind = (
            KIND_CHANGE_REPLY
            if isinstance(reply, TablesChangeReply)
            else KIND_READ_REPLY
        )
        self._link.send(sender, kind, encode(reply._replace(token=request.token)))

    def _ask_leader(self, request: LeaderRequest) -> LeaderReply | None:
        """Ask until a leader answers or ``ANSWER_TIMEOUT_S`` has passed."""
        deadline = self._clock.now() + ANSWER_TIMEOUT_S
        reply: LeaderReply | None = None
        while (left_s := deadline - self._clock.now()) > 0:
            reply = self._ask_local_replica(request, left_s)
            if reply is not None and not _is_retryable(reply):
                return reply
            leader_id = None if reply is None else reply.leader_id
            if leader_id is None:
                eventlet.sleep(min(LEADER_POLL_S, left_s))
                continue
            answer = self._ask_peer(address_of(leader_id), request, deadline)
            if answer is not None and not _is_retryable(answer):
                return answer
        return reply

    def _ask_local_replica(
        self, request: LeaderRequest, timeout_s: float
    ) -> LeaderReply | None:
        token = next(self._tokens)
        return self._replies.ask(
            token, lambda: self._send_local(request._replace(token=token)), timeout_s
        )

    def _ask_peer(
        self, address: str, request: LeaderRequest, deadline: float
    ) -> LeaderReply | None:
        """Ask the leader; a change that arrives twice is applied once."""
        token = next(self._tokens)
        kind = KIND_CHANGE if isinstance(request, TablesChangeRequest) else KIND_READ
        payload = encode(request._replace(token=token))
        left_s = deadline - self._clock.now()
        return self._replies.ask(
            token,
            lambda: self._link.send(address, kind, payload),
            max(0.01, min(RESEND_S, left_s)),
        )


def _is_retryable(reply: LeaderReply) -> bool:
    if isinstance(reply, TablesRead):
        return reply.whole is None
    return reply.outcome in _RETRYABLE
