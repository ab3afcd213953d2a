"""Conditions and expectations of the scenario language (``expect ...``)."""

import abc

from scenario.language import ScenarioError
from scenario.language import seconds
from scenario.world import World

Words = tuple[str, ...]

AVOIDED_WEIGHT = 0.1  # a daemon that avoids a server gives it this weight at most


class Condition(abc.ABC):
    """A condition on the state of the simulated fleet."""

    usage: str

    @abc.abstractmethod
    def holds(self, world: World, words: Words) -> bool:
        """Return whether the condition holds now; ``words`` are its arguments."""


class Ejected(Condition):
    """Each server has the weight 0 in some daemon; with ``any``, at least one has."""

    usage = "ejected [any] <n|n-m|all>"

    def holds(self, world: World, words: Words) -> bool:
        """Return whether the named servers, or any of them, are ejected."""
        is_any = words[0] == "any"
        states = [
            self._is_ejected(world, server_id)
            for server_id in world.server_ids(words[1] if is_any else words[0])
        ]
        return any(states) if is_any else all(states)

    def _is_ejected(self, world: World, server_id: str) -> bool:
        return any(
            world.fleet.weight(daemon, server_id) == 0 for daemon in world.fleet.daemons
        )


class Avoided(Condition):
    """All named daemons avoid the servers: the weights are at most AVOIDED_WEIGHT."""

    usage = "avoided <daemons> <n>"

    def holds(self, world: World, words: Words) -> bool:
        """Return whether the weights in the named daemons meet the condition."""
        return all(
            world.fleet.weight(daemon, server_id) <= AVOIDED_WEIGHT + 1e-9
            for daemon in world.daemons(words[0])
            for server_id in world.server_ids(words[1])
        )


class InUse(Condition):
    """The servers have the weight 1 in all daemons."""

    usage = "in-use <n|n-m|all>"

    def holds(self, world: World, words: Words) -> bool:
        """Return whether the weights in all daemons meet the condition."""
        return all(
            world.fleet.weight(daemon, server_id) == 1
            for daemon in world.fleet.daemons
            for server_id in world.server_ids(words[0])
        )


class FloorKept(Condition):
    """Ejections have always left as many servers in use as the floor requires."""

    usage = "floor"

    def holds(self, world: World, words: Words) -> bool:
        """Return whether no violation was recorded so far."""
        return not world.floor.violations


CONDITIONS: dict[str, Condition] = {
    "ejected": Ejected(),
    "avoided": Avoided(),
    "in-use": InUse(),
    "floor": FloorKept(),
}


class Expectation(abc.ABC):
    """Check one condition throughout a scenario."""

    def __init__(self, condition: Condition, words: Words) -> None:
        self._condition = condition
        self._words = words

    @abc.abstractmethod
    def check(self, world: World) -> bool:
        """Check the condition now; return whether the expectation is violated."""

    def is_unmet(self) -> bool:
        """Return whether the expectation is still not met at the scenario's end."""
        return False

    def _holds(self, world: World) -> bool:
        return self._condition.holds(world, self._words)


class Always(Expectation):
    """The condition holds at all times."""

    def check(self, world: World) -> bool:
        """Return whether the condition does not hold now."""
        return not self._holds(world)


class Never(Expectation):
    """The condition holds at no time."""

    def check(self, world: World) -> bool:
        """Return whether the condition holds now."""
        return self._holds(world)


class HoldsBy(Expectation):
    """The condition holds at some time up to ``time_s``."""

    def __init__(self, condition: Condition, words: Words, time_s: float) -> None:
        super().__init__(condition, words)
        self._time_s = time_s
        self._is_done = False

    def check(self, world: World) -> bool:
        """Record whether the condition holds; a miss is reported only at the end."""
        if not self._is_done and world.now <= self._time_s + 1e-9:
            self._is_done = self._holds(world)
        return False

    def is_unmet(self) -> bool:
        """Return whether the condition has never held in time."""
        return not self._is_done


class HoldsAt(HoldsBy):
    """The condition holds at ``time_s``."""

    def check(self, world: World) -> bool:
        """Check the condition once, at the first step from ``time_s`` on."""
        if self._is_done or world.now + 1e-9 < self._time_s:
            return False
        self._is_done = True
        return not self._holds(world)


def make_expectation(words: Words) -> Expectation:
    """Parse the words after ``expect`` into an expectation."""
    is_timed = words[0] in ("by", "at")
    condition_words = words[2:] if is_timed else words[1:]
    if not condition_words or condition_words[0] not in CONDITIONS:
        raise ScenarioError(f"unknown condition {' '.join(condition_words)!r}")
    condition = CONDITIONS[condition_words[0]]
    match words[0]:
        case "by":
            return HoldsBy(condition, condition_words[1:], seconds(words[1]))
        case "at":
            return HoldsAt(condition, condition_words[1:], seconds(words[1]))
        case "always":
            return Always(condition, condition_words[1:])
        case "never":
            return Never(condition, condition_words[1:])
    raise ScenarioError(f"expected by, at, always or never, not {words[0]!r}")
