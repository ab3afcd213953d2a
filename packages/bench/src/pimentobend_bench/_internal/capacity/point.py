"""Command that takes one reading of one probe in this process."""

from collections.abc import Sequence

from pimentobend_bench._internal.capacity.catalogue import PROBES
from pimentobend_bench._internal.command import Command
from pimentobend_bench._internal.command import Status


class PointCommand(Command):
    """Print one probe's reading at one size."""

    name = "slope-point"
    usage = "slope-point <probe> <size>"
    summary = "take one reading of one probe in a fresh process"

    def run(self, args: Sequence[str]) -> Status:
        """Measure and print the reading."""
        if len(args) != 2 or args[0] not in PROBES or not args[1].isdigit():
            print(f"usage: {self.usage}")
            print("probes: " + " ".join(PROBES))
            return Status.USAGE
        print(repr(PROBES[args[0]].measure(int(args[1]))))
        return Status.SUCCESS
