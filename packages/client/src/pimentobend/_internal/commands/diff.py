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
from pimentobend_core._internal.models.tables import OrganisationRow
from pimentobend_core._internal.models.tables import PoolRow
from pimentobend_core._internal.models.tables import RouteRow

_COLUMNS = {
    "routes": RouteRow.__annotations__.keys(),
    "pools": PoolRow.__annotations__.keys(),
    "organisations": OrganisationRow.__annotations__.keys(),
}
_SECRET_COLUMNS = frozenset(("api_keys",))


class Difference(NamedTuple):
    """A row that differs: ``kind`` is "added", "removed" or "changed"."""

    kind: str
    table: str
    name: str
    detail: str


class DiffCommand(Command):
    """Lists the rows that ``apply`` would add, remove and change."""

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
            *compare_rows(
                "organisations",
                current.get("organisations", []),
                wanted.get("organisations", []),
            ),
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
    """Match the rows of two tables by name and yield the differences.

    Only columns that tables files may have are compared.
    """
    before = {row["name"]: row for row in current}
    after = {row["name"]: row for row in wanted}
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield Difference("added", table, name, "")
        elif name not in after:
            yield Difference("removed", table, name, "")
        elif detail := _detail(table, before[name], after[name]):
            yield Difference("changed", table, name, detail)


def _detail(table: str, before: Any, after: Any) -> str:
    return ", ".join(
        _describe(column, before.get(column), after.get(column))
        for column in sorted(_COLUMNS[table])
        if before.get(column) != after.get(column)
    )


def _describe(column: str, before: object, after: object) -> str:
    if column in _SECRET_COLUMNS:
        return f"{column} differ"
    return f"{column}: {before} -> {after}"
