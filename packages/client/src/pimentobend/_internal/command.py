"""Base class of the client's commands: flags, arguments and output."""

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
    """The parsed command line of one command."""

    client: OperatorsClient
    arguments: tuple[str, ...]
    is_json: bool
    options: Any  # the command's own flags


class Command(abc.ABC):
    """A command of the client."""

    usage: str
    summary: str
    min_arguments = 0  # limits of the number of positional arguments
    max_arguments = 0

    def run(self, argv: Sequence[str]) -> Status:
        """Parse the command line, execute the command and return its exit code."""
        return self.execute(self._parse(argv))

    def define_options(self, values: Any) -> None:  # noqa: B027
        """Define the command's own flags on ``values``; none by default."""

    @abc.abstractmethod
    def execute(self, context: Context) -> Status:
        """Execute the command and return its exit code."""

    def _parse(self, argv: Sequence[str]) -> Context:
        values: Any = flags.FlagValues()  # type: ignore[no-untyped-call]
        flags.DEFINE_string(
            "operators",
            DEFAULT_OPERATORS,
            "HOST:PORT of a daemon's operators' interface",
            flag_values=values,
        )
        flags.DEFINE_string(
            "token_file",
            None,
            "file that holds the operators' token",
            flag_values=values,
        )
        flags.DEFINE_boolean(
            "json", False, "print the result as JSON", flag_values=values
        )
        self.define_options(values)
        try:
            rest = values(["pimentobend", *argv])[1:]
        except flags.Error as error:
            raise UsageError(str(error), hint=f"usage: {self.usage}") from error
        if not self.min_arguments <= len(rest) <= self.max_arguments:
            raise UsageError(
                f"wrong number of arguments: {len(rest)}", hint=f"usage: {self.usage}"
            )
        client = OperatorsClient(values.operators, values.token_file)
        return Context(client, tuple(rest), values.json, values)


def print_result(context: Context, document: object, lines: Sequence[str]) -> None:
    """Print the document as JSON if ``--json`` was given, else the text lines."""
    if context.is_json:
        print(json.dumps(document, ensure_ascii=False, sort_keys=True, default=str))
        return
    for line in lines:
        print(line, file=sys.stdout)
