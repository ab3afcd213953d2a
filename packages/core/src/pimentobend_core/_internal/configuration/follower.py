"""Replicate the tables of routes and pools from daemon to daemon.

A daemon polls its sources for newer versions. The daemons that poll it are its
children; its followers get each new version without polling for it.
"""

from collections.abc import Mapping

from pimentobend_core._internal.configuration.children import Children
from pimentobend_core._internal.configuration.exceptions import ConfigurationError
from pimentobend_core._internal.configuration.follower_messages import CatchUp
from pimentobend_core._internal.configuration.follower_messages import Current
from pimentobend_core._internal.configuration.follower_messages import Deltas
from pimentobend_core._internal.configuration.follower_messages import FollowerInput
from pimentobend_core._internal.configuration.follower_messages import FollowerOutput
from pimentobend_core._internal.configuration.follower_messages import FollowersChanged
from pimentobend_core._internal.configuration.follower_messages import FollowerTick
from pimentobend_core._internal.configuration.follower_messages import NewerSeen
from pimentobend_core._internal.configuration.follower_messages import SourcesChanged
from pimentobend_core._internal.configuration.follower_messages import SpreadMessage
from pimentobend_core._internal.configuration.follower_messages import SpreadReceived
from pimentobend_core._internal.configuration.follower_messages import SpreadSent
from pimentobend_core._internal.configuration.follower_messages import TablesSnapshot
from pimentobend_core._internal.configuration.follower_messages import VersionInForce
from pimentobend_core._internal.configuration.history import DeltaHistory
from pimentobend_core._internal.configuration.messages import FIRST_VERSION
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.configuration.versioned import VersionedTables
from pimentobend_core._internal.pipes import StatefulFilter

TICK_S = 0.5
ASK_INTERVAL_S = 2.0  # time between two polls of a source that answers
ANSWER_TIMEOUT_S = 1.0  # after so long without an answer the next source is asked
HINT_INTERVAL_S = 0.15  # smallest time from a request to one caused by a hint
STARTUP_WAIT_S = 1.5  # how long a start waits for the replies of all sources


class TablesFollower(StatefulFilter[FollowerInput, FollowerOutput]):
    """Keep a daemon's tables up to date and send them to children and followers.

    The version in force never decreases. At start every source is asked, later
    one at a time: the next one when the current one does not answer in time.
    ``stored`` holds the tables that an earlier run saved.
    """

    def __init__(
        self, sources: tuple[str, ...], now: float, stored: WholeTables | None = None
    ) -> None:
        self._sources = sources
        self._tables = VersionedTables()
        self._history = DeltaHistory()
        self._children = Children()
        self._source_position = 0
        self._asked_at: float | None = None
        self._answered_at = now
        self._started_at = now
        self._pending_sources: set[str] | None = set(sources) if sources else None
        self._in_force = FIRST_VERSION
        self._followers: tuple[str, ...] = ()
        self._is_damaged = False  # the rows do not match the digest of their version
        if stored is not None:
            self._tables.replace(stored)

    @property
    def tables(self) -> VersionedTables:
        """Return the tables; callers must not modify them."""
        return self._tables

    @property
    def in_force(self) -> Version:
        """Return the latest version that was put in force."""
        return self._in_force

    def handle(self, message: FollowerInput, now: float) -> tuple[FollowerOutput, ...]:
        """Handle a peer's message, a change of peers, a version hint or a tick."""
        match message:
            case SpreadReceived():
                outputs = self._receive(message.sender, message.message, now)
            case SourcesChanged():
                self._sources = message.sources
                self._source_position = 0
                outputs = ()
            case NewerSeen():
                outputs = self._follow_hint(message, now)
            case FollowersChanged():
                self._followers = message.addresses
                outputs = ()
            case FollowerTick():
                outputs = self._tick(now)
        return outputs + self._put_in_force(now)

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "version": str(self._tables.version),
            "in_force": str(self._in_force),
            "digest": self._tables.digest.hex(),
            "is_damaged": self._is_damaged,
            "source": self._source,
            "children": self._children.versions(),
        }

    @property
    def _source(self) -> str | None:
        if not self._sources:
            return None
        return self._sources[self._source_position % len(self._sources)]

    def _receive(
        self, sender: str, message: SpreadMessage, now: float
    ) -> tuple[FollowerOutput, ...]:
        if isinstance(message, CatchUp):
            return self._serve(sender, message, now)
        self._answered_at = now
        if self._pending_sources is not None:
            self._pending_sources.discard(sender)
        match message:
            case Current():
                return self._handle_current(sender, message, now)
            case Deltas():
                return self._apply_deltas(sender, message.deltas, now)
            case TablesSnapshot():
                return self._apply_whole(message.tables)

    def _tick(self, now: float) -> tuple[FollowerOutput, ...]:
        self._children.expire(now)
        if self._asked_at is None:
            return tuple(
                self._request_catch_up(source, now) for source in self._sources
            )
        source = self._source
        if source is None:
            return ()
        is_unanswered = self._answered_at < self._asked_at
        if is_unanswered and now - self._asked_at >= ANSWER_TIMEOUT_S:
            self._source_position += 1
            return (self._request_catch_up(self._source or source, now),)
        if now - self._asked_at >= ASK_INTERVAL_S:
            return (self._request_catch_up(source, now),)
        return ()

    def _follow_hint(self, hint: NewerSeen, now: float) -> tuple[FollowerOutput, ...]:
        is_recently_asked = self._asked_at is not None and (
            now - self._asked_at < HINT_INTERVAL_S
        )
        if hint.version <= self._tables.version or is_recently_asked:
            return ()
        return (self._request_catch_up(hint.address, now),)

    def _request_catch_up(self, source: str, now: float) -> SpreadSent:
        self._asked_at = now
        tables = self._tables
        request = CatchUp(tables.version, tables.digest, wants_whole=self._is_damaged)
        return SpreadSent(source, request)

    def _serve(
        self, sender: str, request: CatchUp, now: float
    ) -> tuple[FollowerOutput, ...]:
        self._children.renew(sender, request.version, now)
        tables = self._tables
        if self._is_damaged or tables.version < request.version:
            return (SpreadSent(sender, Current(self._in_force, b"")),)
        if request.wants_whole:
            return (SpreadSent(sender, TablesSnapshot(tables.whole())),)
        if request.version == tables.version:
            return (SpreadSent(sender, Current(tables.version, tables.digest)),)
        deltas = self._history.since(request.version)
        if deltas is None:
            return (SpreadSent(sender, TablesSnapshot(tables.whole())),)
        return (SpreadSent(sender, Deltas(deltas)),)

    def _handle_current(
        self, sender: str, current: Current, now: float
    ) -> tuple[FollowerOutput, ...]:
        if current.version > self._tables.version:
            return (self._request_catch_up(sender, now),)
        is_same = current.version == self._tables.version
        is_mismatch = is_same and current.digest != self._tables.digest
        if is_mismatch and current.digest and sender in self._sources:
            self._is_damaged = True
            return (self._request_catch_up(sender, now),)
        return ()

    def _apply_deltas(
        self, sender: str, deltas: tuple[VersionedDelta, ...], now: float
    ) -> tuple[FollowerOutput, ...]:
        for versioned in deltas:
            if versioned.version <= self._tables.version:
                continue
            if self._is_damaged or versioned.delta.base != self._tables.version:
                return (self._request_catch_up(sender, now),)
            self._tables.apply(versioned.delta, versioned.version)
            if self._tables.digest != versioned.digest:
                self._is_damaged = True
                self._history.clear()
                return (self._request_catch_up(sender, now),)
            self._history.append(versioned)
        return ()

    def _apply_whole(self, whole: WholeTables) -> tuple[FollowerOutput, ...]:
        is_repair = self._is_damaged and whole.version == self._tables.version
        if whole.version <= self._tables.version and not is_repair:
            return ()
        tables = VersionedTables()
        try:
            tables.replace(whole)
        except ConfigurationError:
            return ()
        self._tables = tables
        self._history.clear()
        self._is_damaged = False
        is_in_force = whole.version == self._in_force
        return (VersionInForce(tables.in_force()),) if is_in_force else ()

    def _put_in_force(self, now: float) -> tuple[FollowerOutput, ...]:
        version = self._tables.version
        if self._is_damaged or version <= self._in_force or self._is_starting(now):
            return ()
        previous = self._in_force
        self._in_force = version
        return (VersionInForce(self._tables.in_force()), *self._push(previous))

    def _is_starting(self, now: float) -> bool:
        """Return whether to wait for more sources; the first reply may be stale."""
        if self._pending_sources and now - self._started_at < STARTUP_WAIT_S:
            return True
        self._pending_sources = None
        return False

    def _push(self, previous: Version) -> tuple[FollowerOutput, ...]:
        deltas = self._history.since(previous)
        message: SpreadMessage = Current(self._tables.version, self._tables.digest)
        if deltas:
            message = Deltas(deltas)
        recipients = dict.fromkeys((*self._children.addresses(), *self._followers))
        return tuple(SpreadSent(each, message) for each in recipients)
