"""Actions of the scenario language (``at <time> <action>``)."""

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
    """An action that a scenario executes at a given time."""

    usage: str

    @abc.abstractmethod
    def apply(self, world: World, words: Words) -> None:
        """Execute the action; ``words`` are its arguments."""


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
    """Inject or clear a fault of backend servers, or restart, drain or remove them."""

    usage = (
        "server <n|n-m|all> slow 5x | fails 50% | hangs 50% | sheds 50% | "
        "flaps <faulty time> <healthy time> | recovers | "
        "restarts <warm-up time> <warm-up latency, such as 5x> | drains | leaves"
    )

    def apply(self, world: World, words: Words) -> None:
        """Execute the action on each named server."""
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
                raise ScenarioError(
                    f"unknown server action {verb!r}; usage: {self.usage}"
                )
        world.fleet.announce()


class CutAction(Action):
    """Block messages on a path in one direction.

    An owner is a control replica, which may be the floor owner.
    """

    usage = "cut <daemons> from server <n> | cut <daemons> to|from owner <replica|all>"

    def apply(self, world: World, words: Words) -> None:
        """Block the named paths."""
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
    """Unblock the paths that were cut."""

    usage = "heal"

    def apply(self, world: World, words: Words) -> None:
        """Let messages pass on every path from now on."""
        world.fleet.paths.heal_all()


class DisturbAction(Action):
    """Lose, duplicate and delay messages between processes."""

    usage = "disturb <loss> <duplication> <delay>"

    def apply(self, world: World, words: Words) -> None:
        """Set the shares of loss and duplication and the extra delay."""
        world.fleet.paths.loss = share(words[0])
        world.fleet.paths.duplication = share(words[1])
        world.fleet.paths.extra_delay_s = seconds(words[2])


class DemandAction(Action):
    """Change the request rate."""

    usage = "demand <ratio>"

    def apply(self, world: World, words: Words) -> None:
        """Set the request rate to a multiple of the pool's configured rate."""
        world.fleet.rate = world.shape.rate * ratio(words[0])


class LoseConnectionsAction(Action):
    """Lose the open connections to servers; new connections work."""

    usage = "silence <daemons> server <n>"

    def apply(self, world: World, words: Words) -> None:
        """Lose the open connections without notifying the daemons."""
        for daemon in world.daemons(words[0]):
            for server_id in world.server_ids(words[2]):
                world.fleet.lose_connections(daemon, server_id)


class RestartAction(Action):
    """Restart a daemon or a control replica."""

    usage = "restart <daemons> | restart owner <replica>"

    def apply(self, world: World, words: Words) -> None:
        """Restart the named processes, which lose their state."""
        if words[0] == "owner":
            world.policy.restart_owner(words[1])
            return
        for daemon in world.daemons(words[0]):
            world.policy.restart_daemon(daemon)


class ElectAction(Action):
    """Make a control replica the floor owner, which grants ejections."""

    usage = "elect <replica>"

    def apply(self, world: World, words: Words) -> None:
        """Begin a term with the named replica as the floor owner."""
        world.policy.elect(words[0])


ACTIONS: dict[str, Action] = {
    "server": ServerAction(),
    "cut": CutAction(),
    "heal": HealAction(),
    "disturb": DisturbAction(),
    "demand": DemandAction(),
    "silence": LoseConnectionsAction(),
    "restart": RestartAction(),
    "elect": ElectAction(),
}
