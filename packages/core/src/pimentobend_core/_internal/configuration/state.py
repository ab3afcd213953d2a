"""Replicated state machine of the tables.

Every replica applies the same commands with the same result.
"""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.compact.rows import RowError
from pimentobend_core._internal.configuration.history import DeltaHistory
from pimentobend_core._internal.configuration.messages import ChangeAnswer
from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.messages import TablesDelta
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.configuration.service_messages import NextLabel
from pimentobend_core._internal.configuration.service_messages import (
    TablesChangeRequest,
)
from pimentobend_core._internal.configuration.versioned import VersionedTables

# Number of change ids whose answer is kept. A resent change that is older gets a
# conflict.
MAX_ANSWERS = 4096


class CachedAnswer(NamedTuple):
    """First answer to a change id, kept to answer a resent change."""

    change_id: str
    answer: ChangeAnswer


class ConfigurationSnapshot(NamedTuple):
    """Snapshot of the replicated state; the delta history is not part of it."""

    tables: WholeTables
    answers: tuple[CachedAnswer, ...]


class ConfigurationState:
    """Tables in force, with recent answers and the recent delta history."""

    def __init__(self) -> None:
        self._tables = VersionedTables()
        self._answers: dict[str, ChangeAnswer] = {}
        self._history = DeltaHistory()

    @property
    def tables(self) -> VersionedTables:
        """Return the tables in force; callers must not modify them."""
        return self._tables

    @property
    def history(self) -> DeltaHistory:
        """Return the recent deltas; callers must not modify them."""
        return self._history

    def answer(self, change_id: str) -> ChangeAnswer | None:
        """Return the first answer to a change id, or None if it is not known."""
        return self._answers.get(change_id)

    def build_delta(self, request: TablesChangeRequest) -> TablesDelta:
        """Return the delta from the tables in force to those that a change requests."""
        tables = self._tables
        if request.removals is None:
            delta = tables.diff(request.routes, request.pools, request.organisations)
            limits = request.limits
        else:
            removals = request.removals
            delta = TablesDelta(
                tables.version,
                request.routes,
                removals.routes,
                request.pools,
                removals.pools,
                organisations=request.organisations,
                removed_organisations=removals.organisations,
            )
            limits = request.limits or tables.limits
        label = 0 if request.label is None else request.label.number
        return delta._replace(limits=limits, label=label)

    def is_valid(self, delta: TablesDelta, label: NextLabel | None) -> bool:
        """Return whether a delta gives valid tables.

        The tables must be able to hold its rows, and no two organisations may have the
        same API key. If it has a label, that must grow, and
        each pool that a route uses must exist.
        """
        if not self._fits(delta):
            return False
        if label is None:
            return True
        if label.number <= self._tables.label:
            return False
        added = {pool.name for pool in delta.pools}
        removed = set(delta.removed_pools)
        unknown = {
            name
            for name in self._find_used_pools(delta)
            if name not in added and not self._tables.has_pool(name)
        }
        return not unknown and not removed & (self._find_used_pools(delta) - added)

    def _fits(self, delta: TablesDelta) -> bool:
        try:
            self._tables.check(delta)
        except RowError:
            return False
        return True

    def _find_used_pools(self, delta: TablesDelta) -> set[str]:
        """Return the pools that the routes use once a delta is applied."""
        replaced_or_removed = {
            *delta.removed_routes,
            *(route.name for route in delta.routes),
        }
        kept = [
            each
            for each in self._tables.routes()
            if each.name not in replaced_or_removed
        ]
        names: set[str] = set()
        for route in (*kept, *delta.routes):
            names.update(split.pool for split in route.splits)
            if not route.splits:
                names.add(route.pool)
        return names

    def apply(self, command: TablesCommand, version: Version) -> VersionedDelta | None:
        """Apply a committed command; return its delta, or None if nothing changed."""
        if command.change_id in self._answers:
            return None
        if command.delta.base != self._tables.version:
            conflict = ChangeAnswer(ChangeOutcome.CONFLICT, self._tables.version)
            self._cache_answer(command.change_id, conflict)
            return None
        if not self._fits(command.delta):
            invalid = ChangeAnswer(ChangeOutcome.INVALID, self._tables.version)
            self._cache_answer(command.change_id, invalid)
            return None
        self._tables.apply(command.delta, version)
        accepted = ChangeAnswer(ChangeOutcome.ACCEPTED, version)
        self._cache_answer(command.change_id, accepted)
        versioned = VersionedDelta(version, self._tables.digest, command.delta)
        self._history.append(versioned)
        return versioned

    def snapshot(self) -> ConfigurationSnapshot:
        """Return a snapshot of the replicated state."""
        answers = (CachedAnswer(*item) for item in self._answers.items())
        return ConfigurationSnapshot(self._tables.whole(), tuple(answers))

    def restore(self, snapshot: ConfigurationSnapshot) -> None:
        """Replace the replicated state and discard the delta history."""
        self._tables.replace(snapshot.tables)
        self._answers = {each.change_id: each.answer for each in snapshot.answers}
        self._history.clear()

    def dump(self) -> Mapping[str, object]:
        """Return the state as JSON-compatible values."""
        return {
            "version": str(self._tables.version),
            "digest": self._tables.digest.hex(),
            "answers": len(self._answers),
        }

    def _cache_answer(self, change_id: str, answer: ChangeAnswer) -> None:
        self._answers[change_id] = answer
        if len(self._answers) > MAX_ANSWERS:
            del self._answers[next(iter(self._answers))]
