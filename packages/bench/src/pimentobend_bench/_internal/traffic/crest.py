"""Measure service at a crest of demand."""

import argparse
import collections
import random
from collections.abc import Sequence
from typing import NamedTuple

from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status
from pimentobend_bench._internal.traffic.servers import OverflowMode
from pimentobend_bench._internal.traffic.shapes import PIMENTOBEND
from pimentobend_bench._internal.traffic.shapes import SHAPES
from pimentobend_bench._internal.traffic.shapes import Policy
from pimentobend_bench._internal.traffic.shapes import named
from pimentobend_bench._internal.traffic.shapes import quantile
from pimentobend_bench._internal.traffic.simulation import Arrival
from pimentobend_bench._internal.traffic.simulation import Outcome
from pimentobend_bench._internal.traffic.simulation import Place
from pimentobend_bench._internal.traffic.simulation import Shape
from pimentobend_bench._internal.traffic.simulation import Simulation
from pimentobend_bench._internal.traffic.simulation import Traffic
from pimentobend_bench._internal.traffic.simulation import create_arrivals

MEAN_LOAD = 0.4  # of capacity
RISE_AT_S = 10.0
RISE_S = 1.0
CREST_S = 10.0
END_S = 26.0
TIMEOUT_S = 2.0
ORGANISATIONS = 85_000
HEAVY_SHARE = 0.2  # of all requests, from one organisation
TARGET_GOODPUT = 0.95
SERVICE_SHAPE = 4.0  # of the gamma distribution


class CrestResult(NamedTuple):
    """Hold the figures of one run; times are in milliseconds."""

    goodput: float  # of what the slots can give
    p50_ms: float
    p99_ms: float
    refused: int
    late: int
    gave_up: int
    sheds: int
    light_answered: float  # share of the small organisations' requests


class Crest(Command):
    """Raise demand to several times its mean within a second."""

    name = "crest"
    usage = "crest [--seed N] [--multiple X ...] [--mode shed|backlog] [--shape T]"
    summary = "goodput and latency at a crest of demand"

    def run(self, args: Sequence[str]) -> Status:
        """Run every shape and policy, and return whether the target is met."""
        options = _parse(self.usage, args)
        print(f"crest, seed {options.seed}, servers that {options.mode}")
        print(
            f"{'service':31}{'x mean':>7} {'policy':12}{'goodput':>8}{'p50 ms':>8}"
            f"{'p99 ms':>8}{'refused':>8}{'late':>7}{'gave up':>8}{'sheds':>8}"
            f"{'light ok':>9}"
        )
        missed = 0
        mode = OverflowMode(options.mode)
        for shape in SHAPES:
            if options.shape not in shape.name:
                continue
            for multiple in options.multiple:
                for policy in named(options.policy):
                    result = measure(
                        shape._replace(mode=mode), policy, multiple, options.seed
                    )
                    _print_row(shape, multiple, policy, result)
                    if policy is PIMENTOBEND and result.goodput < TARGET_GOODPUT:
                        missed += 1
        print(f"{missed} rows of pimentobend below the target of {TARGET_GOODPUT:.0%}")
        return Status.TARGET_MISSED if missed else Status.SUCCESS


def measure(shape: Shape, policy: Policy, multiple: float, seed: int) -> CrestResult:
    """Run one shape and policy through the crest."""

    def load(at: float) -> float:
        rise = min(1.0, max(0.0, (at - RISE_AT_S) / RISE_S))
        fall = min(1.0, max(0.0, (at - RISE_AT_S - RISE_S - CREST_S) / RISE_S))
        return MEAN_LOAD * (1 + (multiple - 1) * (rise - fall))

    def draw(rng: random.Random, at: float, daemon: int) -> Arrival:
        is_heavy = rng.random() < HEAVY_SHARE
        number = 0 if is_heavy else 1 + rng.randrange(ORGANISATIONS)
        service_s = rng.gammavariate(
            SERVICE_SHAPE, shape.mean_service_s / SERVICE_SHAPE
        )
        return Arrival(at, daemon, "route", f"o{number}", service_s, TIMEOUT_S, False)

    def create(number: int, place: Place) -> Traffic:
        return policy.create(shape, number, place, seed)

    arrivals = create_arrivals(shape, seed, END_S, load, draw)
    simulation = Simulation(shape, create)
    return _summarise(shape, multiple, simulation, simulation.run(arrivals))


def _summarise(
    shape: Shape, multiple: float, simulation: Simulation, outcomes: list[Outcome]
) -> CrestResult:
    begin = RISE_AT_S + RISE_S
    end = begin + CREST_S
    good = [one for one in outcomes if one.is_good and begin <= one.ended_at < end]
    possible = min(1.0, MEAN_LOAD * multiple) * shape.capacity_per_s * CREST_S
    came = [one for one in outcomes if begin <= one.arrival.at < end]
    reasons = collections.Counter(one.reason for one in came)
    light = [one for one in came if one.arrival.organisation != "o0"]
    latencies = [one.latency_s for one in came if one.is_good]
    return CrestResult(
        goodput=len(good) / possible,
        p50_ms=1000 * quantile(latencies, 0.5),
        p99_ms=1000 * quantile(latencies, 0.99),
        refused=len(came) - reasons["answered"] - reasons["late"] - reasons["backend"],
        late=reasons["late"],
        gave_up=reasons["backend"],
        sheds=simulation.sheds,
        light_answered=sum(one.is_good for one in light) / max(1, len(light)),
    )


def _print_row(
    shape: Shape, multiple: float, policy: Policy, result: CrestResult
) -> None:
    print(
        f"{shape.name:31}{multiple:7.1f} {policy.name:12}{result.goodput:8.1%}"
        f"{result.p50_ms:8.0f}{result.p99_ms:8.0f}{result.refused:8}{result.late:7}"
        f"{result.gave_up:8}{result.sheds:8}{result.light_answered:9.1%}",
        flush=True,
    )


def _parse(usage: str, args: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="pimentobend_bench", usage=usage)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--multiple", type=float, nargs="+", default=[3.0, 5.0])
    parser.add_argument("--mode", choices=("shed", "backlog"), default="shed")
    parser.add_argument("--shape", default="")
    parser.add_argument("--policy", default="")
    return parser.parse_args(args)
