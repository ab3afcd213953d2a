"""Spread rows between daemons by pings, and notice who answers."""

import random
from collections.abc import Mapping

from pimentobend_core._internal.configuration.messages import FIRST_VERSION
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.gossip.messages import Ack
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
from pimentobend_core._internal.gossip.rows import Life
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.table import PeerTable
from pimentobend_core._internal.pipes import StatefulFilter

TICK_S = 0.5
ACK_TIMEOUT_S = 0.3  # four round trips between regions
JOIN_INTERVAL_S = 0.25
SEED_INTERVAL_S = 3.0  # to seeds whose rows are not known
PULL_INTERVAL_S = 1.0
RUMOURS_A_MESSAGE = 6  # rows; with them a message fits a datagram
RUMOUR_ROUNDS = 2  # times the logarithm of the fleet's size
REPING_INTERVAL_S = 1.0  # of a daemon that does not answer
REPING_MAX_S = 8.0
FORGET_S = 120.0  # without an answer or a newer row
DISTANCE_SHARES = (0.75, 0.96)  # of pings that stay in the data centre, in the region
FAN_OUT = 3  # daemons of the region that hear of a change of the own row at once
FAR_FAN_OUT = 2  # and of other regions; one message may be lost


class GossipNode(StatefulFilter[GossipInput, GossipOutput]):
    """Own the list of daemons as this one knows it."""

    def __init__(self, row: PeerRow, seeds: tuple[str, ...], seed: int) -> None:
        self._own = row
        self._seeds = seeds
        self._rng = random.Random(seed)
        self._table = PeerTable()
        self._table.put(row)
        self._tables = FIRST_VERSION
        self._rumours: dict[str, int] = {}  # messages that still carry a row
        self._number = 0
        self._waiting: dict[int, tuple[str, float]] = {}  # pings without an answer
        self._misses: dict[str, int] = {}
        self._repinged_at: dict[str, float] = {}
        self._heard_at: dict[str, float] = {}
        self._digests: dict[str, int] = {}  # that daemons sent last
        self._seeded_at = float("-inf")
        self._pulled_at = float("-inf")
        self._announced: tuple[PeerRow, ...] = ()

    def handle(self, message: GossipInput, now: float) -> tuple[GossipOutput, ...]:
        """Take another daemon's message, a change here, or a tick."""
        outputs: list[GossipOutput] = []
        match message:
            case GossipReceived():
                outputs.extend(self._receive(message.sender, message.message, now))
            case OwnRowChanged():
                outputs.extend(self._change_own(message.row))
            case TablesChanged():
                self._tables = message.version
            case SeedsChanged():
                self._seeds = message.addresses
                self._seeded_at = float("-inf")
            case PeerUnreachable():
                outputs.extend(self._miss(message.address, now))
            case GossipTick():
                outputs.extend(self._tick(now))
        outputs.extend(self._announce())
        return tuple(outputs)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "address": self._own.address,
            "life": list(self._own.life),
            "digest": self._table.digest,
            "peers": {
                row.address: {
                    "life": list(row.life),
                    "data_centre": row.data_centre,
                    "is_leaving": row.is_leaving,
                    "misses": self._misses.get(row.address, 0),
                    "servers": [list(server) for server in row.servers],
                }
                for row in self._table
                if row.address != self._own.address
            },
        }

    def _receive(
        self, sender: str, message: GossipMessage, now: float
    ) -> list[GossipOutput]:
        outputs = self._hear(sender, now)
        match message:
            case Ping():
                self._take_rumours(message.rows)
                self._digests[sender] = message.digest
                outputs.append(SendGossip(sender, self._ack(sender, message.number)))
                outputs.extend(self._compare_tables(sender, message.tables))
            case Ack():
                self._waiting.pop(message.number, None)
                self._take_rumours(message.rows)
                outputs.extend(self._compare_tables(sender, message.tables))
                self._digests[sender] = message.digest
                outputs.extend(self._pull(sender, message.digest, now))
            case Pull():
                newer, older = self._table.compare(message.known)
                if newer or older:
                    outputs.append(SendGossip(sender, Rows(newer, older)))
            case Rows():
                self._take_pulled(message.rows)
                rows = [self._table.get(address) for address in message.wanted]
                known = tuple(row for row in rows if row is not None)
                if known:
                    outputs.append(SendGossip(sender, Rows(known, ())))
        return outputs

    def _hear(self, sender: str, now: float) -> list[GossipOutput]:
        self._heard_at[sender] = now
        if not self._misses.pop(sender, 0):
            return []
        self._repinged_at.pop(sender, None)
        return [ReachabilityChanged(sender, True)]

    def _compare_tables(self, sender: str, version: Version) -> list[GossipOutput]:
        return [NewerTablesSeen(sender, version)] if version > self._tables else []

    def _pull(self, sender: str, digest: int, now: float) -> list[GossipOutput]:
        """Compare all rows with a daemon whose list differs."""
        if digest == self._table.digest or now - self._pulled_at < PULL_INTERVAL_S:
            return []
        self._pulled_at = now
        return [SendGossip(sender, Pull(self._table.lives()))]

    def _take_rumours(self, rows: tuple[PeerRow, ...]) -> None:
        for row in rows:
            if self._take_row(row):
                self._spread(row.address)

    def _take_pulled(self, rows: tuple[PeerRow, ...]) -> None:
        """Take rows, and pass on a few; a joining daemon's are known to others."""
        news = [row.address for row in rows if self._take_row(row)]
        if len(news) <= RUMOURS_A_MESSAGE:
            for address in news:
                self._spread(address)

    def _take_row(self, row: PeerRow) -> bool:
        """Take a row; say whether it is news."""
        if row.address == self._own.address:
            self._refute(row)
            return False
        return self._table.put(row)

    def _refute(self, row: PeerRow) -> None:
        """Outlive a row of an earlier start whose clock was ahead."""
        if row.life < self._own.life or row == self._own:
            return
        life = Life(row.life.incarnation + 1, 0)
        self._own = self._own._replace(life=life)
        self._table.put(self._own)
        self._spread(self._own.address)

    def _change_own(self, row: PeerRow) -> list[GossipOutput]:
        life = self._own.life
        self._own = row._replace(life=life._replace(revision=life.revision + 1))
        self._table.put(self._own)
        self._spread(self._own.address)
        live = [
            each
            for each in self._table
            if each.address != row.address and not self._misses.get(each.address)
        ]
        near = [each for each in live if each.region == row.region]
        far = [each for each in live if each.region != row.region]
        chosen = self._rng.sample(near, min(FAN_OUT, len(near)))
        chosen += self._rng.sample(far, min(FAR_FAN_OUT, len(far)))
        return [self._ping(each.address, None) for each in chosen]

    def _spread(self, address: str) -> None:
        self._rumours[address] = RUMOUR_ROUNDS * len(self._table).bit_length()

    def _rumour(self, recipient: str) -> tuple[PeerRow, ...]:
        """Return rows for a daemon, none where its list was equal to this one."""
        if self._digests.get(recipient) == self._table.digest:
            return ()
        chosen = sorted(self._rumours, key=self._rumours.__getitem__, reverse=True)
        rows: list[PeerRow] = []
        for address in chosen[:RUMOURS_A_MESSAGE]:
            row = self._table.get(address)
            if row is not None:
                rows.append(row)
            self._rumours[address] -= 1
            if self._rumours[address] <= 0:
                del self._rumours[address]
        return tuple(rows)

    def _tick(self, now: float) -> list[GossipOutput]:
        outputs = self._expire_pings(now)
        self._forget(now)
        outputs.extend(self._join(now))
        outputs.extend(self._reping(now))
        target = self._choose()
        if target is not None:
            outputs.append(self._ping(target, now))
        return outputs

    def _expire_pings(self, now: float) -> list[GossipOutput]:
        outputs: list[GossipOutput] = []
        for number, (address, sent_at) in list(self._waiting.items()):
            if now - sent_at >= ACK_TIMEOUT_S:
                del self._waiting[number]
                outputs.extend(self._miss(address, now))
        return outputs

    def _miss(self, address: str, now: float) -> list[GossipOutput]:
        if self._table.get(address) is None:
            return []
        misses = self._misses.get(address, 0) + 1
        self._misses[address] = misses
        self._repinged_at.setdefault(address, now)
        return [ReachabilityChanged(address, False)] if misses == 1 else []

    def _reping(self, now: float) -> list[GossipOutput]:
        """Ping the daemons that do not answer, ever more rarely."""
        outputs: list[GossipOutput] = []
        for address, misses in self._misses.items():
            wait_s = min(REPING_MAX_S, REPING_INTERVAL_S * 2 ** min(misses - 1, 8))
            if now - self._repinged_at.get(address, 0.0) >= wait_s:
                self._repinged_at[address] = now
                outputs.append(self._ping(address, now))
        return outputs

    def _join(self, now: float) -> list[GossipOutput]:
        unknown = [
            address
            for address in self._seeds
            if address != self._own.address and self._table.get(address) is None
        ]
        is_alone = len(self._table) == 1
        interval_s = JOIN_INTERVAL_S if is_alone else SEED_INTERVAL_S
        if not unknown or now - self._seeded_at < interval_s:
            return []
        self._seeded_at = now
        self._spread(self._own.address)
        return [self._ping(address, None) for address in unknown]

    def _forget(self, now: float) -> None:
        for address in [each for each in self._misses if self._table.get(each)]:
            heard_at = self._heard_at.setdefault(address, now)
            if now - heard_at >= FORGET_S and address not in self._seeds:
                self._table.remove(address)
                self._digests.pop(address, None)
                self._rumours.pop(address, None)
                del self._misses[address]
                del self._heard_at[address]

    def _choose(self) -> str | None:
        """Choose a daemon that answers, mostly a near one."""
        draw = self._rng.random()
        own = self._own
        live = [
            row
            for row in self._table
            if row.address != own.address and not self._misses.get(row.address)
        ]
        if draw < DISTANCE_SHARES[0]:
            near = [row for row in live if row.data_centre == own.data_centre]
        elif draw < DISTANCE_SHARES[1]:
            near = [row for row in live if row.region == own.region]
        else:
            near = live
        chosen = near or live
        return self._rng.choice(chosen).address if chosen else None

    def _ping(self, address: str, now: float | None) -> SendGossip:
        """Return a ping; one without a time is not counted when it is lost."""
        self._number += 1
        if now is not None:
            self._waiting[self._number] = (address, now)
        rows = self._rumour(address)
        ping = Ping(self._number, self._table.digest, self._tables, rows)
        return SendGossip(address, ping)

    def _ack(self, address: str, number: int) -> Ack:
        rows = self._rumour(address)
        return Ack(number, self._table.digest, self._tables, rows)

    def _announce(self) -> list[GossipOutput]:
        peers = tuple(row for row in self._table if row.address != self._own.address)
        if peers == self._announced:
            return []
        self._announced = peers
        return [PeersChanged(peers)]
