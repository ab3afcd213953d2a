"""The command ``drain``: stop sending new requests to a backend server."""

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.status import Status


class DrainCommand(Command):
    """Drains a backend server; requests in flight end normally."""

    usage = "pimentobend drain [--operators=HOST:PORT of its daemon] SERVER"
    summary = "stop sending new requests to a backend server"
    min_arguments = 1
    max_arguments = 1

    def execute(self, context: Context) -> Status:
        """Send the request to the daemon that the server announces itself to."""
        server = context.arguments[0]
        answer = context.client.post("/v1/drain", server=server)
        print_result(context, answer, [f"{server} is draining"])
        return Status.SUCCESS
