"""Take the operators' changes to the leader of the configuration's log."""

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
from pimentobend_core._internal.configuration.checks import read_pools
from pimentobend_core._internal.configuration.checks import read_routes
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import Version as TablesVersion
from pimentobend_core._internal.configuration.service_messages import ChangeAsked
from pimentobend_core._internal.configuration.service_messages import ChangeReplied
from pimentobend_core._internal.exceptions import CodecError
from pimentobendd._internal.control_port import ChangeRefused
from pimentobendd._internal.control_port import ChangeRequest
from pimentobendd._internal.control_port import ControlPort
from pimentobendd._internal.control_port import Version

KIND_ASK = "change.ask"
KIND_REPLY = "change.reply"
ANSWER_TIMEOUT_S = 3.0

_RESEND = "send it again with the same change id to learn the outcome"


class Refusal(NamedTuple):
    """Spell a refused change for operators."""

    status: int
    message: str
    hint: str


_REFUSALS = {
    ChangeOutcome.CONFLICT: Refusal(
        409, "the version in force is {version}", "show, merge and retry"
    ),
    ChangeOutcome.NOT_LEADER: Refusal(
        503, "not run: the leader did not take it", "retry"
    ),
    ChangeOutcome.NO_MAJORITY: Refusal(
        503,
        "not run: no majority of the control replicas is reachable",
        "look at the status of the control instances, then retry",
    ),
    ChangeOutcome.OVERLOADED: Refusal(
        503, "not run: too many changes wait", "retry later"
    ),
    ChangeOutcome.TOO_LARGE: Refusal(
        413, "not run: the change is too large", "apply it in parts"
    ),
    ChangeOutcome.STORAGE: Refusal(
        507,
        "not run: the leader's disk does not take it",
        "free space on the leader's disk or replace that replica",
    ),
    ChangeOutcome.UNKNOWN: Refusal(504, "it is not known whether it ran", _RESEND),
}


class ReplicatedControl(ControlPort):
    """Ask the local replica, or through it the leader, and wait for the answer."""

    def __init__(
        self, link: Transport, ask_local: Callable[[ChangeAsked], None]
    ) -> None:
        self._link = link
        self._ask_local = ask_local
        self._replies: Replies[ChangeReplied] = Replies(lambda reply: reply.token)
        self._tokens = itertools.count(1)

    def apply(self, request: ChangeRequest) -> Result[Version, ChangeRefused]:
        """Make a change durable, or refuse it truthfully."""
        asked = ChangeAsked(
            0,
            request.change_id,
            TablesVersion(*request.expected),
            read_routes(request.document),
            read_pools(request.document),
        )
        reply = self._ask(asked, self._ask_local)
        if reply.outcome is ChangeOutcome.NOT_LEADER and reply.leader_id is not None:
            leader_id = reply.leader_id
            reply = self._ask(asked, lambda each: self._forward(leader_id, each))
        return _read_reply(reply)

    def put(self, reply: ChangeReplied) -> None:
        """Take the local service's reply."""
        self._replies.put(reply)

    def handle_frame(self, frame: Frame) -> None:
        """Take a change or a reply of another control instance."""
        try:
            if frame.kind == KIND_REPLY:
                self._replies.put(decode(frame.payload, ChangeReplied))
                return
            asked = decode(frame.payload, ChangeAsked)
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error
        eventlet.spawn_n(self._serve, frame.sender, asked)

    def _serve(self, sender: str, asked: ChangeAsked) -> None:
        reply = self._ask(asked, self._ask_local)
        payload = encode(reply._replace(token=asked.token))
        self._link.send(sender, KIND_REPLY, payload)

    def _ask(
        self, asked: ChangeAsked, send: Callable[[ChangeAsked], Any]
    ) -> ChangeReplied:
        token = next(self._tokens)
        reply = self._replies.ask(
            token, lambda: send(asked._replace(token=token)), ANSWER_TIMEOUT_S
        )
        if reply is None:
            return ChangeReplied(token, ChangeOutcome.UNKNOWN, asked.expected)
        return reply

    def _forward(self, leader_id: str, asked: ChangeAsked) -> None:
        self._link.send(leader_id, KIND_ASK, encode(asked))


def _read_reply(reply: ChangeReplied) -> Result[Version, ChangeRefused]:
    if reply.outcome is ChangeOutcome.ACCEPTED:
        return Success(Version(*reply.version))
    refusal = _REFUSALS[reply.outcome]
    message = refusal.message.format(version=reply.version)
    return Failure(ChangeRefused(refusal.status, message, refusal.hint))
