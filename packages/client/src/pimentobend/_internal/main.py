"""Parse the command name, run the command and map errors to exit codes."""

import sys
from collections.abc import Sequence

from pimentobend._internal.exceptions import RefusedError
from pimentobend._internal.exceptions import UnreachableError
from pimentobend._internal.exceptions import UsageError
from pimentobend._internal.registry import COMMANDS
from pimentobend._internal.registry import create_command
from pimentobend._internal.status import Status
from pimentobend_core._internal.exceptions import PimentobendError

HTTP_CONFLICT = 409
HTTP_UNPROCESSABLE = 422


def run(argv: Sequence[str]) -> Status:
    """Run the command that ``argv`` names and return its exit code."""
    if not argv or argv[0] in ("help", "--help", "-h"):
        print_usage()
        return Status.SUCCESS if argv else Status.USAGE
    name, *rest = argv
    if name not in COMMANDS:
        print(f"pimentobend: unknown command {name!r}", file=sys.stderr)
        print_usage()
        return Status.USAGE
    try:
        return create_command(name).run(rest)
    except PimentobendError as error:
        print(f"pimentobend {name}: {error}", file=sys.stderr)
        return _status_of(error)


def print_usage() -> None:
    """Print the usage line and the summary of each command."""
    print("usage: pimentobend <command> [options] [arguments]")
    for name, entry in sorted(COMMANDS.items()):
        print(f"  {name:10} {entry.summary}")


def _status_of(error: PimentobendError) -> Status:
    if isinstance(error, UsageError):
        return Status.USAGE
    if isinstance(error, UnreachableError):
        return Status.UNREACHABLE
    if isinstance(error, RefusedError):
        return _STATUS_OF_REFUSAL.get(error.status, Status.ERROR)
    return Status.ERROR


_STATUS_OF_REFUSAL = {HTTP_CONFLICT: Status.CONFLICT, HTTP_UNPROCESSABLE: Status.FAULTS}
