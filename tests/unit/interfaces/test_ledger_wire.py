"""Check the encoding of messages between daemons and ledger replicas."""

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.ledger.messages import Claimed
from pimentobend_core._internal.ledger.messages import ClaimId
from pimentobend_core._internal.ledger.messages import ClaimRefusal
from pimentobend_core._internal.ledger.messages import ClaimRefused
from pimentobend_core._internal.ledger.messages import ClaimWork
from pimentobend_core._internal.ledger.messages import Command
from pimentobend_core._internal.ledger.messages import CommandResult
from pimentobend_core._internal.ledger.messages import LookUpWork
from pimentobend_core._internal.ledger.messages import Settled
from pimentobend_core._internal.ledger.messages import SettleWork
from pimentobend_core._internal.ledger.messages import WorkFound
from pimentobend_core._internal.ledger.messages import WorkState
from pimentobend_core._internal.ledger.service_messages import LedgerReply
from pimentobend_core._internal.ledger.service_messages import LedgerRequest
from pimentobend_core._internal.ledger.service_messages import Unserved
from pimentobend_core._internal.ledger.service_messages import UnservedReason
from pimentobend_core._internal.ledger.wire import decode_reply
from pimentobend_core._internal.ledger.wire import decode_request
from pimentobend_core._internal.ledger.wire import encode_reply
from pimentobend_core._internal.ledger.wire import encode_request
from pimentobend_core._internal.models.request import Ran

CLAIM_ID = ClaimId("instance-1", 7, 8)
COMMANDS: list[Command] = [
    ClaimWork(b"d" * 16, CLAIM_ID, b"f", 2.5),
    SettleWork(b"d" * 16, CLAIM_ID, Ran.RAN, 200),
    LookUpWork(b"d" * 16),
]
RESULTS: list[CommandResult | Unserved] = [
    Claimed(CLAIM_ID),
    ClaimRefused(ClaimRefusal.ALREADY_RAN, 200),
    Settled(CLAIM_ID),
    WorkFound(WorkState.UNKNOWN, 0, "instance-1", 3.5),
    Unserved(UnservedReason.NOT_LEADER, "127.0.0.1:1"),
    Unserved(UnservedReason.LOST, None),
]


@pytest.mark.parametrize("command", COMMANDS, ids=lambda c: type(c).__name__)
def test_requests_round_trip(command: Command) -> None:
    request = LedgerRequest("sender", 3, command)
    decoded = decode_request(encode_request(2, request), "sender")
    assert (decoded.group, decoded.request) == (2, request)


@pytest.mark.parametrize("result", RESULTS, ids=lambda r: type(r).__name__)
def test_replies_round_trip(result: CommandResult | Unserved) -> None:
    reply = LedgerReply("recipient", 3, result)
    assert decode_reply(encode_reply(reply), "recipient") == reply


@given(strategies.binary(max_size=64))
@settings(derandomize=True)
def test_malformed_messages_are_refused(payload: bytes) -> None:
    with pytest.raises(CodecError):
        decode_request(payload, "sender")
    with pytest.raises(CodecError):
        decode_reply(payload, "recipient")
