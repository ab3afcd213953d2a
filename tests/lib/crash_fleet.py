"""Plays crashing and innocent requests on servers with an observer each.

Time goes in steps. Each observer's reports reach the others some steps later, or are
lost; the next ones that it publishes contain them. Observers restart and get back what
the others last had of them.
"""

import random
from collections import Counter
from typing import NamedTuple

from pimentobend_core._internal.crashes.messages import CrashOutput
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.crashes.messages import CrashTick
from pimentobend_core._internal.crashes.messages import EarlierReportsSeen
from pimentobend_core._internal.crashes.messages import FingerprintBlocked
from pimentobend_core._internal.crashes.messages import ReportsChanged
from pimentobend_core._internal.crashes.messages import ReportsReceived
from pimentobend_core._internal.crashes.messages import RunSucceeded
from pimentobend_core._internal.crashes.messages import ServerCrashed
from pimentobend_core._internal.crashes.suspects import CrashSuspects

STEP_S = 0.1
RUN_STEPS = 2
DOWN_STEPS = 30


class CrashLoad(NamedTuple):
    """What is played, and for how many steps."""

    servers: int
    slots: int
    innocents: int  # different requests, each of which comes again and again
    busy: float  # probability that a free slot gets a request in a step
    culprits: int
    culprit_steps: int  # between two tries of each culprit
    loss: float  # probability that published reports are lost on a way
    delay_steps: int  # at most, of published reports
    restart: float  # probability that an observer restarts in a step
    steps: int


class CrashCounts(NamedTuple):
    """What came of it."""

    crashes: Counter[str]  # servers crashed by each culprit
    blocked: set[str]
    most_held: int
    refused: Counter[str]


class _Run(NamedTuple):
    fingerprint: str
    ends_at: int


class _Observed:
    """A server with its observer."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.lives = 1
        self.suspects = CrashSuspects(f"{name}.1")
        self.published: tuple[CrashReport, ...] = ()
        self.runs: list[_Run] = []
        self.back_at = 0

    def restart(self) -> None:
        self.lives += 1
        self.suspects = CrashSuspects(f"{self.name}.{self.lives}")


class CrashFleet:
    """Servers, their observers, and the requests that come to them."""

    def __init__(self, load: CrashLoad, seed: int) -> None:
        self._load = load
        self._random = random.Random(seed)
        self._servers = [_Observed(f"s{number}") for number in range(load.servers)]
        self._letters: list[tuple[int, _Observed, tuple[CrashReport, ...]]] = []
        self._step = 0
        self.counts = CrashCounts(Counter(), set(), 0, Counter())

    @property
    def _now(self) -> float:
        return self._step * STEP_S

    def play(self) -> CrashCounts:
        """Play all steps."""
        load = self._load
        for self._step in range(load.steps):
            self._deliver()
            for server in self._servers:
                self._give(server, server.suspects.handle(CrashTick(), self._now))
                if self._random.random() < load.restart:
                    self._restart(server)
                self._serve(server)
            for number in range(load.culprits):
                if self._step % load.culprit_steps == number % load.culprit_steps:
                    self._try(self._random.choice(self._servers), f"culprit-{number}")
        return self.counts

    def _serve(self, server: _Observed) -> None:
        ended = [run for run in server.runs if run.ends_at <= self._step]
        if any(run.fingerprint.startswith("culprit") for run in ended):
            self._crash(server)
            return
        for run in ended:
            server.runs.remove(run)
            message = RunSucceeded(run.fingerprint)
            self._give(server, server.suspects.handle(message, self._now))
        for _ in range(self._load.slots - len(server.runs)):
            if self._random.random() < self._load.busy:
                number = self._random.randrange(self._load.innocents)
                self._try(server, f"innocent-{number}")

    def _try(self, server: _Observed, fingerprint: str) -> None:
        """Run a request unless it is blocked, or another suspect runs there."""
        suspects = server.suspects
        if self._step < server.back_at or len(server.runs) >= self._load.slots:
            return
        is_apart = not suspects.is_suspect(fingerprint) or not any(
            suspects.is_suspect(run.fingerprint) for run in server.runs
        )
        if not is_apart or suspects.find_block(fingerprint, self._now) is not None:
            self.counts.refused[fingerprint] += 1
            return
        server.runs.append(_Run(fingerprint, self._step + RUN_STEPS))

    def _crash(self, server: _Observed) -> None:
        running = tuple(run.fingerprint for run in server.runs)
        for each in running:
            self.counts.crashes[each] += each.startswith("culprit")
        server.runs.clear()
        server.back_at = self._step + DOWN_STEPS
        crashed = ServerCrashed(server.name, running)
        self._give(server, server.suspects.handle(crashed, self._now))

    def _give(self, server: _Observed, outputs: tuple[CrashOutput, ...]) -> None:
        for output in outputs:
            match output:
                case ReportsChanged():
                    server.published = output.reports
                    self._publish(server)
                case FingerprintBlocked():
                    self.counts.blocked.add(output.block.fingerprint)
        dumped = server.suspects.dump()["suspects"]
        assert isinstance(dumped, dict)
        most_held = max(self.counts.most_held, len(dumped))
        self.counts = self.counts._replace(most_held=most_held)

    def _publish(self, server: _Observed) -> None:
        for other in self._servers:
            if other is server or self._random.random() < self._load.loss:
                continue
            due = self._step + self._random.randint(1, self._load.delay_steps)
            self._letters.append((due, other, server.published))

    def _deliver(self) -> None:
        due = [each for each in self._letters if each[0] <= self._step]
        self._letters = [each for each in self._letters if each[0] > self._step]
        for _, server, reports in due:
            message = ReportsReceived(reports)
            self._give(server, server.suspects.handle(message, self._now))

    def _restart(self, server: _Observed) -> None:
        """Restart an observer; it gets the rows of all, and its own earlier one."""
        server.restart()
        earlier = EarlierReportsSeen(server.published)
        self._give(server, server.suspects.handle(earlier, self._now))
        for other in self._servers:
            if other is not server:
                message = ReportsReceived(other.published)
                self._give(server, server.suspects.handle(message, self._now))
