"""Client side of the replication: attach to a parent, catch up, publish, fail over.

``spread.messages`` explains rows, parents, the root and echoes.
"""

import random
from collections.abc import Mapping

from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.spread.gate import SnapshotGate
from pimentobend_core._internal.membership.spread.messages import START
from pimentobend_core._internal.membership.spread.messages import Alive
from pimentobend_core._internal.membership.spread.messages import Attach
from pimentobend_core._internal.membership.spread.messages import Beacon
from pimentobend_core._internal.membership.spread.messages import Busy
from pimentobend_core._internal.membership.spread.messages import ClientInput
from pimentobend_core._internal.membership.spread.messages import Delta
from pimentobend_core._internal.membership.spread.messages import Echo
from pimentobend_core._internal.membership.spread.messages import FetchSnapshot
from pimentobend_core._internal.membership.spread.messages import FromPeer
from pimentobend_core._internal.membership.spread.messages import PublishRows
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowsArrived
from pimentobend_core._internal.membership.spread.messages import SpreadOutput
from pimentobend_core._internal.membership.spread.messages import ToPeers
from pimentobend_core._internal.membership.spread.publisher import Publisher
from pimentobend_core._internal.membership.spread.store import FINAL_ROW_S
from pimentobend_core._internal.membership.spread.store import RowStore
from pimentobend_core._internal.pipes import StatefulFilter

PARENT_TIMEOUT_S = 1.5  # after so long without a beacon the next parent is tried
PEER_FALLBACK_S = 5.0  # after so long without a root, an empty store asks a peer
ROOT_TIMEOUT_S = 2.5  # after so long without a new pulse the root is unreachable
FAILOVER_MIN_S = 3.0  # first wait to leave a parent that is cut off from the root
FAILOVER_MAX_S = 60.0  # the wait doubles up to this
CATCH_UP_WAIT_S = 2.0  # how long to wait for the answer to an attach request
# After so many beacons with another digest at the same position, request a snapshot.
MISMATCHES_MAX = 10
SNAPSHOT_RETRY_MAX_S = 300.0
PEER_BYTES_PER_SECOND = 50_000.0  # limit on the snapshots that this sends to peers


class SpreadClient(StatefulFilter[ClientInput, SpreadOutput]):
    """Replica of all instances' rows that is kept up to date by a parent.

    ``parents`` are tried in order; ``peers`` can serve a snapshot while no
    parent does. ``epoch`` must increase at each start of the instance.
    """

    def __init__(
        self,
        instance_id: str,
        epoch: int,
        parents: tuple[str, ...],
        peers: tuple[str, ...] = (),
    ) -> None:
        self.store = RowStore()
        self._instance_id = instance_id
        self._parents = parents
        self._peers = peers
        self._parent_index = 0
        self._attachment = Rank(epoch, 0)
        self._publisher = Publisher(self.store)
        self._echoed: dict[RowId, Row] = {}
        self._gate = SnapshotGate(PEER_BYTES_PER_SECOND)
        self._rng = random.Random(f"{instance_id}/{epoch}")
        self._is_attached = False
        self._is_live = False
        # Time of the latest message from the parent, or of the attempt to attach to it.
        self._heard_at: float | None = None
        # Time of the latest new pulse of the root, or of the first tick.
        self._live_at: float | None = None
        self._pulse = (0, 0)  # the root's epoch and beacon count
        self._failover_wait_s = FAILOVER_MIN_S
        self._mismatches = 0
        self._catch_up_at = 0.0  # earliest time to catch up again by attaching
        self._snapshot_wait_s = 0.0
        self._snapshot_after = 0.0  # earliest time of the next snapshot request

    @property
    def is_attached(self) -> bool:
        """Return whether a parent has answered this instance within the timeout."""
        return self._is_attached

    @property
    def is_live(self) -> bool:
        """Return whether the root's beacons reach this instance."""
        return self._is_attached and self._is_live

    @property
    def pulse(self) -> int:
        """Return the latest beacon count received from the root."""
        return self._pulse[1]

    @property
    def echoed(self) -> tuple[Row, ...]:
        """Return the rows that arrived by echo and have no number yet."""
        return tuple(self._echoed.values())

    @property
    def parent(self) -> str:
        """Return the parent that is followed or being tried."""
        return self._parents[self._parent_index % len(self._parents)]

    @property
    def unconfirmed(self) -> int:
        """Return how many published rows have not come back from the root."""
        return self._publisher.waiting

    def follow(self, parents: tuple[str, ...]) -> None:
        """Replace the parents; the next tick attaches to the first."""
        self._parents = parents
        self._parent_index = 0
        self._is_attached = False
        self._is_live = False
        self._heard_at = None

    def handle(self, message: ClientInput, now: float) -> tuple[SpreadOutput, ...]:
        """Handle a peer's message, rows to publish or a tick."""
        match message:
            case FromPeer():
                return self._handle_peer(message, now)
            case PublishRows():
                self._publisher.add(message.rows, now)
                return (*self._echo(message.rows), *self._publish(now))
            case _:
                return self._tick(now)

    def arrive(self, rows: tuple[Row, ...]) -> tuple[SpreadOutput, ...]:
        """Return ``RowsArrived`` for numbered rows, without those seen by echo."""
        newer = []
        for row in rows:
            echoed = self._echoed.get(row.row_id)
            if echoed is None or echoed.rank < row.rank:
                newer.append(row)
            if echoed is not None and echoed.rank <= row.rank:
                del self._echoed[row.row_id]
        return (RowsArrived(tuple(newer)),) if newer else ()

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "position": list(self.store.position),
            "rows": len(self.store),
            "digest": f"{self.store.digest:016x}",
            "parent": self.parent if self._parents else None,
            "attached": self._is_attached,
            "live": self.is_live,
            "unconfirmed": self.unconfirmed,
            "echoed": len(self._echoed),
        }

    def _handle_peer(self, received: FromPeer, now: float) -> tuple[SpreadOutput, ...]:
        sender, message = received
        match message:
            case Delta():
                return self._handle_delta(sender, message, now)
            case Beacon() if self._is_parent(sender):
                return self._handle_beacon(message, now)
            case Busy() if self._is_parent(sender):
                return self._handle_busy(message, now)
            case Echo():
                return self._echo(message.rows)
            case FetchSnapshot():
                return self._serve_peer(sender, now)
            case _:
                return ()

    def _is_parent(self, sender: str) -> bool:
        return bool(self._parents) and sender == self.parent

    def _handle_delta(
        self, sender: str, delta: Delta, now: float
    ) -> tuple[SpreadOutput, ...]:
        if self._is_parent(sender):
            self._is_attached = True
            self._heard_at = now
        if delta.position < self.store.position:
            return ()
        if not delta.is_snapshot and not self._follows(delta):
            if self._is_parent(sender) and now >= self._catch_up_at:
                return (self._attach(now),)
            return ()
        return self._apply(delta, now)

    def _follows(self, delta: Delta) -> bool:
        """Return whether a delta continues the store without a gap."""
        position = self.store.position
        if delta.position.epoch == position.epoch:
            return delta.after <= position.number
        if position.epoch != delta.base.epoch:
            return False
        return delta.after <= min(position.number, delta.base.number)

    def _apply(self, delta: Delta, now: float) -> tuple[SpreadOutput, ...]:
        self._catch_up_at = now
        is_new_epoch = delta.position.epoch != self.store.position.epoch
        ahead = []
        arrived = []
        for numbered in delta.rows:
            row = numbered.row
            if self.store.put(numbered, now):
                arrived.append(row)
            elif self.store.get(row.row_id) != row:
                ahead.append(row.row_id)
            self._publisher.confirm(row)
        if delta.is_snapshot:
            arrived += self._drop_missing(delta, now)
            self._snapshot_after = now + self._snapshot_wait_s
        self.store.position = delta.position
        self.store.base = delta.base
        kept = (self.store.get(row_id) for row_id in ahead)
        self._publisher.repair(tuple(row for row in kept if row is not None))
        if is_new_epoch or delta.is_snapshot:
            self.store.sort()
            self._publisher.republish_unseen(delta.base.number)
        return self.arrive(tuple(arrived))

    def _drop_missing(self, delta: Delta, now: float) -> list[Row]:
        """Drop old rows that a snapshot lacks; return empty final rows for them.

        The root keeps final rows for ``FINAL_ROW_S``. If it lacks a row younger
        than that, it lost the row when it took over, so the row is published
        again instead.
        """
        present = {numbered.row.row_id for numbered in delta.rows}
        missing = [row for row in self.store.rows() if row.row_id not in present]
        dropped = []
        for row in missing:
            if self.store.age_s(row.row_id, now) < FINAL_ROW_S:
                self._publisher.repair((row,))
                continue
            self.store.drop(row.row_id)
            dropped.append(row._replace(payload=b"", is_final=True))
        return dropped

    def _echo(self, rows: tuple[Row, ...]) -> tuple[SpreadOutput, ...]:
        """Return those of the rows without a number that are newer than known ones."""
        newer = []
        for row in rows:
            known = self._echoed.get(row.row_id) or self.store.get(row.row_id)
            if known is None or known.rank < row.rank:
                self._echoed[row.row_id] = row
                newer.append(row)
        return (RowsArrived(tuple(newer)),) if newer else ()

    def _handle_beacon(self, beacon: Beacon, now: float) -> tuple[SpreadOutput, ...]:
        self._is_attached = True
        self._heard_at = now
        pulse = (beacon.position.epoch, beacon.pulse)
        if pulse > self._pulse:
            self._pulse = pulse
            self._live_at = now
            self._is_live = True
            self._failover_wait_s = FAILOVER_MIN_S
        alive = ToPeers((self.parent,), Alive(self._attachment, self.store.position))
        if not _names_position(beacon) or beacon.position < self.store.position:
            return (alive,)
        self.store.forget(beacon.floor)
        if beacon.digest == self.store.digest:
            self._mismatches = 0
            self._snapshot_wait_s = 0.0
            self._adopt(beacon)
            return (alive,)
        if now < self._catch_up_at:
            return (alive,)
        if beacon.position != self.store.position:
            return (alive, self._attach(now))
        self._mismatches += 1
        if self._mismatches < MISMATCHES_MAX or now < self._snapshot_after:
            return (alive,)
        self._mismatches = 0
        self._snapshot_wait_s = min(SNAPSHOT_RETRY_MAX_S, 2 * self._snapshot_wait_s + 5)
        return (alive, self._attach(now, wants_snapshot=True))

    def _adopt(self, beacon: Beacon) -> None:
        """Adopt the parent's position; equal digests mean equal rows."""
        is_new_epoch = beacon.position.epoch != self.store.position.epoch
        self.store.position = beacon.position
        self.store.base = beacon.base
        if is_new_epoch:
            self._publisher.republish_unseen(beacon.base.number)
        self._publisher.confirm_stored()

    def _handle_busy(self, busy: Busy, now: float) -> tuple[SpreadOutput, ...]:
        self._is_attached = True
        self._heard_at = now
        self._catch_up_at = now + busy.retry_after_s
        if len(self.store) or not busy.peers:
            return ()
        return (ToPeers((self._rng.choice(busy.peers),), FetchSnapshot()),)

    def _serve_peer(self, sender: str, now: float) -> tuple[SpreadOutput, ...]:
        if not len(self.store) or not self._gate.admit(len(self.store), now):
            return ()
        return (ToPeers((sender,), create_snapshot(self.store)),)

    def _tick(self, now: float) -> tuple[SpreadOutput, ...]:
        if self._live_at is None:
            self._live_at = now
        if now - self._live_at >= ROOT_TIMEOUT_S:
            self._is_live = False
        outputs = self._publish(now)
        if not self._parents:
            return outputs
        if self._has_timed_out(now):
            self._is_attached = False
            return (*outputs, *self._try_next_parent(now))
        if not self._is_live and now - self._live_at >= self._failover_wait_s:
            self._failover_wait_s = min(FAILOVER_MAX_S, 2 * self._failover_wait_s)
            return (*outputs, *self._try_next_parent(now))
        return outputs

    def _try_next_parent(self, now: float) -> tuple[SpreadOutput, ...]:
        if self._heard_at is not None:
            self._parent_index += 1
        self._heard_at = now + self._rng.random() * PARENT_TIMEOUT_S / 2
        return (self._attach(now), *self._ask_peer(now))

    def _has_timed_out(self, now: float) -> bool:
        return self._heard_at is None or now - self._heard_at >= PARENT_TIMEOUT_S

    def _ask_peer(self, now: float) -> tuple[SpreadOutput, ...]:
        since_live_s = 0.0 if self._live_at is None else now - self._live_at
        if len(self.store) or not self._peers or since_live_s < PEER_FALLBACK_S:
            return ()
        return (ToPeers((self._rng.choice(self._peers),), FetchSnapshot()),)

    def _attach(self, now: float, wants_snapshot: bool = False) -> SpreadOutput:
        self._catch_up_at = now + CATCH_UP_WAIT_S
        self._attachment = Rank(self._attachment.epoch, self._attachment.sequence + 1)
        position = START if wants_snapshot else self.store.position
        attach = Attach(position, self.store.digest, self._attachment, wants_snapshot)
        return ToPeers((self.parent,), attach)

    def _publish(self, now: float) -> tuple[SpreadOutput, ...]:
        if not self._is_attached:
            return ()
        publish = self._publisher.take(now)
        return () if publish is None else (ToPeers((self.parent,), publish),)


def _names_position(beacon: Beacon) -> bool:
    """Return whether a beacon names a position; ``RelayNode`` may leave it out."""
    return beacon.position.number > 0 or beacon.base == START


def create_snapshot(store: RowStore) -> Delta:
    """Return a message with every row of a store."""
    return Delta(store.position, store.base, 0, True, store.since(0))
