"""Test how many instances a process takes the fleet to have."""

import pytest

from pimentobend_core._internal.membership.instances import LOST_COUNTS_S
from pimentobend_core._internal.membership.instances import SETTLE_S
from pimentobend_core._internal.membership.instances import InstanceCount
from pimentobend_core._internal.membership.messages import InstanceCountInput
from pimentobend_core._internal.membership.messages import InstanceFound
from pimentobend_core._internal.membership.messages import InstanceLost
from pimentobend_core._internal.membership.messages import InstancesCounted
from pimentobend_core._internal.membership.messages import InstancesTick

EPOCH = 7
OWN = InstanceFound("own", EPOCH)
TICK = InstancesTick()
HOUR = LOST_COUNTS_S

Inputs = tuple[tuple[float, InstanceCountInput], ...]


@pytest.mark.parametrize(
    ("inputs", "counts"),
    [
        pytest.param(((99.0, TICK),), (), id="nothing heard"),
        pytest.param(
            ((0.0, InstanceFound("a")), (99.0, TICK)), (), id="not listed itself"
        ),
        pytest.param(
            ((0.0, InstanceFound("own", EPOCH - 1)), (99.0, TICK)),
            (),
            id="listed before its restart",
        ),
        pytest.param(((0.0, OWN), (SETTLE_S - 1, TICK)), (), id="not settled"),
        pytest.param(((0.0, OWN), (SETTLE_S, TICK)), (2,), id="settled"),
        pytest.param(
            ((0.0, OWN), (5.0, InstanceFound("a")), (14.0, TICK), (15.0, TICK)),
            (3,),
            id="list that grows",
        ),
        pytest.param(
            ((0.0, OWN), (10.0, TICK), (11.0, InstanceFound("a"))),
            (2, 3),
            id="growth counts at once",
        ),
        pytest.param(
            ((0.0, OWN), (0.0, InstanceFound("a")), (10.0, TICK))
            + ((20.0, InstanceLost("a")), (20.0 + HOUR - 1, TICK)),
            (3,),
            id="loss does not count at once",
        ),
        pytest.param(
            ((0.0, OWN), (0.0, InstanceFound("a")), (10.0, TICK))
            + ((20.0, InstanceLost("a")), (20.0 + HOUR, TICK)),
            (3, 2),
            id="loss counts later",
        ),
        pytest.param(
            ((0.0, OWN), (0.0, InstanceFound("a")), (10.0, TICK))
            + ((20.0, InstanceLost("a")), (30.0, InstanceFound("a")))
            + ((20.0 + HOUR, TICK),),
            (3,),
            id="lost and found",
        ),
        pytest.param(
            ((0.0, OWN), (0.0, InstanceLost("a")), (10.0, TICK)),
            (3,),
            id="lost before it was known",
        ),
        pytest.param(
            ((0.0, OWN), (10.0, TICK), (11.0, InstanceLost("relay")))
            + ((11.0 + HOUR, TICK),),
            (2,),
            id="configured ones always count",
        ),
    ],
)
def test_what_is_not_known_does_not_lower_the_count(
    inputs: Inputs, counts: tuple[int, ...]
) -> None:
    count = InstanceCount("own", EPOCH, ("relay",))
    outputs: list[InstancesCounted] = []
    for at, message in inputs:
        outputs.extend(count.handle(message, at))
    assert tuple(output.instances for output in outputs) == counts
