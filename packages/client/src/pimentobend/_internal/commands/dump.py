"""The command ``dump``: print the internal state of a daemon process."""

import json

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.status import Status


class DumpCommand(Command):
    """Prints the state of every task of one daemon process."""

    usage = "pimentobend dump [--operators=HOST:PORT]"
    summary = "print the internal state of a daemon process"

    def execute(self, context: Context) -> Status:
        """Print the state as one JSON document, indented unless ``--json`` is given."""
        state = context.client.get("/v1/dump")
        lines = [json.dumps(state, ensure_ascii=False, indent=2, sort_keys=True)]
        print_result(context, state, lines)
        return Status.SUCCESS
