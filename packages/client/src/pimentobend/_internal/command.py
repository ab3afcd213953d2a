"""Define what every command of the client offers."""

import abc
import json
import sys
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple

from absl import flags

from pimentobend._internal.exceptions import UsageError
from pimentobend._internal.operators import OperatorsClient
from pimentobend._internal.status import Status

DEFAULT_OPERATORS = "127.0.0.1:8082"


class Context(NamedTuple):
    """Hold the parsed command line of one command."""

    client: OperatorsClient
    arguments: tuple[str, ...]
    is_json: bool
    options: Any  # the command's own flags


class Command(abc.ABC):
    """Run one command of the client."""

    usage: str
    summary: str
    arguments_least = 0
    arguments_most = 0

    def run(self, argv: Sequence[str]) -> Status:
        """Parse the command line and return a named exit code."""
        return self.execute(self._parse(argv))

    def define_options(self, values: Any) -> None:  # noqa: B027
        """Define the command's own flags; none by default."""

    @abc.abstractmethod
    def execute(self, context: Context) -> Status:
        """Do the work and return a named exit code."""

    def _parse(self, argv: Sequence[str]) -> Context:
        values: Any = flags.FlagValues()  # type: ignore[no-untyped-call]
        flags.DEFINE_string(
            "operators",
            DEFAULT_OPERATORS,
            "address of a daemon's operators' interface",
            flag_values=values,
        )
        flags.DEFINE_string(
            "token_file", None, "file with the operators' token", flag_values=values
        )
        flags.DEFINE_boolean("json", False, "print JSON", flag_values=values)
        self.define_options(values)
        try:
            rest = values(["pimentobend", *argv])[1:]
        except flags.Error as error:
            raise UsageError(str(error), hint=f"usage: {self.usage}") from error
        if not self.arguments_least <= len(rest) <= self.arguments_most:
            raise UsageError("wrong number of arguments", hint=f"usage: {self.usage}")
        client = OperatorsClient(values.operators, values.token_file)
        return Context(client, tuple(rest), values.json, values)


def print_result(context: Context, document: object, lines: Sequence[str]) -> None:
    """Print the document as JSON, or the lines for a reader."""
    if context.is_json:
        print(json.dumps(document, ensure_ascii=False, sort_keys=True, default=str))
        return
    for line in lines:
        print(line, file=sys.stdout)
