"""Check the encoding of messages between observers and the floor owner."""

import zlib

import pytest
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from pimentobend_core._internal.exceptions import CodecError
from pimentobend_core._internal.health.messages import Ejection
from pimentobend_core._internal.health.messages import EjectionsGranted
from pimentobend_core._internal.health.messages import EvidenceReported
from pimentobend_core._internal.health.messages import Reason
from pimentobend_core._internal.health.messages import ServerEvidence
from pimentobend_core._internal.health.wire import BATCH_BYTES_MAX
from pimentobend_core._internal.health.wire import decode_grants
from pimentobend_core._internal.health.wire import decode_reports
from pimentobend_core._internal.health.wire import encode_grants
from pimentobend_core._internal.health.wire import encode_reports

EVIDENCE = ServerEvidence("s1", 7, 0.5, 0.25, Reason.SLOW)
REPORT = EvidenceReported("p", "s", "i1", 12.5, 3, 4, (EVIDENCE,))
GRANT = EjectionsGranted(
    "p", "s", "i1", 3, 4, 12.5, 6.0, (Ejection("s1", 7, Reason.SLOW),), True
)


@pytest.mark.parametrize("count", [0, 1, 60])
def test_encoded_batches_decode_to_the_same(count: int) -> None:
    reports = (REPORT,) * count
    grants = (GRANT,) * count
    assert decode_reports(encode_reports(reports)) == reports
    assert decode_grants(encode_grants(grants)) == grants


INVALID = [b"", b"x", encode_reports((REPORT,))[:-1], zlib.compress(b"\x00" * 9)]
INVALID.append(zlib.compress(b"\x00" * (BATCH_BYTES_MAX + 1)))


@pytest.mark.parametrize("payload", INVALID, ids=["empty", "x", "cut", "other", "bomb"])
def test_invalid_batches_are_rejected(payload: bytes) -> None:
    with pytest.raises(CodecError):
        decode_reports(payload)


@given(strategies.binary(max_size=64))
@settings(derandomize=True)
def test_arbitrary_bytes_raise_codec_error(payload: bytes) -> None:
    with pytest.raises(CodecError):
        decode_grants(payload)
