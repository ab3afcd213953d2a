"""Run every scenario file of this folder on simulated time."""

import pathlib

import pytest
from scenario.runner import run

SCENARIOS = sorted(pathlib.Path(__file__).parent.glob("*.scenario"))


@pytest.mark.parametrize("path", SCENARIOS, ids=lambda path: path.stem)
def test_scenario(path: pathlib.Path) -> None:
    assert run(path.read_text()) == ()
