"""Ask control instances for the tokens that a daemon's requests need."""

import hashlib
import math
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.limits.messages import AskerInput
from pimentobend_core._internal.limits.messages import AskerOutput
from pimentobend_core._internal.limits.messages import AskerTick
from pimentobend_core._internal.limits.messages import ControlsChanged
from pimentobend_core._internal.limits.messages import ReplyReceived
from pimentobend_core._internal.limits.messages import SendAsk
from pimentobend_core._internal.limits.messages import TokenAsk
from pimentobend_core._internal.limits.messages import TokenDecided
from pimentobend_core._internal.limits.messages import TokenReply
from pimentobend_core._internal.limits.messages import TokenWanted
from pimentobend_core._internal.limits.messages import TokenWithdrawn
from pimentobend_core._internal.limits.messages import Verdict
from pimentobend_core._internal.limits.messages import WakeAsker
from pimentobend_core._internal.pipes import StatefulFilter

# Two round trips between regions, and the leader's answer in between.
RESEND_S = 0.15
TICK_S = 0.05  # shared by all waiting requests
SUSPECT_S = 2.0  # a control instance that did not answer is asked last for so long
RETRY_AFTER_S = 1.0  # a new leader grants tokens within two seconds
MAX_CACHED_ORDERS = 1024


class _Wanted(NamedTuple):
    """A request that waits for its token; times are in seconds."""

    organisation: str
    give_up_at: float
    resend_at: float
    recipients: tuple[str, ...]  # asked so far
    tokens: tuple[int, ...]  # numbers of the questions


class _Asked(NamedTuple):
    """A question without an answer."""

    ticket: int
    recipient: str
    sent_at: float


class TokenAsker(StatefulFilter[AskerInput, AskerOutput]):
    """Asks the nearest control instance, then the next one while none answers.

    ``first_token`` must differ between starts of the daemon, so that no answer to
    an earlier process is taken for one to this. Time is measured by a clock that also
    runs while the machine is suspended.
    """

    def __init__(self, first_token: int) -> None:
        self._next_token = first_token
        self._groups: tuple[tuple[str, ...], ...] = ()
        self._orders: dict[str, tuple[str, ...]] = {}
        self._suspects: dict[str, float] = {}  # until when, by address
        self._wanted: dict[int, _Wanted] = {}
        self._asked: dict[int, _Asked] = {}
        self._is_tick_due = False

    def handle(self, message: AskerInput, now: float) -> tuple[AskerOutput, ...]:
        """Handle a request's need, an answer, a change of the fleet or a tick."""
        match message:
            case TokenWanted():
                wanted = _Wanted(message.organisation, message.give_up_at, now, (), ())
                self._wanted[message.ticket] = wanted
                outputs = self._ask(message.ticket, now)
            case ReplyReceived():
                outputs = self._handle_reply(message, now)
            case TokenWithdrawn():
                self._forget(message.ticket)
                return ()
            case ControlsChanged():
                self._change_controls(message)
                return ()
            case AskerTick():
                self._is_tick_due = False
                outputs = self._tick(now)
        if self._wanted and not self._is_tick_due:
            self._is_tick_due = True
            outputs = (*outputs, WakeAsker(TICK_S))
        return outputs

    def dump(self) -> Mapping[str, object]:
        """Return the asker's state as JSON-compatible values."""
        return {
            "waiting": len(self._wanted),
            "asked": len(self._asked),
            "controls": [len(group) for group in self._groups],
            "suspects": sorted(self._suspects),
        }

    def _change_controls(self, message: ControlsChanged) -> None:
        self._groups = message.groups
        self._orders.clear()
        known = {address for group in message.groups for address in group}
        for address in self._suspects.keys() - known:
            del self._suspects[address]

    def _ask(self, ticket: int, now: float) -> tuple[AskerOutput, ...]:
        wanted = self._wanted[ticket]
        recipient = self._choose(wanted, now)
        if recipient is None:
            self._wanted[ticket] = wanted._replace(resend_at=now + TICK_S)
            return ()
        token = self._next_token
        self._next_token += 1
        self._asked[token] = _Asked(ticket, recipient, now)
        self._wanted[ticket] = wanted._replace(
            resend_at=now + RESEND_S,
            recipients=(*wanted.recipients, recipient),
            tokens=(*wanted.tokens, token),
        )
        return (SendAsk(recipient, TokenAsk(token, wanted.organisation)),)

    def _choose(self, wanted: _Wanted, now: float) -> str | None:
        """Return the control instance that is asked fewest times, then nearest."""
        order = self._order(wanted.organisation)
        if not wanted.recipients and not self._suspects:
            return order[0] if order else None

        def rank(address: str) -> tuple[int, bool]:
            is_suspect = now < self._suspects.get(address, -math.inf)
            return wanted.recipients.count(address), is_suspect

        return min(order, key=rank, default=None)

    def _order(self, organisation: str) -> tuple[str, ...]:
        """Return the control instances, near ones first.

        Of those at the same distance, all daemons ask the same one first for an
        organisation, so that few instances hold tokens of it.
        """
        order = self._orders.get(organisation)
        if order is None:
            if len(self._orders) >= MAX_CACHED_ORDERS:
                self._orders.clear()
            order = tuple(
                address
                for group in self._groups
                for address in sorted(group, key=lambda each: _mix(organisation, each))
            )
            self._orders[organisation] = order
        return order

    def _handle_reply(
        self, message: ReplyReceived, now: float
    ) -> tuple[AskerOutput, ...]:
        reply = message.reply
        asked = self._asked.get(reply.token)
        if asked is None:
            return ()
        self._suspects.pop(asked.recipient, None)
        if not reply.is_granted and reply.is_known:
            return self._decide(asked.ticket, Verdict.OVER_LIMIT, reply.retry_after_s)
        if not reply.is_granted:
            return self._wait(asked.ticket, reply, now)
        valid_until = asked.sent_at + reply.valid_s
        if now >= valid_until:
            del self._asked[reply.token]
            return self._ask(asked.ticket, now)
        self._forget(asked.ticket)
        return (TokenDecided(asked.ticket, Verdict.GRANTED, valid_until=valid_until),)

    def _wait(
        self, ticket: int, reply: TokenReply, now: float
    ) -> tuple[AskerOutput, ...]:
        """Ask again when a new leader has a token, if the request lasts as long."""
        wanted = self._wanted[ticket]
        resend_at = now + max(TICK_S, reply.retry_after_s)
        if resend_at >= wanted.give_up_at:
            return self._decide(ticket, Verdict.UNKNOWN, reply.retry_after_s)
        # The nearest control instance answered, so that it is asked first again.
        for token in wanted.tokens:
            self._asked.pop(token, None)
        self._wanted[ticket] = wanted._replace(
            resend_at=resend_at, recipients=(), tokens=()
        )
        return ()

    def _tick(self, now: float) -> tuple[AskerOutput, ...]:
        outputs: list[AskerOutput] = []
        for ticket, wanted in list(self._wanted.items()):
            if now >= wanted.give_up_at:
                outputs += self._decide(ticket, Verdict.UNKNOWN, RETRY_AFTER_S)
            elif now >= wanted.resend_at:
                if wanted.recipients:
                    self._suspects[wanted.recipients[-1]] = now + SUSPECT_S
                outputs += self._ask(ticket, now)
        for address, until in list(self._suspects.items()):
            if now >= until:
                del self._suspects[address]
        return tuple(outputs)

    def _decide(
        self, ticket: int, verdict: Verdict, retry_after_s: float
    ) -> tuple[AskerOutput, ...]:
        self._forget(ticket)
        return (TokenDecided(ticket, verdict, retry_after_s),)

    def _forget(self, ticket: int) -> None:
        """Forget a request; answers that still come are ignored."""
        wanted = self._wanted.pop(ticket, None)
        for token in wanted.tokens if wanted else ():
            self._asked.pop(token, None)


def _mix(organisation: str, address: str) -> bytes:
    """Return a number that orders the control instances for an organisation."""
    pair = f"{organisation} {address}".encode(errors="surrogatepass")
    return hashlib.blake2b(pair, digest_size=8).digest()
