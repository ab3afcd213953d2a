"""Define what may happen in a scenario."""

import abc
from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_bench._internal.health.faults import Failing
from pimentobend_bench._internal.health.faults import Fault
from pimentobend_bench._internal.health.faults import Flapping
from pimentobend_bench._internal.health.faults import Hanging
from pimentobend_bench._internal.health.faults import Shedding
from pimentobend_bench._internal.health.faults import Slow
from pimentobend_bench._internal.health.leased import OWNERS
from pimentobend_core._internal.models.server import ServerState
from scenario.language import ScenarioError
from scenario.language import ratio
from scenario.language import seconds
from scenario.language import share
from scenario.world import World

Words = tuple[str, ...]


class Action(abc.ABC):
    """Change the world at one moment."""

    usage: str

    @abc.abstractmethod
    def apply(self, world: World, words: Words) -> None:
        """Act on the words behind the verb."""


FAULTS: Mapping[str, Callable[[World, Words], Fault]] = {
    "slow": lambda world, words: Slow(ratio(words[0])),
    "fails": lambda world, words: Failing(share(words[0])),
    "hangs": lambda world, words: Hanging(share(words[0])),
    "sheds": lambda world, words: Shedding(share(words[0])),
    "flaps": lambda world, words: Flapping(
        Slow(5.0), seconds(words[0]), seconds(words[1]), world.now
    ),
}


class ServerAction(Action):
    """Make backend servers sick or well, restart, drain or leave."""

    usage = (
        "server <n|n-m|all> slow 5x | fails 50% | hangs 50% | sheds 50% | "
        "flaps <sick> <well> | recovers | restarts <cold> <ratio> | drains | leaves"
    )

    def apply(self, world: World, words: Words) -> None:
        """Act on each named server."""
        for server_id in world.server_ids(words[0]):
            self._apply(world, server_id, words[1], words[2:])

    def _apply(self, world: World, server_id: str, verb: str, words: Words) -> None:
        server = world.fleet.servers[server_id]
        match verb:
            case "recovers":
                server.fault = None
                return
            case "restarts":
                server.restart(world.now, seconds(words[0]), ratio(words[1]))
            case "drains":
                server.change_state(ServerState.DRAINING)
            case "leaves":
                del world.fleet.servers[server_id]
            case _ if verb in FAULTS:
                server.fault = FAULTS[verb](world, words)
                return
            case _:
                raise ScenarioError(f"a server cannot {verb!r}; usage: {self.usage}")
        world.fleet.announce()


class CutAction(Action):
    """Cut a path in both directions or in one."""

    usage = "cut <daemons> from server <n> | cut <daemons> to|from owner <o|all>"

    def apply(self, world: World, words: Words) -> None:
        """Cut the named paths."""
        for daemon in world.daemons(words[0]):
            if words[2] == "server":
                for server_id in world.server_ids(words[3]):
                    world.fleet.paths.cut(server_id, daemon)
            else:
                self._cut_owner(world, daemon, words)

    def _cut_owner(self, world: World, daemon: str, words: Words) -> None:
        for owner in OWNERS if words[3] == "all" else words[3:]:
            if words[1] == "to":
                world.fleet.paths.cut(daemon, owner)
            else:
                world.fleet.paths.cut(owner, daemon)


class HealAction(Action):
    """Heal all paths."""

    usage = "heal"

    def apply(self, world: World, words: Words) -> None:
        """Carry all messages again."""
        world.fleet.paths.heal_all()


class DisturbAction(Action):
    """Lose, repeat and delay messages between processes."""

    usage = "disturb <loss> <repeats> <delay>"

    def apply(self, world: World, words: Words) -> None:
        """Set all three."""
        world.fleet.paths.loss = share(words[0])
        world.fleet.paths.duplication = share(words[1])
        world.fleet.paths.extra_delay_s = seconds(words[2])


class DemandAction(Action):
    """Multiply the demand."""

    usage = "demand <ratio>"

    def apply(self, world: World, words: Words) -> None:
        """Set the rate against the pool's own."""
        world.fleet.rate = world.shape.rate * ratio(words[0])


class SilenceAction(Action):
    """Let open connections go silent while new ones work."""

    usage = "silence <daemons> server <n>"

    def apply(self, world: World, words: Words) -> None:
        """Lose track of the connections."""
        for daemon in world.daemons(words[0]):
            for server_id in world.server_ids(words[2]):
                world.fleet.lose_connections(daemon, server_id)


class RestartAction(Action):
    """Restart a daemon or a control replica."""

    usage = "restart <daemons> | restart owner <o>"

    def apply(self, world: World, words: Words) -> None:
        """Lose the memory of the named processes."""
        if words[0] == "owner":
            world.policy.restart_owner(words[1])
            return
        for daemon in world.daemons(words[0]):
            world.policy.restart_daemon(daemon)


class ElectAction(Action):
    """Make another control replica the owner of the floor."""

    usage = "elect <o>"

    def apply(self, world: World, words: Words) -> None:
        """Begin a term."""
        world.policy.elect(words[0])


ACTIONS: dict[str, Action] = {
    "server": ServerAction(),
    "cut": CutAction(),
    "heal": HealAction(),
    "disturb": DisturbAction(),
    "demand": DemandAction(),
    "silence": SilenceAction(),
    "restart": RestartAction(),
    "elect": ElectAction(),
}
