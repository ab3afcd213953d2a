"""Test the periodic confirmation of the configuration log's leader."""

from typing import NamedTuple

import pytest

from pimentobend_core._internal.configuration.confirmation import LeadershipConfirmation
from pimentobend_core._internal.configuration.confirmation_messages import (
    ConfirmationInput,
)
from pimentobend_core._internal.configuration.confirmation_messages import (
    ConfirmationOutput,
)
from pimentobend_core._internal.configuration.confirmation_messages import (
    ConfirmationTick,
)
from pimentobend_core._internal.configuration.confirmation_messages import (
    LeadershipConfirmed,
)
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.service_messages import VersionRead
from pimentobend_core._internal.configuration.service_messages import VersionReadRequest
from pimentobend_core._internal.consensus.messages import LeaderChanged

VERSION = Version(3, 9)
ELECTED = LeaderChanged(3, "a")


class Step(NamedTuple):
    """A message at a time, and the outputs that it must cause."""

    at: float
    message: ConfirmationInput
    outputs: tuple[ConfirmationOutput, ...] = ()


ASKED = Step(10.0, ConfirmationTick(), (VersionReadRequest(1),))


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param(
            [Step(1, LeaderChanged(3, "b")), Step(2, ConfirmationTick())],
            id="a-follower-asks-nothing",
        ),
        pytest.param(
            [
                Step(9, ELECTED),
                ASKED,
                Step(
                    90.0, VersionRead(1, VERSION), (LeadershipConfirmed(10.0, VERSION),)
                ),
            ],
            id="a-late-reply-counts-from-its-question",
        ),
        pytest.param(
            [Step(9, ELECTED), ASKED, Step(11, VersionRead(1, None))],
            id="an-unconfirmed-read-confirms-nothing",
        ),
        pytest.param(
            [
                Step(9, ELECTED),
                ASKED,
                Step(11, LeaderChanged(4, None)),
                Step(12, VersionRead(1, VERSION)),
                Step(13, ConfirmationTick()),
            ],
            id="a-deposed-leader-is-not-confirmed",
        ),
        pytest.param(
            [
                Step(9, ELECTED),
                ASKED,
                Step(
                    11, VersionRead(1, VERSION), (LeadershipConfirmed(10.0, VERSION),)
                ),
                Step(12, VersionRead(1, VERSION)),
            ],
            id="a-reply-counts-once",
        ),
    ],
)
def test_confirmations(steps: list[Step]) -> None:
    """Guards against confirmations that are newer than what a majority stated."""
    confirmation = LeadershipConfirmation("a")
    for step in steps:
        assert confirmation.handle(step.message, step.at) == step.outputs
