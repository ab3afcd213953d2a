"""Send the operators' changes to the leader of the configuration's log."""

import itertools
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import eventlet
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_adapters._internal.asking import Replies
from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_core._internal.configuration.checks import read_organisations
from pimentobend_core._internal.configuration.checks import read_pools
from pimentobend_core._internal.configuration.checks import read_routes
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import Version as TablesVersion
from pimentobend_core._internal.configuration.service_messages import TablesChangeReply
from pimentobend_core._internal.configuration.service_messages import (
    TablesChangeRequest,
)
from pimentobend_core._internal.exceptions import CodecError
from pimentobendd._internal.control_port import ChangeRefused
from pimentobendd._internal.control_port import ChangeRequest
from pimentobendd._internal.control_port import ControlPort
from pimentobendd._internal.control_port import Version

KIND_ASK = "change.ask"
KIND_REPLY = "change.reply"
ANSWER_TIMEOUT_S = 3.0

_RESEND_HINT = "resend it with the same change id to learn the outcome"


class RefusalText(NamedTuple):
    """HTTP status, message and hint of a refused change."""

    status: int
    message: str
    hint: str


_REFUSAL_TEXTS = {
    ChangeOutcome.CONFLICT: RefusalText(
        409,
        "version conflict: the version in force is {version}",
        "show the tables, merge the change into them and retry",
    ),
    ChangeOutcome.NOT_LEADER: RefusalText(
        503, "not run: no leader accepted the change", "retry"
    ),
    ChangeOutcome.NO_MAJORITY: RefusalText(
        503,
        "not run: no majority of the control replicas is reachable",
        "check the status of the control instances, then retry",
    ),
    ChangeOutcome.OVERLOADED: RefusalText(
        503, "not run: too many changes are pending", "retry later"
    ),
    ChangeOutcome.TOO_LARGE: RefusalText(
        413, "not run: the change is too large", "split it into smaller changes"
    ),
    ChangeOutcome.INVALID: RefusalText(
        422,
        "not run: the tables would have faults",
        "check that no two organisations have the same API key",
    ),
    ChangeOutcome.STORAGE: RefusalText(
        507,
        "not run: the leader could not write the change to its disk",
        "free space on the leader's disk or replace that replica",
    ),
    ChangeOutcome.UNKNOWN: RefusalText(
        504, "it is not known whether the change was applied", _RESEND_HINT
    ),
}


class ReplicatedConfiguration(ControlPort):
    """Asks the local replica, or the leader that it names, and waits for the reply."""

    def __init__(
        self, link: Transport, send_local: Callable[[TablesChangeRequest], None]
    ) -> None:
        self._link = link
        self._send_local = send_local
        self._replies: Replies[TablesChangeReply] = Replies(lambda reply: reply.token)
        self._tokens = itertools.count(1)

    def apply(self, request: ChangeRequest) -> Result[Version, ChangeRefused]:
        """Make a change durable, or return why it was refused."""
        change = TablesChangeRequest(
            0,
            request.change_id,
            TablesVersion(*request.expected),
            read_routes(request.document),
            read_pools(request.document),
            organisations=read_organisations(request.document),
        )
        reply = self._ask(change, self._send_local)
        if reply.outcome is ChangeOutcome.NOT_LEADER and reply.leader_id is not None:
            leader_id = reply.leader_id
            reply = self._ask(
                change, lambda message: self._send_to_leader(leader_id, message)
            )
        return _convert_reply(reply)

    def put(self, reply: TablesChangeReply) -> None:
        """Handle a reply of the local service."""
        self._replies.put(reply)

    def handle_frame(self, frame: Frame) -> None:
        """Handle a change or a reply of another control instance."""
        try:
            if frame.kind == KIND_REPLY:
                self._replies.put(decode(frame.payload, TablesChangeReply))
                return
            change = decode(frame.payload, TablesChangeRequest)
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error
        eventlet.spawn_n(self._answer_peer, frame.sender, change)

    def _answer_peer(self, sender: str, change: TablesChangeRequest) -> None:
        reply = self._ask(change, self._send_local)
        payload = encode(reply._replace(token=change.token))
        self._link.send(sender, KIND_REPLY, payload)

    def _ask(
        self, change: TablesChangeRequest, send: Callable[[TablesChangeRequest], Any]
    ) -> TablesChangeReply:
        token = next(self._tokens)
        reply = self._replies.ask(
            token, lambda: send(change._replace(token=token)), ANSWER_TIMEOUT_S
        )
        if reply is None:
            return TablesChangeReply(token, ChangeOutcome.UNKNOWN, change.expected)
        return reply

    def _send_to_leader(self, leader_id: str, change: TablesChangeRequest) -> None:
        self._link.send(leader_id, KIND_ASK, encode(change))


def _convert_reply(reply: TablesChangeReply) -> Result[Version, ChangeRefused]:
    if reply.outcome is ChangeOutcome.ACCEPTED:
        return Success(Version(*reply.version))
    refusal = _REFUSAL_TEXTS[reply.outcome]
    message = refusal.message.format(version=reply.version)
    return Failure(ChangeRefused(refusal.status, message, refusal.hint))
