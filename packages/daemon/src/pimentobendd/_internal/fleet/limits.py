"""Get the tokens that admit this daemon's requests, from control instances."""

import itertools
import secrets
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any

import eventlet
import eventlet.event

from pimentobend_adapters._internal.clock import BootClock
from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.router import FrameRouter
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.forwarding.selection import find_distance
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.limits.asker import RETRY_AFTER_S
from pimentobend_core._internal.limits.asker import TokenAsker
from pimentobend_core._internal.limits.codec import decode
from pimentobend_core._internal.limits.codec import encode
from pimentobend_core._internal.limits.messages import AskerInput
from pimentobend_core._internal.limits.messages import AskerOutput
from pimentobend_core._internal.limits.messages import AskerTick
from pimentobend_core._internal.limits.messages import ControlsChanged
from pimentobend_core._internal.limits.messages import ReplyReceived
from pimentobend_core._internal.limits.messages import SendAsk
from pimentobend_core._internal.limits.messages import TokenDecided
from pimentobend_core._internal.limits.messages import TokenReply
from pimentobend_core._internal.limits.messages import TokenWanted
from pimentobend_core._internal.limits.messages import TokenWithdrawn
from pimentobend_core._internal.limits.messages import Verdict
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import LimitsPort
from pimentobend_core._internal.ports import Permission

KIND_ASK = "limit.ask"
KIND_REPLY = "limit.reply"
TOKEN_BITS = 52  # of the random first number; a start makes far fewer questions

_UNKNOWN = Permission(Verdict.UNKNOWN, RETRY_AFTER_S)


class DaemonLimits(LimitsPort):
    """Passes the requests' needs to the task that asks for tokens.

    Nothing is sent unless a request of an organisation with a limit comes.
    """

    def __init__(
        self,
        link: Transport,
        own_row: Callable[[], PeerRow],
        on_decided: Callable[[Verdict], None] = lambda verdict: None,
        clock: ClockPort | None = None,
    ) -> None:
        self._link = link
        self._own_row = own_row
        self._on_decided = on_decided
        self._clock = clock or BootClock()
        self._tickets = itertools.count(1)
        self._waiting: dict[int, Any] = {}  # event by ticket
        self._controls = ControlsChanged(())
        self._task: FilterTask[AskerInput, AskerOutput] = FilterTask(
            "tokens",
            TokenAsker(secrets.randbits(TOKEN_BITS)),
            CallOutlet(self._handle_output),
            self._clock,
        )

    def start(self) -> None:
        """Start the task."""
        self._task.start()

    def register(self, router: FrameRouter) -> None:
        """Register the handler of control instances' answers."""
        router.register(KIND_REPLY, self._handle_reply)

    def update_peers(self, peers: tuple[PeerRow, ...]) -> None:
        """Replace the list of known control instances."""
        controls = ControlsChanged(group_controls(self._own_row(), peers))
        if controls != self._controls:
            self._controls = controls
            self._task.put(controls)

    def acquire(self, organisation: str, timeout_s: float) -> Permission:
        """Wait at most ``timeout_s`` seconds for a token and use it."""
        give_up_at = self._clock.now() + timeout_s
        permission = _UNKNOWN
        while self._clock.now() < give_up_at:
            decided = self._ask(organisation, give_up_at)
            if decided.verdict is not Verdict.GRANTED:
                permission = Permission(decided.verdict, decided.retry_after_s)
                break
            # The process may have been stopped since the task read the clock.
            if self._clock.now() < decided.valid_until:
                permission = Permission(Verdict.GRANTED)
                break
        self._on_decided(permission.verdict)
        return permission

    def dump(self) -> Mapping[str, object]:
        """Return the state of the task."""
        return self._task.dump()

    def _ask(self, organisation: str, give_up_at: float) -> TokenDecided:
        """Wait for a decision, which the task makes in any case by ``give_up_at``."""
        ticket = next(self._tickets)
        event = self._waiting[ticket] = eventlet.event.Event()
        self._task.put(TokenWanted(ticket, organisation, give_up_at))
        try:
            decided: TokenDecided = event.wait()
        finally:
            if self._waiting.pop(ticket, None) is not None:
                self._task.put(TokenWithdrawn(ticket))
        return decided

    def _handle_reply(self, frame: Frame) -> None:
        try:
            reply = decode(frame.payload, TokenReply)
        except CodecError as error:
            raise FrameError(error.message, context=frame.kind) from error
        self._task.put(ReplyReceived(frame.sender, reply))

    def _handle_output(self, output: AskerOutput) -> None:
        match output:
            case SendAsk():
                self._link.send(output.recipient, KIND_ASK, encode(output.ask))
            case TokenDecided():
                event = self._waiting.pop(output.ticket, None)
                if event is not None:
                    event.send(output)
            case _:
                eventlet.spawn_after(output.delay_s, self._task.put, AskerTick())


def group_controls(
    own: PeerRow, peers: tuple[PeerRow, ...]
) -> tuple[tuple[str, ...], ...]:
    """Return the addresses of the control instances, in groups from near to far."""
    groups: dict[Distance, list[str]] = {}
    for row in (own, *peers):
        if row.is_control and not row.is_leaving:
            groups.setdefault(find_distance(own, row), []).append(row.address)
    return tuple(tuple(sorted(groups[distance])) for distance in sorted(groups))
