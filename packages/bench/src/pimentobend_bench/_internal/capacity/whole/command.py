"""Command that measures real processes with the complete tables."""

import time
from collections.abc import Iterator
from collections.abc import Sequence

from pimentobend_bench._internal.capacity.daemons import BenchDaemon
from pimentobend_bench._internal.capacity.figures import Stage
from pimentobend_bench._internal.capacity.figures import WholeTableFigure
from pimentobend_bench._internal.capacity.figures import load_figures
from pimentobend_bench._internal.capacity.figures import record_run
from pimentobend_bench._internal.capacity.figures import save_figures
from pimentobend_bench._internal.capacity.process import BenchProcess
from pimentobend_bench._internal.capacity.process import Usage
from pimentobend_bench._internal.capacity.process import read_usage
from pimentobend_bench._internal.capacity.rows import make_pools
from pimentobend_bench._internal.capacity.rows import make_routes
from pimentobend_bench._internal.capacity.rows import make_servers
from pimentobend_bench._internal.capacity.target import ROUTES
from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status

_SERVERS_ANNOUNCED = 11  # servers per daemon at the target size
_RENEWALS = 20  # of each server's lease
_IDLE_S = 10.0
_APPLY_WAIT_S = 2.0  # for the daemon to finish work after a change of tables
_PARTS_TIMEOUT_S = 120.0
_PARTS = "pimentobend_bench._internal.capacity.whole.parts"


class WholeTableCommand(Command):
    """Print memory and CPU time of a daemon with the complete tables."""

    name = "whole-table"
    usage = "whole-table"
    summary = "9,000 routes, 580 pools, servers, organisations in one process"

    def run(self, args: Sequence[str]) -> Status:
        """Measure a real daemon, then its parts one by one, and store the figures."""
        whole = measure_whole_table()
        figures = load_figures()
        figures["whole"] = whole
        record_run(figures, "whole-table")
        save_figures(figures)
        return Status.SUCCESS


def measure_whole_table() -> WholeTableFigure:
    """Measure the daemon and its parts, and print a row for each step."""
    daemon = list(_measure_daemon())
    parts = _measure_parts()
    print(f"{'process':10} {'private MB':>10} {'CPU s':>7} {'idle':>7}  after")
    for name, stages in (("daemon", daemon), ("parts", parts)):
        for stage in stages:
            print(
                f"{name:10} {stage['private_bytes'] / 1e6:10.1f} {stage['cpu_s']:7.2f}"
                f" {stage['idle_cpu_share']:7.2%}  {stage['after']}"
            )
    return WholeTableFigure(daemon=daemon, parts=parts)


def _measure_daemon() -> Iterator[Stage]:
    with BenchDaemon("control", ["control"]) as control:
        link = control.listen["link"]
        with BenchDaemon("instance", ["instance"], link) as instance:
            pid = instance.process.pid
            yield _measure_stage("start", pid, 0.0)
            before = read_usage(pid)
            version = control.apply_tables(make_routes(ROUTES), make_pools())
            instance.wait_for_version(version)
            time.sleep(_APPLY_WAIT_S)
            yield _measure_stage("9,000 routes and 580 pools", pid, before.cpu_s)
            yield _measure_renewals(instance)


def _measure_renewals(instance: BenchDaemon) -> Stage:
    pid = instance.process.pid
    servers = tuple(
        server._replace(host="127.0.0.1") for server in make_servers(_SERVERS_ANNOUNCED)
    )
    for server in servers:
        instance.announce(server)
    before = read_usage(pid)
    for _ in range(_RENEWALS):
        for server in servers:
            instance.announce(server)
    renewals = _RENEWALS * len(servers)
    after = f"{len(servers)} servers announced, then {renewals} renewals"
    return _measure_stage(after, pid, before.cpu_s)


def _measure_stage(after: str, pid: int, cpu_before_s: float) -> Stage:
    """Measure a process after a step, then while it is idle for ``_IDLE_S``.

    The stage's CPU time is counted from ``cpu_before_s``.
    """
    loaded = read_usage(pid)
    time.sleep(_IDLE_S)
    idle: Usage = read_usage(pid)
    return Stage(
        after=after,
        private_bytes=idle.private_bytes,
        cpu_s=loaded.cpu_s - cpu_before_s,
        idle_cpu_share=(idle.cpu_s - loaded.cpu_s) / _IDLE_S,
    )


def _measure_parts() -> list[Stage]:
    with BenchProcess([_PARTS]) as process:
        lines = process.output(_PARTS_TIMEOUT_S).splitlines()
    return [
        Stage(after=part, private_bytes=int(size), cpu_s=0.0, idle_cpu_share=0.0)
        for size, _, part in (line.partition("\t") for line in lines)
    ]
