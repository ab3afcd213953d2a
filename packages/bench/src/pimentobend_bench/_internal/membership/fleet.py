"""Join relays and daemons by a fake network in simulated time."""

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
NEAR_S = 0.001
FAR_S = 0.030

Node = RelayNode | SpreadClient
Observer = Callable[[str, tuple[str, ...], PeerMessage], None]


class FleetShape(NamedTuple):
    """Size a fleet; data centres are shared out among the regions."""

    regions: int
    data_centres: int
    replicas: int
    relays_a_data_centre: int
    daemons: int


class _Letter(NamedTuple):
    """Hold a message under way; ordered by time, then by number."""

    due: float
    number: int
    sender: str
    recipient: str
    message: PeerMessage


def create_places(shape: FleetShape) -> tuple[Place, ...]:
    """Name the instances of a fleet, replicas first."""
    centres = [(f"r{n % shape.regions}", f"dc{n}") for n in range(shape.data_centres)]
    places = []
    for number, centre in zip(range(shape.replicas), itertools.cycle(centres)):
        places.append(Place(f"replica-{number}", *centre, TreeRole.REPLICA))
    for region, centre_name in centres:
        for number in range(shape.relays_a_data_centre):
            name = f"relay-{centre_name}-{number}"
            places.append(Place(name, region, centre_name, TreeRole.RELAY))
    for number, centre in zip(range(shape.daemons), itertools.cycle(centres)):
        places.append(Place(f"daemon-{number:04}", *centre, TreeRole.DAEMON))
    return tuple(places)


class Fleet:
    """Own the nodes, the letters between them and simulated time."""

    def __init__(self, shape: FleetShape, seed: int) -> None:
        self.now = 0.0
        self.places = {place.instance_id: place for place in create_places(shape)}
        self.control = tuple(
            place for place in self.places.values() if place.role is not TreeRole.DAEMON
        )
        self.nodes: dict[str, Node] = {}
        self.arrived: dict[str, dict[RowId, Row]] = collections.defaultdict(dict)
        self.cut: set[tuple[str, str]] = set()  # directions that lose everything
        self.drop_share = 0.0
        self.duplicate_share = 0.0
        self.jitter_s = 0.0
        self.went_back: list[tuple[str, RowId]] = []
        self.observers: list[Observer] = []
        self.leader: str | None = None
        self._term = 0
        self._epochs: collections.Counter[str] = collections.Counter()
        self._letters: list[_Letter] = []
        self._numbers = itertools.count()
        self._rng = random.Random(seed)
        self._offsets = {name: self._rng.random() * TICK_S for name in self.places}
        for name in self.places:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance, again or for the first time, without any state."""
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
        """Let an instance vanish."""
        self.nodes.pop(name, None)

    def epoch(self, name: str) -> int:
        """Return which life of an instance this is."""
        return self._epochs[name]

    def lead(self, name: str | None, unaware: str | None = None) -> None:
        """Let a replica become the root, or leave the fleet without one.

        A replica that is ``unaware`` isn't told, as behind a partition.
        """
        self.leader = name
        self._term += 1
        for place in self.control:
            if place.instance_id == unaware:
                continue
            if place.instance_id == name:
                self.give(name, BecomeRoot(self._term))
            elif place.role is TreeRole.REPLICA:
                parents = plan_parents(place, self.control, name)
                self.give(place.instance_id, FollowParents(parents))

    def publish(self, name: str, rows: Iterable[Row]) -> None:
        """Let an instance spread rows of its own."""
        self.give(name, PublishRows(tuple(rows)))

    def give(
        self,
        name: str,
        message: FromPeer | PublishRows | SpreadTick | BecomeRoot | FollowParents,
    ) -> None:
        """Hand one message to an instance and send what follows."""
        node = self.nodes.get(name)
        if node is None:
            return
        match node, message:
            case RelayNode(), _:
                self._send(name, node.handle(message, self.now))
            case _, FromPeer() | PublishRows() | SpreadTick():
                self._send(name, node.handle(message, self.now))

    def run(self, seconds: float) -> None:
        """Let simulated time pass, a tick at a time."""
        end = self.now + seconds
        while self.now < end - TICK_S / 2:
            self._tick()

    def run_until(self, is_done: Callable[[], bool], limit_s: float) -> float | None:
        """Return the seconds until something holds, or None past the limit."""
        began = self.now
        while not is_done():
            if self.now - began >= limit_s:
                return None
            self._tick()
        return self.now - began

    def cut_off(self, left: Iterable[str], right: Iterable[str]) -> None:
        """Lose everything that one group sends to the other."""
        self.cut |= set(itertools.product(left, right))

    def mend(self) -> None:
        """End all faults of the network."""
        self.cut.clear()
        self.drop_share = 0.0
        self.duplicate_share = 0.0
        self.jitter_s = 0.0

    def names(self, role: TreeRole) -> list[str]:
        """Return the instances of a role that run."""
        return [name for name in self.nodes if self.places[name].role is role]

    def _tick(self) -> None:
        end = self.now + TICK_S
        ticks = sorted((self.now + self._offsets[name], name) for name in self.nodes)
        for due, name in ticks:
            self._deliver(due)
            self.now = due
            self.give(name, SpreadTick())
        self._deliver(end)
        self.now = end

    def _deliver(self, until: float) -> None:
        while self._letters and self._letters[0].due <= until:
            letter = heapq.heappop(self._letters)
            self.now = max(self.now, letter.due)
            self.give(letter.recipient, FromPeer(letter.sender, letter.message))

    def _send(self, sender: str, outputs: tuple[SpreadOutput, ...]) -> None:
        for output in outputs:
            if isinstance(output, RowsArrived):
                self._arrive(sender, output.rows)
                continue
            for observer in self.observers:
                observer(sender, output.recipients, output.message)
            for recipient in output.recipients:
                self._post(sender, recipient, output.message)

    def _arrive(self, name: str, rows: tuple[Row, ...]) -> None:
        held = self.arrived[name]
        for row in rows:
            known = held.get(row.row_id)
            if known is not None and row.rank < known.rank:
                self.went_back.append((name, row.row_id))
            held[row.row_id] = row

    def _post(self, sender: str, recipient: str, message: PeerMessage) -> None:
        if (sender, recipient) in self.cut or self._chance(self.drop_share):
            return
        copies = 2 if self._chance(self.duplicate_share) else 1
        near = self.places[sender].region == self.places[recipient].region
        for _ in range(copies):
            delay_s = NEAR_S if near else FAR_S
            if self.jitter_s:
                delay_s += self._rng.random() * self.jitter_s
            number = next(self._numbers)
            letter = _Letter(self.now + delay_s, number, sender, recipient, message)
            heapq.heappush(self._letters, letter)

    def _chance(self, share: float) -> bool:
        return share > 0 and self._rng.random() < share

    def _peers(self, place: Place) -> tuple[str, ...]:
        return tuple(
            other.instance_id
            for other in self.places.values()
            if other.role is TreeRole.DAEMON
            and other.data_centre == place.data_centre
            and other.instance_id != place.instance_id
        )
