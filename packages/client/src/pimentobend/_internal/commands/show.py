"""The command ``show``: list routes, pools, servers and what the fleet knows."""

from collections.abc import Mapping
from collections.abc import Sequence

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.exceptions import UsageError
from pimentobend._internal.status import Status

KINDS = ("routes", "pools", "servers", "ejections", "members", "suspects")


class ShowCommand(Command):
    """Lists the routes, pools, servers, ejections, members or suspected requests."""

    usage = f"pimentobend show [--json] {'|'.join(KINDS)}"
    summary = "list routes, pools, servers, ejections, members or suspects"
    min_arguments = 1
    max_arguments = 1

    def execute(self, context: Context) -> Status:
        """Print the rows as a table with aligned columns."""
        kind = context.arguments[0]
        if kind not in KINDS:
            raise UsageError(f"cannot list {kind!r}", hint=f"usage: {self.usage}")
        path = "/v1/tables" if kind in ("routes", "pools") else f"/v1/{kind}"
        rows = context.client.get(path)[kind]
        print_result(context, rows, format_rows(rows))
        return Status.SUCCESS


def format_rows(rows: Sequence[Mapping[str, object]]) -> list[str]:
    """Return the lines of a table with aligned columns and a header."""
    if not rows:
        return ["none"]
    names = list(rows[0])
    cells = [names, *([_format_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    return [
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in cells
    ]


def _format_cell(value: object) -> str:
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value) or "-"
    return "-" if value in (None, "") else str(value)
