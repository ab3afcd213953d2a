"""Test how a daemon asks for proofs of its tables, and what the replies prove."""

from typing import NamedTuple

import pytest

from pimentobend_core._internal.configuration.confirmation_messages import (
    LeadershipConfirmed,
)
from pimentobend_core._internal.configuration.messages import Version
from pimentobend_core._internal.configuration.proof import TablesProof
from pimentobend_core._internal.configuration.proof_messages import NewerTablesProven
from pimentobend_core._internal.configuration.proof_messages import Proof
from pimentobend_core._internal.configuration.proof_messages import ProofAsk
from pimentobend_core._internal.configuration.proof_messages import ProofAskReceived
from pimentobend_core._internal.configuration.proof_messages import ProofInput
from pimentobend_core._internal.configuration.proof_messages import ProofLost
from pimentobend_core._internal.configuration.proof_messages import ProofOutput
from pimentobend_core._internal.configuration.proof_messages import ProofRegained
from pimentobend_core._internal.configuration.proof_messages import ProofReply
from pimentobend_core._internal.configuration.proof_messages import ProofReplyReceived
from pimentobend_core._internal.configuration.proof_messages import ProofSent
from pimentobend_core._internal.configuration.proof_messages import ProofTargetsChanged
from pimentobend_core._internal.configuration.proof_messages import ProofTick
from pimentobend_core._internal.configuration.proof_messages import RelayInput
from pimentobend_core._internal.configuration.proof_messages import RelayOutput
from pimentobend_core._internal.configuration.proof_messages import TablesProven
from pimentobend_core._internal.configuration.proof_messages import TablesVersionChanged
from pimentobend_core._internal.configuration.proof_relay import ProofRelay
from pimentobend_core._internal.gossip.nearest import order_control_instances
from pimentobend_core._internal.gossip.rows import PeerRow
from pimentobend_core._internal.gossip.rows import RowVersion

LIMIT_S = 4.5
OLD, NEW = Version(3, 8), Version(3, 9)
TICK = ProofTick()
TARGETS = ProofTargetsChanged(("a", "b"))


def ask(target: str, token: int) -> ProofSent:
    return ProofSent(target, ProofAsk(token))


def reply(
    token: int, version: Version = OLD, age_s: float = 0.5, sender: str = "a"
) -> ProofReplyReceived:
    return ProofReplyReceived(sender, ProofReply(token, version, age_s))


def proven(version: Version, at: float, source: str = "a") -> TablesProven:
    return TablesProven(Proof(version, at, source))


class Step(NamedTuple):
    """A message at a time, and the outputs that it must cause."""

    at: float
    message: ProofInput
    outputs: tuple[ProofOutput, ...] = ()


START = [
    Step(10.0, TablesVersionChanged(OLD)),
    Step(10.0, TARGETS, (ask("a", 1),)),
]
PROVEN = [*START, Step(10.5, reply(1), (proven(OLD, 9.5), ProofRegained("a", 1.0)))]
ASKS = [
    pytest.param(
        [*PROVEN, Step(10.6, TICK), Step(10.75, TICK, (ask("a", 2),))],
        id="an-answered-question-is-repeated-after-0.7-s",
    ),
    pytest.param(
        [*START, Step(10.1, TICK), Step(10.25, TICK, (ask("b", 2),))],
        id="an-unanswered-question-goes-to-the-next-after-0.2-s",
    ),
    pytest.param(
        [
            *START,
            Step(10.25, TICK, (ask("b", 2),)),
            Step(10.5, TICK, (ask("a", 3),)),
            Step(10.75, TICK),
            Step(11.25, TICK, (ask("b", 4),)),
        ],
        id="after-all-were-asked-in-vain-questions-are-less-frequent",
    ),
    pytest.param(
        [
            *START,
            Step(
                10.1, reply(1, age_s=2.5), (proven(OLD, 7.5), ProofRegained("a", 2.6))
            ),
            Step(10.25, TICK, (ask("b", 2),)),
        ],
        id="the-next-is-asked-where-a-proof-is-old",
    ),
    pytest.param(
        [
            *START,
            Step(10.25, TICK, (ask("b", 2),)),
            Step(
                10.3,
                reply(2, sender="b"),
                (proven(OLD, 9.75, "b"), ProofRegained("b", 0.55)),
            ),
            Step(20.0, TICK, (ProofLost("b", 10.25), ask("b", 3))),
            Step(
                20.05,
                reply(3, sender="b"),
                (proven(OLD, 19.5, "b"), ProofRegained("b", 0.55)),
            ),
            Step(20.75, TICK, (ask("a", 4),)),
        ],
        id="the-nearest-is-asked-again-after-10-s",
    ),
]
PROOFS = [
    pytest.param(
        [*PROVEN, Step(14.0, TICK, (ProofLost("a", 4.5), ask("a", 2)))],
        id="a-proof-is-lost-at-the-limit",
    ),
    pytest.param(
        [
            *START,
            Step(
                13.9,
                reply(1),
                (ask("b", 2), proven(OLD, 9.5), ProofRegained("a", 4.4)),
            ),
        ],
        id="a-late-reply-counts-from-its-question",
    ),
    pytest.param(
        [*START, Step(60.0, reply(1), (ask("b", 2),))],
        id="a-reply-after-a-suspension-proves-nothing",
    ),
    pytest.param([*START, Step(10.1, reply(7))], id="an-unknown-token-is-ignored"),
    pytest.param(
        [*START, Step(10.1, reply(1, age_s=-9.0))], id="a-negative-age-is-ignored"
    ),
    pytest.param(
        [*START, Step(10.1, reply(1, age_s=float("nan")))], id="no-age-is-ignored"
    ),
    pytest.param([*PROVEN, Step(10.6, reply(1, age_s=0.0))], id="a-reply-counts-once"),
    pytest.param(
        [
            *START,
            Step(10.1, reply(1, NEW), (NewerTablesProven("a", NEW),)),
            Step(
                10.3,
                TablesVersionChanged(NEW),
                (proven(NEW, 9.5), ProofRegained("a", 0.8)),
            ),
        ],
        id="a-proof-of-newer-tables-waits-for-them",
    ),
    pytest.param(
        [
            *PROVEN,
            Step(11.2, TICK, (ask("a", 2),)),
            Step(11.3, reply(2, NEW), (NewerTablesProven("a", NEW),)),
            Step(12.0, TICK, (ask("a", 3),)),
            Step(14.0, TICK, (ProofLost("a", 4.5), ask("b", 4))),
            Step(
                14.1,
                TablesVersionChanged(NEW),
                (proven(NEW, 10.7), ProofRegained("a", 3.4)),
            ),
        ],
        id="old-tables-stay-unproven-until-the-newer-ones-arrive",
    ),
    pytest.param(
        [
            *START,
            Step(
                10.1,
                reply(1, Version(2, 99)),
                (proven(Version(2, 99), 9.5), ProofRegained("a", 0.6)),
            ),
        ],
        id="a-proof-of-an-earlier-term-proves-later-tables",
    ),
    pytest.param(
        [*PROVEN, Step(10.6, TablesVersionChanged(Version(2, 1)))],
        id="the-tables-in-force-never-return-to-an-earlier-version",
    ),
]


@pytest.mark.parametrize("steps", [*ASKS, *PROOFS])
def test_a_daemon_asks_and_proves(steps: list[Step]) -> None:
    """Guards against proofs that are younger than stated, and against silent loss."""
    state = TablesProof(LIMIT_S, first_token=1)
    for step in steps:
        outputs = state.handle(step.message, step.at)
        assert [_rounded(each) for each in outputs] == list(step.outputs), step


class RelayStep(NamedTuple):
    """A message at a time, and the outputs that it must cause."""

    at: float
    message: RelayInput
    outputs: tuple[RelayOutput, ...] = ()


ASKED = ProofAskReceived("d", ProofAsk(70))
LED = RelayStep(10.5, LeadershipConfirmed(10.25, NEW), (ProofRegained("c", 0.25),))


@pytest.mark.parametrize(
    "steps",
    [
        pytest.param([RelayStep(10.0, ASKED)], id="no-proof-no-reply"),
        pytest.param(
            [LED, RelayStep(10.75, ASKED, (ProofSent("d", ProofReply(70, NEW, 0.5)),))],
            id="the-leader-replies-from-its-confirmation",
        ),
        pytest.param(
            [LED, RelayStep(14.75, ASKED, (ProofLost("c", 4.5),))],
            id="a-frozen-leader-has-no-proof",
        ),
        pytest.param(
            [
                LED,
                RelayStep(10.6, LeadershipConfirmed(10.0, OLD)),
                RelayStep(10.75, ASKED, (ProofSent("d", ProofReply(70, NEW, 0.5)),)),
            ],
            id="an-older-confirmation-is-ignored",
        ),
        pytest.param(
            [
                RelayStep(10.0, ProofTargetsChanged(("l",)), (ask("l", 1),)),
                RelayStep(10.25, reply(1, NEW, 0.25, "l"), (ProofRegained("l", 0.5),)),
                RelayStep(
                    11.0,
                    ASKED,
                    (ProofSent("d", ProofReply(70, NEW, 1.25)), ask("l", 2)),
                ),
                RelayStep(11.25, ProofTargetsChanged(())),
                RelayStep(14.0, ASKED, (ProofSent("d", ProofReply(70, NEW, 4.25)),)),
                RelayStep(14.25, ASKED, (ProofLost("l", 4.5),)),
            ],
            id="ages-add-up-and-a-proof-outlives-the-leader",
        ),
    ],
)
def test_a_control_instance_answers_from_its_proof(steps: list[RelayStep]) -> None:
    """Guards against replies that hide the time a proof has been on its way."""
    state = ProofRelay("c", LIMIT_S, first_token=1)
    for step in steps:
        outputs = state.handle(step.message, step.at)
        assert [_rounded(each) for each in outputs] == list(step.outputs), step


def _row(address: str, data_centre: str, region: str, *flags: str) -> PeerRow:
    return PeerRow(
        f"10.0.0.{address}:1",
        RowVersion(1, 0),
        int(address),
        data_centre,
        region,
        is_control="control" in flags,
        forward_port=0,
        is_leaving="leaving" in flags,
        servers=(),
    )


OWN = _row("1", "a", "r")
NEAR, REGION, FAR = (
    _row("2", "a", "r", "control"),
    _row("3", "b", "r", "control"),
    _row("4", "c", "s", "control"),
)


@pytest.mark.parametrize(
    ("own", "peers", "expected"),
    [
        (OWN, (FAR, REGION, NEAR), (NEAR, REGION, FAR)),
        (OWN, (FAR, _row("5", "a", "r")), (FAR,)),
        (OWN, (FAR, _row("5", "a", "r", "control", "leaving")), (FAR,)),
        (NEAR, (REGION,), (NEAR, REGION)),
    ],
    ids=["nearest-first", "instances-are-left-out", "leaving-too", "the-own-process"],
)
def test_order_of_control_instances(
    own: PeerRow, peers: tuple[PeerRow, ...], expected: tuple[PeerRow, ...]
) -> None:
    """Guards against questions that cross the links between regions needlessly."""
    found = order_control_instances(own, peers)
    assert found == tuple(row.address for row in expected)


def _rounded(output: ProofOutput | RelayOutput) -> ProofOutput | RelayOutput:
    """Return an output with its times rounded to the step of the tables above."""
    match output:
        case TablesProven():
            proof = output.proof
            return TablesProven(proof._replace(proven_at=round(proof.proven_at, 3)))
        case ProofLost() | ProofRegained():
            return output._replace(age_s=round(output.age_s, 3))
    return output
