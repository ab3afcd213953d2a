"""Divide the slots of a server among those who send requests to it.

Calls, which other backend servers make, and direct requests come first to a max-min
fair division; direct requests then divide their part among organisations in the same
way. Who wants less than an equal part gets all of it, and the others divide the rest.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from types import MappingProxyType
from typing import NamedTuple


class Group(NamedTuple):
    """Those whose requests share one part of a server's slots."""

    organisation: str = ""  # empty for calls and for requests without one
    is_call: bool = False


# Weights 4, 2 and 1 for the ranks 0, 1 and those after: a more urgent rank goes first,
# but not so far that another organisation gets less than a quarter of its part.
MAX_WEIGHT = 4.0
LEAST_RANK = 2

DIRECT = Group()
CALLS = Group(is_call=True)


def make_group(organisation: str, *, is_call: bool) -> Group:
    """Return the group of a request; all calls are one group."""
    return CALLS if is_call else Group(organisation)


class Want(NamedTuple):
    """Slots that a sender wants, and its weight in their division."""

    slots: float
    weight: float = 1.0


def find_weight(rank: int) -> float:
    """Return the weight of an organisation whose requests have a rank."""
    return MAX_WEIGHT / 2.0 ** min(rank, LEAST_RANK)


def find_part(others: Iterable[Want], slots: float, weight: float = 1.0) -> float:
    """Return the slots left to one more sender beside others that want some."""
    left, weights = slots, weight
    wanted = sorted(others, key=lambda want: want.slots / want.weight)
    weights += sum(want.weight for want in wanted)
    for want in wanted:
        level = left / weights
        if want.slots >= level * want.weight:
            return level * weight
        left -= want.slots
        weights -= want.weight
    return left


class GroupCounts:
    """Number of attempts of each group, kept up to date by additions and removals."""

    def __init__(self, counts: Mapping[Group, int] = MappingProxyType({})) -> None:
        self._counts: dict[Group, int] = {}
        self._weights: dict[Group, float] = {}  # those that differ from 1
        self._calls = 0
        self._direct = 0
        # Parts that another attempt of a group would have, by kind, count and weight,
        # as they depend on nothing else; cleared at each change.
        self._parts: dict[tuple[bool, int, float], float] = {}
        self._parts_slots = 0.0
        for group, count in counts.items():
            self.add(group, count)

    def __contains__(self, group: Group) -> bool:
        return group in self._counts

    def __len__(self) -> int:
        return len(self._counts)

    def of(self, group: Group) -> int:
        """Return the number of attempts of a group."""
        return self._counts.get(group, 0)

    def add(self, group: Group, change: int = 1) -> None:
        """Add attempts of a group; remove some if ``change`` is negative."""
        count = self._counts.get(group, 0) + change
        if count > 0:
            self._counts[group] = count
        else:
            self._counts.pop(group, None)
        if group.is_call:
            self._calls += change
        else:
            self._direct += change
        self._parts.clear()

    def weigh(self, group: Group, weight: float) -> None:
        """Set the weight of a group."""
        if self._weights.get(group, 1.0) != weight:
            self._weights[group] = weight
            self._parts.clear()

    def forget_weight(self, group: Group) -> None:
        """Give a group the weight 1."""
        self._weights.pop(group, None)

    def clear(self) -> None:
        """Remove all attempts."""
        self._counts.clear()
        self._weights.clear()
        self._calls = self._direct = 0
        self._parts.clear()

    def part_of(self, group: Group, slots: int) -> float:
        """Return a group's part of the slots beside the attempts of the others."""
        count = self._counts.get(group, 0)
        total = float(max(1, slots))
        if count == self._calls + self._direct:
            return total
        if total != self._parts_slots:
            self._parts.clear()
            self._parts_slots = total
        weight = self._weights.get(group, 1.0)
        part = self._parts.get((group.is_call, count, weight))
        if part is None:
            part = self._find_part(group, total, weight)
            self._parts[group.is_call, count, weight] = part
        return part

    def dump(self) -> Mapping[str, object]:
        """Return the counts as JSON-compatible values."""
        organisations = {
            group.organisation: count
            for group, count in sorted(self._counts.items())
            if group.organisation
        }
        anonymous = self._counts.get(DIRECT, 0)
        return {
            "organisations": organisations,
            "anonymous": anonymous,
            "calls": self._calls,
        }

    def _find_part(self, group: Group, slots: float, weight: float) -> float:
        if group.is_call:
            return find_part([Want(self._direct)], slots)
        part = find_part([Want(self._calls)], slots)
        others = (
            Want(count, self._weights.get(other, 1.0))
            for other, count in self._counts.items()
            if not other.is_call and other != group
        )
        return find_part(others, part, weight)


class GroupDebts:
    """Work that each group has submitted beyond what its part of the slots has done.

    A group's debt shrinks as fast as its part can work. An attempt is due later by the
    time that its group's part needs for the debt, so that a group which asks for more
    than its part waits for it, and the others do not. Debts are brought up to date when
    an attempt comes or goes, as the parts are constant between these times. So a bid
    only reads the debt of its own group.
    """

    def __init__(self) -> None:
        self._present = GroupCounts()  # attempts that wait or run
        self._debts: dict[Group, float] = {}  # in s of a slot
        self._work_s = 0.0  # of the attempts that wait or run
        self._shrunk_at = 0.0

    def enter(self, group: Group, work_s: float, slots: int, now: float) -> None:
        """Add an attempt that waits or runs from ``now`` on, and its expected work."""
        self._shrink(slots, now)
        self._present.add(group)
        self._debts[group] = self._find_debt(group) + work_s
        self._work_s += work_s

    def weigh(self, group: Group, rank: int) -> None:
        """Weigh a group that is present by the rank of its latest attempt."""
        self._present.weigh(group, find_weight(rank))

    def leave(
        self, group: Group, work_s: float, slots: int, now: float, *, has_run: bool
    ) -> None:
        """Remove an attempt, and its work from the debts if it did not run."""
        self._shrink(slots, now)
        self._present.add(group, -1)
        self._work_s -= work_s
        undone_s = 0.0 if has_run else work_s
        self._set_debt(group, self._debts.get(group, 0.0) - undone_s)

    def settle(self) -> None:
        """Cancel all debts, as nobody waits."""
        for group in tuple(self._debts):
            self._set_debt(group, 0.0)

    def delay_s(self, group: Group, slots: int, now: float) -> float:
        """Return how much later an attempt is due that arrives at ``now``, in s."""
        if group not in self._debts or (
            not group.organisation and self._is_alone(group)
        ):
            return 0.0
        delay_s = self._find_debt(group) / self._present.part_of(group, slots)
        return max(0.0, delay_s - (now - self._shrunk_at))

    def _find_debt(self, group: Group) -> float:
        """Return a group's debt, up to all the work that is present.

        Work is expected to take longer than it does in the mean (stragglers), so debts
        would grow without bound at a server that is busy and not overloaded.
        """
        return min(self._debts.get(group, 0.0), self._work_s)

    def _is_alone(self, group: Group) -> bool:
        return len(self._present) == int(group in self._present)

    def _shrink(self, slots: int, now: float) -> None:
        elapsed_s, self._shrunk_at = now - self._shrunk_at, now
        if elapsed_s <= 0.0:
            return
        for group, debt in tuple(self._debts.items()):
            part = self._present.part_of(group, slots)
            self._set_debt(group, debt - elapsed_s * part)

    def _set_debt(self, group: Group, debt: float) -> None:
        if debt > 0.0:
            self._debts[group] = debt
            return
        self._debts.pop(group, None)
        if group not in self._present:
            self._present.forget_weight(group)
