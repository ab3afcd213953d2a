"""Run a scenario and collect the expectations that failed."""

from typing import NamedTuple

from scenario.actions import ACTIONS
from scenario.conditions import Expectation
from scenario.conditions import make_expectation
from scenario.language import ScenarioError
from scenario.language import Statement
from scenario.language import parse
from scenario.language import seconds
from scenario.world import POLL_S
from scenario.world import World


class Scenario(NamedTuple):
    """The statements of a scenario by kind; ``events`` are the ``at`` statements."""

    pool: Statement
    events: tuple[Statement, ...]
    expectations: tuple[Statement, ...]
    end_s: float


class _OpenExpectation(NamedTuple):
    statement: Statement
    expectation: Expectation


def load(text: str) -> Scenario:
    """Parse a scenario; raise ScenarioError if it is invalid."""
    statements = parse(text)
    kinds = {statement.words[0] for statement in statements}
    if unknown := kinds - {"pool", "at", "expect", "end"}:
        raise ScenarioError(f"unknown statements: {sorted(unknown)}")
    pools = [each for each in statements if each.words[0] == "pool"]
    ends = [each for each in statements if each.words[0] == "end"]
    if len(pools) != 1 or len(ends) != 1:
        raise ScenarioError(
            "a scenario has one pool and one end statement,"
            f" not {len(pools)} and {len(ends)}"
        )
    events = [each for each in statements if each.words[0] == "at"]
    for event in events:
        if event.words[2] not in ACTIONS:
            raise ScenarioError(f"line {event.line}: unknown action {event.words[2]!r}")
    events.sort(key=lambda each: seconds(each.words[1]))
    expectations = tuple(each for each in statements if each.words[0] == "expect")
    return Scenario(pools[0], tuple(events), expectations, seconds(ends[0].words[1]))


def run(text: str) -> tuple[str, ...]:
    """Run a scenario; return one line for each expectation that failed."""
    scenario = load(text)
    _, name, *words = scenario.pool.words
    world = World(name, tuple(words))
    open_expectations = [
        _OpenExpectation(each, make_expectation(each.words[1:]))
        for each in scenario.expectations
    ]
    events = list(scenario.events)
    failures: list[str] = []
    while world.now < scenario.end_s:
        world.run_to(world.now + POLL_S)
        while events and seconds(events[0].words[1]) <= world.now + 1e-9:
            action = events.pop(0).words[2:]
            ACTIONS[action[0]].apply(world, action[1:])
        failures.extend(_close_violated(world, open_expectations))
    failures.extend(
        _describe(each.statement, "never met")
        for each in open_expectations
        if each.expectation.is_unmet()
    )
    return tuple(failures)


def _close_violated(
    world: World, open_expectations: list[_OpenExpectation]
) -> list[str]:
    violated = [each for each in open_expectations if each.expectation.check(world)]
    for each in violated:
        open_expectations.remove(each)
    return [_describe(each.statement, f"at {world.now:.2f}s") for each in violated]


def _describe(statement: Statement, failure: str) -> str:
    return f"line {statement.line}: {' '.join(statement.words)} ({failure})"
