"""Relay: sends rows down to its children and up to the root.

The instances form a tree, in which a relay follows a parent and serves
children. ``spread.messages`` explains rows, the root's order and echoes.
"""

import random
from collections.abc import Mapping

from pimentobend_core._internal.membership.spread.children import Children
from pimentobend_core._internal.membership.spread.client import SpreadClient
from pimentobend_core._internal.membership.spread.client import create_snapshot
from pimentobend_core._internal.membership.spread.gate import ROW_BYTES
from pimentobend_core._internal.membership.spread.gate import SnapshotGate
from pimentobend_core._internal.membership.spread.liveness import create_lost_row
from pimentobend_core._internal.membership.spread.liveness import create_row
from pimentobend_core._internal.membership.spread.liveness import is_attached
from pimentobend_core._internal.membership.spread.messages import Alive
from pimentobend_core._internal.membership.spread.messages import Attach
from pimentobend_core._internal.membership.spread.messages import Beacon
from pimentobend_core._internal.membership.spread.messages import BecomeRoot
from pimentobend_core._internal.membership.spread.messages import Busy
from pimentobend_core._internal.membership.spread.messages import Delta
from pimentobend_core._internal.membership.spread.messages import Echo
from pimentobend_core._internal.membership.spread.messages import FollowParents
from pimentobend_core._internal.membership.spread.messages import FromPeer
from pimentobend_core._internal.membership.spread.messages import NumberedRow
from pimentobend_core._internal.membership.spread.messages import Position
from pimentobend_core._internal.membership.spread.messages import Publish
from pimentobend_core._internal.membership.spread.messages import PublishRows
from pimentobend_core._internal.membership.spread.messages import RelayInput
from pimentobend_core._internal.membership.spread.messages import Row
from pimentobend_core._internal.membership.spread.messages import RowId
from pimentobend_core._internal.membership.spread.messages import RowKind
from pimentobend_core._internal.membership.spread.messages import SpreadOutput
from pimentobend_core._internal.membership.spread.messages import SpreadTick
from pimentobend_core._internal.membership.spread.messages import ToPeers
from pimentobend_core._internal.membership.spread.orphans import OrphanFinder
from pimentobend_core._internal.pipes import StatefulFilter

FLUSH_INTERVAL_S = 0.2  # rows that arrive within this time share a message
FLUSH_BYTES = 500_000  # limit for one flush to all children together
BEACON_S = 0.5  # interval of beacons to children
FINAL_ROWS_CHECK_S = 60.0  # interval at which the root drops old tombstones
ORPHAN_CHECK_S = 2.0  # interval at which the root looks for children of lost relays
BUSY_PEERS = 3  # number of peers named in a Busy message


class RelayNode(StatefulFilter[RelayInput, SpreadOutput]):
    """Serve children, either as the root or as the follower of a parent.

    ``siblings`` are the region's other control instances. While the root is
    unreachable, new rows also go to them and to their children without a number
    (an echo), so that a region that is cut off still learns of its own changes.
    """

    def __init__(
        self,
        instance_id: str,
        epoch: int,
        parents: tuple[str, ...],
        siblings: tuple[str, ...] = (),
    ) -> None:
        self._instance_id = instance_id
        self._siblings = siblings
        self._client = SpreadClient(instance_id, epoch, parents)
        self._store = self._client.store
        self._children = Children()
        self._gate = SnapshotGate()
        self._rng = random.Random(f"{instance_id}/{epoch}/relay")
        self._is_root = False
        self._pulse = 0  # beacon count, used while this is the root
        self._pending_up: dict[RowId, Row] = {}  # not yet sent to the parent
        self._flushed_position = self._store.position  # sent to children up to here
        self._flush_at = 0.0
        self._beacon_at = 0.0
        self._final_rows_check_at = 0.0
        self._orphans = OrphanFinder(self._store, instance_id)
        self._orphans_at = 0.0

    @property
    def position(self) -> Position:
        """Return the number of the latest known row, with the term of its root."""
        return self._store.position

    @property
    def digest(self) -> int:
        """Return the digest of the rows."""
        return self._store.digest

    def handle(self, message: RelayInput, now: float) -> tuple[SpreadOutput, ...]:
        """Handle a peer's message, a change of role, rows to publish or a tick."""
        match message:
            case FromPeer():
                return self._handle_peer(message, now)
            case PublishRows() if self._is_root:
                return self._assign_numbers(message.rows, now)
            case PublishRows():
                return self._client.handle(message, now)
            case BecomeRoot():
                return self._become_root(message.term, now)
            case FollowParents():
                self._is_root = False
                self._client.follow(message.parents)
                return ()
            case SpreadTick():
                return self._tick(now)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "is_root": self._is_root,
            "children": sorted(self._children),
            "upwards": len(self._pending_up),
            **self._client.dump(),
        }

    def _handle_peer(self, received: FromPeer, now: float) -> tuple[SpreadOutput, ...]:
        sender, message = received
        match message:
            case Attach():
                return self._handle_attach(sender, message, now)
            case Alive():
                return self._handle_alive(sender, message, now)
            case Publish():
                return self._handle_publish(message.rows, now)
            case Echo():
                arrived = self._client.handle(received, now)
                if message.is_forwarded:
                    return (*arrived, *self._echo(message.rows, ()))
                return arrived
            case _ if not self._is_root:
                return self._client.handle(received, now)
            case _:
                return ()

    def _handle_attach(
        self, child: str, attach: Attach, now: float
    ) -> tuple[SpreadOutput, ...]:
        if not self._children.attach(child, attach.life, now):
            return ()
        reply = self._create_reply(attach, now)
        if not isinstance(reply, Busy):
            self._children.sync(child)
        return (ToPeers((child,), reply),)

    def _handle_alive(
        self, child: str, alive: Alive, now: float
    ) -> tuple[SpreadOutput, ...]:
        """Publish a child as alive once it has answered a beacon."""
        attachment = self._children.record_answer(child, alive.life, now)
        if attachment is None:
            return ()
        if is_attached(self._store, child, attachment.epoch, self._instance_id):
            return ()
        row = create_row(child, attachment, self._instance_id)
        known = self._pending_up.get(row.row_id) or self._store.get(row.row_id)
        if known is not None and known.rank >= row.rank:
            return ()
        return self._handle_publish((row,), now)

    def _create_reply(self, attach: Attach, now: float) -> Delta | Beacon | Busy:
        position = self._store.position
        if position.epoch == 0:
            return self._beacon()
        if attach.digest == self._store.digest and not attach.wants_snapshot:
            return self._beacon()
        after = self._find_common(attach.position)
        if after is not None and not attach.wants_snapshot:
            rows = self._store.since(after)
            return Delta(position, self._store.base, after, False, rows)
        if self._gate.admit(len(self._store), now):
            return create_snapshot(self._store)
        peers = self._children.synced
        named = tuple(self._rng.sample(peers, min(BUSY_PEERS, len(peers))))
        return Busy(self._gate.retry_after_s(now, self._rng.random()), named)

    def _find_common(self, position: Position) -> int | None:
        """Return the number up to which a child has the same rows, or None."""
        own_position = self._store.position
        if position.epoch == own_position.epoch:
            number = min(position.number, own_position.number)
        elif position.epoch == self._store.base.epoch:
            number = min(position.number, self._store.base.number)
        else:
            return None
        return number if number >= self._store.floor and number > 0 else None

    def _handle_publish(
        self, rows: tuple[Row, ...], now: float
    ) -> tuple[SpreadOutput, ...]:
        if self._is_root:
            return self._assign_numbers(rows, now)
        for row in rows:
            known = self._pending_up.get(row.row_id)
            if known is None or known.rank < row.rank:
                self._pending_up[row.row_id] = row
        if self._client.is_live:
            return ()
        rows = tuple(row for row in rows if row.row_id.kind != RowKind.LIVENESS)
        if not rows:
            return ()
        heard = self._client.handle(FromPeer("", Echo(rows, False)), now)
        return (*heard, *self._echo(rows, self._siblings))

    def _echo(
        self, rows: tuple[Row, ...], siblings: tuple[str, ...]
    ) -> tuple[SpreadOutput, ...]:
        outputs: list[SpreadOutput] = []
        if len(self._children):
            outputs.append(ToPeers(tuple(self._children), Echo(rows, False)))
        if siblings:
            outputs.append(ToPeers(siblings, Echo(rows, True)))
        return tuple(outputs)

    def _assign_numbers(
        self, rows: tuple[Row, ...], now: float
    ) -> tuple[SpreadOutput, ...]:
        newer = []
        for row in rows:
            known = self._store.get(row.row_id)
            if known is not None and known.rank >= row.rank:
                continue
            epoch, number = self._store.position
            self._store.position = Position(epoch, number + 1)
            self._store.put(NumberedRow(number + 1, row), now)
            newer.append(row)
        return self._client.arrive(tuple(newer))

    def _become_root(self, term: int, now: float) -> tuple[SpreadOutput, ...]:
        if term <= self._store.position.epoch:
            return ()
        self._is_root = True
        self._store.base = self._store.position
        self._store.position = Position(term, self._store.position.number)
        rows = (*self._pending_up.values(), *self._client.echoed)
        self._pending_up = {}
        return self._assign_numbers(rows, now)

    def _tick(self, now: float) -> tuple[SpreadOutput, ...]:
        outputs: tuple[SpreadOutput, ...] = ()
        if not self._is_root:
            outputs = self._client.handle(SpreadTick(), now)
        outputs += self._report_lost(now)
        is_beacon_due = now >= self._beacon_at
        if is_beacon_due or now >= self._flush_at:
            self._flush_at = now + FLUSH_INTERVAL_S
            outputs += (*self._flush_down(), *self._flush_up())
        if is_beacon_due:
            self._beacon_at = now + BEACON_S
            self._pulse += 1
            if len(self._children):
                outputs += (ToPeers(tuple(self._children), self._periodic_beacon()),)
        if self._is_root and now >= self._orphans_at:
            self._orphans_at = now + ORPHAN_CHECK_S
            outputs += self._handle_publish(self._orphans.find(now), now)
        if self._is_root and now >= self._final_rows_check_at:
            self._final_rows_check_at = now + FINAL_ROWS_CHECK_S
            self._store.forget(self._store.find_floor(now))
        return outputs

    def _report_lost(self, now: float) -> tuple[SpreadOutput, ...]:
        lost = self._children.remove_lost(now)
        rows = tuple(create_lost_row(name, attachment) for name, attachment in lost)
        return self._handle_publish(rows, now) if rows else ()

    def _flush_down(self) -> tuple[SpreadOutput, ...]:
        flushed, position = self._flushed_position, self._store.position
        if position == flushed:
            return ()
        after = flushed.number
        if flushed.epoch != position.epoch:
            after = min(after, self._store.base.number)
        children = self._children.synced
        rows = self._store.since(after)
        limit = max(1, FLUSH_BYTES // (ROW_BYTES * max(1, len(children))))
        if len(rows) > limit:
            rows = rows[:limit]
            # The store may have rows that an earlier root numbered and the current
            # root never got. Their numbers can exceed the current position.
            position = min(position, Position(position.epoch, rows[-1].number))
        self._flushed_position = position
        if not children:
            return ()
        delta = Delta(position, self._store.base, after, False, rows)
        return (ToPeers(children, delta),)

    def _flush_up(self) -> tuple[SpreadOutput, ...]:
        if not self._pending_up or not self._client.is_attached:
            return ()
        rows, self._pending_up = tuple(self._pending_up.values()), {}
        return (ToPeers((self._client.parent,), Publish(rows)),)

    def _beacon(self) -> Beacon:
        store = self._store
        pulse = self._pulse if self._is_root else self._client.pulse
        return Beacon(store.position, store.base, store.digest, store.floor, pulse)

    def _periodic_beacon(self) -> Beacon:
        """Return a beacon; its row number is 0 while rows wait to be flushed."""
        beacon = self._beacon()
        if self._flushed_position == beacon.position:
            return beacon
        return beacon._replace(position=Position(beacon.position.epoch, 0))
