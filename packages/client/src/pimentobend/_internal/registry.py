"""Find the client's commands without importing them all."""

import importlib
from typing import NamedTuple

from pimentobend._internal.command import Command


class Entry(NamedTuple):
    """Say where a command lives."""

    module: str  # below pimentobend._internal.commands
    class_name: str
    summary: str
    is_patched: bool = False  # runs tasks, so the runtime goes in first


COMMANDS: dict[str, Entry] = {
    "apply": Entry("apply", "ApplyCommand", "put tables in force"),
    "demo": Entry("demo", "DemoCommand", "try the whole system in one process", True),
    "diff": Entry("diff", "DiffCommand", "compare tables with those in force"),
    "drain": Entry("drain", "DrainCommand", "take a backend server out of work"),
    "dump": Entry("dump", "DumpCommand", "print a process's state"),
    "lookup": Entry("lookup", "LookupCommand", "find what became of a key"),
    "show": Entry("show", "ShowCommand", "list rows of the fleet's state"),
    "stand-in": Entry(
        "stand_in", "StandInCommand", "run a stand-in backend server", True
    ),
    "status": Entry("status", "StatusCommand", "tell which processes are behind"),
    "story": Entry("story", "StoryCommand", "tell what became of a request"),
    "validate": Entry("validate", "ValidateCommand", "check tables in a file"),
}


def create_command(name: str) -> Command:
    """Import and create a command; raise KeyError for an unknown name."""
    entry = COMMANDS[name]
    if entry.is_patched:
        eventlet = importlib.import_module("eventlet")
        eventlet.monkey_patch()
    module = importlib.import_module(f"pimentobend._internal.commands.{entry.module}")
    command: Command = getattr(module, entry.class_name)()
    return command
