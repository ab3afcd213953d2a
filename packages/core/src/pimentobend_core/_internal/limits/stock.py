"""Answer daemons' questions for tokens, at a control instance."""

import math
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.limits.account import TokenAccount
from pimentobend_core._internal.limits.account import Waiting
from pimentobend_core._internal.limits.messages import AskReceived
from pimentobend_core._internal.limits.messages import Demand
from pimentobend_core._internal.limits.messages import Grant
from pimentobend_core._internal.limits.messages import GrantsReceived
from pimentobend_core._internal.limits.messages import LeaderKnown
from pimentobend_core._internal.limits.messages import SendDemand
from pimentobend_core._internal.limits.messages import SendReply
from pimentobend_core._internal.limits.messages import StockInput
from pimentobend_core._internal.limits.messages import StockOutput
from pimentobend_core._internal.limits.messages import StockSweep
from pimentobend_core._internal.limits.messages import StockTick
from pimentobend_core._internal.limits.messages import TokenReply
from pimentobend_core._internal.limits.messages import WakeStock
from pimentobend_core._internal.limits.messages import Want
from pimentobend_core._internal.limits.terms import MAX_VALID_S
from pimentobend_core._internal.pipes import StatefulFilter

BATCH_S = 0.02  # least time between two demands
MAX_WANTS = 500  # organisations in one demand
DEMAND_TIMEOUT_S = 0.25  # then its tokens are asked for again
# By then, a daemon has asked two other control instances.
MAX_WAIT_S = 0.3
SWEEP_S = 2.0
IDLE_S = 5.0  # an organisation without questions for longer is forgotten


class _Sent(NamedTuple):
    """A demand; late grants are accepted until their tokens have expired."""

    sent_at: float
    wants: dict[str, Want]
    is_counted: bool = True  # among the tokens that are on their way


class TokenStock(StatefulFilter[StockInput, StockOutput]):
    """Asks the leader for tokens in batches and hands them to the daemons that ask.

    ``first_number`` must differ between starts of the process, so that no answer to
    an earlier one is taken for one to this. Time is measured by a clock that also
    runs while the machine is suspended.
    """

    def __init__(self, first_number: int) -> None:
        self._next_number = first_number
        self._leader: str | None = None
        self._accounts: dict[str, TokenAccount] = {}
        self._lacking: dict[str, None] = {}  # names to look at, in order
        self._waiting: set[str] = set()  # names with questions that wait
        self._demands: dict[int, _Sent] = {}
        self._sent_at = -math.inf
        self._is_tick_due = False
        self._is_sweep_due = False

    def handle(self, message: StockInput, now: float) -> tuple[StockOutput, ...]:
        """Handle a question, the leader's answer, a change of leader or a tick."""
        outputs: list[StockOutput] = []
        match message:
            case AskReceived():
                self._answer(message, now, outputs)
            case GrantsReceived():
                self._receive(message, now, outputs)
            case LeaderKnown():
                self._change_leader(message)
            case StockTick():
                self._is_tick_due = False
                self._expire(now)
            case StockSweep():
                self._is_sweep_due = False
                self._forget_idle(now)
        if self._lacking and now - self._sent_at >= BATCH_S:
            self._demand(now, outputs)
        self._schedule(outputs)
        return tuple(outputs)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        accounts = self._accounts.values()
        return {
            "leader": self._leader,
            "organisations": len(self._accounts),
            "waiting": sum(len(account.waiting) for account in accounts),
            "demands": len(self._demands),
        }

    def _answer(
        self, message: AskReceived, now: float, outputs: list[StockOutput]
    ) -> None:
        sender, (token, name) = message
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = TokenAccount()
        account.note_question(now)
        # Earlier questions have waited longer, so they come first.
        expires_at = None if account.waiting else account.take(now)
        if expires_at is not None:
            outputs.append(_grant(Waiting(sender, token, now), expires_at))
        elif now < account.over_until:
            outputs.append(_refuse(Waiting(sender, token, now), account, now))
            return
        else:
            account.waiting.append(Waiting(sender, token, now))
            self._waiting.add(name)
        self._lacking[name] = None

    def _receive(
        self, message: GrantsReceived, now: float, outputs: list[StockOutput]
    ) -> None:
        sent = self._demands.pop(message.grants.number, None)
        if sent is None:
            return
        if sent.is_counted:
            self._uncount(sent)
        for grant in message.grants.grants:
            want = sent.wants.get(grant.organisation)
            account = self._accounts.get(grant.organisation)
            if want is not None and account is not None:
                self._credit(account, want, grant, sent.sent_at, now, outputs)

    def _credit(
        self,
        account: TokenAccount,
        want: Want,
        grant: Grant,
        sent_at: float,
        now: float,
        outputs: list[StockOutput],
    ) -> None:
        if grant.tokens:
            account.add(grant.tokens, sent_at + grant.valid_s)
        while account.waiting:
            expires_at = account.take(now)
            if expires_at is None:
                break
            outputs.append(_grant(account.waiting.popleft(), expires_at))
        if grant.next_s:
            account.over_until = now + grant.next_s
            account.is_over_known = grant.is_known
            for _ in range(min(want.needed - grant.tokens, len(account.waiting))):
                waiting = account.waiting.popleft()
                outputs.append(_refuse(waiting, account, now))
        if len(account.waiting) > account.needed:
            self._lacking[grant.organisation] = None

    def _change_leader(self, message: LeaderKnown) -> None:
        """Ask the new leader at once for what the old one did not grant."""
        if message.address == self._leader:
            return
        self._leader = message.address
        for number, sent in list(self._demands.items()):
            self._time_out(number, sent)

    def _demand(self, now: float, outputs: list[StockOutput]) -> None:
        if self._leader is None:
            return
        wants: dict[str, Want] = {}
        while self._lacking and len(wants) < MAX_WANTS:
            name = next(iter(self._lacking))
            del self._lacking[name]
            account = self._accounts.get(name)
            want = account.lacks(name, now) if account else None
            if account and want:
                account.needed += want.needed
                account.extra += want.extra
                wants[name] = want
        if not wants:
            return
        number = self._next_number
        self._next_number += 1
        self._sent_at = now
        self._demands[number] = _Sent(now, wants)
        outputs.append(SendDemand(self._leader, Demand(number, tuple(wants.values()))))

    def _expire(self, now: float) -> None:
        for number, sent in list(self._demands.items()):
            if now - sent.sent_at >= MAX_VALID_S:
                del self._demands[number]
            if sent.is_counted and now - sent.sent_at >= DEMAND_TIMEOUT_S:
                self._time_out(number, sent)
        for name in list(self._waiting):
            waiting = self._accounts[name].waiting
            while waiting and now - waiting[0].received_at > MAX_WAIT_S:
                waiting.popleft()
            if not waiting:
                self._waiting.discard(name)

    def _time_out(self, number: int, sent: _Sent) -> None:
        if not sent.is_counted:
            return
        self._uncount(sent)
        if number in self._demands:
            self._demands[number] = sent._replace(is_counted=False)
        for name in sent.wants:
            account = self._accounts.get(name)
            if account and account.waiting:
                self._lacking[name] = None

    def _uncount(self, sent: _Sent) -> None:
        for name, want in sent.wants.items():
            account = self._accounts.get(name)
            if account is not None:
                account.needed -= want.needed
                account.extra -= want.extra

    def _forget_idle(self, now: float) -> None:
        for name, account in list(self._accounts.items()):
            is_used = account.waiting or account.needed or account.stock(now)
            if not is_used and now - account.seen_at > IDLE_S:
                del self._accounts[name]
                self._waiting.discard(name)

    def _schedule(self, outputs: list[StockOutput]) -> None:
        if not self._is_tick_due and (self._lacking or self._demands or self._waiting):
            self._is_tick_due = True
            outputs.append(WakeStock(BATCH_S, StockTick()))
        if not self._is_sweep_due and self._accounts:
            self._is_sweep_due = True
            outputs.append(WakeStock(SWEEP_S, StockSweep()))


def _grant(waiting: Waiting, expires_at: float) -> SendReply:
    """Grant a token whose validity is counted from when the question was sent.

    It was sent before it was received, so the token ends no later than here.
    """
    valid_s = max(0.0, expires_at - waiting.received_at)
    return SendReply(waiting.sender, TokenReply(waiting.token, True, 0.0, valid_s))


def _refuse(waiting: Waiting, account: TokenAccount, now: float) -> SendReply:
    reply = TokenReply(
        waiting.token,
        is_granted=False,
        retry_after_s=max(0.0, account.over_until - now),
        is_known=account.is_over_known,
    )
    return SendReply(waiting.sender, reply)
