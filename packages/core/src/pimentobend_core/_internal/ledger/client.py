"""Claim, settle and look up idempotency keys for a daemon.

Settling a claim records its outcome in the ledger.
"""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.ledger.client_messages import ClaimDenied
from pimentobend_core._internal.ledger.client_messages import ClaimGranted
from pimentobend_core._internal.ledger.client_messages import ClaimRequest
from pimentobend_core._internal.ledger.client_messages import ClientInput
from pimentobend_core._internal.ledger.client_messages import ClientOutput
from pimentobend_core._internal.ledger.client_messages import LookedUp
from pimentobend_core._internal.ledger.client_messages import LookUpRequest
from pimentobend_core._internal.ledger.client_messages import ReplyArrived
from pimentobend_core._internal.ledger.client_messages import SendRequest
from pimentobend_core._internal.ledger.client_messages import SettleRequest
from pimentobend_core._internal.ledger.keys import digest_key
from pimentobend_core._internal.ledger.keys import find_group
from pimentobend_core._internal.ledger.messages import Claimed
from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import ClaimRefusal
from pimentobend_core._internal.ledger.messages import ClaimRefused
from pimentobend_core._internal.ledger.messages import ClaimWork
from pimentobend_core._internal.ledger.messages import Command
from pimentobend_core._internal.ledger.messages import CommandResult
from pimentobend_core._internal.ledger.messages import LookUpWork
from pimentobend_core._internal.ledger.messages import Settled
from pimentobend_core._internal.ledger.messages import SettleWork
from pimentobend_core._internal.ledger.messages import WorkFound
from pimentobend_core._internal.ledger.refusals import NO_MAJORITY
from pimentobend_core._internal.ledger.refusals import refuse_claim
from pimentobend_core._internal.ledger.routing import GroupRoute
from pimentobend_core._internal.ledger.service_messages import LedgerRequest
from pimentobend_core._internal.ledger.service_messages import Unserved
from pimentobend_core._internal.ledger.service_messages import UnservedReason
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.pipes import StatefulFilter

ANSWER_TIMEOUT_S = 1.0  # for a claim or a look-up, with all its retries
RESEND_S = 0.3  # an unanswered command is sent again after this time
# A settlement waits twice as long before each retry, from RESEND_S up to this.
SETTLE_RESEND_MAX_S = 5.0
SETTLE_TIMEOUT_S = 3600.0  # a settlement is given up after this time
# A command follows this many replies in a row that name another leader.
REDIRECTS_MAX = 4

# After these refusals, a delayed copy of the claim cannot be granted either. After
# the others it can, so the claim is released.
_FINAL_REFUSALS = (ClaimRefusal.ALREADY_RAN, ClaimRefusal.CLAIM_ENDED)


class _Pending(NamedTuple):
    """A command that has no result yet; times are in seconds of the clock."""

    command: Command
    ticket: int  # of the request to answer; 0 for a settlement, which has none
    give_up_at: float
    resend_at: float
    tries: int
    redirects: int


class LedgerClient(StatefulFilter[ClientInput, ClientOutput]):
    """Sends one daemon's commands to the ledger and keeps track of its claims.

    ``groups`` lists the replicas of each replicated log. ``epoch`` must be
    new at each start of the daemon, so that no two of its claims share an id.
    """

    def __init__(
        self, instance_id: str, epoch: int, groups: tuple[tuple[str, ...], ...]
    ) -> None:
        self._instance_id = instance_id
        self._epoch = epoch
        self._routes = tuple(GroupRoute(replicas) for replicas in groups)
        self._pending: dict[int, _Pending] = {}
        # Key digest of each granted claim that is not settled yet.
        self._granted: dict[ClaimId, bytes] = {}
        self._next_token = 1

    @property
    def unsettled(self) -> int:
        """Return the number of granted claims without a recorded outcome."""
        settles = sum(_is_settle(pending) for pending in self._pending.values())
        return len(self._granted) + settles

    def handle(self, message: ClientInput, now: float) -> tuple[ClientOutput, ...]:
        """Handle a request of this daemon, a reply or a tick."""
        match message:
            case ClaimRequest():
                return self._claim(message, now)
            case SettleRequest():
                return self._settle(message, now)
            case LookUpRequest():
                return self._look_up(message, now)
            case ReplyArrived():
                return self._handle_reply(message, now)
            case _:
                return self._tick(now)

    def dump(self) -> Mapping[str, object]:
        """Return the client's state as JSON-compatible values."""
        return {
            "epoch": self._epoch,
            "held": len(self._granted),
            "pending": len(self._pending),
            "groups": [route.dump() for route in self._routes],
        }

    def _claim(self, message: ClaimRequest, now: float) -> tuple[ClientOutput, ...]:
        digest = digest_key(message.key)
        if not self._route(digest).allows_claim(now):
            return (ClaimDenied(message.ticket, NO_MAJORITY),)
        outcome_timeout_s = max(0.0, message.deadline - now)
        claim_id = ClaimId(self._instance_id, self._epoch, self._next_token)
        command = ClaimWork(digest, claim_id, message.fingerprint, outcome_timeout_s)
        give_up_at = min(now + ANSWER_TIMEOUT_S, message.deadline)
        return self._start(command, message.ticket, give_up_at, now)

    def _settle(self, message: SettleRequest, now: float) -> tuple[ClientOutput, ...]:
        digest = self._granted.pop(message.claim_id, None)
        if digest is None:
            return ()
        command = SettleWork(digest, message.claim_id, message.ran, message.status)
        return self._start(command, 0, now + SETTLE_TIMEOUT_S, now)

    def _look_up(self, message: LookUpRequest, now: float) -> tuple[ClientOutput, ...]:
        command = LookUpWork(digest_key(message.key))
        return self._start(command, message.ticket, now + ANSWER_TIMEOUT_S, now)

    def _start(
        self, command: Command, ticket: int, give_up_at: float, now: float
    ) -> tuple[ClientOutput, ...]:
        token = self._next_token
        self._next_token += 1
        self._pending[token] = _Pending(command, ticket, give_up_at, now, 0, 0)
        return (self._send(token, now),)

    def _send(self, token: int, now: float) -> SendRequest:
        pending = self._pending[token]
        wait_s = RESEND_S
        if _is_settle(pending):
            wait_s = min(RESEND_S * 2**pending.tries, SETTLE_RESEND_MAX_S)
        self._pending[token] = pending._replace(
            resend_at=now + wait_s, tries=pending.tries + 1
        )
        group = find_group(pending.command.digest, len(self._routes))
        request = LedgerRequest(self._instance_id, token, pending.command)
        return SendRequest(group, self._routes[group].replica_id, request)

    def _handle_reply(
        self, message: ReplyArrived, now: float
    ) -> tuple[ClientOutput, ...]:
        reply = message.reply
        pending = self._pending.get(reply.token)
        if pending is None:
            return ()
        route = self._route(pending.command.digest)
        if isinstance(reply.result, Unserved):
            return self._handle_unserved(reply.token, reply.result, now)
        if not _is_result_of(reply.result, pending.command):
            return ()
        route.succeed()
        if now >= pending.give_up_at:
            return self._give_up(reply.token, now)
        del self._pending[reply.token]
        return self._finish(pending, reply.result, now)

    def _finish(
        self, pending: _Pending, result: CommandResult, now: float
    ) -> tuple[ClientOutput, ...]:
        match result:
            case Claimed():
                self._granted[result.claim_id] = pending.command.digest
                return (ClaimGranted(pending.ticket, result.claim_id),)
            case ClaimRefused():
                denied = ClaimDenied(pending.ticket, refuse_claim(result))
                if result.reason in _FINAL_REFUSALS:
                    return (denied,)
                return (denied, *self._release(pending.command, now))
            case WorkFound():
                return (LookedUp(pending.ticket, result),)
            case _:
                return ()

    def _handle_unserved(
        self, token: int, unserved: Unserved, now: float
    ) -> tuple[ClientOutput, ...]:
        pending = self._pending[token]
        route = self._route(pending.command.digest)
        if _is_redirect(unserved) and pending.redirects < REDIRECTS_MAX:
            route.follow(unserved.leader_id)
            redirects = pending.redirects + 1
            self._pending[token] = pending._replace(redirects=redirects)
            return (self._send(token, now),)
        if _is_settle(pending):
            self._pending[token] = pending._replace(redirects=0)
            route.skip()
            return ()
        route.fail(now)
        return self._give_up(token, now)

    def _give_up(self, token: int, now: float) -> tuple[ClientOutput, ...]:
        """Drop a command without a result; release its claim, which may be granted."""
        pending = self._pending.pop(token)
        command = pending.command
        match command:
            case ClaimWork():
                denied = ClaimDenied(pending.ticket, NO_MAJORITY)
                return (denied, *self._release(command, now))
            case LookUpWork():
                return (LookedUp(pending.ticket, None),)
            case SettleWork():
                return ()

    def _release(self, command: Command, now: float) -> tuple[ClientOutput, ...]:
        """Release a claim, so that copies of it that are in transit are refused."""
        if not isinstance(command, ClaimWork):
            return ()
        release = SettleWork(command.digest, command.claim_id, Ran.NOT_RUN, 0)
        return self._start(release, 0, now + SETTLE_TIMEOUT_S, now)

    def _tick(self, now: float) -> tuple[ClientOutput, ...]:
        outputs: list[ClientOutput] = []
        for token, pending in tuple(self._pending.items()):
            if now >= pending.give_up_at:
                if pending.tries > 1:
                    self._route(pending.command.digest).fail(now)
                outputs.extend(self._give_up(token, now))
            elif now >= pending.resend_at:
                self._route(pending.command.digest).skip()
                outputs.append(self._send(token, now))
        return tuple(outputs)

    def _route(self, digest: bytes) -> GroupRoute:
        return self._routes[find_group(digest, len(self._routes))]


def _is_settle(pending: _Pending) -> bool:
    return isinstance(pending.command, SettleWork)


def _is_redirect(unserved: Unserved) -> bool:
    knows_leader = unserved.leader_id is not None
    return unserved.reason is UnservedReason.NOT_LEADER and knows_leader


def _is_result_of(result: CommandResult, command: Command) -> bool:
    """Return whether a result is of the command's kind and for the same claim.

    The token in the reply is not enough to tell.
    """
    match command:
        case ClaimWork():
            if isinstance(result, Claimed):
                return result.claim_id == command.claim_id
            return isinstance(result, ClaimRefused)
        case SettleWork():
            return result == Settled(command.claim_id)
        case LookUpWork():
            return isinstance(result, WorkFound)
