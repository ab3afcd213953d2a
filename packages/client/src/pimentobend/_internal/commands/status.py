"""Tell which processes are behind."""

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.status import Status


class StatusCommand(Command):
    """Tell the version in force and which members are behind it."""

    usage = "pimentobend status [--json]"
    summary = "tell which processes are behind"

    def execute(self, context: Context) -> Status:
        """Print the daemon's view of the fleet."""
        status = context.client.get("/v1/status")
        lines = [f"{name}: {status[name]}" for name in sorted(status)]
        print_result(context, status, lines)
        return Status.SUCCESS
