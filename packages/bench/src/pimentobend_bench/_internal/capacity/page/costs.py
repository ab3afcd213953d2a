"""Look up measured costs by name."""

import importlib.util

from pimentobend_bench._internal.capacity.figures import Figures
from pimentobend_bench._internal.capacity.figures import HopFigure
from pimentobend_bench._internal.capacity.figures import Stage
from pimentobend_bench._internal.capacity.figures import fit_figure

PEAK_RATE_PER_S = 250


class Costs:
    """Read readings of the last run."""

    def __init__(self, figures: Figures) -> None:
        self._figures = figures

    def at_size(self, probe: str, size: float) -> float:
        """Return the line's value of a probe at a size."""
        return fit_figure(self._figures["slopes"][probe]).value_at(size)

    def per_unit(self, probe: str) -> float:
        """Return the slope of a probe."""
        return fit_figure(self._figures["slopes"][probe]).slope

    @property
    def frame_bytes(self) -> float:
        """Return the bytes that a frame adds to its payload."""
        return self.at_size("bytes-frame", 0)

    @property
    def frame_cpu_s(self) -> float:
        """Return the seconds to seal and to open a small frame."""
        return self.at_size("cpu-frame", 0)

    @property
    def renewal_cpu_s(self) -> float:
        """Return a daemon's seconds for one lease renewal over HTTP."""
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
        """Return the private bytes after a part."""
        return next(p["private_bytes"] for p in self.parts if p["after"] == after)

    def hop(self, proxy: str, rate_per_s: int = PEAK_RATE_PER_S) -> HopFigure:
        """Return what one hop costs through a proxy."""
        return next(
            hop
            for hop in self._figures["hops"]
            if (hop["proxy"], hop["rate_per_s"]) == (proxy, rate_per_s)
        )


def is_built(module: str) -> bool:
    """Say whether a module of a package exists."""
    try:
        return importlib.util.find_spec(module) is not None
    except ModuleNotFoundError:
        return False


def describe_module(module: str) -> str:
    """Return a module's short name, or say that it is not built."""
    short = module.replace("._internal", "").removeprefix("pimentobend_")
    return f"`{short}`" if is_built(module) else f"not built (`{short}`)"
