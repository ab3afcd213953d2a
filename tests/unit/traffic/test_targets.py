"""Check the benchmark targets on seeded runs in simulated time."""

import math

import pytest

from pimentobend_bench._internal.traffic import crest
from pimentobend_bench._internal.traffic import head_of_line
from pimentobend_bench._internal.traffic.shapes import PIMENTOBEND
from pimentobend_bench._internal.traffic.shapes import SHAPES

SEED = 1
SHAPE_OF = {shape.name: shape for shape in SHAPES}


@pytest.mark.parametrize(
    ("name", "multiple"),
    [
        pytest.param("qalamkar 8x6", 3.0, id="qalamkar-8x6-3"),
        pytest.param("kattevakt 8x3", 3.0, id="kattevakt-8x3-3"),
        pytest.param("kattevakt 8x3", 5.0, id="kattevakt-8x3-5"),
        pytest.param("kattevakt 14x3", 3.0, id="kattevakt-14x3-3"),
        pytest.param("kattevakt 8x3, all 30 daemons", 3.0, id="30-daemons-3"),
    ],
)
def test_crest_uses_the_slots(name: str, multiple: float) -> None:
    result = crest.measure(SHAPE_OF[name], PIMENTOBEND, multiple, SEED)
    assert result.goodput >= crest.TARGET_GOODPUT


@pytest.mark.parametrize("own_route", [False, True], ids=["same route", "own route"])
@pytest.mark.parametrize("name", ["qalamkar 8x6", "kattevakt 8x3"])
def test_stragglers_hardly_delay_short_work(name: str, own_route: bool) -> None:
    run = head_of_line.Run(SHAPE_OF[name], 0.5, own_route, SEED)
    without = head_of_line.measure(run, PIMENTOBEND, 0.0)
    behind = head_of_line.measure(run, PIMENTOBEND, head_of_line.STRAGGLER_SHARE)
    assert not math.isnan(behind.p99_ms)
    assert behind.p99_ms <= head_of_line.TARGET_RATIO * without.p99_ms
