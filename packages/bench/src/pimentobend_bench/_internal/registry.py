"""Find the bench commands without importing them all."""

import importlib
from typing import NamedTuple

from pimentobend_bench._internal.command import Command


class Entry(NamedTuple):
    """Say where a command lives."""

    module: str  # below pimentobend_bench._internal
    class_name: str
    summary: str


COMMANDS: dict[str, Entry] = {
    "apply": Entry(
        "consensus.apply", "ApplyCommand", "time until a change is acknowledged"
    ),
    "failover": Entry(
        "consensus.failover", "FailoverCommand", "time without a leader after a crash"
    ),
    "recovery": Entry(
        "consensus.recovery", "RecoveryCommand", "time to recover against log length"
    ),
    "detection": Entry(
        "health.detection",
        "DetectionCommand",
        "time until a faulty server is out of use",
    ),
    "false-ejections": Entry(
        "health.false_ejections",
        "FalseEjectionsCommand",
        "healthy servers ejected per hour",
    ),
    "crest": Entry(
        "traffic.crest", "CrestCommand", "goodput and latency during a peak of demand"
    ),
    "head-of-line": Entry(
        "traffic.head_of_line", "HeadOfLineCommand", "short requests behind long ones"
    ),
    "slopes": Entry(
        "capacity.slopes",
        "SlopesCommand",
        "memory, bytes and CPU against sizes, with a line fitted",
    ),
    "hop": Entry(
        "capacity.hop.command",
        "HopCommand",
        "CPU a request and added latency of one hop, real processes",
    ),
    "whole-table": Entry(
        "capacity.whole.command",
        "WholeTableCommand",
        "9,000 routes, 580 pools, servers, organisations in one process",
    ),
    "capacity": Entry(
        "capacity.command",
        "CapacityCommand",
        "remake docs/CAPACITY.md, its figures and plots",
    ),
    "slope-point": Entry(
        "capacity.point",
        "PointCommand",
        "take one reading of one probe in a fresh process",
    ),
    "claims": Entry(
        "ledger.claims", "ClaimsCommand", "claims a second and their added latency"
    ),
    "spread-bytes": Entry(
        "membership.spread_bytes",
        "SpreadBytesCommand",
        "bytes and CPU time per second and daemon to spread rows",
    ),
    "spread-time": Entry(
        "membership.spread_time",
        "SpreadTimeCommand",
        "time until a change is in force at all daemons",
    ),
}


def create_command(name: str) -> Command:
    """Import and create the command; raise KeyError for an unknown name."""
    entry = COMMANDS[name]
    module = importlib.import_module(f"pimentobend_bench._internal.{entry.module}")
    command: Command = getattr(module, entry.class_name)()
    return command
