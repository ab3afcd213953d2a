"""Entry point of ``python -m pimentobend_bench``."""

import sys

from pimentobend_bench._internal.command import Status
from pimentobend_bench._internal.registry import COMMANDS
from pimentobend_bench._internal.registry import create_command


def main() -> int:
    """Run the command that the command line names and return its exit code."""
    if len(sys.argv) < 2 or sys.argv[1] not in COMMANDS:
        print("usage: python -m pimentobend_bench <command> [arguments]")
        for name, entry in sorted(COMMANDS.items()):
            print(f"  {name:20} {entry.summary}")
        return Status.USAGE
    return create_command(sys.argv[1]).run(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
