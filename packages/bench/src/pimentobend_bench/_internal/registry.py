"""Find the bench commands without importing them all."""

import importlib
from typing import NamedTuple

from pimentobend_bench._internal.command import Command


class Entry(NamedTuple):
    """Say where a command lives."""

    module: str  # below pimentobend_bench._internal
    class_name: str
    summary: str


COMMANDS: dict[str, Entry] = {
    "crest": Entry("traffic.crest", "Crest", "goodput and latency at a crest"),
    "head-of-line": Entry(
        "traffic.head_of_line", "HeadOfLine", "short work behind stragglers"
    ),
}


def create_command(name: str) -> Command:
    """Import and create the command; raise KeyError for an unknown name."""
    entry = COMMANDS[name]
    module = importlib.import_module(f"pimentobend_bench._internal.{entry.module}")
    command: Command = getattr(module, entry.class_name)()
    return command
