"""Command that measures all figures again and renders the capacity page."""

from collections.abc import Sequence

from pimentobend_bench._internal.capacity.catalogue import PROBES
from pimentobend_bench._internal.capacity.figures import Figures
from pimentobend_bench._internal.capacity.figures import load_figures
from pimentobend_bench._internal.capacity.figures import record_run
from pimentobend_bench._internal.capacity.figures import save_figures
from pimentobend_bench._internal.capacity.hop.command import RUNS
from pimentobend_bench._internal.capacity.hop.command import measure_hops
from pimentobend_bench._internal.capacity.hop.proxies import STARTERS
from pimentobend_bench._internal.capacity.page.render import write_page
from pimentobend_bench._internal.capacity.slopes import measure_slopes
from pimentobend_bench._internal.capacity.whole.command import measure_whole_table
from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status

_PAGE_ONLY = "--page-only"


class CapacityCommand(Command):
    """Measure everything, store the figures and render docs/CAPACITY.md."""

    name = "capacity"
    usage = f"capacity [{_PAGE_ONLY}]"
    summary = "measure all figures and plots, and render docs/CAPACITY.md"

    def run(self, args: Sequence[str]) -> Status:
        """Measure, unless ``--page-only`` is given, and render the page."""
        if list(args) not in ([], [_PAGE_ONLY]):
            print(f"usage: {self.usage}")
            return Status.USAGE
        if not args:
            save_figures(_measure())
        write_page(load_figures())
        return Status.SUCCESS


def _measure() -> Figures:
    figures = Figures()
    for section in ("whole-table", "hop", "slopes"):
        record_run(figures, section)
    figures["whole"] = measure_whole_table()
    figures["hops"] = measure_hops(RUNS, STARTERS)
    figures["slopes"] = measure_slopes(PROBES)
    return figures
