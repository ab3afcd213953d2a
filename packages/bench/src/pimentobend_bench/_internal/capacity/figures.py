"""Measured figures, stored in docs/capacity/figures.json."""

import json
import pathlib
import subprocess
import time
from typing import TypedDict
from typing import cast

from pimentobend_bench._internal.capacity.fit import Line
from pimentobend_bench._internal.capacity.fit import Point
from pimentobend_bench._internal.capacity.fit import fit_line

ROOT = pathlib.Path(__file__).parents[6]
FIGURES = ROOT / "docs/capacity/figures.json"


class SlopeFigure(TypedDict):
    """Readings of one probe, and the line fitted to them."""

    sized_by: str  # what the size counts, in the plural, such as "routes"
    reads: str  # what a reading is, such as "processor time"
    unit: str
    mechanism: str  # the modules that are measured
    points: list[list[float]]  # size and reading
    slope: float
    intercept: float
    residual: float


class HopFigure(TypedDict):
    """Latencies at one request rate, through a proxy and directly, in seconds."""

    proxy: str
    rate_per_s: int
    runs: int
    requests: int
    failed: int
    direct_p50_s: float
    direct_p99_s: float
    added_p50_s: float
    added_p99_s: float
    ratio_p50: float
    ratio_p99: float
    cpu_per_request_s: float
    worst_added_p99_s: float


class Stage(TypedDict):
    """Resource usage of a process after a step; ``cpu_s`` was used during the step."""

    after: str  # name of the step
    private_bytes: int
    cpu_s: float
    idle_cpu_share: float  # of one core


class WholeTableFigure(TypedDict):
    """Resource usage with the complete tables, step by step.

    ``daemon`` holds the usage of a real daemon, ``parts`` that of a process that loads
    the modules and the data of a daemon one after the other.
    """

    daemon: list[Stage]
    parts: list[Stage]


class Run(TypedDict):
    """Command, commit and time that a section's figures come from."""

    command: str
    commit: str
    measured_at: str


class Figures(TypedDict, total=False):
    """All figures of docs/CAPACITY.md."""

    runs: dict[str, Run]
    slopes: dict[str, SlopeFigure]
    hops: list[HopFigure]
    whole: WholeTableFigure


def load_figures(path: pathlib.Path = FIGURES) -> Figures:
    """Return the stored figures; empty if the file does not exist."""
    if not path.exists():
        return Figures()
    return cast(Figures, json.loads(path.read_text()))


def save_figures(figures: Figures, path: pathlib.Path = FIGURES) -> None:
    """Store the figures."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=1, sort_keys=True) + "\n")


def fit_figure(figure: SlopeFigure) -> Line:
    """Fit a line to the stored readings of a probe."""
    return fit_line([Point(int(size), value) for size, value in figure["points"]])


def record_run(figures: Figures, section: str) -> None:
    """Record the command, the commit and the time of a section's run."""
    commit = _git("rev-parse", "--short=12", "HEAD")
    if _git("status", "--porcelain", "--", "packages"):
        commit += " with uncommitted changes"
    figures.setdefault("runs", {})[section] = Run(
        command=f"python -m pimentobend_bench {section}",
        commit=commit,
        measured_at=time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
    )


def _git(*arguments: str) -> str:
    completed = subprocess.run(
        ["git", "-C", str(ROOT), *arguments], capture_output=True, text=True, check=True
    )
    return completed.stdout.strip()
