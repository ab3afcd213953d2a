"""Gossip protocol: pass each daemon's row to all others and detect who answers.

A row is the record that a daemon publishes about itself. A digest is a hash over
all rows that a daemon knows. A rumour is a new row that is passed on with pings
and acks. A miss is a message to which a daemon sent no answer.
"""

import random
from collections.abc import Mapping

from pimentobend_core._internal.configuration.messages import FIRST_VERSION
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.gossip.messages import Ack
from pimentobend_core._internal.gossip.messages import EarlierRowSeen
from pimentobend_core._internal.gossip.messages import GossipInput
from pimentobend_core._internal.gossip.messages import GossipMessage
from pimentobend_core._internal.gossip.messages import GossipOutput
from pimentobend_core._internal.gossip.messages import GossipReceived
from pimentobend_core._internal.gossip.messages import GossipTick
from pimentobend_core._internal.gossip.messages import NewerTablesSeen
from pimentobend_core._internal.gossip.messages import OwnRowChanged
from pimentobend_core._internal.gossip.messages import PeersChanged
from pimentobend_core._internal.gossip.messages import PeerUnreachable
from pimentobend_core._internal.gossip.messages import Ping
from pimentobend_core._internal.gossip.messages import Pull
from pimentobend_core._internal.gossip.messages import ReachabilityChanged
from pimentobend_core._internal.gossip.messages import Rows
from pimentobend_core._internal.gossip.messages import SeedsChanged
from pimentobend_core._internal.gossip.messages import SendGossip
from pimentobend_core._internal.gossip.messages import TablesChanged
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion
from pimentobend_core._internal.gossip.table import PeerTable
from pimentobend_core._internal.pipes import StatefulFilter

TICK_S = 0.5  # between ticks
ACK_TIMEOUT_S = 0.3  # four round trips between regions
JOIN_INTERVAL_S = 0.25  # between pings to the seeds while no other daemon is known
SEED_INTERVAL_S = 3.0  # between pings to seeds whose rows are still missing
PULL_INTERVAL_S = 1.0  # shortest time between requests to compare whole lists
MAX_ROWS_PER_MESSAGE = 6  # so that a message fits a datagram
# A new row is sent this many times the binary logarithm of the fleet's size.
RUMOUR_REPEATS = 2
# Between pings to a daemon that does not answer; doubles with each miss.
REPING_INTERVAL_S = 1.0
REPING_MAX_S = 8.0
FORGET_S = 120.0  # silence after which a daemon is removed, unless it is a seed
# Cumulative shares of pings that stay in the data centre and in the region.
PING_DISTANCE_SHARES = (0.75, 0.96)
# When its own row changes, a daemon pings this many others at once: in its region, and
# in other regions, where there are two because one message may be lost.
REGION_FAN_OUT = 3
FAR_FAN_OUT = 2


class GossipNode(StatefulFilter[GossipInput, GossipOutput]):
    """Keeps this daemon's list of the fleet and exchanges it with other daemons.

    Each tick pings one daemon. New rows travel on pings and acks as rumours, and
    two daemons whose digests differ compare their whole lists.
    """

    def __init__(self, row: PeerRow, seeds: tuple[str, ...], seed: int) -> None:
        self._own_row = row
        self._seeds = seeds
        self._rng = random.Random(seed)
        self._table = PeerTable()
        self._table.put(row)
        self._tables_version = FIRST_VERSION
        # By address, how many more messages carry the row.
        self._rumour_budgets: dict[str, int] = {}
        self._ping_number = 0
        # Pings without an ack, by number: address and time sent.
        self._unacked: dict[int, tuple[str, float]] = {}
        self._misses: dict[str, int] = {}
        self._last_reping_at: dict[str, float] = {}
        self._last_heard_at: dict[str, float] = {}
        self._digests: dict[str, int] = {}  # last digest of each daemon
        self._last_seed_ping_at = float("-inf")
        self._last_pull_at = float("-inf")
        self._announced_peers: tuple[PeerRow, ...] = ()

    def handle(self, message: GossipInput, now: float) -> tuple[GossipOutput, ...]:
        """Process a message, a local change or a tick, and return what follows."""
        outputs: list[GossipOutput] = []
        match message:
            case GossipReceived():
                outputs.extend(self._receive(message.sender, message.message, now))
            case OwnRowChanged():
                outputs.extend(self._change_own_row(message.row))
            case TablesChanged():
                self._tables_version = message.version
            case SeedsChanged():
                self._seeds = message.addresses
                self._last_seed_ping_at = float("-inf")
            case PeerUnreachable():
                outputs.extend(self._record_miss(message.address, now))
            case GossipTick():
                outputs.extend(self._tick(now))
        outputs.extend(self._report_peers())
        return tuple(outputs)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "address": self._own_row.address,
            "life": list(self._own_row.version),
            "digest": self._table.digest,
            "peers": {
                row.address: {
                    "life": list(row.version),
                    "data_centre": row.data_centre,
                    "is_leaving": row.is_leaving,
                    "misses": self._misses.get(row.address, 0),
                    "servers": [list(server) for server in row.servers],
                }
                for row in self._table
                if row.address != self._own_row.address
            },
        }

    def _receive(
        self, sender: str, message: GossipMessage, now: float
    ) -> list[GossipOutput]:
        outputs = self._record_heard(sender, now)
        if not isinstance(message, Pull):
            outputs.extend(self._find_earlier_rows(sender, message.rows))
        match message:
            case Ping():
                self._apply_rumours(message.rows)
                self._digests[sender] = message.digest
                outputs.append(SendGossip(sender, self._ack(sender, message.number)))
                outputs.extend(self._check_tables_version(sender, message.tables))
            case Ack():
                self._unacked.pop(message.number, None)
                self._apply_rumours(message.rows)
                outputs.extend(self._check_tables_version(sender, message.tables))
                self._digests[sender] = message.digest
                outputs.extend(self._pull(sender, message.digest, now))
            case Pull():
                newer, older = self._table.compare(message.known)
                if newer or older:
                    outputs.append(SendGossip(sender, Rows(newer, older)))
            case Rows():
                self._apply_pulled(message.rows)
                rows = [self._table.get(address) for address in message.wanted]
                known = tuple(row for row in rows if row is not None)
                if known:
                    outputs.append(SendGossip(sender, Rows(known, ())))
        return outputs

    def _find_earlier_rows(
        self, sender: str, rows: tuple[PeerRow, ...]
    ) -> list[GossipOutput]:
        """Return its earlier row to a restarted daemon; report this daemon's own.

        The row says which servers had left or were leaving, which the daemon does not
        know any more and a delayed announcement would contradict, and which requests
        it had seen crash its server.
        """
        outputs: list[GossipOutput] = []
        for row in rows:
            known = self._table.get(row.address)
            if known is None or known.process_id == row.process_id:
                continue
            if row.address == self._own_row.address:
                outputs.append(EarlierRowSeen(row))
            elif self._should_return(known, row, sender):
                outputs.append(SendGossip(row.address, Rows((known,), ())))
        return outputs

    def _should_return(self, known: PeerRow, row: PeerRow, sender: str) -> bool:
        """Return whether a restarted daemon should get its earlier row from this one.

        A row that is still a rumour may be unknown to the daemons that the restarted
        one talks to itself.
        """
        is_rumour = known.address in self._rumour_budgets
        may_be_needed = row.address == sender or (
            is_rumour and row.version > known.version
        )
        return may_be_needed and _is_worth_returning(known)

    def _record_heard(self, sender: str, now: float) -> list[GossipOutput]:
        self._last_heard_at[sender] = now
        if not self._misses.pop(sender, 0):
            return []
        self._last_reping_at.pop(sender, None)
        return [ReachabilityChanged(sender, True)]

    def _check_tables_version(
        self, sender: str, version: Version
    ) -> list[GossipOutput]:
        return (
            [NewerTablesSeen(sender, version)] if version > self._tables_version else []
        )

    def _pull(self, sender: str, digest: int, now: float) -> list[GossipOutput]:
        """Request a comparison of all rows from a daemon whose list differs."""
        if digest == self._table.digest or now - self._last_pull_at < PULL_INTERVAL_S:
            return []
        self._last_pull_at = now
        return [SendGossip(sender, Pull(self._table.versions()))]

    def _apply_rumours(self, rows: tuple[PeerRow, ...]) -> None:
        for row in rows:
            if self._apply_row(row):
                self._start_rumour(row.address)

    def _apply_pulled(self, rows: tuple[PeerRow, ...]) -> None:
        """Apply rows, and pass them on as rumours only if they are few.

        The many rows that a joining daemon pulls are known to the others already.
        """
        updated = [row.address for row in rows if self._apply_row(row)]
        if len(updated) <= MAX_ROWS_PER_MESSAGE:
            for address in updated:
                self._start_rumour(address)

    def _apply_row(self, row: PeerRow) -> bool:
        """Apply a row; return whether it is newer than the one known."""
        if row.address == self._own_row.address:
            self._refute(row)
            return False
        return self._table.put(row)

    def _refute(self, row: PeerRow) -> None:
        """Raise this daemon's incarnation above that of a row from an earlier start.

        If the clock was ahead at that start, the old row has the higher version and
        would replace the current one.
        """
        if row.version < self._own_row.version or row == self._own_row:
            return
        version = RowVersion(row.version.incarnation + 1, 0)
        self._own_row = self._own_row._replace(version=version)
        self._table.put(self._own_row)
        self._start_rumour(self._own_row.address)

    def _change_own_row(self, row: PeerRow) -> list[GossipOutput]:
        version = self._own_row.version
        self._own_row = row._replace(
            version=version._replace(revision=version.revision + 1)
        )
        self._table.put(self._own_row)
        self._start_rumour(self._own_row.address)
        live = [
            each
            for each in self._table
            if each.address != row.address and not self._misses.get(each.address)
        ]
        near = [each for each in live if each.region == row.region]
        far = [each for each in live if each.region != row.region]
        chosen = self._rng.sample(near, min(REGION_FAN_OUT, len(near)))
        chosen += self._rng.sample(far, min(FAR_FAN_OUT, len(far)))
        return [self._ping(each.address, None) for each in chosen]

    def _start_rumour(self, address: str) -> None:
        self._rumour_budgets[address] = RUMOUR_REPEATS * len(self._table).bit_length()

    def _take_rumour_rows(self, recipient: str) -> tuple[PeerRow, ...]:
        """Return rows to send to a daemon, none if its last digest equals this one's.

        The rows with the most repeats left come first; each row returned uses up one.
        """
        if self._digests.get(recipient) == self._table.digest:
            return ()
        chosen = sorted(
            self._rumour_budgets, key=self._rumour_budgets.__getitem__, reverse=True
        )
        rows: list[PeerRow] = []
        for address in chosen[:MAX_ROWS_PER_MESSAGE]:
            row = self._table.get(address)
            if row is not None:
                rows.append(row)
            self._rumour_budgets[address] -= 1
            if self._rumour_budgets[address] <= 0:
                del self._rumour_budgets[address]
        return tuple(rows)

    def _tick(self, now: float) -> list[GossipOutput]:
        outputs = self._expire_pings(now)
        self._forget_silent(now)
        outputs.extend(self._ping_unknown_seeds(now))
        outputs.extend(self._reping_unreachable(now))
        target = self._choose_target()
        if target is not None:
            outputs.append(self._ping(target, now))
        return outputs

    def _expire_pings(self, now: float) -> list[GossipOutput]:
        outputs: list[GossipOutput] = []
        for number, (address, sent_at) in list(self._unacked.items()):
            if now - sent_at >= ACK_TIMEOUT_S:
                del self._unacked[number]
                outputs.extend(self._record_miss(address, now))
        return outputs

    def _record_miss(self, address: str, now: float) -> list[GossipOutput]:
        if self._table.get(address) is None:
            return []
        misses = self._misses.get(address, 0) + 1
        self._misses[address] = misses
        self._last_reping_at.setdefault(address, now)
        return [ReachabilityChanged(address, False)] if misses == 1 else []

    def _reping_unreachable(self, now: float) -> list[GossipOutput]:
        """Ping the daemons that do not answer, at intervals that back off."""
        outputs: list[GossipOutput] = []
        for address, misses in self._misses.items():
            wait_s = min(REPING_MAX_S, REPING_INTERVAL_S * 2 ** min(misses - 1, 8))
            if now - self._last_reping_at.get(address, 0.0) >= wait_s:
                self._last_reping_at[address] = now
                outputs.append(self._ping(address, now))
        return outputs

    def _ping_unknown_seeds(self, now: float) -> list[GossipOutput]:
        unknown = [
            address
            for address in self._seeds
            if address != self._own_row.address and self._table.get(address) is None
        ]
        is_alone = len(self._table) == 1
        interval_s = JOIN_INTERVAL_S if is_alone else SEED_INTERVAL_S
        if not unknown or now - self._last_seed_ping_at < interval_s:
            return []
        self._last_seed_ping_at = now
        self._start_rumour(self._own_row.address)
        return [self._ping(address, None) for address in unknown]

    def _forget_silent(self, now: float) -> None:
        for address in [each for each in self._misses if self._table.get(each)]:
            last_heard_at = self._last_heard_at.setdefault(address, now)
            if now - last_heard_at >= FORGET_S and address not in self._seeds:
                self._table.remove(address)
                self._digests.pop(address, None)
                self._rumour_budgets.pop(address, None)
                del self._misses[address]
                del self._last_heard_at[address]

    def _choose_target(self) -> str | None:
        """Choose a random daemon to ping among those that answer, mostly a near one."""
        draw = self._rng.random()
        own = self._own_row
        live = [
            row
            for row in self._table
            if row.address != own.address and not self._misses.get(row.address)
        ]
        if draw < PING_DISTANCE_SHARES[0]:
            preferred = [row for row in live if row.data_centre == own.data_centre]
        elif draw < PING_DISTANCE_SHARES[1]:
            preferred = [row for row in live if row.region == own.region]
        else:
            preferred = live
        candidates = preferred or live
        return self._rng.choice(candidates).address if candidates else None

    def _ping(self, address: str, now: float | None) -> SendGossip:
        """Return a ping; without ``now``, a missing ack does not count as a miss."""
        self._ping_number += 1
        if now is not None:
            self._unacked[self._ping_number] = (address, now)
        rows = self._take_rumour_rows(address)
        ping = Ping(self._ping_number, self._table.digest, self._tables_version, rows)
        return SendGossip(address, ping)

    def _ack(self, address: str, number: int) -> Ack:
        rows = self._take_rumour_rows(address)
        return Ack(number, self._table.digest, self._tables_version, rows)

    def _report_peers(self) -> list[GossipOutput]:
        peers = tuple(
            row for row in self._table if row.address != self._own_row.address
        )
        if peers == self._announced_peers:
            return []
        self._announced_peers = peers
        return [PeersChanged(peers)]


def _is_worth_returning(row: PeerRow) -> bool:
    """Return whether a restarted daemon lost what its earlier row says."""
    return bool(row.crash_reports) or not all(each.is_ready for each in row.servers)
