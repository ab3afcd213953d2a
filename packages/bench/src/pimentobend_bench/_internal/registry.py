"""Registry of the bench commands; each is imported only when it runs."""

import importlib
from typing import NamedTuple

from pimentobend_bench._internal.command import Command


class CommandEntry(NamedTuple):
    """Location and summary of a command."""

    module: str  # relative to pimentobend_bench._internal
    class_name: str
    summary: str


COMMANDS: dict[str, CommandEntry] = {
    "apply": CommandEntry(
        "consensus.apply", "ApplyCommand", "time until a change is acknowledged"
    ),
    "failover": CommandEntry(
        "consensus.failover", "FailoverCommand", "time without a leader after a crash"
    ),
    "recovery": CommandEntry(
        "consensus.recovery", "RecoveryCommand", "time to recover by log length"
    ),
    "detection": CommandEntry(
        "health.detection",
        "DetectionCommand",
        "time until a faulty server is out of use",
    ),
    "false-ejections": CommandEntry(
        "health.false_ejections",
        "FalseEjectionsCommand",
        "healthy servers ejected per hour",
    ),
    "crest": CommandEntry(
        "traffic.crest", "CrestCommand", "goodput and latency during a peak of demand"
    ),
    "head-of-line": CommandEntry(
        "traffic.head_of_line", "HeadOfLineCommand", "short requests behind long ones"
    ),
    "slopes": CommandEntry(
        "capacity.slopes",
        "SlopesCommand",
        "memory, bytes and CPU time by size, with a fitted line",
    ),
    "hop": CommandEntry(
        "capacity.hop.command",
        "HopCommand",
        "CPU time per request and added latency of one hop, with real processes",
    ),
    "whole-table": CommandEntry(
        "capacity.whole.command",
        "WholeTableCommand",
        "memory and CPU time with 9,000 routes, 580 pools, servers, organisations",
    ),
    "capacity": CommandEntry(
        "capacity.command",
        "CapacityCommand",
        "regenerate docs/CAPACITY.md with its figures and plots",
    ),
    "slope-point": CommandEntry(
        "capacity.point",
        "PointCommand",
        "measure one point of one probe in a new process",
    ),
    "claims": CommandEntry(
        "ledger.claims", "ClaimsCommand", "added latency by claims per second"
    ),
    "spread-bytes": CommandEntry(
        "membership.spread_bytes",
        "SpreadBytesCommand",
        "bytes and CPU time per second and daemon to spread rows",
    ),
    "spread-time": CommandEntry(
        "membership.spread_time",
        "SpreadTimeCommand",
        "time until a change is in force at all daemons",
    ),
}


def create_command(name: str) -> Command:
    """Import the command's module and create it; KeyError if the name is unknown."""
    entry = COMMANDS[name]
    module = importlib.import_module(f"pimentobend_bench._internal.{entry.module}")
    command: Command = getattr(module, entry.class_name)()
    return command
