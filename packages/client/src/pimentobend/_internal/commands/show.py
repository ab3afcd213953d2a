"""The command ``show``: list routes, pools, servers and what the fleet knows."""

from collections.abc import Mapping
from collections.abc import Sequence

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.exceptions import UsageError
from pimentobend._internal.status import Status

_KEYS = "api_keys"
_TABLES = ("routes", "pools", "organisations")
KINDS = (*_TABLES, "servers", "ejections", "members", "suspects")


class ShowCommand(Command):
    """Lists the rows of a table, the servers, ejections, members or suspects."""

    usage = f"pimentobend show [--json] {'|'.join(KINDS)}"
    summary = "list the rows of a table, servers, ejections, members or suspects"
    min_arguments = 1
    max_arguments = 1

    def execute(self, context: Context) -> Status:
        """Print the rows as a table with aligned columns."""
        kind = context.arguments[0]
        if kind not in KINDS:
            raise UsageError(f"cannot list {kind!r}", hint=f"usage: {self.usage}")
        path = "/v1/tables" if kind in _TABLES else f"/v1/{kind}"
        document = context.client.get(path)
        if kind == "organisations":
            rows = hide_keys(document.get(kind, []))
        else:
            rows = document[kind]
        print_result(context, rows, format_rows(rows))
        return Status.SUCCESS


def hide_keys(rows: Sequence[Mapping[str, object]]) -> list[Mapping[str, object]]:
    """Return organisations with the number of their keys in place of the keys."""
    return [
        {name: _count(value) if name == _KEYS else value for name, value in row.items()}
        for row in rows
    ]


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


def _count(value: object) -> int:
    return len(value) if isinstance(value, list | tuple) else 0


def _format_cell(value: object) -> str:
    if isinstance(value, list | tuple):
        return ",".join(str(item) for item in value) or "-"
    return "-" if value in (None, "") else str(value)
