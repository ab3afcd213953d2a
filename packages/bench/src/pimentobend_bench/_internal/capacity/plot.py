"""Plots of a probe's readings and the line fitted to them."""

import pathlib

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402

from pimentobend_bench._internal.capacity.figures import SlopeFigure  # noqa: E402
from pimentobend_bench._internal.capacity.figures import fit_figure  # noqa: E402

_INCHES = (5.0, 3.2)
_DOTS_PER_INCH = 72


def plot_slope(name: str, figure: SlopeFigure, path: pathlib.Path) -> None:
    """Write the plot of one probe as a PNG file."""
    line = fit_figure(figure)
    sizes = [size for size, _ in figure["points"]]
    values = [value for _, value in figure["points"]]
    plot, axes = plt.subplots(figsize=_INCHES, layout="constrained")
    axes.plot(sizes, values, "o", color="tab:blue")
    axes.plot(sizes, [line.value_at(size) for size in sizes], "-", color="tab:orange")
    axes.set_xlabel(figure["sized_by"])
    axes.set_ylabel(f"{figure['reads']} ({figure['unit']})")
    axes.set_title(
        f"{name}: {line.slope:.3g} {figure['unit']} each, residual {line.residual:.1%}",
        fontsize=9,
    )
    plot.savefig(path, dpi=_DOTS_PER_INCH, metadata={"Software": None})
    plt.close(plot)
