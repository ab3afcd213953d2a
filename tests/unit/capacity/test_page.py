"""Check the estimates on the capacity page and how the page is rendered."""

import pytest

from pimentobend_bench._internal.capacity.figures import Figures
from pimentobend_bench._internal.capacity.page.budgets import Budget
from pimentobend_bench._internal.capacity.page.costs import describe_module
from pimentobend_bench._internal.capacity.page.flows import Flow
from pimentobend_bench._internal.capacity.page.flows import total_bytes_per_s
from pimentobend_bench._internal.capacity.page.flows import total_cpu_share
from pimentobend_bench._internal.capacity.page.render import TEMPLATE
from pimentobend_bench._internal.capacity.page.render import fill_template
from pimentobend_bench._internal.capacity.page.tables import BLOCKS
from pimentobend_bench._internal.capacity.page.tables import format_table

FLOWS = (Flow("a", "m", 2.0, 100.0, 0.001), Flow("b", "m", 0.5, 10.0, 0.02))


@pytest.mark.parametrize(
    ("figure", "limit", "is_met", "margin"),
    [(1.0, 2.0, True, 1.0), (2.0, 2.0, True, 0.0), (2.5, 2.0, False, -0.5)],
)
def test_budget(figure: float, limit: float, is_met: bool, margin: float) -> None:
    budget = Budget("name", figure, limit, "ms", "basis", "remedy")
    assert (budget.is_met, budget.margin) == (is_met, margin)


@pytest.mark.parametrize(
    ("flows", "bytes_per_s", "cpu_share"),
    [((), 0.0, 0.0), (FLOWS[:1], 200.0, 0.002), (FLOWS, 205.0, 0.012)],
)
def test_flows_add_up(
    flows: tuple[Flow, ...], bytes_per_s: float, cpu_share: float
) -> None:
    assert total_bytes_per_s(flows) == pytest.approx(bytes_per_s)
    assert total_cpu_share(flows) == pytest.approx(cpu_share)


@pytest.mark.parametrize(
    ("module", "described"),
    [
        ("pimentobend_core._internal.pipes", "`core.pipes`"),
        ("pimentobend_core._internal.absent", "not built (`core.absent`)"),
        ("pimentobend_core._internal.absent.part", "not built (`core.absent.part`)"),
    ],
)
def test_module_is_marked_if_not_built(module: str, described: str) -> None:
    assert describe_module(module) == described


@pytest.mark.parametrize(
    ("template", "expected"),
    [
        ("plain\n", "plain\n"),
        ("a\n\n{{ one }}\n\nb\n", "a\n\n1\n\nb\n"),
        ("in a line {{ one }}\n", "in a line {{ one }}\n"),
    ],
)
def test_template(template: str, expected: str) -> None:
    assert fill_template(template, Figures(), {"one": lambda _: "1"}) == expected


def test_template_rejects_an_unknown_block() -> None:
    with pytest.raises(KeyError):
        fill_template("{{ other }}\n", Figures(), {})


def test_page_uses_every_block_once() -> None:
    used: list[str] = []
    blocks = {name: _RecordingBlock(name, used) for name in BLOCKS}
    fill_template(TEMPLATE.read_text(), Figures(), blocks)
    assert sorted(used) == sorted(BLOCKS)


def test_table_is_markdown() -> None:
    table = format_table(["a", "b"], [["1", "2"]])
    assert table == "| a | b |\n| --- | --- |\n| 1 | 2 |"


class _RecordingBlock:
    """Block that records its name when it is rendered."""

    def __init__(self, name: str, used: list[str]) -> None:
        self._name = name
        self._used = used

    def __call__(self, figures: Figures) -> str:
        self._used.append(self._name)
        return ""
