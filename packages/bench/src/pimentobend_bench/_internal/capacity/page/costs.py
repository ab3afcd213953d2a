"""Measured costs, looked up by name."""

import importlib.util

from pimentobend_bench._internal.capacity.figures import Figures
from pimentobend_bench._internal.capacity.figures import HopFigure
from pimentobend_bench._internal.capacity.figures import Stage
from pimentobend_bench._internal.capacity.figures import fit_figure

PEAK_RATE_PER_S = 250


class Costs:
    """Look up costs in the figures of the last run."""

    def __init__(self, figures: Figures) -> None:
        self._figures = figures

    def at_size(self, probe: str, size: float) -> float:
        """Return the value of a probe's fitted line at a size."""
        return fit_figure(self._figures["slopes"][probe]).value_at(size)

    def per_unit(self, probe: str) -> float:
        """Return the slope of a probe's fitted line: its cost per unit of size."""
        return fit_figure(self._figures["slopes"][probe]).slope

    @property
    def frame_bytes(self) -> float:
        """Return the bytes that a frame adds to its payload."""
        return self.at_size("bytes-frame", 0)

    @property
    def frame_cpu_s(self) -> float:
        """Return the CPU seconds to seal and open a small frame."""
        return self.at_size("cpu-frame", 0)

    @property
    def renewal_cpu_s(self) -> float:
        """Return a daemon's CPU seconds for one lease renewal over HTTP."""
        stage = self.daemon[-1]
        renewals = int(stage["after"].split()[-2])
        return stage["cpu_s"] / renewals

    @property
    def daemon(self) -> list[Stage]:
        """Return the steps of the real daemon."""
        return self._figures["whole"]["daemon"]

    @property
    def parts(self) -> list[Stage]:
        """Return the steps of the daemon's parts in one process."""
        return self._figures["whole"]["parts"]

    def part_bytes(self, after: str) -> int:
        """Return the private bytes of the process after a part was loaded."""
        return next(p["private_bytes"] for p in self.parts if p["after"] == after)

    def hop(self, proxy: str, rate_per_s: int = PEAK_RATE_PER_S) -> HopFigure:
        """Return the figures of one hop through a proxy."""
        return next(
            hop
            for hop in self._figures["hops"]
            if (hop["proxy"], hop["rate_per_s"]) == (proxy, rate_per_s)
        )


def is_built(module: str) -> bool:
    """Return whether a module exists."""
    try:
        return importlib.util.find_spec(module) is not None
    except ModuleNotFoundError:
        return False


def describe_module(module: str) -> str:
    """Return a module's short name, marked "not built" if it does not exist."""
    short_name = module.replace("._internal", "").removeprefix("pimentobend_")
    return f"`{short_name}`" if is_built(module) else f"not built (`{short_name}`)"
