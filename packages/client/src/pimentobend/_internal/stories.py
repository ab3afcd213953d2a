"""Collect the log lines of one request from the logs of several daemons."""

import re
from collections.abc import Iterable
from typing import NamedTuple

_PAIR = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\"(?:[^\"\\]|\\.)*\"|[^\s]+)")
_REQUIRED = ("timestamp", "event")
_HIDDEN = frozenset({"timestamp", "level", "event", "instance", "request_id"})


class LogLine(NamedTuple):
    """One parsed log line; ``values`` holds its other key-value pairs."""

    timestamp: str
    instance: str
    event: str
    values: dict[str, str]


class Story(NamedTuple):
    """The log lines of a request, sorted by timestamp."""

    lines: tuple[LogLine, ...]
    bad_lines: int  # lines of all logs that are truncated or no log lines


def parse_line(text: str) -> LogLine | None:
    """Parse a log line; return None if it is truncated or not a log line."""
    values = {name: value.strip("'\"") for name, value in _PAIR.findall(text)}
    if any(name not in values for name in _REQUIRED):
        return None
    shown = {name: value for name, value in values.items() if name not in _HIDDEN}
    line = LogLine(
        values["timestamp"], values.get("instance", ""), values["event"], shown
    )
    if "request_id" in values:
        line.values["request_id"] = values["request_id"]
    return line


def find_story(texts: Iterable[str], request_id: str) -> Story:
    """Return the lines with the request's id or the id of one of its attempts.

    Lines of the daemon that passes an attempt to a backend server can carry the
    attempt's id without the request's.
    """
    lines: list[LogLine] = []
    bad_lines = 0
    for text in texts:
        line = parse_line(text)
        if line is not None:
            lines.append(line)
        elif text.strip():
            bad_lines += 1
    own = [line for line in lines if line.values.get("request_id") == request_id]
    attempts = {
        line.values["attempt_id"] for line in own if "attempt_id" in line.values
    }
    found = [
        line
        for line in lines
        if line.values.get("request_id") == request_id
        or line.values.get("attempt_id") in attempts
    ]
    return Story(tuple(sorted(found, key=lambda line: line.timestamp)), bad_lines)


def format_line(line: LogLine) -> str:
    """Format a log line as text in aligned columns."""
    values = " ".join(
        f"{name}={value}" for name, value in line.values.items() if name != "request_id"
    )
    return f"{line.timestamp}  {line.instance:24}  {line.event:16}  {values}"
