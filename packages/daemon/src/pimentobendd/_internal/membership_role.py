"""Distribute the changes of backend servers to all processes of the fleet.

Rows, each of which describes one server, travel through the spread tree: clients
send them to relays, which exchange them with the root. Each process builds its
view, the list of the fleet's servers, from the rows that it receives.
"""

from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_adapters._internal.logs import get_log
from pimentobend_adapters._internal.tasks import CallOutlet
from pimentobend_adapters._internal.tasks import FilterTask
from pimentobend_adapters._internal.tasks import PeriodicMessage
from pimentobend_core._internal.consensus.messages import LeaderChanged
from pimentobend_core._internal.exceptions import PimentobendError
from pimentobend_core._internal.membership.instances import InstanceCount
from pimentobend_core._internal.membership.messages import EarlierDrains
from pimentobend_core._internal.membership.messages import InstanceCountInput
from pimentobend_core._internal.membership.messages import InstanceFound
from pimentobend_core._internal.membership.messages import InstanceLost
from pimentobend_core._internal.membership.messages import InstancesCounted
from pimentobend_core._internal.membership.messages import InstancesTick
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import ServerEvents
from pimentobend_core._internal.membership.messages import ServiceChanged
from pimentobend_core._internal.membership.messages import ViewInput
from pimentobend_core._internal.membership.messages import ViewTick
from pimentobend_core._internal.membership.pools import PoolServers
from pimentobend_core._internal.membership.pools import PoolServersChanged
from pimentobend_core._internal.membership.pools import PoolServersInput
from pimentobend_core._internal.membership.restarts import find_earlier_drains
from pimentobend_core._internal.membership.rows import create_server_row
from pimentobend_core._internal.membership.rows import read_rows
from pimentobend_core._internal.membership.spread.client import SpreadClient
from pimentobend_core._internal.membership.spread.codec import decode_message
from pimentobend_core._internal.membership.spread.codec import encode_message
from pimentobend_core._internal.membership.spread.messages import BecomeRoot
from pimentobend_core._internal.membership.spread.messages import FollowParents
from pimentobend_core._internal.membership.spread.messages import FromPeer
from pimentobend_core._internal.membership.spread.messages import PublishRows
from pimentobend_core._internal.membership.spread.messages import RelayInput
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowKind
from pimentobend_core._internal.membership.spread.messages import RowsArrived
from pimentobend_core._internal.membership.spread.messages import SpreadOutput
from pimentobend_core._internal.membership.spread.messages import SpreadTick
from pimentobend_core._internal.membership.spread.relay import RelayNode
from pimentobend_core._internal.membership.view import MembershipView
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.pipes import StatefulFilter
from pimentobend_core._internal.ports import ClockPort

KIND_SPREAD = "spread"
SPREAD_TICK_S = 0.1
VIEW_TICK_S = 1.0
INSTANCES_TICK_S = 1.0

SpreadNode = StatefulFilter[RelayInput, SpreadOutput]


class MembershipRole:
    """Runs this process's node of the spread tree and its view of the fleet.

    A control instance is a relay, and the root while it leads; any other
    process is a client of the tree. Ids in the tree are link addresses. The
    ``parents`` are the nodes that this one may follow, the preferred one first.
    ``on_fault`` is called for each malformed row.
    """

    def __init__(
        self,
        link: Transport,
        epoch: int,
        parents: tuple[str, ...],
        is_relay: bool,
        clock: ClockPort,
        on_fault: Callable[[PimentobendError], None],
    ) -> None:
        self._link = link
        self._epoch = epoch
        self._on_fault = on_fault
        self._parents = parents
        self._subscribers: list[Callable[[ServiceChanged], None]] = []
        self._pool_subscribers: list[Callable[[PoolServersChanged], None]] = []
        self._crash_subscribers: list[Callable[[Row], None]] = []
        self._drain_subscribers: list[Callable[[EarlierDrains], None]] = []
        self._count_subscribers: list[Callable[[InstancesCounted], None]] = []
        self._node: FilterTask[RelayInput, SpreadOutput] = FilterTask(
            "spread-servers",
            _create_node(link.address, epoch, parents, is_relay),
            CallOutlet(self._handle_output),
            clock,
            PeriodicMessage(SPREAD_TICK_S, SpreadTick()),
        )
        self._view: FilterTask[ViewInput, ServiceChanged] = FilterTask(
            "view",
            MembershipView(),
            CallOutlet(self._notify_subscribers),
            clock,
            PeriodicMessage(VIEW_TICK_S, ViewTick()),
        )

        self._pools: FilterTask[PoolServersInput, PoolServersChanged] = FilterTask(
            "pools", PoolServers(), CallOutlet(self._notify_pool_subscribers), clock
        )
        self.subscribe(self._pools.put)
        self._instances: FilterTask[InstanceCountInput, InstancesCounted] = FilterTask(
            "instances",
            InstanceCount(link.address, epoch, parents),
            CallOutlet(self._notify_count_subscribers),
            clock,
            PeriodicMessage(INSTANCES_TICK_S, InstancesTick()),
        )

    def start(self) -> None:
        """Start the tasks."""
        self._pools.start()
        self._view.start()
        self._instances.start()
        self._node.start()

    def stop(self) -> None:
        """Stop the tasks."""
        self._node.stop()
        self._instances.stop()
        self._view.stop()
        self._pools.stop()

    def dump(self) -> Mapping[str, object]:
        """Return the state of the tasks."""
        tasks = (self._view, self._pools, self._instances, self._node)
        return {task.name: task.dump() for task in tasks}

    def servers(self) -> list[object]:
        """Return a row for each live server of each pool."""
        return [row for rows in self._pools.dump().values() for row in _as_rows(rows)]

    def subscribe(self, function: Callable[[ServiceChanged], None]) -> None:
        """Call ``function`` at each change of a service's live servers."""
        self._subscribers.append(function)

    def subscribe_to_pools(
        self, function: Callable[[PoolServersChanged], None]
    ) -> None:
        """Call ``function`` at each change of a pool's live servers."""
        self._pool_subscribers.append(function)

    def subscribe_to_instances(
        self, function: Callable[[InstancesCounted], None]
    ) -> None:
        """Call ``function`` at each change of the number of instances."""
        self._count_subscribers.append(function)

    def subscribe_to_crashes(self, function: Callable[[Row], None]) -> None:
        """Call ``function`` with each row of reports on crashes that arrives."""
        self._crash_subscribers.append(function)

    def subscribe_to_earlier_drains(
        self, function: Callable[[EarlierDrains], None]
    ) -> None:
        """Call ``function`` with the servers that this process published as leaving.

        Only those count that it published before its restart.
        """
        self._drain_subscribers.append(function)

    def publish_row(self, row: Row) -> None:
        """Publish a row of this process."""
        self._node.put(PublishRows((row,)))

    def update_tables(self, tables: Tables) -> None:
        """Apply the pools of new tables."""
        self._pools.put(tables)

    def publish(self, event: ServerEvent) -> None:
        """Publish a change of a server that announces itself to this process."""
        self._view.put(event)
        self._node.put(PublishRows((create_server_row(event),)))

    def update_leader(self, message: LeaderChanged) -> None:
        """Become the root if this replica leads, else prefer the leader as parent."""
        if message.leader_id == self._link.address:
            self._node.put(BecomeRoot(message.term))
            # The root has no parent that would report it as live.
            self._instances.put(InstanceFound(self._link.address, self._epoch))
            return
        leader = () if message.leader_id is None else (message.leader_id,)
        others = tuple(one for one in self._parents if one not in leader)
        self._node.put(FollowParents((*leader, *others)))

    def handle_frame(self, frame: Frame) -> None:
        """Handle another instance's frame; raise ``CodecError`` if it is malformed."""
        self._node.put(FromPeer(frame.sender, decode_message(frame.payload)))

    def _handle_output(self, output: SpreadOutput) -> None:
        if isinstance(output, RowsArrived):
            for message in read_rows(output.rows, self._on_fault):
                self._view.put(message)
                if isinstance(message, ServerEvents):
                    self._notify_drain_subscribers(message)
                if isinstance(message, InstanceFound | InstanceLost):
                    self._instances.put(message)
            self._notify_crash_subscribers(output.rows)
            return
        payload = encode_message(output.message)
        for recipient in output.recipients:
            self._link.send(recipient, KIND_SPREAD, payload)

    def _notify_subscribers(self, message: ServiceChanged) -> None:
        for function in self._subscribers:
            function(message)

    def _notify_drain_subscribers(self, message: ServerEvents) -> None:
        drains = find_earlier_drains(message.events, self._link.address, self._epoch)
        if drains.servers:
            for function in self._drain_subscribers:
                function(drains)

    def _notify_crash_subscribers(self, rows: tuple[Row, ...]) -> None:
        for row in rows:
            if row.row_id.kind == RowKind.CRASHES:
                for function in self._crash_subscribers:
                    function(row)

    def _notify_count_subscribers(self, message: InstancesCounted) -> None:
        get_log().info("instances-counted", **message._asdict())
        for function in self._count_subscribers:
            function(message)

    def _notify_pool_subscribers(self, message: PoolServersChanged) -> None:
        for function in self._pool_subscribers:
            function(message)


def _as_rows(rows: object) -> list[object]:
    return rows if isinstance(rows, list) else []


def _create_node(
    instance_id: str, epoch: int, parents: tuple[str, ...], is_relay: bool
) -> SpreadNode:
    if is_relay:
        return RelayNode(instance_id, epoch, parents)
    client: SpreadNode = SpreadClient(instance_id, epoch, parents)  # type: ignore[assignment]
    return client
