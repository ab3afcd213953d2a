"""Take a backend server out of work."""

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.status import Status


class DrainCommand(Command):
    """Give a backend server no new work; what is in flight ends normally."""

    usage = "pimentobend drain [--operators=HOST:PORT of its daemon] SERVER"
    summary = "take a backend server out of work"
    arguments_least = 1
    arguments_most = 1

    def execute(self, context: Context) -> Status:
        """Ask the daemon that the server announces to."""
        server = context.arguments[0]
        answer = context.client.post("/v1/drain", server=server)
        print_result(context, answer, [f"{server} is draining"])
        return Status.SUCCESS
