"""List rows of the fleet's state."""

from collections.abc import Mapping
from collections.abc import Sequence

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.exceptions import UsageError
from pimentobend._internal.status import Status

KINDS = ("routes", "pools", "servers", "ejections", "members")


class ShowCommand(Command):
    """List routes, pools, servers, ejections or members."""

    usage = f"pimentobend show [--json] {'|'.join(KINDS)}"
    summary = "list rows of the fleet's state"
    arguments_least = 1
    arguments_most = 1

    def execute(self, context: Context) -> Status:
        """Print one kind of rows as a table."""
        kind = context.arguments[0]
        if kind not in KINDS:
            raise UsageError(f"cannot show {kind!r}", hint=f"usage: {self.usage}")
        path = "/v1/tables" if kind in ("routes", "pools") else f"/v1/{kind}"
        rows = context.client.get(path)[kind]
        print_result(context, rows, format_rows(rows))
        return Status.SUCCESS


def format_rows(rows: Sequence[Mapping[str, object]]) -> list[str]:
    """Return lines with aligned columns and a line of names first."""
    if not rows:
        return ["none"]
    names = list(rows[0])
    cells = [names, *([_show(row.get(name)) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    ]


def _show(value: object) -> str:
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value) or "-"
    return "-" if value in (None, "") else str(value)
