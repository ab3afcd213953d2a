"""Apply committed changes of the tables, the same way on every replica."""

from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_core._internal.configuration.history import DeltaHistory
from pimentobend_core._internal.configuration.messages import ChangeAnswer
from pimentobend_core._internal.configuration.messages import ChangeOutcome
from pimentobend_core._internal.configuration.messages import TablesCommand
from pimentobend_core._internal.configuration.messages import TablesDelta
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.messages import VersionedDelta
from pimentobend_core._internal.configuration.messages import WholeTables
from pimentobend_core._internal.configuration.service_messages import ChangeAsked
from pimentobend_core._internal.configuration.service_messages import NextLabel
from pimentobend_core._internal.configuration.versioned import VersionedTables

KEPT_ANSWERS = 4096  # change ids; an older one counts as new and finds a conflict


class RememberedAnswer(NamedTuple):
    """Hold the first answer to a change id."""

    change_id: str
    answer: ChangeAnswer


class ConfigurationSnapshot(NamedTuple):
    """Hold the replicated state; the deltas do not belong to it."""

    tables: WholeTables
    answers: tuple[RememberedAnswer, ...]


class ConfigurationState:
    """Own the tables in force, recent answers and recent deltas."""

    def __init__(self) -> None:
        self._tables = VersionedTables()
        self._answers: dict[str, ChangeAnswer] = {}
        self._history = DeltaHistory()

    @property
    def tables(self) -> VersionedTables:
        """Return the tables in force, to be read only."""
        return self._tables

    @property
    def history(self) -> DeltaHistory:
        """Return the recent deltas, to be read only."""
        return self._history

    def answer(self, change_id: str) -> ChangeAnswer | None:
        """Return the first answer to a change id."""
        return self._answers.get(change_id)

    def delta(self, asked: ChangeAsked) -> TablesDelta:
        """Return the delta that a change asks for on the tables in force."""
        tables = self._tables
        if asked.removals is None:
            delta = tables.diff(asked.routes, asked.pools)
            limits = asked.limits
        else:
            removals = asked.removals
            delta = TablesDelta(
                tables.version,
                asked.routes,
                removals.routes,
                asked.pools,
                removals.pools,
            )
            limits = asked.limits or tables.limits
        label = 0 if asked.label is None else asked.label.number
        return delta._replace(limits=limits, label=label)

    def is_valid(self, delta: TablesDelta, label: NextLabel | None) -> bool:
        """Say whether the tables after a delta are joined and numbered rightly."""
        if label is None:
            return True
        if label.number <= self._tables.label:
            return False
        added = {pool.name for pool in delta.pools}
        removed = set(delta.removed_pools)
        unknown = {
            name
            for name in self._names_after(delta)
            if name not in added and not self._tables.has_pool(name)
        }
        return not unknown and not removed & (self._names_after(delta) - added)

    def _names_after(self, delta: TablesDelta) -> set[str]:
        """Return the pools that the routes after a delta name."""
        gone = {*delta.removed_routes, *(route.name for route in delta.routes)}
        kept = [each for each in self._tables.routes() if each.name not in gone]
        names: set[str] = set()
        for route in (*kept, *delta.routes):
            names.update(split.pool for split in route.splits)
            if not route.splits:
                names.add(route.pool)
        return names

    def apply(self, command: TablesCommand, version: Version) -> VersionedDelta | None:
        """Apply a command at its place in the log; return what it changed."""
        if command.change_id in self._answers:
            return None
        if command.delta.base != self._tables.version:
            conflict = ChangeAnswer(ChangeOutcome.CONFLICT, self._tables.version)
            self._remember(command.change_id, conflict)
            return None
        self._tables.apply(command.delta, version)
        accepted = ChangeAnswer(ChangeOutcome.ACCEPTED, version)
        self._remember(command.change_id, accepted)
        versioned = VersionedDelta(version, self._tables.digest, command.delta)
        self._history.append(versioned)
        return versioned

    def snapshot(self) -> ConfigurationSnapshot:
        """Return the replicated state."""
        answers = (RememberedAnswer(*item) for item in self._answers.items())
        return ConfigurationSnapshot(self._tables.whole(), tuple(answers))

    def restore(self, snapshot: ConfigurationSnapshot) -> None:
        """Replace the replicated state."""
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

    def _remember(self, change_id: str, answer: ChangeAnswer) -> None:
        self._answers[change_id] = answer
        if len(self._answers) > KEPT_ANSWERS:
            del self._answers[next(iter(self._answers))]
