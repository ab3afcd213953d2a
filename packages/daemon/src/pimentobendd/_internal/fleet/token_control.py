"""Grant tokens at a control instance: to daemons, and to the others as leader."""

import math
import secrets
from collections.abc import Mapping

import eventlet

from pimentobend_adapters._internal.clock import BootClock
from pimentobend_adapters._internal.exceptions import FrameError
from pimentobend_adapters._internal.exposition import CounterTable
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.router import FrameRouter
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_core._internal.configuration.confirmation_messages import (
    LeadershipConfirmed,
)
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.limits.codec import Message
from pimentobend_core._internal.limits.codec import decode
from pimentobend_core._internal.limits.codec import encode
from pimentobend_core._internal.limits.messages import AskReceived
from pimentobend_core._internal.limits.messages import Demand
from pimentobend_core._internal.limits.messages import DemandReceived
from pimentobend_core._internal.limits.messages import GrantingChanged
from pimentobend_core._internal.limits.messages import Grants
from pimentobend_core._internal.limits.messages import GrantsReceived
from pimentobend_core._internal.limits.messages import LeaderKnown
from pimentobend_core._internal.limits.messages import LeadershipChanged
from pimentobend_core._internal.limits.messages import LeadershipProven
from pimentobend_core._internal.limits.messages import OverLimitChanged
from pimentobend_core._internal.limits.messages import OwnerInput
from pimentobend_core._internal.limits.messages import OwnerOutput
from pimentobend_core._internal.limits.messages import OwnerSweep
from pimentobend_core._internal.limits.messages import SendDemand
from pimentobend_core._internal.limits.messages import SendGrants
from pimentobend_core._internal.limits.messages import SendReply
from pimentobend_core._internal.limits.messages import StockInput
from pimentobend_core._internal.limits.messages import StockOutput
from pimentobend_core._internal.limits.messages import TokenAsk
from pimentobend_core._internal.limits.owner import Limits
from pimentobend_core._internal.limits.owner import TokenOwner
from pimentobend_core._internal.limits.stock import TokenStock
from pimentobend_core._internal.limits.terms import LimitSettings
from pimentobend_core._internal.ports import ClockPort
from pimentobend_core._internal.ports import TablesPort
from pimentobendd._internal.fleet.limits import KIND_ASK
from pimentobendd._internal.fleet.limits import KIND_REPLY
from pimentobendd._internal.fleet.limits import TOKEN_BITS

KIND_DEMAND = "limit.demand"
KIND_GRANT = "limit.grant"
# Lines about organisations' limits, which many organisations may reach at once.
MAX_LINES = 20
LINES_S = 10.0


class TokenControl:
    """Runs the task that answers daemons and, for the leader, the one that grants."""

    def __init__(
        self,
        link: Transport,
        tables: TablesPort,
        settings: LimitSettings,
        counters: CounterTable,
        clock: ClockPort | None = None,
    ) -> None:
        clock = clock or BootClock()
        self._clock = clock
        self._lines = 0  # logged and omitted in the current period
        self._lines_until = -math.inf
        self._link = link
        self._tables = tables
        self._counters = counters
        self._log = get_log()
        limits = Limits(tables.find_limit, lambda: Version(*tables.current()[:2]))
        self._owner: FilterTask[OwnerInput, OwnerOutput] = FilterTask(
            "token-owner",
            TokenOwner(limits, settings),
            CallOutlet(self._handle_owner_output),
            clock,
        )
        self._stock: FilterTask[StockInput, StockOutput] = FilterTask(
            "token-stock",
            TokenStock(secrets.randbits(TOKEN_BITS)),
            CallOutlet(self._handle_stock_output),
            clock,
        )

    def start(self) -> None:
        """Start the tasks."""
        self._owner.start()
        self._stock.start()

    def stop(self) -> None:
        """Stop the tasks."""
        self._owner.stop()
        self._stock.stop()

    def register(self, router: FrameRouter) -> None:
        """Register the handlers of the frames about tokens."""
        router.register(KIND_ASK, self._handle_ask)
        router.register(KIND_DEMAND, self._handle_demand)
        router.register(KIND_GRANT, self._handle_grants)

    def update_leader(self, address: str | None) -> None:
        """Handle a change of the configuration log's leader, or of its term."""
        self._owner.put(LeadershipChanged(address == self._link.address))
        self._stock.put(LeaderKnown(address))

    def confirm(self, confirmed: LeadershipConfirmed) -> None:
        """Handle a confirmation that this replica leads."""
        self._owner.put(LeadershipProven(confirmed.asked_at, confirmed.version))

    def dump(self) -> Mapping[str, object]:
        """Return the state of the tasks, one section per task."""
        return {
            self._owner.name: self._owner.dump(),
            self._stock.name: self._stock.dump(),
        }

    def _handle_ask(self, frame: Frame) -> None:
        self._stock.put(AskReceived(frame.sender, _decode(frame, TokenAsk)))

    def _handle_demand(self, frame: Frame) -> None:
        self._owner.put(DemandReceived(frame.sender, _decode(frame, Demand)))

    def _handle_grants(self, frame: Frame) -> None:
        self._stock.put(GrantsReceived(_decode(frame, Grants)))

    def _handle_stock_output(self, output: StockOutput) -> None:
        match output:
            case SendReply():
                reply = output.reply
                label = "granted" if reply.is_granted else "refused"
                self._counters.count("limit_replies", label)
                self._link.send(output.recipient, KIND_REPLY, encode(reply))
            case SendDemand() if output.recipient == self._link.address:
                self._owner.put(DemandReceived(output.recipient, output.demand))
            case SendDemand():
                self._link.send(output.recipient, KIND_DEMAND, encode(output.demand))
            case _:
                eventlet.spawn_after(output.delay_s, self._stock.put, output.message)

    def _handle_owner_output(self, output: OwnerOutput) -> None:
        match output:
            case SendGrants():
                self._send_grants(output)
            case GrantingChanged():
                self._log.info("limits-granting", is_granting=output.is_granting)
            case OverLimitChanged():
                event = "limit-reached" if output.is_over else "limit-kept"
                self._counters.count(event.replace("-", "_"))
                self._report(event, output.organisation)
            case _:
                eventlet.spawn_after(output.delay_s, self._owner.put, OwnerSweep())

    def _report(self, event: str, organisation: str) -> None:
        """Log an event, up to a number of lines per period; counters have them all."""
        now = self._clock.now()
        if now >= self._lines_until:
            self._lines_until, self._lines = now + LINES_S, 0
        self._lines += 1
        if self._lines < MAX_LINES:
            self._log.info(event, organisation=organisation)
        elif self._lines == MAX_LINES:
            self._log.warning("limit-lines-omitted", until_s=LINES_S)

    def _send_grants(self, output: SendGrants) -> None:
        granted = sum(grant.tokens for grant in output.grants.grants)
        self._counters.count("limit_tokens", amount=granted)
        if output.recipient == self._link.address:
            self._stock.put(GrantsReceived(output.grants))
        else:
            self._link.send(output.recipient, KIND_GRANT, encode(output.grants))


def _decode(frame: Frame, kind: type[Message]) -> Message:
    try:
        return decode(frame.payload, kind)
    except CodecError as error:
        raise FrameError(error.message, context=frame.kind) from error
