"""Benchmark of head-of-line blocking: short requests behind long ones."""

import argparse
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

STRAGGLER_SHARE = 0.01  # of all requests
STRAGGLER_MULTIPLE = 30.0  # of the usual service time
BEGIN_S = 10.0  # earlier requests are warm-up and not counted
END_S = 40.0  # no request arrives later
TIMEOUT_S = 10.0
ORGANISATIONS = 85_000
SERVICE_SHAPE = 4.0  # shape parameter of the gamma distribution of service times
TARGET_RATIO = 1.5  # highest p99 with stragglers over p99 without


class Run(NamedTuple):
    """Parameters of one run."""

    shape: Shape
    load: float  # share of the capacity, not counting stragglers
    own_route: bool  # the stragglers have a route of their own
    seed: int


class HeadOfLineResult(NamedTuple):
    """Measurements of the short requests of one run."""

    p50_ms: float
    p99_ms: float
    lost: int  # refused or late


class HeadOfLineCommand(Command):
    """Compares the p99 of short requests with and without stragglers."""

    name = "head-of-line"
    usage = "head-of-line [--seed N] [--load X ...] [--mode shed|backlog] [--shape T]"
    summary = "p99 of short requests behind requests that take 30 times as long"

    def run(self, args: Sequence[str]) -> Status:
        """Run all combinations; TARGET_MISSED if a row of pimentobend is above it."""
        options = _parse(self.usage, args)
        print(f"head-of-line, seed {options.seed}, servers that {options.mode}")
        print(
            f"{'service':31}{'load':>5} {'stragglers':11}{'policy':12}"
            f"{'p50 ms':>14}{'p99 ms':>14}{'ratio':>7}{'lost':>6}"
        )
        missed = 0
        mode = OverflowMode(options.mode)
        for shape in SHAPES:
            if options.shape not in shape.name:
                continue
            for load in options.load:
                for own_route in (False, True):
                    run = Run(shape._replace(mode=mode), load, own_route, options.seed)
                    missed += _compare(run, find_policies(options.policy))
        print(f"{missed} rows of pimentobend above the target of {TARGET_RATIO}")
        return Status.TARGET_MISSED if missed else Status.SUCCESS


def measure(run: Run, policy: Policy, share: float) -> HeadOfLineResult:
    """Simulate one policy with a share of stragglers and return the measurements."""
    shape = run.shape

    def draw(rng: random.Random, at: float, daemon: int) -> Arrival:
        organisation = f"o{rng.randrange(ORGANISATIONS)}"
        service_s = rng.gammavariate(
            SERVICE_SHAPE, shape.mean_service_s / SERVICE_SHAPE
        )
        is_straggler = rng.random() < share
        if is_straggler:
            service_s *= STRAGGLER_MULTIPLE
        route = "report" if is_straggler and run.own_route else "lookup"
        return Arrival(
            at, daemon, route, organisation, service_s, TIMEOUT_S, is_straggler
        )

    def create(number: int, place: Place) -> TrafficFilter:
        return policy.create(shape, number, place, run.seed)

    arrivals = create_arrivals(shape, run.seed, END_S, lambda _: run.load, draw)
    return _summarise(Simulation(shape, create).run(arrivals))


def _summarise(outcomes: list[Outcome]) -> HeadOfLineResult:
    short = [
        outcome
        for outcome in outcomes
        if outcome.arrival.at >= BEGIN_S and not outcome.arrival.is_straggler
    ]
    latencies = [outcome.latency_s for outcome in short if outcome.is_good]
    return HeadOfLineResult(
        1000 * quantile(latencies, 0.5),
        1000 * quantile(latencies, 0.99),
        len(short) - len(latencies),
    )


def _compare(run: Run, policies: Sequence[Policy]) -> int:
    """Print a row for each policy and return how many rows miss the target."""
    missed = 0
    for policy in policies:
        without = measure(run, policy, 0.0)
        behind = measure(run, policy, STRAGGLER_SHARE)
        ratio = behind.p99_ms / without.p99_ms
        kind = "own route" if run.own_route else "same route"
        p50 = f"{without.p50_ms:.0f} -> {behind.p50_ms:.0f}"
        p99 = f"{without.p99_ms:.0f} -> {behind.p99_ms:.0f}"
        print(
            f"{run.shape.name:31}{run.load:5.2f} {kind:11}{policy.name:12}"
            f"{p50:>14}{p99:>14}{ratio:7.2f}{behind.lost:6}",
            flush=True,
        )
        if policy is PIMENTOBEND and ratio > TARGET_RATIO:
            missed += 1
    return missed


def _parse(usage: str, args: Sequence[str]) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="pimentobend_bench", usage=usage)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--load", type=float, nargs="+", default=[0.5])
    parser.add_argument("--mode", choices=("shed", "backlog"), default="shed")
    parser.add_argument("--shape", default="")
    parser.add_argument("--policy", default="")
    return parser.parse_args(args)
