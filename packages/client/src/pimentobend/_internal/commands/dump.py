"""Print a process's state."""

import json

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.status import Status


class DumpCommand(Command):
    """Print the state of every task of one process."""

    usage = "pimentobend dump [--operators=HOST:PORT]"
    summary = "print a process's state"

    def execute(self, context: Context) -> Status:
        """Print one JSON document."""
        state = context.client.get("/v1/dump")
        lines = [json.dumps(state, ensure_ascii=False, indent=2, sort_keys=True)]
        print_result(context, state, lines)
        return Status.SUCCESS
