"""Baseline policies for load balancing and queueing, as in a plain proxy."""

from collections.abc import Mapping

from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.messages import Abandon
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import Granted
from pimentobend_core._internal.traffic.messages import Rejected
from pimentobend_core._internal.traffic.messages import ServersChanged
from pimentobend_core._internal.traffic.messages import TrafficInput
from pimentobend_core._internal.traffic.messages import TrafficOutput


class RoundRobinTraffic(StatefulFilter[TrafficInput, TrafficOutput]):
    """Sends each request at once to the next server in turn, without queueing."""

    def __init__(self, seed: int) -> None:
        self._servers: tuple[Server, ...] = ()
        self._turn = seed

    def handle(self, message: TrafficInput, now: float) -> tuple[TrafficOutput, ...]:
        """Handle one message at ``now`` (seconds) and return the messages it causes."""
        match message:
            case ServersChanged():
                self._servers = message.servers
            case Acquire():
                self._turn += 1
                server = self._servers[self._turn % len(self._servers)]
                return (Granted(message.ticket, server),)
        return ()

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {"turn": self._turn}


class FifoQueueTraffic(StatefulFilter[TrafficInput, TrafficOutput]):
    """Queues requests first-in, first-out.

    Each daemon uses an equal share of all slots and knows nothing of the others.
    """

    def __init__(self, seed: int, daemons: int, queue_limit: int) -> None:
        self._turn = seed
        self._daemons = daemons
        self._queue_limit = queue_limit
        self._servers: tuple[Server, ...] = ()
        self._in_use: dict[int, str] = {}
        self._queue: list[Acquire] = []

    def handle(self, message: TrafficInput, now: float) -> tuple[TrafficOutput, ...]:
        """Handle one message at ``now`` (seconds) and return the messages it causes."""
        match message:
            case ServersChanged():
                self._servers = message.servers
            case Acquire():
                if len(self._queue) >= self._queue_limit:
                    return (Rejected(message.ticket, _queue_full()),)
                self._queue.append(message)
            case AttemptEnded():
                self._in_use.pop(message.ticket, None)
            case Abandon():
                self._in_use.pop(message.ticket, None)
                self._queue = [
                    queued for queued in self._queue if queued.ticket != message.ticket
                ]
        return self._dispatch()

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {"queued": len(self._queue), "in_flight": len(self._in_use)}

    def _dispatch(self) -> tuple[TrafficOutput, ...]:
        granted = []
        total = sum(server.slots for server in self._servers)
        share = max(1, round(total / self._daemons))
        while self._queue and len(self._in_use) < share:
            message = self._queue.pop(0)
            self._turn += 1
            server = self._servers[self._turn % len(self._servers)]
            self._in_use[message.ticket] = server.server_id
            granted.append(Granted(message.ticket, server))
        return tuple(granted)


def _queue_full() -> Refusal:
    return Refusal(503, Ran.NOT_RUN, RefusalReason.QUEUE_FULL, "the queue is full", 1)
