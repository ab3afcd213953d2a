"""Plays requests of several instances on shared servers, with an observer an instance.

Time goes in steps. Each instance sees only its own requests at a server. What it
publishes reaches the others some steps later; the latest row of each author is what a
restarted instance gets back.
"""

import itertools
import random
from collections import Counter
from typing import NamedTuple

from pimentobend_core._internal.crashes.messages import Block
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.messages import CrashTick
from pimentobend_core._internal.crashes.messages import EarlierReportsSeen
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import FingerprintReleased
from pimentobend_core._internal.crashes.messages import ReportsChanged
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.observer import CrashObserver
from pimentobend_core._internal.crashes.observer_messages import ObserverInput
from pimentobend_core._internal.crashes.observer_messages import ReadyServers
from pimentobend_core._internal.crashes.observer_messages import Run
from pimentobend_core._internal.crashes.observer_messages import RunEnded
from pimentobend_core._internal.crashes.observer_messages import RunOutcome
from pimentobend_core._internal.crashes.observer_messages import RunStarted
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

STEP_S = 0.1
RUN_STEPS = 2
DOWN_STEPS = 20
SLOTS = 6
CULPRIT = "culprit"


class ObservedLoad(NamedTuple):
    """What is played, and for how many steps."""

    instances: int
    servers: int
    innocents: int  # different requests; the first of them is sent by far most often
    common: float  # probability that an innocent request is the first one
    busy: float  # probability that a free slot gets a request in a step
    culprits: int
    culprit_steps: int  # between two tries of each culprit
    delay_steps: int  # at most, of published reports
    restart: float  # probability that an instance restarts in a step
    steps: int


class ObservedCounts(NamedTuple):
    """What came of it."""

    crashes: dict[str, list[float]]  # times (s) of the crashes by each culprit
    blocked: set[str]
    rows: int  # published


class _Instance:
    """An instance with its observer and the blocks that it was told of."""

    def __init__(self, name: str, servers: frozenset[str]) -> None:
        self.name = name
        self.lives = 0
        self.published: tuple[CrashReport, ...] = ()
        self._servers = servers
        self.restart()

    def restart(self) -> None:
        self.lives += 1
        self.observer = CrashObserver(f"{self.name}.{self.lives}")
        self.observer.handle(ReadyServers("p", self._servers), 0.0)
        self.blocks: dict[str, Block] = {}


class _Active(NamedTuple):
    run: Run
    instance: _Instance
    life: int
    ends_at: int


class ObservedFleet:
    """Instances, the servers that they share, and the requests that come to them."""

    def __init__(self, load: ObservedLoad, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._servers = [_make_server(f"s{each}") for each in range(load.servers)]
        self._back_at = [0] * load.servers
        self._runs: list[list[_Active]] = [[] for _ in range(load.servers)]
        ids = frozenset(server.server_id for server in self._servers)
        self._instances = [_Instance(f"i{each}", ids) for each in range(load.instances)]
        self._letters: list[tuple[int, _Instance, tuple[CrashReport, ...]]] = []
        self._tickets = itertools.count(1)
        self._step = 0
        self._crashes: dict[str, list[float]] = {}
        self._blocked: set[str] = set()
        self._rows: Counter[str] = Counter()

    def play(self) -> ObservedCounts:
        """Play all steps."""
        load = self._load
        for self._step in range(load.steps):
            self._deliver()
            for instance in self._instances:
                self._give(instance, CrashTick())
                if self._random.random() < load.restart:
                    self._restart(instance)
            for number in range(load.servers):
                self._serve(number)
            for number in range(load.culprits):
                if self._step % load.culprit_steps == number % load.culprit_steps:
                    self._try(f"{CULPRIT}-{number}", self._pick_server())
        return ObservedCounts(self._crashes, self._blocked, self._rows.total())

    @property
    def _now(self) -> float:
        return self._step * STEP_S

    def _pick_server(self) -> int:
        return self._random.randrange(len(self._servers))

    def _serve(self, number: int) -> None:
        ended = [run for run in self._runs[number] if run.ends_at <= self._step]
        culprits = [run.run.fingerprint for run in ended if _is_culprit(run)]
        if culprits:
            self._crash(number, culprits)
            return
        for active in ended:
            self._runs[number].remove(active)
            self._end(active, RunOutcome.SUCCEEDED)
        for _ in range(SLOTS - len(self._runs[number])):
            if self._random.random() < self._load.busy:
                is_common = self._random.random() < self._load.common
                each = 0 if is_common else self._random.randrange(self._load.innocents)
                self._try(f"innocent-{each}", number)

    def _try(self, fingerprint: str, number: int) -> None:
        """Send a request through any instance, unless that one refuses it."""
        instance = self._random.choice(self._instances)
        block = instance.blocks.get(fingerprint)
        is_blocked = block is not None and self._now < block.until
        is_down = self._step < self._back_at[number]
        if is_blocked or is_down or len(self._runs[number]) >= SLOTS:
            return
        run = Run(next(self._tickets), fingerprint, self._servers[number])
        ends_at = self._step + RUN_STEPS
        self._runs[number].append(_Active(run, instance, instance.lives, ends_at))
        self._give(instance, RunStarted(run, fingerprint))

    def _crash(self, number: int, culprits: list[str]) -> None:
        for culprit in set(culprits):
            self._crashes.setdefault(culprit, []).append(self._now)
        cut, self._runs[number] = self._runs[number], []
        self._back_at[number] = self._step + DOWN_STEPS
        server = self._servers[number]
        self._servers[number] = server._replace(incarnation=server.incarnation + 1)
        self._random.shuffle(cut)
        for active in cut:
            self._end(active, RunOutcome.SERVER_ENDED)

    def _end(self, active: _Active, outcome: RunOutcome) -> None:
        if active.life == active.instance.lives:
            self._give(active.instance, RunEnded(active.run, outcome))

    def _give(self, instance: _Instance, message: ObserverInput) -> None:
        for output in instance.observer.handle(message, self._now):
            match output:
                case ReportsChanged():
                    instance.published = output.reports
                    self._publish(instance)
                case FingerprintBlocked():
                    instance.blocks[output.block.fingerprint] = output.block
                    self._blocked.add(output.block.fingerprint)
                case FingerprintReleased():
                    instance.blocks.pop(output.fingerprint, None)

    def _publish(self, instance: _Instance) -> None:
        self._rows[instance.name] += 1
        for other in self._instances:
            if other is not instance:
                due = self._step + self._random.randint(1, self._load.delay_steps)
                self._letters.append((due, other, instance.published))

    def _deliver(self) -> None:
        due = [each for each in self._letters if each[0] <= self._step]
        self._letters = [each for each in self._letters if each[0] > self._step]
        for _, instance, reports in due:
            self._give(instance, ReportsReceived(reports))

    def _restart(self, instance: _Instance) -> None:
        instance.restart()
        self._give(instance, EarlierReportsSeen(instance.published))
        for other in self._instances:
            if other is not instance:
                self._give(instance, ReportsReceived(other.published))


def _is_culprit(active: _Active) -> bool:
    return active.run.fingerprint.startswith(CULPRIT)


def _make_server(server_id: str) -> Server:
    return Server(server_id, "s", "127.0.0.1", 1, SLOTS, "a", "r", ServerState.READY, 1)
