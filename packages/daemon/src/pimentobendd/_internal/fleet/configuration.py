"""Take changes and reads of the configuration to the leader of its log."""

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
from pimentobend_core._internal.configuration.service_messages import ChangeAsked
from pimentobend_core._internal.configuration.service_messages import ChangeReplied
from pimentobend_core._internal.configuration.service_messages import ReadAsked
from pimentobend_core._internal.configuration.service_messages import TablesRead
from pimentobend_core._internal.consensus.formation import address_of
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.ports import ClockPort
from pimentobendd._internal.fleet.dialect import ConfigurationPort
from pimentobendd._internal.fleet.dialect import LabelledChange

KIND_CHANGE = "change.ask"
KIND_CHANGED = "change.reply"
KIND_READ = "read.ask"
KIND_TABLES = "read.reply"
KINDS = (KIND_CHANGE, KIND_CHANGED, KIND_READ, KIND_TABLES)
ANSWER_S = 0.9  # operators turn to another daemon after a second
RESEND_S = 0.3  # five round trips between regions; a frame may be lost
SEARCH_S = 0.1  # between looks for a leader

Asked = ChangeAsked | ReadAsked
Replied = ChangeReplied | TablesRead

_UNDECIDED = (ChangeOutcome.NOT_LEADER, ChangeOutcome.NO_MAJORITY)


class LeaderCalls(ConfigurationPort):
    """Ask the local replica, or through it the leader, and wait for the answer."""

    def __init__(
        self, link: Transport, ask_local: Callable[[Asked], None], clock: ClockPort
    ) -> None:
        self._link = link
        self._ask_local = ask_local
        self._clock = clock
        self._replies: Replies[Replied] = Replies(lambda reply: reply.token)
        self._tokens = itertools.count(1)

    def apply(self, change: LabelledChange) -> ChangeOutcome:
        """Make a change durable, or say why it was not."""
        asked = ChangeAsked(
            0,
            change.change_id,
            FIRST_VERSION,
            change.routes,
            change.pools,
            change.limits,
            change.label,
            change.removals,
        )
        reply = self._ask_leader(asked)
        if isinstance(reply, ChangeReplied):
            return reply.outcome
        return ChangeOutcome.UNKNOWN

    def read(self) -> WholeTables | None:
        """Return the newest tables, or None when it is not sure that they are."""
        reply = self._ask_leader(ReadAsked(0))
        return reply.whole if isinstance(reply, TablesRead) else None

    def put(self, reply: Replied) -> None:
        """Take the local service's reply."""
        self._replies.put(reply)

    def handle_frame(self, frame: Frame) -> None:
        """Take a question or a reply of another control instance."""
        try:
            match frame.kind:
                case "change.reply":
                    self._replies.put(decode(frame.payload, ChangeReplied))
                case "read.reply":
                    self._replies.put(decode(frame.payload, TablesRead))
                case "change.ask":
                    change = decode(frame.payload, ChangeAsked)
                    eventlet.spawn_n(self._serve, frame.sender, change)
                case _:
                    read = decode(frame.payload, ReadAsked)
                    eventlet.spawn_n(self._serve, frame.sender, read)
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error

    def _serve(self, sender: str, asked: Asked) -> None:
        reply = self._ask_here(asked, ANSWER_S)
        if reply is None:
            return
        kind = KIND_CHANGED if isinstance(reply, ChangeReplied) else KIND_TABLES
        self._link.send(sender, kind, encode(reply._replace(token=asked.token)))

    def _ask_leader(self, asked: Asked) -> Replied | None:
        """Look for the leader until one answers or the time is up."""
        until = self._clock.now() + ANSWER_S
        reply: Replied | None = None
        while (left_s := until - self._clock.now()) > 0:
            reply = self._ask_here(asked, left_s)
            if reply is not None and not _needs_leader(reply):
                return reply
            leader_id = None if reply is None else reply.leader_id
            if leader_id is None:
                eventlet.sleep(min(SEARCH_S, left_s))
                continue
            answer = self._ask_there(address_of(leader_id), asked, until)
            if answer is not None and not _needs_leader(answer):
                return answer
        return reply

    def _ask_here(self, asked: Asked, timeout_s: float) -> Replied | None:
        token = next(self._tokens)
        return self._replies.ask(
            token, lambda: self._ask_local(asked._replace(token=token)), timeout_s
        )

    def _ask_there(self, address: str, asked: Asked, until: float) -> Replied | None:
        """Ask the leader; the same question twice has one effect."""
        token = next(self._tokens)
        kind = KIND_CHANGE if isinstance(asked, ChangeAsked) else KIND_READ
        payload = encode(asked._replace(token=token))
        left_s = until - self._clock.now()
        return self._replies.ask(
            token,
            lambda: self._link.send(address, kind, payload),
            max(0.01, min(RESEND_S, left_s)),
        )


def _needs_leader(reply: Replied) -> bool:
    if isinstance(reply, TablesRead):
        return reply.whole is None
    return reply.outcome in _UNDECIDED
