"""Parse the lines of a scenario.

A scenario is a text file with one statement per line; ``#`` starts a comment:

    pool <name> servers <n> slots <n> floor <share> [daemons <n>] [rate <n>]
    at <time> <action> ...
    expect by|at <time> <condition> ...
    expect always|never <condition> ...
    end <time>

Times are like ``13s`` or ``250ms``, ratios like ``5x``, shares like ``50%``.
"""

from typing import NamedTuple


class ScenarioError(Exception):
    """A scenario has a line that is not valid."""


class Statement(NamedTuple):
    """The words of one line and its number."""

    line: int
    words: tuple[str, ...]


def parse(text: str) -> tuple[Statement, ...]:
    """Return the statements of a scenario."""
    statements = []
    for number, line in enumerate(text.splitlines(), start=1):
        words = tuple(line.partition("#")[0].split())
        if words:
            statements.append(Statement(number, words))
    return tuple(statements)


def seconds(word: str) -> float:
    """Return a time such as ``13s`` or ``250ms`` in seconds."""
    if word.endswith("ms"):
        return _number(word, "ms") / 1000
    return _number(word, "s")


def ratio(word: str) -> float:
    """Return a ratio such as ``5x``."""
    return _number(word, "x")


def share(word: str) -> float:
    """Return a share such as ``50%``, between 0 and 1."""
    return _number(word, "%") / 100


def options(words: tuple[str, ...]) -> dict[str, str]:
    """Return alternating names and values as a dictionary."""
    if len(words) % 2:
        raise ScenarioError(f"expected names with values, not {' '.join(words)!r}")
    return dict(zip(words[::2], words[1::2], strict=True))


def _number(word: str, unit: str) -> float:
    try:
        if not word.endswith(unit):
            raise ValueError
        return float(word.removesuffix(unit))
    except ValueError:
        raise ScenarioError(f"expected a number with {unit!r}, not {word!r}") from None
