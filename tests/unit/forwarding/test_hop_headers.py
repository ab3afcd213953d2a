"""Check that the headers between daemons can hold any text.

Guards against names beyond Latin-1 that no header can carry, so that requests on their
routes reached no other machine.
"""

import pytest

from pimentobend_adapters._internal.forwarding.hop import HopRequest
from pimentobend_adapters._internal.forwarding.hop import HopResult
from pimentobend_adapters._internal.forwarding.hop import decode_result
from pimentobend_adapters._internal.forwarding.hop import decode_submit
from pimentobend_adapters._internal.forwarding.hop import encode_hop
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.models.request import AttemptKind

TEXTS = {
    "ASCII": "booking",
    "Latin-1": "réservé",
    "Urdu": "بکنگ",
    "emoji": "\N{CAT}\N{WHITE HEAVY CHECK MARK}",
    "line separator": "a\u2028b",
    "line breaks": "a\r\nX: y",
    "control characters": "a\x00b\x7f\x85",
    "DEL": "a\x7fb",
    "quotes": 'a"b\\c',
    "long": "ß" * 150,
}


@pytest.mark.parametrize("text", TEXTS.values(), ids=TEXTS)
def test_any_text_survives_in_a_header(text: str) -> None:
    reports = (CrashReport(text, text, 1, 2),)
    hop = HopRequest(text, text, text, 1, True, 1, 2, 3, False, text, reports)
    hop = hop._replace(organisation=text)
    result = HopResult(AttemptKind.DECLINED, text, reports)
    for value in (encode_hop(hop), encode_hop(result)):
        assert value.isascii()
        assert value.isprintable()
    assert decode_submit(encode_hop(hop)) == hop
    assert decode_result(encode_hop(result)) == result
