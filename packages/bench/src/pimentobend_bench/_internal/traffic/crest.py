"""Benchmark of goodput and latency during a peak of demand."""

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
from pimentobend_bench._internal.traffic.shapes import find_policies
from pimentobend_bench._internal.traffic.shapes import quantile
from pimentobend_bench._internal.traffic.simulation import Arrival
from pimentobend_bench._internal.traffic.simulation import Outcome
from pimentobend_bench._internal.traffic.simulation import Place
from pimentobend_bench._internal.traffic.simulation import Shape
from pimentobend_bench._internal.traffic.simulation import Simulation
from pimentobend_bench._internal.traffic.simulation import TrafficFilter
from pimentobend_bench._internal.traffic.simulation import create_arrivals

MEAN_LOAD = 0.4  # share of the capacity
RISE_AT_S = 10.0
RISE_S = 1.0  # the fall after the peak takes as long
PEAK_S = 10.0
END_S = 26.0  # no request arrives later
TIMEOUT_S = 2.0
ORGANISATIONS = 85_000
HEAVY_SHARE = 0.2  # share of the requests that one organisation sends, "o0"
TARGET_GOODPUT = 0.95  # share of the requests that the slots can serve
SERVICE_SHAPE = 4.0  # shape parameter of the gamma distribution of service times


class CrestResult(NamedTuple):
    """Measurements of one run, for the requests of the peak."""

    goodput: float  # share of what the slots can serve
    p50_ms: float
    p99_ms: float
    refused: int
    late: int
    gave_up: int  # no retry was left after a server shed the request
    sheds: int  # attempts that servers refused, over the whole run
    light_p99_ms: float  # of all organisations but the heavy one
    light_answered: float  # share of their requests that were answered in time


class CrestCommand(Command):
    """Raises demand to a multiple of its mean within a second and holds it there."""

    name = "crest"
    usage = "crest [--seed N] [--multiple X ...] [--mode shed|backlog] [--shape T]"
    summary = "goodput and latency during a peak of demand"

    def run(self, args: Sequence[str]) -> Status:
        """Run all combinations; TARGET_MISSED if a row of pimentobend is below it."""
        options = _parse(self.usage, args)
        print(f"crest, seed {options.seed}, servers that {options.mode}")
        print(
            f"{'service':31}{'x mean':>7} {'policy':12}{'goodput':>8}{'p50 ms':>8}"
            f"{'p99 ms':>8}{'refused':>8}{'late':>7}{'gave up':>8}{'sheds':>8}"
            f"{'light p99':>10}{'light ok':>9}"
        )
        missed = 0
        mode = OverflowMode(options.mode)
        for shape in SHAPES:
            if options.shape not in shape.name:
                continue
            for multiple in options.multiple:
                for policy in find_policies(options.policy):
                    result = measure(
                        shape._replace(mode=mode), policy, multiple, options.seed
                    )
                    _print_row(shape, multiple, policy, result)
                    if policy is PIMENTOBEND and result.goodput < TARGET_GOODPUT:
                        missed += 1
        print(f"{missed} rows of pimentobend below the target of {TARGET_GOODPUT:.0%}")
        return Status.TARGET_MISSED if missed else Status.SUCCESS


def measure(shape: Shape, policy: Policy, multiple: float, seed: int) -> CrestResult:
    """Simulate one shape and policy with the peak and return the measurements."""

    def load(at: float) -> float:
        rise = min(1.0, max(0.0, (at - RISE_AT_S) / RISE_S))
        fall = min(1.0, max(0.0, (at - RISE_AT_S - RISE_S - PEAK_S) / RISE_S))
        return MEAN_LOAD * (1 + (multiple - 1) * (rise - fall))

    def draw(rng: random.Random, at: float, daemon: int) -> Arrival:
        is_heavy = rng.random() < HEAVY_SHARE
        number = 0 if is_heavy else 1 + rng.randrange(ORGANISATIONS)
        service_s = rng.gammavariate(
            SERVICE_SHAPE, shape.mean_service_s / SERVICE_SHAPE
        )
        return Arrival(at, daemon, "route", f"o{number}", service_s, TIMEOUT_S, False)

    def create(number: int, place: Place) -> TrafficFilter:
        return policy.create(shape, number, place, seed)

    arrivals = create_arrivals(shape, seed, END_S, load, draw)
    simulation = Simulation(shape, create)
    return _summarise(shape, multiple, simulation, simulation.run(arrivals))


def _summarise(
    shape: Shape, multiple: float, simulation: Simulation, outcomes: list[Outcome]
) -> CrestResult:
    begin = RISE_AT_S + RISE_S
    end = begin + PEAK_S
    good = [
        outcome
        for outcome in outcomes
        if outcome.is_good and begin <= outcome.ended_at < end
    ]
    achievable = min(1.0, MEAN_LOAD * multiple) * shape.capacity_per_s * PEAK_S
    arrived = [outcome for outcome in outcomes if begin <= outcome.arrival.at < end]
    reasons = collections.Counter(outcome.reason for outcome in arrived)
    light = [outcome for outcome in arrived if outcome.arrival.organisation != "o0"]
    latencies = [outcome.latency_s for outcome in arrived if outcome.is_good]
    return CrestResult(
        goodput=len(good) / achievable,
        p50_ms=1000 * quantile(latencies, 0.5),
        p99_ms=1000 * quantile(latencies, 0.99),
        refused=len(arrived)
        - reasons["answered"]
        - reasons["late"]
        - reasons["backend"],
        late=reasons["late"],
        gave_up=reasons["backend"],
        sheds=simulation.sheds,
        light_p99_ms=1000 * quantile([o.latency_s for o in light if o.is_good], 0.99),
        light_answered=sum(outcome.is_good for outcome in light) / max(1, len(light)),
    )


def _print_row(
    shape: Shape, multiple: float, policy: Policy, result: CrestResult
) -> None:
    print(
        f"{shape.name:31}{multiple:7.1f} {policy.name:12}{result.goodput:8.1%}"
        f"{result.p50_ms:8.0f}{result.p99_ms:8.0f}{result.refused:8}{result.late:7}"
        f"{result.gave_up:8}{result.sheds:8}{result.light_p99_ms:10.0f}"
        f"{result.light_answered:9.1%}",
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
