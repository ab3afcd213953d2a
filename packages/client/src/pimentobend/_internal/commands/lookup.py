"""The command ``lookup``: show the ledger entry of an idempotency key."""

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.status import Status


class LookupCommand(Command):
    """Looks up an organisation's Idempotency-Key in the ledger."""

    usage = "pimentobend lookup [--json] ORGANISATION KEY"
    summary = "show the ledger entry of an idempotency key"
    min_arguments = 2
    max_arguments = 2

    def execute(self, context: Context) -> Status:
        """Print the fields of the key's ledger entry."""
        organisation, key = context.arguments
        entry = context.client.get("/v1/ledger", organisation=organisation, key=key)
        lines = [f"{name}: {entry[name]}" for name in sorted(entry)]
        print_result(context, entry, lines)
        return Status.SUCCESS
