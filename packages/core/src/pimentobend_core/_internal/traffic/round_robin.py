"""Round-robin load balancing, the baseline of the benchmarks."""

from collections.abc import Mapping

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.traffic.messages import Acquire
from pimentobend_core._internal.traffic.messages import Granted
from pimentobend_core._internal.traffic.messages import Rejected
from pimentobend_core._internal.traffic.messages import ServersChanged
from pimentobend_core._internal.traffic.messages import TrafficInput
from pimentobend_core._internal.traffic.messages import TrafficOutput

RETRY_AFTER_S = 1


class RoundRobinTraffic(StatefulFilter[TrafficInput, TrafficOutput]):
    """Grant every request the next ready server, without limits or ejection."""

    def __init__(self) -> None:
        self._servers: tuple[Server, ...] = ()
        self._next = 0

    def handle(self, message: TrafficInput, now: float) -> tuple[TrafficOutput, ...]:
        """Process one message and return the grant or refusal, if any."""
        if isinstance(message, ServersChanged):
            self._servers = message.servers
        if isinstance(message, Acquire):
            return (self._grant(message),)
        return ()

    def dump(self) -> Mapping[str, object]:
        """Return the ids of the servers."""
        return {"servers": [server.server_id for server in self._servers]}

    def _grant(self, message: Acquire) -> TrafficOutput:
        ready = [s for s in self._servers if s.state is ServerState.READY]
        untried = [s for s in ready if s.server_id not in message.excluded] or ready
        if not untried:
            return Rejected(message.ticket, _no_server_refusal())
        self._next += 1
        return Granted(message.ticket, untried[self._next % len(untried)])


def _no_server_refusal() -> Refusal:
    return Refusal(
        status=503,
        ran=Ran.NOT_RUN,
        reason=RefusalReason.NO_SERVER,
        detail="no backend server of the pool is ready",
        retry_after_s=RETRY_AFTER_S,
    )
