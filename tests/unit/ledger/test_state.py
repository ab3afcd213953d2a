"""Check the result of each order of ledger commands."""

import pytest

from pimentobend_core._internal.ledger.codec import decode_batch
from pimentobend_core._internal.ledger.codec import decode_results
from pimentobend_core._internal.ledger.codec import decode_snapshot
from pimentobend_core._internal.ledger.codec import encode_batch
from pimentobend_core._internal.ledger.codec import encode_results
from pimentobend_core._internal.ledger.codec import encode_snapshot
from pimentobend_core._internal.ledger.messages import Claimed
from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import ClaimRefusal
from pimentobend_core._internal.ledger.messages import ClaimRefused
from pimentobend_core._internal.ledger.messages import ClaimWork
from pimentobend_core._internal.ledger.messages import Command
from pimentobend_core._internal.ledger.messages import CommandBatch
from pimentobend_core._internal.ledger.messages import CommandResult
from pimentobend_core._internal.ledger.messages import LookUpWork
from pimentobend_core._internal.ledger.messages import Settled
from pimentobend_core._internal.ledger.messages import SettleWork
from pimentobend_core._internal.ledger.messages import WorkFound
from pimentobend_core._internal.ledger.messages import WorkState
from pimentobend_core._internal.ledger.packing import unpack_entry
from pimentobend_core._internal.ledger.state import LedgerState
from pimentobend_core._internal.ledger.store import GENERATION_S
from pimentobend_core._internal.ledger.store import KEEP_S
from pimentobend_core._internal.models.request import Ran

KEY = b"k" * 16
FINGERPRINT, OTHER_FINGERPRINT = b"p" * 8, b"q" * 8
A = ClaimId("daemon-a", 1, 5)
B = ClaimId("daemon-b", 1, 1)
OUTCOME_TIMEOUT_S = 10.0
RAN, NOT_RUN, UNKNOWN = Ran.RAN, Ran.NOT_RUN, Ran.UNKNOWN
LOOK_UP = LookUpWork(KEY)


def _claim(claim_id: ClaimId, fingerprint: bytes = FINGERPRINT) -> ClaimWork:
    return ClaimWork(KEY, claim_id, fingerprint, OUTCOME_TIMEOUT_S)


def _settle(claim_id: ClaimId, ran: Ran, status: int = 0) -> SettleWork:
    return SettleWork(KEY, claim_id, ran, status)


def _refused(reason: ClaimRefusal, status: int = 0) -> ClaimRefused:
    return ClaimRefused(reason, status)


def _apply(steps: list[tuple[float, Command]]) -> list[CommandResult]:
    state = LedgerState()
    results = []
    for elapsed_s, command in steps:
        batch = decode_batch(encode_batch(CommandBatch(elapsed_s, (command,))))
        results.extend(decode_results(encode_results(state.apply(batch))))
        state = decode_snapshot(encode_snapshot(state))
    return results


@pytest.mark.parametrize(
    ("before", "last", "expected"),
    [
        pytest.param([], _claim(A), Claimed(A), id="first"),
        pytest.param([_claim(A)], _claim(A), Claimed(A), id="resent"),
        pytest.param(
            [_claim(A)], _claim(B), _refused(ClaimRefusal.IN_PROGRESS), id="second"
        ),
        pytest.param(
            [_claim(A), _settle(A, RAN, 201)],
            _claim(B),
            _refused(ClaimRefusal.ALREADY_RAN, 201),
            id="after-ran",
        ),
        pytest.param(
            [_claim(A), _settle(A, NOT_RUN)], _claim(B), Claimed(B), id="after-release"
        ),
        pytest.param(
            [_claim(A), _settle(A, UNKNOWN)],
            _claim(B),
            _refused(ClaimRefusal.UNKNOWN),
            id="after-unknown",
        ),
        pytest.param(
            [_claim(A)],
            _claim(B, OTHER_FINGERPRINT),
            _refused(ClaimRefusal.KEY_REUSED),
            id="other-request",
        ),
        pytest.param(
            [_claim(A), _settle(A, NOT_RUN)],
            _claim(A),
            _refused(ClaimRefusal.CLAIM_ENDED),
            id="copy-after-release",
        ),
        pytest.param(
            [_settle(A, NOT_RUN)],
            _claim(A),
            _refused(ClaimRefusal.CLAIM_ENDED),
            id="release-overtook-claim",
        ),
        pytest.param(
            [_claim(B), _settle(A, NOT_RUN), _settle(B, NOT_RUN)],
            _claim(A),
            _refused(ClaimRefusal.CLAIM_ENDED),
            id="release-overtook-claim-while-held",
        ),
        pytest.param(
            [_claim(A), _settle(A, RAN)],
            _claim(A),
            _refused(ClaimRefusal.CLAIM_ENDED),
            id="copy-after-ran",
        ),
        pytest.param(
            [_claim(A), _settle(A, NOT_RUN), _claim(B), _settle(A, NOT_RUN)],
            _claim(ClaimId("daemon-c", 1, 1)),
            _refused(ClaimRefusal.IN_PROGRESS),
            id="copy-of-a-release",
        ),
        pytest.param(
            [_claim(A), _settle(A, NOT_RUN), _claim(B), _settle(B, RAN, 200)],
            _claim(A),
            _refused(ClaimRefusal.CLAIM_ENDED),
            id="copy-of-a-released-claim",
        ),
        pytest.param(
            [_claim(A), _settle(A, RAN, 201), _settle(A, NOT_RUN)],
            LOOK_UP,
            WorkFound(WorkState.RAN, 201, "daemon-a", 0.0),
            id="release-after-ran",
        ),
        pytest.param(
            [_claim(A), _settle(A, UNKNOWN), _settle(A, NOT_RUN)],
            LOOK_UP,
            WorkFound(WorkState.UNKNOWN, 0, "daemon-a", 0.0),
            id="release-after-unknown",
        ),
        pytest.param(
            [_claim(A), _settle(A, UNKNOWN), _settle(A, RAN, 200)],
            LOOK_UP,
            WorkFound(WorkState.RAN, 200, "daemon-a", 0.0),
            id="ran-after-unknown",
        ),
        pytest.param(
            [_settle(A, RAN, 200)],
            LOOK_UP,
            WorkFound(WorkState.RAN, 200, "daemon-a", 0.0),
            id="outcome-without-claim",
        ),
        pytest.param([_claim(A)], _settle(B, RAN), Settled(B), id="not-the-holder"),
        pytest.param(
            [_claim(A), _settle(B, RAN)],
            LOOK_UP,
            WorkFound(WorkState.CLAIMED, 0, "daemon-a", 0.0),
            id="outcome-of-another-claim",
        ),
        pytest.param(
            [], LOOK_UP, WorkFound(WorkState.FREE, 0, "", 0.0), id="look-up-of-nothing"
        ),
    ],
)
def test_results_by_order(
    before: list[Command], last: Command, expected: CommandResult
) -> None:
    results = _apply([(0.0, command) for command in [*before, last]])
    assert results[-1] == expected


@pytest.mark.parametrize(
    ("before", "elapsed_s", "last", "expected"),
    [
        (
            [_claim(A)],
            OUTCOME_TIMEOUT_S - 1,
            _claim(B),
            _refused(ClaimRefusal.IN_PROGRESS),
        ),
        ([_claim(A)], OUTCOME_TIMEOUT_S, _claim(B), _refused(ClaimRefusal.UNKNOWN)),
        (
            [_claim(A)],
            OUTCOME_TIMEOUT_S,
            LOOK_UP,
            WorkFound(WorkState.UNKNOWN, 0, "daemon-a", OUTCOME_TIMEOUT_S),
        ),
        (
            [_claim(A), _settle(A, RAN, 201)],
            KEEP_S - 1,
            _claim(B),
            _refused(ClaimRefusal.ALREADY_RAN, 201),
        ),
        (
            [_claim(A), _settle(A, UNKNOWN)],
            KEEP_S - 1,
            _claim(B),
            _refused(ClaimRefusal.UNKNOWN),
        ),
        (
            [_claim(A), _settle(A, RAN, 201)],
            -KEEP_S,
            _claim(B),
            _refused(ClaimRefusal.ALREADY_RAN, 201),
        ),
    ],
)
def test_results_by_age(
    before: list[Command], elapsed_s: float, last: Command, expected: CommandResult
) -> None:
    steps = [(0.0, command) for command in before]
    assert _apply([*steps, (elapsed_s, last)])[-1] == expected


def test_entries_expire() -> None:
    steps: list[tuple[float, Command]] = [(0.0, _claim(A)), (0.0, _settle(A, RAN))]
    steps += [(GENERATION_S, LookUpWork(b"x" * 16))] * 13
    assert _apply([*steps, (0.0, _claim(B))])[-1] == Claimed(B)


@pytest.mark.parametrize("releases", [1, 8, 20])
def test_number_of_released_claims_is_bounded(releases: int) -> None:
    state = LedgerState()
    for number in range(releases):
        claim_id = ClaimId(f"daemon-{number}", 1, 1)
        state.apply(CommandBatch(0.0, (_claim(claim_id), _settle(claim_id, NOT_RUN))))
    ((_, entries),) = state.export()
    assert len(unpack_entry(entries[KEY]).released) == min(releases, 8)
