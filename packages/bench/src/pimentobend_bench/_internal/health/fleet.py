"""Discrete-event simulation of one service: callers, daemons and servers."""

import bisect
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple

from pimentobend_bench._internal.health.faults import Work
from pimentobend_bench._internal.health.paths import Paths
from pimentobend_bench._internal.health.policies import EjectionPolicy
from pimentobend_bench._internal.health.policies import PolicyContext
from pimentobend_bench._internal.health.scheduler import Scheduler
from pimentobend_bench._internal.health.servers import SimulatedServer
from pimentobend_bench._internal.health.shapes import Shape
from pimentobend_core._internal.health.in_flight import OVERDUE_MIN_S
from pimentobend_core._internal.health.messages import AttemptStarted
from pimentobend_core._internal.models.request import AttemptEnded
from pimentobend_core._internal.models.request import AttemptKind
from pimentobend_core._internal.models.server import ServerState
from pimentobend_core._internal.models.tables import Pool

_CONNECT_TIMEOUT_S = 1.0


class Outcome(NamedTuple):
    """An attempt that ended."""

    daemon: str
    started_at: float
    ended: AttemptEnded


class Fleet:
    """The simulated processes of one service under an ejection policy."""

    def __init__(self, shape: Shape, policy: EjectionPolicy, seed: int) -> None:
        self.shape = shape
        self.policy = policy
        self.scheduler = Scheduler()
        self.paths = Paths(seed)
        self.rate = shape.rate
        self.servers = {
            str(number): SimulatedServer(number, shape)
            for number in range(1, shape.servers + 1)
        }
        self.daemons = tuple(f"d{number}" for number in range(1, shape.daemons + 1))
        self.on_outcome: Callable[[Outcome], None] = lambda outcome: None
        # Time of the latest attempt on each server, and number of attempts.
        self.attempted_at: dict[str, float] = dict.fromkeys(self.servers, 0.0)
        self.attempts: Counter[str] = Counter()
        self._rng = random.Random(seed)
        self._tickets = itertools.count()
        self._in_flight: Counter[tuple[str, str]] = Counter()
        # Idle connections by daemon and server; the dead ones never answer.
        self._idle: Counter[tuple[str, str]] = Counter()
        self._dead: Counter[tuple[str, str]] = Counter()
        self._loads: dict[tuple[str, str], float] = {}
        pool = Pool(shape.service, shape.service, shape.floor, 100, hedge=False)
        policy.start(PolicyContext(self.scheduler, self.paths, pool, self.daemons))
        self.announce()
        self.scheduler.after(0.0, self._arrive)

    def announce(self) -> None:
        """Pass the current list of servers to the policy."""
        servers = tuple(simulated.server for simulated in self.servers.values())
        self.policy.change_servers(servers)

    def lose_connections(self, daemon: str, server_id: str) -> None:
        """Let the idle connections from a daemon to a server fail without notice."""
        key = (daemon, server_id)
        self._dead[key] = self._idle[key]

    def weight(self, daemon: str, server_id: str) -> float:
        """Return the weight from 0 to 1 that a daemon gives a server."""
        return self.policy.weights(daemon).get(server_id, 1.0)

    def _arrive(self) -> None:
        self.scheduler.after(self._rng.expovariate(self.rate), self._arrive)
        daemon = self.daemons[int(self._rng.random() * len(self.daemons))]
        server_id = self._select(daemon)
        if server_id is not None:
            self._attempt(daemon, server_id)

    def _select(self, daemon: str) -> str | None:
        """Return the less loaded of two servers drawn at random by weight."""
        weights = self.policy.weights(daemon)
        ids = []
        cumulative = []
        total = 0.0
        for server_id, server in self.servers.items():
            weight = self._selection_weight(daemon, server, weights)
            if weight > 0:
                total += weight
                ids.append(server_id)
                cumulative.append(total)
        if not ids:
            return None
        first, second = (
            ids[bisect.bisect(cumulative, self._rng.random() * total, hi=len(ids) - 1)]
            for _ in range(2)
        )
        is_busier = self._load(daemon, first) > self._load(daemon, second)
        return second if is_busier else first

    def _load(self, daemon: str, server_id: str) -> float:
        key = (daemon, server_id)
        return self._loads.get(key, 0.0) + self._in_flight[key] / self.shape.slots

    def _selection_weight(
        self, daemon: str, server: SimulatedServer, weights: Mapping[str, float]
    ) -> float:
        if server.server.state is not ServerState.READY:
            return 0.0
        weight = weights.get(server.server.server_id, 1.0)
        return (
            weight if self._is_near(daemon, server) else weight * self.shape.far_weight
        )

    def _is_near(self, daemon: str, server: SimulatedServer) -> bool:
        return int(daemon[1:]) % 2 == int(server.server.server_id) % 2

    def _attempt(self, daemon: str, server_id: str) -> None:
        key = (daemon, server_id)
        ticket = next(self._tickets)
        was_reused = self._idle[key] > 0
        work = self._work(daemon, server_id, was_reused)
        if was_reused:
            self._idle[key] -= 1
        self._in_flight[key] += 1
        self.attempted_at[server_id] = self.scheduler.now
        self.attempts[server_id] += 1
        started = AttemptStarted(ticket, "all", server_id, was_reused)
        self.policy.attempt_started(daemon, started)
        latency_s = work.service_s
        if latency_s >= self.shape.timeout_s:
            latency_s = self.shape.timeout_s
            work = work._replace(kind=AttemptKind.NO_ANSWER, status=0)
        ended = AttemptEnded(
            ticket,
            self.shape.service,
            "all",
            server_id,
            work.kind,
            work.status,
            latency_s,
            was_reused,
            None,
        )
        outcome = Outcome(daemon, self.scheduler.now, ended)
        if was_reused and latency_s > OVERDUE_MIN_S:
            # After one connection stays silent, a daemon opens new ones.
            self.scheduler.after(OVERDUE_MIN_S, lambda: self._drop_idle(key))
        self.scheduler.after(latency_s, lambda: self._end(outcome))

    def _drop_idle(self, key: tuple[str, str]) -> None:
        self._idle[key] = 0
        self._dead[key] = 0

    def _work(self, daemon: str, server_id: str, was_reused: bool) -> Work:
        server = self.servers[server_id]
        if not self.paths.is_connected(daemon, server_id):
            if was_reused:
                return Work(AttemptKind.NO_ANSWER, 0, math.inf)
            return Work(AttemptKind.NOT_CONNECTED, 0, _CONNECT_TIMEOUT_S)
        if was_reused and self._dead[daemon, server_id] > 0:
            self._dead[daemon, server_id] -= 1
            return Work(AttemptKind.NO_ANSWER, 0, math.inf)
        work = server.serve(self._rng, self.scheduler.now)
        is_near = self._is_near(daemon, server)
        round_trip_s = (
            self.shape.near_round_trip_s if is_near else self.shape.far_round_trip_s
        )
        return work._replace(service_s=work.service_s + round_trip_s)

    def _end(self, outcome: Outcome) -> None:
        ended = outcome.ended
        key = (outcome.daemon, ended.server_id)
        self._in_flight[key] -= 1
        if ended.kind in (AttemptKind.ANSWERED, AttemptKind.REFUSED):
            load = self.servers[ended.server_id].load(self.scheduler.now)
            self._loads[key] = load.in_use / load.slots
            ended = ended._replace(load=load)
            outcome = outcome._replace(ended=ended)
        if ended.kind in (AttemptKind.ANSWERED, AttemptKind.REFUSED):
            self._idle[key] += 1
        elif ended.kind is AttemptKind.NO_ANSWER:
            self._drop_idle(key)
        self.policy.attempt_ended(outcome.daemon, ended)
        self.on_outcome(outcome)
