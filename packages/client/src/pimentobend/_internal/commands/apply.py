"""The command ``apply``: replace the tables in force."""

import uuid
from typing import Any

from absl import flags

from pimentobend._internal.command import Command
from pimentobend._internal.command import Context
from pimentobend._internal.command import print_result
from pimentobend._internal.exceptions import UnreachableError
from pimentobend._internal.files import read_tables
from pimentobend._internal.files import read_text
from pimentobend._internal.status import Status

MAX_SENDS = 3  # tries to send one change


class ApplyCommand(Command):
    """Replaces both tables if the expected version is still in force."""

    usage = "pimentobend apply [--version=TERM.INDEX] [--change=ID] FILE"
    summary = "replace the tables in force"
    min_arguments = 1
    max_arguments = 1

    def define_options(self, values: Any) -> None:
        """Define flags for the version to replace and the id of the change."""
        flags.DEFINE_string(
            "version",
            None,
            "version that FILE replaces; default: the one in force",
            flag_values=values,
        )
        flags.DEFINE_string(
            "change",
            None,
            "id of an earlier change, to send it again",
            flag_values=values,
        )

    def execute(self, context: Context) -> Status:
        """Check the file and send it; resend with the same id if no response comes."""
        path = context.arguments[0]
        read_tables(path)
        version = context.options.version
        if version is None:
            version = context.client.get("/v1/tables")["version"]
        change = context.options.change or uuid.uuid4().hex
        answer = _send(context, read_text(path).encode(), version, change)
        line = f"in force: version {answer['version']} (change {change})"
        print_result(context, {**answer, "change": change}, [line])
        return Status.SUCCESS


def _send(
    context: Context, content: bytes, version: str, change: str
) -> dict[str, Any]:
    last: UnreachableError | None = None
    for _ in range(MAX_SENDS):
        try:
            return context.client.put(
                "/v1/tables", content, version=version, change=change
            )
        except UnreachableError as error:
            last = error
    raise UnreachableError(
        "no response to the change; it may be in force",
        context=last.context if last else "",
        hint=f"send it again with --version={version} --change={change}",
    )
