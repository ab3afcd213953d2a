"""Test how the membership view merges the rows of several instances."""

import pytest

from pimentobend_core._internal.membership.messages import InstanceFound
from pimentobend_core._internal.membership.messages import InstanceLost
from pimentobend_core._internal.membership.messages import Presence
from pimentobend_core._internal.membership.messages import Rank
from pimentobend_core._internal.membership.messages import ServerEvent
from pimentobend_core._internal.membership.messages import ServerEvents
from pimentobend_core._internal.membership.messages import ViewInput
from pimentobend_core._internal.membership.messages import ViewTick
from pimentobend_core._internal.membership.view import FORGET_S
from pimentobend_core._internal.membership.view import ORPHAN_S
from pimentobend_core._internal.membership.view import MembershipView
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.server import ServerState

LIVE, WITHDRAWN, EXPIRED = Presence.LIVE, Presence.WITHDRAWN, Presence.EXPIRED
READY, DRAINING = ServerState.READY, ServerState.DRAINING
TICK = ViewTick()


def _event(
    instance: str,
    sequence: int,
    presence: Presence = LIVE,
    state: ServerState = READY,
    incarnation: int = 1,
    epoch: int = 1,
    server: str = "s1",
) -> ServerEvent:
    announced = Server(server, "rota", "127.0.0.1", 1, 3, "a", "x", state, incarnation)
    return ServerEvent(instance, Rank(epoch, sequence), presence, announced)


Step = tuple[float, ViewInput]
Listed = list[tuple[str, str, int]]


def _listed(steps: list[Step]) -> Listed:
    view = MembershipView()
    for now, step in steps:
        view.handle(step, now)
    return [(s.server_id, s.state.value, s.incarnation) for s in view.servers("rota")]


def _many(instance: str, count: int, first: int = 1) -> ServerEvents:
    return ServerEvents(
        tuple(
            _event(instance, n, server=f"s{n:02}") for n in range(first, first + count)
        )
    )


@pytest.mark.parametrize(
    ("steps", "expected"),
    [
        pytest.param([(0, _event("a", 1))], [("s1", "ready", 1)], id="announced"),
        pytest.param(
            [(0, _event("a", 2, WITHDRAWN)), (0, _event("a", 1))],
            [],
            id="late-event-is-ignored",
        ),
        pytest.param(
            [(0, _event("a", 9)), (0, _event("a", 1, EXPIRED, epoch=2))],
            [],
            id="later-epoch-wins",
        ),
        pytest.param(
            [(0, _event("a", 1)), (0, _event("b", 1)), (0, _event("a", 2, EXPIRED))],
            [("s1", "ready", 1)],
            id="moved-to-another-instance",
        ),
        pytest.param(
            [(0, _event("a", 1)), (0, _event("b", 1, WITHDRAWN))],
            [],
            id="withdrawn-through-another-instance",
        ),
        pytest.param(
            [(0, _event("a", 1, WITHDRAWN)), (0, _event("b", 1, incarnation=2))],
            [("s1", "ready", 2)],
            id="restarted-elsewhere",
        ),
        pytest.param(
            [(0, _event("a", 1)), (0, _event("b", 1, state=DRAINING))],
            [("s1", "draining", 1)],
            id="draining-wins",
        ),
        pytest.param(
            [(0, _event("a", 1)), (0, InstanceLost("a")), (ORPHAN_S - 1, TICK)],
            [("s1", "ready", 1)],
            id="lost-within-the-grace-period",
        ),
        pytest.param(
            [
                (0, _many("a", 2)),
                (0, _event("b", 1, server="s09")),
                (0, _event("b", 2, server="s10")),
                (0, InstanceLost("a")),
                (ORPHAN_S, TICK),
            ],
            [("s09", "ready", 1), ("s10", "ready", 1)],
            id="lost-after-the-grace-period",
        ),
        pytest.param(
            [
                (0, _many("a", 6)),
                (0, _many("b", 2, first=7)),
                (0, InstanceLost("a")),
                (ORPHAN_S, TICK),
            ],
            [(f"s{n:02}", "ready", 1) for n in (5, 6, 7, 8)],
            id="lost-instances-drop-half-at-most",
        ),
        pytest.param(
            [
                (0, _event("a", 1)),
                (0, InstanceLost("a")),
                (ORPHAN_S, TICK),
                (ORPHAN_S + 1, InstanceFound("a", 1)),
            ],
            [("s1", "ready", 1)],
            id="found-again",
        ),
        pytest.param(
            [(0, _event("a", 1)), (1, InstanceFound("a", 2)), (1 + ORPHAN_S, TICK)],
            [],
            id="instance-restarted-without-its-server",
        ),
        pytest.param(
            [
                (0, _event("a", 1)),
                (1, InstanceFound("a", 2)),
                (2, _event("a", 1, epoch=2)),
                (1 + ORPHAN_S, TICK),
            ],
            [("s1", "ready", 1)],
            id="instance-restarted-with-its-server",
        ),
    ],
)
def test_listed_servers(steps: list[Step], expected: Listed) -> None:
    assert _listed(steps) == expected


def test_unchanged_lists_are_not_published_again() -> None:
    view = MembershipView()
    assert len(view.handle(_event("a", 1), 0)) == 1
    assert view.handle(_event("b", 1), 0) == ()


@pytest.mark.parametrize("presence", [WITHDRAWN, EXPIRED])
def test_ended_rows_are_dropped(presence: Presence) -> None:
    view = MembershipView()
    view.handle(_event("a", 1, presence), 0)
    view.handle(TICK, FORGET_S)
    assert view.handle(_event("a", 1), FORGET_S)[0].change.servers != ()
