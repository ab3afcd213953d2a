"""Divide the slots of a server among those who send requests to it.

Calls, which other backend servers make, and direct requests come first to a max-min
fair division; direct requests then divide their part among organisations in the same
way. Who wants less than an equal part gets all of it, and the others divide the rest.
"""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple


class Group(NamedTuple):
    """Those whose requests share one part of a server's slots."""

    organisation: str = ""  # empty for calls and for requests without one
    is_call: bool = False


DIRECT = Group()
CALLS = Group(is_call=True)


def make_group(organisation: str, *, is_call: bool) -> Group:
    """Return the group of a request; all calls are one group."""
    return CALLS if is_call else Group(organisation)


def find_part(others: Iterable[int], slots: float) -> float:
    """Return the slots left to one more sender beside others that want some."""
    wanted = sorted(others)
    left = slots
    for index, slots_wanted in enumerate(wanted):
        equal = left / (len(wanted) - index + 1)
        if slots_wanted >= equal:
            return equal
        left -= slots_wanted
    return left


def find_group_part(group: Group, present: Counter[Group], slots: int) -> float:
    """Return a group's part of the slots beside the attempts that wait or run."""
    own_kind = {each: n for each, n in present.items() if each.is_call == group.is_call}
    other_kind = sum(present.values()) - sum(own_kind.values())
    part = find_part([other_kind], float(max(1, slots)))
    return find_part([n for each, n in own_kind.items() if each != group], part)


class GroupDebts:
    """Work that each group has submitted beyond what its part of the slots has done.

    A group's debt shrinks as fast as its part can work. An attempt is due later by the
    time that its group's part needs for the debt, so that a group which asks for more
    than its part waits for it, and the others do not.
    """

    def __init__(self) -> None:
        self._debts: dict[Group, float] = {}  # in s of a slot
        self._shrunk_at = 0.0

    @property
    def has_others(self) -> bool:
        """Return whether there are more than direct requests without organisation."""
        return any(group != DIRECT for group in self._debts)

    def add(self, group: Group, work_s: float) -> None:
        """Add the work of an attempt; negative if it was declined and will not run."""
        self._debts[group] = self._debts.get(group, 0.0) + work_s

    def delay_s(
        self, group: Group, present: Counter[Group], slots: int, now: float
    ) -> float:
        """Return how much later an attempt is due that arrives now, in s.

        ``present`` counts the attempts that wait or run at the server.
        """
        self._shrink(present, slots, now)
        is_alone = all(other == group for other in present)
        if group not in self._debts or (is_alone and not group.organisation):
            return 0.0
        return self._debts[group] / find_group_part(group, present, slots)

    def _shrink(self, present: Counter[Group], slots: int, now: float) -> None:
        elapsed_s, self._shrunk_at = now - self._shrunk_at, now
        for group, debt in tuple(self._debts.items()):
            left = debt - elapsed_s * find_group_part(group, present, slots)
            if left > 0.0:
                self._debts[group] = left
            else:
                del self._debts[group]
