"""Render the capacity page from its template and the figures."""

import pathlib
import re
from collections.abc import Callable
from collections.abc import Mapping

from pimentobend_bench._internal.capacity.figures import FIGURES
from pimentobend_bench._internal.capacity.figures import ROOT
from pimentobend_bench._internal.capacity.figures import Figures
from pimentobend_bench._internal.capacity.page.tables import BLOCKS

PAGE = ROOT / "docs/CAPACITY.md"
TEMPLATE = FIGURES.parent / "template.md"
_BLOCK = re.compile(r"^\{\{ *([a-z-]+) *\}\}$", re.MULTILINE)

BlockFormatter = Callable[[Figures], str]


def write_page(
    figures: Figures, template: pathlib.Path = TEMPLATE, page: pathlib.Path = PAGE
) -> None:
    """Render the page and write it."""
    page.write_text(fill_template(template.read_text(), figures))


def fill_template(
    template: str, figures: Figures, blocks: Mapping[str, BlockFormatter] = BLOCKS
) -> str:
    """Replace each ``{{ name }}`` on a line of its own by the block of that name.

    Raise KeyError if there is no such block.
    """
    return _BLOCK.sub(lambda found: blocks[found[1]](figures), template)
