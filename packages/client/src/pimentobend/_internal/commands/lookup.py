"""Find what became of a key."""

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.status import Status


class LookupCommand(Command):
    """Look an Idempotency-Key up in the ledger."""

    usage = "pimentobend lookup [--json] ORGANISATION KEY"
    summary = "find what became of a key"
    arguments_least = 2
    arguments_most = 2

    def execute(self, context: Context) -> Status:
        """Print the claim of an organisation's key."""
        organisation, key = context.arguments
        entry = context.client.get("/v1/ledger", organisation=organisation, key=key)
        lines = [f"{name}: {entry[name]}" for name in sorted(entry)]
        print_result(context, entry, lines)
        return Status.SUCCESS
