"""Fixtures of the functional tests."""

import pathlib
from collections.abc import Iterator

import pytest
from processes import Fleet


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    """Yield an empty fleet whose processes are stopped after the test."""
    started = Fleet(tmp_path)
    yield started
    started.stop()
