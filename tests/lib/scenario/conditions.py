"""Define what a scenario may expect."""

import abc

from scenario.language import ScenarioError
from scenario.language import seconds
from scenario.world import World

Words = tuple[str, ...]

AVOIDED_WEIGHT = 0.1


class Condition(abc.ABC):
    """Say whether something holds now."""

    usage: str

    @abc.abstractmethod
    def holds(self, world: World, words: Words) -> bool:
        """Look at the world."""


class Ejected(Condition):
    """Some daemon gives each of the servers, or any of them, no work at all."""

    usage = "ejected [any] <n|n-m|all>"

    def holds(self, world: World, words: Words) -> bool:
        """Look at the weights in all daemons."""
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
    """The daemons keep most work away from the server."""

    usage = "avoided <daemons> <n>"

    def holds(self, world: World, words: Words) -> bool:
        """Look at the weights in the named daemons."""
        return all(
            world.fleet.weight(daemon, server_id) <= AVOIDED_WEIGHT + 1e-9
            for daemon in world.daemons(words[0])
            for server_id in world.server_ids(words[1])
        )


class InUse(Condition):
    """All daemons give the server its whole share."""

    usage = "in-use <n|n-m|all>"

    def holds(self, world: World, words: Words) -> bool:
        """Look at the weights in all daemons."""
        return all(
            world.fleet.weight(daemon, server_id) == 1
            for daemon in world.fleet.daemons
            for server_id in world.server_ids(words[0])
        )


class Floor(Condition):
    """Ejection never took more than the floor lets go."""

    usage = "floor"

    def holds(self, world: World, words: Words) -> bool:
        """Look at what was noted so far."""
        return not world.floor.violations


CONDITIONS: dict[str, Condition] = {
    "ejected": Ejected(),
    "avoided": Avoided(),
    "in-use": InUse(),
    "floor": Floor(),
}


class Expectation(abc.ABC):
    """Watch one condition through a scenario."""

    def __init__(self, condition: Condition, words: Words) -> None:
        self._condition = condition
        self._words = words

    @abc.abstractmethod
    def watch(self, world: World) -> bool:
        """Return whether the expectation is broken at this moment."""

    def is_open(self) -> bool:
        """Say at the end whether something expected has not come."""
        return False

    def _holds(self, world: World) -> bool:
        return self._condition.holds(world, self._words)


class Always(Expectation):
    """Hold at every moment."""

    def watch(self, world: World) -> bool:
        """Return whether it does not hold."""
        return not self._holds(world)


class Never(Expectation):
    """Hold at no moment."""

    def watch(self, world: World) -> bool:
        """Return whether it holds."""
        return self._holds(world)


class By(Expectation):
    """Hold at some moment up to a time."""

    def __init__(self, condition: Condition, words: Words, time_s: float) -> None:
        super().__init__(condition, words)
        self._time_s = time_s
        self._is_seen = False

    def watch(self, world: World) -> bool:
        """Note the condition; never broken before the end."""
        if not self._is_seen and world.now <= self._time_s + 1e-9:
            self._is_seen = self._holds(world)
        return False

    def is_open(self) -> bool:
        """Say whether the condition was not seen."""
        return not self._is_seen


class At(By):
    """Hold at a time."""

    def watch(self, world: World) -> bool:
        """Look once, at the first moment from the time on."""
        if self._is_seen or world.now + 1e-9 < self._time_s:
            return False
        self._is_seen = True
        return not self._holds(world)


def make_expectation(words: Words) -> Expectation:
    """Return the expectation that the words behind ``expect`` spell."""
    is_timed = words[0] in ("by", "at")
    subject = words[2:] if is_timed else words[1:]
    if not subject or subject[0] not in CONDITIONS:
        raise ScenarioError(f"unknown condition {' '.join(subject)!r}")
    condition = CONDITIONS[subject[0]]
    match words[0]:
        case "by":
            return By(condition, subject[1:], seconds(words[1]))
        case "at":
            return At(condition, subject[1:], seconds(words[1]))
        case "always":
            return Always(condition, subject[1:])
        case "never":
            return Never(condition, subject[1:])
    raise ScenarioError(f"expect by, at, always or never, not {words[0]!r}")
