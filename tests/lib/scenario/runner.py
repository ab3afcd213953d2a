"""Run a scenario and collect what was not as expected."""

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
    """Hold the parsed statements by kind."""

    pool: Statement
    events: tuple[Statement, ...]
    expectations: tuple[Statement, ...]
    end_s: float


class _Watched(NamedTuple):
    statement: Statement
    expectation: Expectation


def load(text: str) -> Scenario:
    """Sort a scenario's statements; raise ScenarioError for a faulty one."""
    statements = parse(text)
    kinds = {statement.words[0] for statement in statements}
    if unknown := kinds - {"pool", "at", "expect", "end"}:
        raise ScenarioError(f"unknown statements: {sorted(unknown)}")
    pools = [each for each in statements if each.words[0] == "pool"]
    ends = [each for each in statements if each.words[0] == "end"]
    if len(pools) != 1 or len(ends) != 1:
        raise ScenarioError("a scenario has one pool and one end")
    events = [each for each in statements if each.words[0] == "at"]
    for event in events:
        if event.words[2] not in ACTIONS:
            raise ScenarioError(f"line {event.line}: unknown action {event.words[2]!r}")
    events.sort(key=lambda each: seconds(each.words[1]))
    expected = tuple(each for each in statements if each.words[0] == "expect")
    return Scenario(pools[0], tuple(events), expected, seconds(ends[0].words[1]))


def run(text: str) -> tuple[str, ...]:
    """Run a scenario; return one line for each broken expectation."""
    scenario = load(text)
    _, name, *words = scenario.pool.words
    world = World(name, tuple(words))
    watched = [
        _Watched(each, make_expectation(each.words[1:]))
        for each in scenario.expectations
    ]
    events = list(scenario.events)
    failures: list[str] = []
    while world.now < scenario.end_s:
        world.run_to(world.now + POLL_S)
        while events and seconds(events[0].words[1]) <= world.now + 1e-9:
            action = events.pop(0).words[2:]
            ACTIONS[action[0]].apply(world, action[1:])
        failures.extend(_broken(world, watched))
    failures.extend(
        _describe(each.statement, "not seen")
        for each in watched
        if each.expectation.is_open()
    )
    return tuple(failures)


def _broken(world: World, watched: list[_Watched]) -> list[str]:
    broken = [each for each in watched if each.expectation.watch(world)]
    for each in broken:
        watched.remove(each)
    return [_describe(each.statement, f"at {world.now:.2f}s") for each in broken]


def _describe(statement: Statement, what: str) -> str:
    return f"line {statement.line}: {' '.join(statement.words)} ({what})"
