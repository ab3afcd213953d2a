"""Simulated network of control replicas, relays and daemons."""

import collections
import heapq
import itertools
import random
from collections.abc import Callable
from collections.abc import Iterable
from typing import NamedTuple

from pimentobend_core._internal.membership.spread.client import SpreadClient
from pimentobend_core._internal.membership.spread.messages import BecomeRoot
from pimentobend_core._internal.membership.spread.messages import FollowParents
from pimentobend_core._internal.membership.spread.messages import FromPeer
from pimentobend_core._internal.membership.spread.messages import PeerMessage
from pimentobend_core._internal.membership.spread.messages import PublishRows
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowsArrived
from pimentobend_core._internal.membership.spread.messages import SpreadOutput
from pimentobend_core._internal.membership.spread.messages import SpreadTick
from pimentobend_core._internal.membership.spread.plan import Place
from pimentobend_core._internal.membership.spread.plan import TreeRole
from pimentobend_core._internal.membership.spread.plan import plan_parents
from pimentobend_core._internal.membership.spread.plan import plan_siblings
from pimentobend_core._internal.membership.spread.relay import RelayNode

TICK_S = 0.1
NEAR_S = 0.001  # one-way delay within a region
FAR_S = 0.030  # one-way delay between regions

Node = RelayNode | SpreadClient
Observer = Callable[[str, tuple[str, ...], PeerMessage], None]


class FleetShape(NamedTuple):
    """Size of a fleet; data centres are assigned to the regions in turn."""

    regions: int
    data_centres: int
    replicas: int
    relays_per_data_centre: int
    daemons: int


class _Delivery(NamedTuple):
    """A message in transit."""

    due: float  # time of delivery
    number: int  # keeps messages of the same time in the order of sending
    sender: str
    recipient: str
    message: PeerMessage


def create_places(shape: FleetShape) -> tuple[Place, ...]:
    """Return the instances of a fleet: replicas, then relays, then daemons."""
    data_centres = [
        (f"r{n % shape.regions}", f"dc{n}") for n in range(shape.data_centres)
    ]
    places = []
    for number, data_centre in zip(
        range(shape.replicas), itertools.cycle(data_centres)
    ):
        places.append(Place(f"replica-{number}", *data_centre, TreeRole.REPLICA))
    for region, data_centre_name in data_centres:
        for number in range(shape.relays_per_data_centre):
            name = f"relay-{data_centre_name}-{number}"
            places.append(Place(name, region, data_centre_name, TreeRole.RELAY))
    for number, data_centre in zip(range(shape.daemons), itertools.cycle(data_centres)):
        places.append(Place(f"daemon-{number:04}", *data_centre, TreeRole.DAEMON))
    return tuple(places)


class Fleet:
    """The simulated clock, the running nodes and the messages between them."""

    def __init__(self, shape: FleetShape, seed: int) -> None:
        self.now = 0.0
        self.places = {place.instance_id: place for place in create_places(shape)}
        self.control = tuple(
            place for place in self.places.values() if place.role is not TreeRole.DAEMON
        )
        self.nodes: dict[str, Node] = {}
        self.arrived: dict[str, dict[RowId, Row]] = collections.defaultdict(dict)
        self.cut: set[tuple[str, str]] = (
            set()
        )  # all messages from sender to recipient are lost
        self.drop_share = 0.0
        self.duplicate_share = 0.0
        self.jitter_s = 0.0
        # Nodes and their rows that were replaced by one of lower rank; must stay empty.
        self.went_back: list[tuple[str, RowId]] = []
        self.observers: list[Observer] = []
        self.leader: str | None = None
        self._term = 0
        self._epochs: collections.Counter[str] = collections.Counter()
        self._in_transit: list[_Delivery] = []
        self._numbers = itertools.count()
        self._rng = random.Random(seed)
        self._offsets = {name: self._rng.random() * TICK_S for name in self.places}
        for name in self.places:
            self.start(name)

    def start(self, name: str) -> None:
        """Start or restart an instance without any state."""
        self._epochs[name] += 1
        self.arrived.pop(name, None)
        place = self.places[name]
        parents = plan_parents(place, self.control, self.leader)
        epoch = self._epochs[name]
        if place.role is TreeRole.DAEMON:
            peers = self._peers(place)
            self.nodes[name] = SpreadClient(name, epoch, parents, peers)
            return
        siblings = plan_siblings(place, self.control)
        self.nodes[name] = RelayNode(name, epoch, parents, siblings)

    def stop(self, name: str) -> None:
        """Stop an instance without notice to the others."""
        self.nodes.pop(name, None)

    def epoch(self, name: str) -> int:
        """Return how often an instance has been started."""
        return self._epochs[name]

    def lead(self, name: str | None, unaware: str | None = None) -> None:
        """Make a replica the root, or leave the fleet without a root.

        The replica ``unaware`` is not notified, as if it were behind a partition.
        """
        self.leader = name
        self._term += 1
        for place in self.control:
            if place.instance_id == unaware:
                continue
            if place.instance_id == name:
                self.deliver(name, BecomeRoot(self._term))
            elif place.role is TreeRole.REPLICA:
                parents = plan_parents(place, self.control, name)
                self.deliver(place.instance_id, FollowParents(parents))

    def publish(self, name: str, rows: Iterable[Row]) -> None:
        """Let an instance publish rows of its own."""
        self.deliver(name, PublishRows(tuple(rows)))

    def deliver(
        self,
        name: str,
        message: FromPeer | PublishRows | SpreadTick | BecomeRoot | FollowParents,
    ) -> None:
        """Deliver a message to an instance and send the messages it returns."""
        node = self.nodes.get(name)
        if node is None:
            return
        match node, message:
            case RelayNode(), _:
                self._send(name, node.handle(message, self.now))
            case _, FromPeer() | PublishRows() | SpreadTick():
                self._send(name, node.handle(message, self.now))

    def run(self, seconds: float) -> None:
        """Advance the simulated time by ``seconds``, in steps of one tick."""
        end = self.now + seconds
        while self.now < end - TICK_S / 2:
            self._tick()

    def run_until(self, is_done: Callable[[], bool], limit_s: float) -> float | None:
        """Run until ``is_done``; return the seconds it took, or None at the limit."""
        started_at = self.now
        while not is_done():
            if self.now - started_at >= limit_s:
                return None
            self._tick()
        return self.now - started_at

    def cut_off(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Lose all messages from the left group to the right one."""
        self.cut |= set(itertools.product(left, right))

    def mend(self) -> None:
        """Clear all faults of the network."""
        self.cut.clear()
        self.drop_share = 0.0
        self.duplicate_share = 0.0
        self.jitter_s = 0.0

    def names(self, role: TreeRole) -> list[str]:
        """Return the running instances of a role."""
        return [name for name in self.nodes if self.places[name].role is role]

    def _tick(self) -> None:
        end = self.now + TICK_S
        ticks = sorted((self.now + self._offsets[name], name) for name in self.nodes)
        for due, name in ticks:
            self._deliver_until(due)
            self.now = due
            self.deliver(name, SpreadTick())
        self._deliver_until(end)
        self.now = end

    def _deliver_until(self, until: float) -> None:
        while self._in_transit and self._in_transit[0].due <= until:
            delivery = heapq.heappop(self._in_transit)
            self.now = max(self.now, delivery.due)
            self.deliver(
                delivery.recipient, FromPeer(delivery.sender, delivery.message)
            )

    def _send(self, sender: str, outputs: tuple[SpreadOutput, ...]) -> None:
        for output in outputs:
            if isinstance(output, RowsArrived):
                self._record_rows(sender, output.rows)
                continue
            for observer in self.observers:
                observer(sender, output.recipients, output.message)
            for recipient in output.recipients:
                self._post(sender, recipient, output.message)

    def _record_rows(self, name: str, rows: tuple[Row, ...]) -> None:
        rows_by_id = self.arrived[name]
        for row in rows:
            known = rows_by_id.get(row.row_id)
            if known is not None and row.rank < known.rank:
                self.went_back.append((name, row.row_id))
            rows_by_id[row.row_id] = row

    def _post(self, sender: str, recipient: str, message: PeerMessage) -> None:
        if (sender, recipient) in self.cut or self._draw(self.drop_share):
            return
        copies = 2 if self._draw(self.duplicate_share) else 1
        is_near = self.places[sender].region == self.places[recipient].region
        for _ in range(copies):
            delay_s = NEAR_S if is_near else FAR_S
            if self.jitter_s:
                delay_s += self._rng.random() * self.jitter_s
            number = next(self._numbers)
            delivery = _Delivery(self.now + delay_s, number, sender, recipient, message)
            heapq.heappush(self._in_transit, delivery)

    def _draw(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share

    def _peers(self, place: Place) -> tuple[str, ...]:
        return tuple(
            other.instance_id
            for other in self.places.values()
            if other.role is TreeRole.DAEMON
            and other.data_centre == place.data_centre
            and other.instance_id != place.instance_id
        )
