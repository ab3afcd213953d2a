"""Keep the figures of the last run in a file."""

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
    """Spell one probe's readings and the line through them."""

    sized_by: str
    reads: str
    unit: str
    mechanism: str
    points: list[list[float]]
    slope: float
    intercept: float
    residual: float


class HopFigure(TypedDict):
    """Spell one rate's latencies (seconds) through a hop and without it."""

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
    """Spell what a process uses after a step; the processor time is the step's."""

    after: str
    private_bytes: int
    cpu_s: float
    idle_cpu_share: float  # of one core


class WholeFigure(TypedDict):
    """Spell the steps of a real daemon, and of its parts in one process."""

    daemon: list[Stage]
    parts: list[Stage]


class Run(TypedDict):
    """Spell where a section's figures come from."""

    command: str
    commit: str
    measured_at: str


class Figures(TypedDict, total=False):
    """Spell all figures of the page."""

    runs: dict[str, Run]
    slopes: dict[str, SlopeFigure]
    hops: list[HopFigure]
    whole: WholeFigure


def load_figures(path: pathlib.Path = FIGURES) -> Figures:
    """Return the stored figures, or none."""
    if not path.exists():
        return Figures()
    return cast(Figures, json.loads(path.read_text()))


def save_figures(figures: Figures, path: pathlib.Path = FIGURES) -> None:
    """Store the figures."""
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(figures, indent=1, sort_keys=True) + "\n")


def line_of(figure: SlopeFigure) -> Line:
    """Return the fitted line of a stored probe."""
    return fit_line([Point(int(size), value) for size, value in figure["points"]])


def stamp(figures: Figures, section: str) -> None:
    """Note the command, the commit and the date of a section's run."""
    commit = _git("rev-parse", "--short=12", "HEAD")
    if _git("status", "--porcelain", "--", "packages"):
        commit += " with uncommitted changes"
    figures.setdefault("runs", {})[section] = Run(
        command=f"python -m pimentobend_bench {section}",
        commit=commit,
        measured_at=time.strftime("%Y-%m-%d %H:%M UTC", time.gmtime()),
    )


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ["git", "-C", str(ROOT), *arguments], capture_output=True, text=True, check=True
    )
    return done.stdout.strip()
