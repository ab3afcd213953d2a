"""Benchmark of the time without a leader after the leader crashes."""

from collections.abc import Sequence

from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status
from pimentobend_bench._internal.consensus.timed_cluster import Shape
from pimentobend_bench._internal.consensus.timed_cluster import TimedCluster

TARGET_S = 3.0
SEEDS = 300  # runs per cluster
STEP_S = 0.01  # time between two proposals
LIMIT_S = 30.0  # reported if no proposal is committed by then
SHAPES = {
    "3 in one data centre": Shape("aaa", 0.0005, 0.030, 0.005, 0.0),
    "3 in two regions": Shape("aab", 0.0014, 0.030, 0.005, 0.0),
    "5 in two regions": Shape("aaabb", 0.0014, 0.030, 0.005, 0.0),
    "5 in two regions, 5 % lost": Shape("aaabb", 0.0014, 0.030, 0.005, 0.05),
    "5 in two regions, sync 50 ms": Shape("aaabb", 0.0014, 0.030, 0.050, 0.0),
}


class FailoverCommand(Command):
    """Crashes the leader and measures the time to the next acknowledged proposal."""

    name = "failover"
    usage = "failover [seeds]"
    summary = "time from a leader's crash to the next acknowledged proposal"

    def run(self, args: Sequence[str]) -> Status:
        """Print quantiles by cluster; TARGET_MISSED if a maximum exceeds the target."""
        seeds = int(args[0]) if args else SEEDS
        worst = 0.0
        print(f"seconds from crash to next commit, seeds 0 to {seeds - 1}")
        print(f"{'cluster':30} {'p50':>7} {'p99':>7} {'max':>7}  target {TARGET_S}")
        for name, shape in SHAPES.items():
            times = sorted(_measure(shape, seed) for seed in range(seeds))
            p50, p99 = times[len(times) // 2], times[int(len(times) * 0.99)]
            print(f"{name:30} {p50:7.2f} {p99:7.2f} {times[-1]:7.2f}")
            worst = max(worst, times[-1])
        return Status.SUCCESS if worst <= TARGET_S else Status.TARGET_MISSED


def _measure(shape: Shape, seed: int) -> float:
    cluster = TimedCluster(shape, seed)
    cluster.advance(6.0 + (seed % 17) * 0.01)
    leader = cluster.leader
    if leader is None:
        return LIMIT_S
    cluster.crash(leader)
    crashed_at = cluster.now
    proposal_ids: list[int] = []
    while cluster.now - crashed_at < LIMIT_S:
        proposal_id = cluster.propose()
        if proposal_id is not None:
            proposal_ids.append(proposal_id)
        cluster.advance(STEP_S)
        if any(cluster.is_committed(proposed) for proposed in proposal_ids):
            return cluster.now - crashed_at
    return LIMIT_S
