"""Blocks of the capacity page, as Markdown."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from pimentobend_bench._internal.capacity.figures import Figures
from pimentobend_bench._internal.capacity.figures import SlopeFigure
from pimentobend_bench._internal.capacity.page.budgets import list_budgets
from pimentobend_bench._internal.capacity.page.costs import Costs
from pimentobend_bench._internal.capacity.page.costs import describe_module
from pimentobend_bench._internal.capacity.page.failures import list_failures
from pimentobend_bench._internal.capacity.page.flows import daemon_flows
from pimentobend_bench._internal.capacity.page.flows import total_bytes_per_s
from pimentobend_bench._internal.capacity.page.flows import total_cpu_share
from pimentobend_bench._internal.capacity.page.roles import list_roles


def format_table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> str:
    """Return a Markdown table."""
    lines = [head, ["---"] * len(head), *rows]
    return "\n".join("| " + " | ".join(line) + " |" for line in lines)


def format_missed_budgets(figures: Figures) -> str:
    """Return a list of the budgets that are missed."""
    missed = [b for b in list_budgets(Costs(figures)) if not b.is_met]
    if not missed:
        return "These figures meet every budget."
    return "\n".join(
        f"- **Missed: {budget.name}**: {budget.figure:.2f} {budget.unit}, limit"
        f" {budget.limit:g} {budget.unit}. What would close the gap: {budget.remedy}."
        for budget in missed
    )


def format_budgets(figures: Figures) -> str:
    """Return the table of all budgets."""
    return format_table(
        [
            "budget",
            "figure",
            "limit",
            "margin",
            "met",
            "from",
            "what would close the gap",
        ],
        [
            [
                budget.name,
                f"{budget.figure:.2f} {budget.unit}",
                f"{budget.limit:g}",
                f"{budget.margin:+.2f}",
                "yes" if budget.is_met else "**no**",
                budget.basis,
                budget.remedy if not budget.is_met else "",
            ]
            for budget in list_budgets(Costs(figures))
        ],
    )


def format_flows(figures: Figures) -> str:
    """Return the table of an instance daemon's exchanges for control."""
    flows = daemon_flows(Costs(figures))
    rows = [
        [
            flow.name,
            describe_module(flow.module),
            f"{flow.per_s:.3f}",
            f"{flow.bytes_each:.0f}",
            f"{flow.bytes_per_s:.0f}",
            f"{flow.cpu_s_each * 1e3:.2f}",
            f"{flow.cpu_share:.3%}",
        ]
        for flow in flows
    ]
    total = ["total", "", "", "", f"{total_bytes_per_s(flows):.0f}", ""]
    rows.append([*total, f"{total_cpu_share(flows):.3%}"])
    return format_table(
        ["exchange", "mechanism", "per second", "bytes", "bytes/s", "CPU ms", "CPU"],
        rows,
    )


def format_roles(figures: Figures) -> str:
    """Return the table of roles."""
    return format_table(
        ["role", "state held", "messages", "memory", "CPU, normal", "CPU, peak"],
        [
            [
                role.name,
                _join_lines(role.state),
                _join_lines(role.messages),
                role.memory,
                role.cpu_normal,
                role.cpu_peak,
            ]
            for role in list_roles(Costs(figures))
        ],
    )


def format_failures(figures: Figures) -> str:
    """Return the table of failures and the load that they cause."""
    return format_table(
        ["day", "load", "each daemon", "control", "handled by"],
        [
            [
                failure.name,
                failure.load,
                failure.daemon,
                failure.control,
                _join_lines(failure.mechanisms),
            ]
            for failure in list_failures(Costs(figures))
        ],
    )


def format_hops(figures: Figures) -> str:
    """Return the table of the latency and CPU time that one hop adds."""
    return format_table(
        [
            "through",
            "requests per second",
            "runs",
            "direct p50 / p99 ms",
            "added p50 / p99 ms",
            "worst added p99 ms",
            "ratio p50 / p99",
            "CPU ms per request",
            "failed",
        ],
        [
            [
                hop["proxy"],
                str(hop["rate_per_s"]),
                str(hop["runs"]),
                f"{hop['direct_p50_s'] * 1e3:.2f} / {hop['direct_p99_s'] * 1e3:.2f}",
                f"{hop['added_p50_s'] * 1e3:.2f} / {hop['added_p99_s'] * 1e3:.2f}",
                f"{hop['worst_added_p99_s'] * 1e3:.2f}",
                f"{hop['ratio_p50']:.2f} / {hop['ratio_p99']:.2f}",
                f"{hop['cpu_per_request_s'] * 1e3:.2f}",
                f"{hop['failed']} of {hop['requests']}",
            ]
            for hop in figures["hops"]
        ],
    )


def format_whole_table(figures: Figures) -> str:
    """Return the table of the memory of a real daemon and of its parts."""
    costs = Costs(figures)
    rows = [
        [
            f"daemon, {stage['after']}",
            f"{stage['private_bytes'] / 1e6:.1f}",
            "",
            f"{stage['cpu_s']:.2f}",
            f"{stage['idle_cpu_share']:.2%}",
        ]
        for stage in costs.daemon
    ]
    before = 0
    for stage in costs.parts:
        added = stage["private_bytes"] - before
        before = stage["private_bytes"]
        rows.append(
            [f"parts, {stage['after']}", f"{before / 1e6:.1f}", f"{added / 1e6:+.1f}"]
            + ["", ""]
        )
    return format_table(
        ["process and step", "MB", "adds", "CPU s", "CPU at rest"], rows
    )


def format_slopes(figures: Figures) -> str:
    """Return the table of all fitted lines."""
    return format_table(
        ["probe", "each of", "slope", "fixed", "residual", "sizes", "module", "plot"],
        [
            [
                f"`{name}`",
                slope["sized_by"],
                _format_cost(slope, slope["slope"]),
                _format_cost(slope, slope["intercept"]),
                f"{slope['residual']:.1%}",
                ", ".join(f"{int(size):,}" for size, _ in slope["points"]),
                slope["mechanism"],
                f"[plot](capacity/{name}.png)",
            ]
            for name, slope in sorted(figures["slopes"].items())
        ],
    )


def format_runs(figures: Figures) -> str:
    """Return the table of the runs that the figures come from."""
    return format_table(
        ["command", "commit", "date"],
        [
            [f"`{run['command']}`", run["commit"], run["measured_at"]]
            for _, run in sorted(figures["runs"].items())
        ],
    )


BLOCKS: dict[str, Callable[[Figures], str]] = {
    "stamp": format_runs,
    "missed": format_missed_budgets,
    "budgets": format_budgets,
    "flows": format_flows,
    "roles": format_roles,
    "failures": format_failures,
    "hops": format_hops,
    "whole": format_whole_table,
    "slopes": format_slopes,
}


def _format_cost(slope: SlopeFigure, value: float) -> str:
    if slope["unit"] == "seconds":
        return f"{value * 1e6:.3g} us"
    return f"{value:,.4g} B" if abs(value) < 1e4 else f"{value / 1e3:,.0f} KB"


def _join_lines(lines: Iterable[str]) -> str:
    return "<br>".join(lines)
