"""The command ``diff``: compare a tables file with the tables in force."""

from collections.abc import Iterator
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.files import read_tables
from pimentobend._internal.status import Status


class Difference(NamedTuple):
    """A route or pool that differs: ``kind`` is "added", "removed" or "changed"."""

    kind: str
    table: str
    name: str
    detail: str


class DiffCommand(Command):
    """Lists the routes and pools that ``apply`` would add, remove and change."""

    usage = "pimentobend diff [--json] FILE"
    summary = "compare a tables file with the tables in force"
    min_arguments = 1
    max_arguments = 1

    def execute(self, context: Context) -> Status:
        """Print the differences; return DIFFERENT if there are any."""
        wanted = read_tables(context.arguments[0])
        current = context.client.get("/v1/tables")
        found = [
            *compare_rows("routes", current["routes"], wanted["routes"]),
            *compare_rows("pools", current["pools"], wanted["pools"]),
        ]
        lines = [f"{d.kind} {d.table} {d.name} {d.detail}".rstrip() for d in found]
        document = {
            "version": current["version"],
            "differences": [difference._asdict() for difference in found],
        }
        print_result(context, document, lines or ["no differences"])
        return Status.DIFFERENT if found else Status.SUCCESS


def compare_rows(
    table: str, current: Sequence[Any], wanted: Sequence[Any]
) -> Iterator[Difference]:
    """Match the routes or pools of two tables by name and yield the differences."""
    before = {row["name"]: row for row in current}
    after = {row["name"]: row for row in wanted}
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Difference("added", table, name, "")
        elif name not in after:
            yield Difference("removed", table, name, "")
        elif before[name] != after[name]:
            yield Difference("changed", table, name, _detail(before[name], after[name]))


def _detail(before: Any, after: Any) -> str:
    return ", ".join(
        f"{key}: {before.get(key)} -> {after.get(key)}"
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    )
