"""Registry of the client's commands; each is imported only when it runs."""

import importlib
from typing import NamedTuple

from pimentobend._internal.command import Command


class CommandEntry(NamedTuple):
    """Location and summary of a command."""

    module: str  # relative to pimentobend._internal.commands
    class_name: str
    summary: str
    needs_monkey_patch: bool = False  # uses green threads, so eventlet patches first


COMMANDS: dict[str, CommandEntry] = {
    "apply": CommandEntry("apply", "ApplyCommand", "replace the tables in force"),
    "demo": CommandEntry(
        "demo", "DemoCommand", "run and check the whole system in one process", True
    ),
    "diff": CommandEntry(
        "diff", "DiffCommand", "compare a tables file with the tables in force"
    ),
    "drain": CommandEntry(
        "drain", "DrainCommand", "stop sending new requests to a backend server"
    ),
    "dump": CommandEntry(
        "dump", "DumpCommand", "print the internal state of a daemon process"
    ),
    "lookup": CommandEntry(
        "lookup", "LookupCommand", "show the ledger entry of an idempotency key"
    ),
    "show": CommandEntry(
        "show", "ShowCommand", "list routes, pools, servers, ejections or members"
    ),
    "stand-in": CommandEntry(
        "stand_in", "StandInCommand", "run a stand-in backend server", True
    ),
    "status": CommandEntry(
        "status", "StatusCommand", "show the version in force and members behind it"
    ),
    "story": CommandEntry(
        "story", "StoryCommand", "show what the logs record of a request"
    ),
    "validate": CommandEntry("validate", "ValidateCommand", "check a tables file"),
}


def create_command(name: str) -> Command:
    """Import the command's module and create it; KeyError if the name is unknown."""
    entry = COMMANDS[name]
    if entry.needs_monkey_patch:
        eventlet = importlib.import_module("eventlet")
        eventlet.monkey_patch()
    module = importlib.import_module(f"pimentobend._internal.commands.{entry.module}")
    command: Command = getattr(module, entry.class_name)()
    return command
