"""The command ``validate``: check a tables file."""

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.files import read_tables
from pimentobend._internal.status import Status


class ValidateCommand(Command):
    """Checks both tables in a file and reports every fault."""

    usage = "pimentobend validate [--json] FILE"
    summary = "check a tables file"
    min_arguments = 1
    max_arguments = 1

    def execute(self, context: Context) -> Status:
        """Check the file; faults raise RefusedError, which exits with FAULTS."""
        tables = read_tables(context.arguments[0])
        routes = len(tables["routes"])
        pools = len(tables["pools"])
        line = f"no faults: {routes} routes, {pools} pools"
        print_result(context, {"routes": routes, "pools": pools}, [line])
        return Status.SUCCESS
