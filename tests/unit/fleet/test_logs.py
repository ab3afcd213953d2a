"""Check the log lines of requests, limits on log volume, and exposed metrics."""

import errno
import io
import os
import pathlib
import subprocess
import sys

import eventlet
import pytest

from pimentobend._internal.stories import find_story
from pimentobend._internal.stories import parse_line
from pimentobend_adapters._internal.exposition import CounterTable
from pimentobend_adapters._internal.exposition import create_metrics_application
from pimentobend_adapters._internal.log_volume import BUFFER_BYTES
from pimentobend_adapters._internal.log_volume import BURST_LINES
from pimentobend_adapters._internal.log_volume import LINES_PER_S
from pimentobend_adapters._internal.log_volume import ORDINARY_SHARE
from pimentobend_adapters._internal.log_volume import BoundedWriter
from pimentobend_adapters._internal.log_volume import LineBudget
from pimentobend_adapters._internal.logs import LossyStream

LOG = """\
timestamp='2026-01-01T00:00:01Z' level='info' event='attempt-sent' instance='a' \
request_id='r1' attempt_id='x-1' server='s1' risk=0.02 bid_age_ms=0.4
timestamp='2026-01-01T00:00:03Z' level='info' event='request-ended' instance='a' \
request_id='r1' status=504 ran='unknown' reason='deadline'
timestamp='2026-01-01T00:00:02Z' level='info' event='attempt-sent' instance='a' \
request_id='r2' attempt_id='x-2' server='s1'
cut off in the midd
"""
OTHER_LOG = """\
timestamp='2026-01-01T00:00:02Z' level='info' event='call-started' instance='b' \
attempt_id='x-1' server='s1'
\x00\x01
"""


@pytest.mark.parametrize(
    ("request_id", "events"),
    [
        ("r1", ["attempt-sent", "call-started", "request-ended"]),
        ("r2", ["attempt-sent"]),
        ("r3", []),
    ],
)
def test_story_merges_the_logs_of_several_daemons(
    request_id: str, events: list[str]
) -> None:
    story = find_story([*LOG.splitlines(), *OTHER_LOG.splitlines()], request_id)
    assert [line.event for line in story.lines] == events
    assert story.bad_lines == 2


@pytest.mark.parametrize(
    "text", ["", "noise", "event='x'", "timestamp='t'", "\x00", "a=b c=d"]
)
def test_lines_without_timestamp_or_event_are_not_parsed(text: str) -> None:
    assert parse_line(text) is None


def test_story_command_prints_the_merged_lines(tmp_path: pathlib.Path) -> None:
    paths = [tmp_path / "a", tmp_path / "b"]
    for path, text in zip(paths, (LOG, OTHER_LOG), strict=True):
        path.write_text(text)
    command = [sys.executable, "-m", "pimentobend", "story", "r1", *map(str, paths)]
    result = subprocess.run(command, capture_output=True, text=True, check=False)
    assert result.returncode == 0
    assert "bid_age_ms=0.4" in result.stdout.splitlines()[0]
    assert result.stdout.splitlines()[-1] == (
        "2 lines of the files are truncated or not log lines"
    )


@pytest.mark.parametrize(
    ("is_ordinary", "written"),
    [(True, int((1 - ORDINARY_SHARE) * BURST_LINES) + 1), (False, int(BURST_LINES))],
)
def test_burst_is_limited_and_ordinary_lines_are_dropped_first(
    is_ordinary: bool, written: int
) -> None:
    budget = LineBudget()
    allowed = [budget.allows(is_ordinary=is_ordinary, now=0.0) for _ in range(2000)]
    assert sum(allowed) == written
    assert budget.take() == 2000 - written
    assert budget.take() == 0


def test_failures_are_logged_while_ordinary_lines_are_dropped() -> None:
    budget = LineBudget()
    while budget.allows(is_ordinary=True, now=0.0):
        pass
    assert budget.allows(is_ordinary=False, now=0.0)


def test_budget_refills() -> None:
    budget = LineBudget()
    for _ in range(2000):
        budget.allows(is_ordinary=False, now=0.0)
    assert not budget.allows(is_ordinary=False, now=0.0)
    assert budget.allows(is_ordinary=False, now=2.0 / LINES_PER_S)


def test_stalled_reader_does_not_block_the_writer() -> None:
    reader, write_end = os.pipe()
    writer = BoundedWriter(write_end)
    line = "x" * 999 + "\n"
    for _ in range(2 * BUFFER_BYTES // 1000):
        writer.write(line)
    assert writer.dropped > 0
    read_bytes = 0
    with eventlet.Timeout(5):
        while read_bytes < BUFFER_BYTES // 2:
            eventlet.sleep(0)
            read_bytes += len(os.read(reader, 65536))
    os.close(reader)


def test_closed_reader_does_not_fail_the_writer() -> None:
    reader, write_end = os.pipe()
    os.close(reader)
    writer = BoundedWriter(write_end)
    writer.write("line\n")
    assert writer.dropped == 1


def test_metrics_are_exposed_in_text_format() -> None:
    table = CounterTable()
    table.count("requests", "200")
    table.count("requests", "200")
    table.time("request", 0.3)
    statuses: list[str] = []
    application = create_metrics_application(table)
    (content,) = application({}, lambda status, headers: statuses.append(status))
    text = content.decode()
    assert statuses == ["200 OK"]
    assert 'pimentobend_requests_total{kind="200"} 2.0' in text
    assert 'pimentobend_request_seconds_bucket{le="0.5"} 1.0' in text
    assert 'pimentobend_request_seconds_bucket{le="0.25"} 0.0' in text


def test_number_of_label_values_is_limited() -> None:
    table = CounterTable()
    for number in range(1000):
        table.count("requests", str(number))
    (family,) = table.collect()
    assert len(family.samples) <= 257


class FullStream(io.StringIO):
    """Raises an error for each write while it has one."""

    def __init__(self, error: Exception) -> None:
        super().__init__()
        self.error: Exception | None = error

    def write(self, text: str) -> int:
        if self.error is not None:
            raise self.error
        return super().write(text)


@pytest.mark.parametrize(
    "error",
    [
        OSError(errno.ENOSPC, "No space left on device"),
        OSError(errno.EFBIG, "File too large"),
        ValueError("I/O operation on closed file"),
    ],
    ids=["full disk", "file limit", "closed"],
)
def test_a_line_that_cannot_be_written_is_dropped(error: Exception) -> None:
    """The task that logged ended with the error, while its process ran on."""
    inner = FullStream(error)
    stream = LossyStream(inner)
    for _ in range(2):
        stream.write("lost\n")
    inner.error = None
    stream.write("kept\n")
    first, second = inner.getvalue().splitlines()
    assert "event='lines-left-out' dropped=2" in first
    assert second == "kept"
