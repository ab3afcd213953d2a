"""Put together what the logs of a fleet say of one request."""

import re
from collections.abc import Iterable
from typing import NamedTuple

_PAIR = re.compile(r"(\w+)=('(?:[^'\\]|\\.)*'|\"(?:[^\"\\]|\\.)*\"|[^\s]+)")
_NEEDED = ("timestamp", "event")
_HIDDEN = frozenset({"timestamp", "level", "event", "instance", "request_id"})


class Line(NamedTuple):
    """Hold one line of a log."""

    timestamp: str
    instance: str
    event: str
    values: dict[str, str]


class Story(NamedTuple):
    """Hold the lines on a request in their order."""

    lines: tuple[Line, ...]
    bad_lines: int  # that could not be read, in all logs


def parse_line(text: str) -> Line | None:
    """Return a line of a log, or None where it is cut or none."""
    values = {name: value.strip("'\"") for name, value in _PAIR.findall(text)}
    if any(name not in values for name in _NEEDED):
        return None
    shown = {name: value for name, value in values.items() if name not in _HIDDEN}
    line = Line(values["timestamp"], values.get("instance", ""), values["event"], shown)
    if "request_id" in values:
        line.values["request_id"] = values["request_id"]
    return line


def find_story(texts: Iterable[str], request_id: str) -> Story:
    """Return the lines that name a request or one of its attempts."""
    lines: list[Line] = []
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


def describe(line: Line) -> str:
    """Return a line for a reader."""
    values = " ".join(
        f"{name}={value}" for name, value in line.values.items() if name != "request_id"
    )
    return f"{line.timestamp}  {line.instance:24}  {line.event:16}  {values}"
