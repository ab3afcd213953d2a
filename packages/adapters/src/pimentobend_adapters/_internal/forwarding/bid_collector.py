"""Collect bids from the daemons of backend servers.

A bid states the terms on which a server offers to run a request. A row is what a
daemon publishes about itself and the servers on its machine.
"""

import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import eventlet
import eventlet.event

from pimentobend_adapters._internal.forwarding.host import HostTasks
from pimentobend_adapters._internal.links.frames import Frame
from pimentobend_adapters._internal.links.transport import Transport
from pimentobend_core._internal.configuration.codec import decode
from pimentobend_core._internal.configuration.codec import encode
from pimentobend_core._internal.forwarding.messages import Ask
from pimentobend_core._internal.forwarding.messages import Bids
from pimentobend_core._internal.forwarding.selection import FAILING_RISK
from pimentobend_core._internal.forwarding.selection import Candidate
from pimentobend_core._internal.forwarding.selection import Distance
from pimentobend_core._internal.forwarding.selection import find_distance
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.ports import ClockPort

KIND_ASK = "ask"
KIND_BIDS = "bids"
FRESH_S = {  # a bid is reused for other requests for this long
    Distance.DATA_CENTRE: 0.03,
    Distance.REGION: 0.03,
    Distance.FAR: 0.3,  # longer, as traffic between regions is billed
}
# Answers that are kept. Those of a full server are kept by organisation, and there may
# be 85,000.
CACHE_LIMIT = 4096
# Maximum number of daemons whose bids a request considers; fresh ones count.
ASK_LIMITS = {
    Distance.DATA_CENTRE: 6,
    Distance.REGION: 2,
    Distance.FAR: 2,
}
# Bids that are too old to be used tell for this long whether to ask again as far away.
RECENT_S = 1.0
# A daemon whose servers were failing is asked after the others for this long.
DOUBT_S = 1.0
UNREACHABLE_AFTER = 2  # unanswered questions in a row that make a daemon unreachable
TIMEOUTS_S = {
    Distance.DATA_CENTRE: 0.06,  # a round trip takes 1 ms; a busy daemon is slower
    Distance.REGION: 0.08,
    Distance.FAR: 0.2,  # a round trip takes 60 ms
}


class Question(NamedTuple):
    """What bids are asked for; requests that ask the same share the bids."""

    service: str
    route: str
    organisation: str = ""  # that sends the request; empty without one
    is_call: bool = False  # a backend server sends it while it runs another one


class _CacheKey(NamedTuple):
    address: str  # of the daemon that makes the bids
    question: Question


class _CachedBids(NamedTuple):
    bids: Bids
    received_at: float

    @property
    def is_for_all(self) -> bool:
        """Return whether the bids hold for each organisation, as no one waits."""
        made = self.bids.bids
        return bool(made) and all(bid.free_slots > 0 for bid in made)


class _Round:
    """Questions sent at the same time, and the daemons that have not answered yet."""

    def __init__(self, addresses: set[str]) -> None:
        self.waiting = addresses
        self.event: Any = eventlet.event.Event()

    def answered(self, address: str) -> None:
        """Record a daemon's answer; the last one wakes the waiting request."""
        self.waiting.discard(address)
        if not self.waiting and not self.event.ready():
            self.event.send(None)


class BidCollector:
    """Asks daemons for bids and caches the latest by daemon, service and route."""

    def __init__(
        self,
        own_row: Callable[[], PeerRow],
        link: Transport,
        host: HostTasks,
        clock: ClockPort,
        on_unreachable: Callable[[str], None],
    ) -> None:
        self._own_row = own_row
        self._link = link
        self._host = host
        self._clock = clock
        self._on_unreachable = on_unreachable
        self._peers: tuple[PeerRow, ...] = ()
        self._unreachable: set[str] = set()
        self._cached: dict[_CacheKey, _CachedBids] = {}
        self._tokens = itertools.count(1)
        self._rounds: dict[int, tuple[_Round, str, Question]] = {}
        self._unanswered: dict[str, int] = {}
        # Until when a daemon's servers of a service are taken to be failing.
        self._doubtful_until: dict[tuple[str, str], float] = {}

    def update_peers(self, peers: tuple[PeerRow, ...]) -> None:
        """Replace the list of known daemons."""
        self._peers = peers

    def update_reachability(self, address: str, *, is_reachable: bool) -> None:
        """Record whether a daemon can be reached."""
        if is_reachable:
            self._unreachable.discard(address)
            self._unanswered.pop(address, None)
        else:
            self._unreachable.add(address)

    def ask(self, question: Question, distance: Distance) -> tuple[Candidate, ...]:
        """Return the bids for a service's servers within a distance.

        Daemons whose cached bids are too old are asked first.
        """
        own_row = self._own_row()
        service = question.service
        rows = [
            row
            for row in (own_row, *self._peers)
            if find_distance(own_row, row) <= distance and self._may_serve(row, service)
        ]
        now = self._clock.now()
        stale: list[PeerRow] = []
        fresh: Counter[Distance] = Counter()
        for row in rows:
            if self._is_stale(own_row, row, question, now):
                stale.append(row)
            elif not self._is_doubtful(row, service, now):
                fresh[find_distance(own_row, row)] += 1
        chosen = _sample(
            own_row, stale, fresh, lambda row: self._is_doubtful(row, service, now)
        )
        self._ask_all(chosen, question, distance)
        now = self._clock.now()
        return tuple(
            candidate
            for row in rows
            for candidate in self._candidates(own_row, row, question, now)
        )

    def find_recent(
        self, question: Question, distance: Distance
    ) -> tuple[Candidate, ...]:
        """Return the latest bids of servers further away than a distance."""
        own_row = self._own_row()
        now = self._clock.now()
        found: list[Candidate] = []
        for row in self._peers if distance < Distance.FAR else ():
            cached = self._find(row.address, question)
            if cached is None or now - cached.received_at > RECENT_S:
                continue
            place = find_distance(own_row, row)
            if place > distance and self._may_serve(row, question.service):
                found.extend(Candidate(row, bid, place) for bid in cached.bids.bids)
        return tuple(found)

    def bid_age_s(self, candidate: Candidate, question: Question) -> float:
        """Return how old a candidate's bid is, in seconds."""
        cached = self._find(candidate.peer.address, question)
        return self._clock.now() - cached.received_at if cached else 0.0

    def handle_ask(self, frame: Frame) -> None:
        """Answer another daemon's question; raise ``CodecError`` if it is malformed."""
        ask = decode(frame.payload, Ask)
        # A new token is needed: daemons choose theirs independently.
        self._host.ask(
            ask._replace(token=next(self._tokens)),
            lambda bids: self._answer(frame.sender, bids._replace(token=ask.token)),
        )

    def handle_bids(self, frame: Frame) -> None:
        """Store another daemon's bids; raise ``CodecError`` if they are malformed."""
        self._store(frame.sender, decode(frame.payload, Bids))

    def _may_serve(self, row: PeerRow, service: str) -> bool:
        if row.is_leaving or row.address in self._unreachable:
            return False
        return any(
            server.service == service and server.is_ready for server in row.servers
        )

    def _is_doubtful(self, row: PeerRow, service: str, now: float) -> bool:
        return now < self._doubtful_until.get((row.address, service), -math.inf)

    def _is_stale(
        self, own_row: PeerRow, row: PeerRow, question: Question, now: float
    ) -> bool:
        cached = self._find(row.address, question)
        limit_s = FRESH_S[find_distance(own_row, row)]
        return cached is None or now - cached.received_at > limit_s

    def _ask_all(
        self, rows: list[PeerRow], question: Question, distance: Distance
    ) -> None:
        """Ask several daemons at once; wait for all answers or the timeout."""
        if not rows:
            return
        pending = _Round({row.address for row in rows})
        tokens = []
        own_address = self._link.address
        for row in rows:
            ask = Ask(next(self._tokens), *question)
            self._rounds[ask.token] = (pending, row.address, question)
            tokens.append(ask.token)
            if row.address == own_address:
                self._host.ask(ask, lambda bids: self._store(own_address, bids))
            else:
                self._link.send(row.address, KIND_ASK, encode(ask))
        with eventlet.Timeout(TIMEOUTS_S[distance], False):
            pending.event.wait()
        for token in tokens:
            self._rounds.pop(token, None)
        for address in pending.waiting:
            self._count_miss(address)

    def _count_miss(self, address: str) -> None:
        misses = self._unanswered.get(address, 0) + 1
        self._unanswered[address] = misses
        if misses >= UNREACHABLE_AFTER:
            self._on_unreachable(address)

    def _answer(self, sender: str, bids: Bids) -> None:
        self._link.send(sender, KIND_BIDS, encode(bids))

    def _store(self, sender: str, bids: Bids) -> None:
        self._unanswered.pop(sender, None)
        found = self._rounds.get(bids.token)
        if found is None:
            return
        pending, address, question = found
        if address != sender:
            return
        now = self._clock.now()
        self._keep(sender, question, _CachedBids(bids, now))
        doubtful = (sender, question.service)
        if any(bid.risk < FAILING_RISK or bid.wants_trial for bid in bids.bids):
            self._doubtful_until.pop(doubtful, None)
        else:
            self._doubtful_until[doubtful] = now + DOUBT_S
        pending.answered(sender)

    def _keep(self, address: str, question: Question, cached: _CachedBids) -> None:
        if cached.is_for_all:
            question = question._replace(organisation="")
        key = _CacheKey(address, question)
        self._cached.pop(key, None)  # so that the oldest answer is the first one
        self._cached[key] = cached
        if len(self._cached) > CACHE_LIMIT:
            del self._cached[next(iter(self._cached))]

    def _find(self, address: str, question: Question) -> _CachedBids | None:
        """Return the latest bids of a daemon that hold for the question."""
        own = self._cached.get(_CacheKey(address, question))
        if not question.organisation:
            return own
        general = question._replace(organisation="")
        shared = self._cached.get(_CacheKey(address, general))
        if shared is None or not shared.is_for_all:
            return own
        return shared if own is None or own.received_at < shared.received_at else own

    def _candidates(
        self, own_row: PeerRow, row: PeerRow, question: Question, now: float
    ) -> list[Candidate]:
        cached = self._find(row.address, question)
        if cached is None:
            return []
        distance = find_distance(own_row, row)
        if now - cached.received_at > FRESH_S[distance] + TIMEOUTS_S[Distance.FAR]:
            return []
        peer = row._replace(process_id=cached.bids.process_id)
        return [Candidate(peer, bid, distance) for bid in cached.bids.bids]


def _sample(
    own_row: PeerRow,
    rows: list[PeerRow],
    fresh: Mapping[Distance, int],
    is_doubtful: Callable[[PeerRow], bool],
) -> list[PeerRow]:
    """Pick daemons to ask at random, up to the limit for each distance.

    ``fresh`` is the number of usable bids that are known already. Daemons with
    failing servers are picked only where the limit leaves room.
    """
    chosen: list[PeerRow] = []
    for distance, limit in ASK_LIMITS.items():
        candidates = [row for row in rows if find_distance(own_row, row) is distance]
        random.shuffle(candidates)
        candidates.sort(key=is_doubtful)
        chosen.extend(candidates[: max(0, limit - fresh.get(distance, 0))])
    return chosen
