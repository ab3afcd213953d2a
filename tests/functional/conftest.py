"""Give functional tests their fleets of processes."""

import pathlib
from collections.abc import Iterator

import pytest
from processes import Fleet


@pytest.fixture
def fleet(tmp_path: pathlib.Path) -> Iterator[Fleet]:
    """Give a fleet whose processes end with the test."""
    started = Fleet(tmp_path)
    yield started
    started.stop()
