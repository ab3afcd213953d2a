"""The command ``status``: show the version of the tables that a daemon uses."""

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.status import Status


class StatusCommand(Command):
    """Prints the version of the tables in force and the members that are behind it."""

    usage = "pimentobend status [--json]"
    summary = "show the version in force and members behind it"

    def execute(self, context: Context) -> Status:
        """Print the fleet's status as this daemon sees it."""
        status = context.client.get("/v1/status")
        lines = [f"{name}: {status[name]}" for name in sorted(status)]
        print_result(context, status, lines)
        return Status.SUCCESS
