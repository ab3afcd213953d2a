"""Command that measures probes at all their sizes and fits a line to each."""

import pathlib
import statistics
from collections.abc import Iterable
from collections.abc import Sequence

from pimentobend_bench._internal.capacity.catalogue import PROBES
from pimentobend_bench._internal.capacity.figures import FIGURES
from pimentobend_bench._internal.capacity.figures import SlopeFigure
from pimentobend_bench._internal.capacity.figures import load_figures
from pimentobend_bench._internal.capacity.figures import record_run
from pimentobend_bench._internal.capacity.figures import save_figures
from pimentobend_bench._internal.capacity.fit import Point
from pimentobend_bench._internal.capacity.fit import fit_line
from pimentobend_bench._internal.capacity.probe import BytesProbe
from pimentobend_bench._internal.capacity.probe import Probe
from pimentobend_bench._internal.capacity.process import BenchProcess
from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status

_PROCESSES_PER_POINT = 3  # 1 for bytes: a message is the same in every process
_POINT_TIMEOUT_S = 120.0
_PLOTS = FIGURES.parent


class SlopesCommand(Command):
    """Print, store and plot the fitted line of each probe."""

    name = "slopes"
    usage = "slopes [probe ...]"
    summary = "memory, bytes and CPU time against size, with a fitted line"

    def run(self, args: Sequence[str]) -> Status:
        """Measure the named probes (by default all) and store the figures."""
        if unknown := sorted(set(args) - PROBES.keys()):
            print(f"unknown probes: {' '.join(unknown)}")
            return Status.USAGE
        measured = measure_slopes(args or PROBES)
        figures = load_figures()
        slopes = {**figures.get("slopes", {}), **measured}
        figures["slopes"] = {name: slopes[name] for name in slopes if name in PROBES}
        record_run(figures, "slopes")
        save_figures(figures)
        return Status.SUCCESS


def measure_slopes(names: Iterable[str]) -> dict[str, SlopeFigure]:
    """Measure, print and plot the named probes."""
    from pimentobend_bench._internal.capacity.plot import plot_slope

    print(f"{'probe':36} {'each':>12} {'fixed':>12} {'residual':>9}  size: reading")
    slopes = {}
    for name in names:
        slopes[name] = figure = _measure(PROBES[name])
        _print_row(name, figure)
        plot_slope(name, figure, pathlib.Path(_PLOTS, f"{name}.png"))
    return slopes


def _measure(probe: Probe) -> SlopeFigure:
    points = [Point(size, _median_reading(probe, size)) for size in probe.sizes]
    line = fit_line(points)
    return SlopeFigure(
        sized_by=probe.sized_by,
        reads=probe.reads,
        unit=probe.unit.value,
        mechanism=probe.mechanism,
        points=[list(point) for point in points],
        slope=line.slope,
        intercept=line.intercept,
        residual=line.residual,
    )


def _median_reading(probe: Probe, size: int) -> float:
    processes = 1 if isinstance(probe, BytesProbe) else _PROCESSES_PER_POINT
    return statistics.median(
        _read_in_fresh_process(probe.name, size) for _ in range(processes)
    )


def _read_in_fresh_process(name: str, size: int) -> float:
    arguments = ["pimentobend_bench", "slope-point", name, str(size)]
    with BenchProcess(arguments) as process:
        return float(process.output(_POINT_TIMEOUT_S))


def _print_row(name: str, figure: SlopeFigure) -> None:
    readings = "  ".join(
        f"{int(size)}: {value:.4g}" for size, value in figure["points"]
    )
    print(
        f"{name:36} {figure['slope']:12.4g} {figure['intercept']:12.4g}"
        f" {figure['residual']:9.2%}  {readings}",
        flush=True,
    )
