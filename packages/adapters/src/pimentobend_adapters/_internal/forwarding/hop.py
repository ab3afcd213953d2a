"""Encode the headers in which daemons describe attempts to each other.

A hop is an HTTP request from the origin of an attempt (the daemon that received the
caller's request) to the server's daemon.
"""

import json
from typing import Annotated
from typing import NamedTuple

import msgspec

from pimentobend_adapters._internal.exceptions import AdapterError
from pimentobend_core._internal.crashes.messages import CrashReport
from pimentobend_core._internal.models.request import AttemptKind

SUBMIT_HEADER = "Pimentobend-Hop"
RESULT_HEADER = "Pimentobend-Hop-Result"

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=86_400_000)]
Rank = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
Demand = Annotated[float, msgspec.Meta(ge=1, le=1_000)]
Probability = Annotated[float, msgspec.Meta(ge=0, le=1)]

_ENCODER = msgspec.json.Encoder()
_DELETE = b"\x7f"  # a control byte that the encoder does not escape


class HopError(AdapterError):
    """A header from another daemon cannot be decoded."""


class HopRequest(NamedTuple):
    """Attempt, as its origin describes it to the server's daemon."""

    attempt_id: str
    server_id: str
    route: str
    priority: Rank
    is_repeatable: bool
    target_latency_ms: Milliseconds
    remaining_ms: Milliseconds  # time until the deadline
    process_id: int  # of the daemon that the attempt is meant for
    is_repeat: bool  # an earlier attempt of the request may have reached a server
    fingerprint: str = ""  # empty if the request cannot be recognised
    crash_reports: tuple[CrashReport, ...] = ()  # that the origin has learnt of
    is_from_client: bool = False
    repeat_share: Probability = 0.0  # that a repeated run of a server sent it
    organisation: str = ""  # that sent the request; empty without one
    is_copy: bool = False  # another attempt of the request is running
    is_call: bool = False  # a backend server sent it while it ran another one
    demand: Demand = 1.0  # requests that it stands for


class HopResult(NamedTuple):
    """Outcome of an attempt, as the server's daemon reports it to the origin."""

    kind: AttemptKind
    reason: str
    crash_reports: tuple[CrashReport, ...] = ()  # what is held against the request
    blocked_s: float = 0.0  # time until the end of the request's block; 0 without one


def encode_hop(value: HopRequest | HopResult) -> str:
    """Return the header value, which is printable ASCII whatever the text in it."""
    encoded = _ENCODER.encode(value)
    if encoded.isascii() and _DELETE not in encoded:
        return encoded.decode("ascii")
    return json.dumps(json.loads(encoded), separators=(",", ":"))


def decode_submit(value: str) -> HopRequest:
    """Decode a header value; raise ``HopError`` if it is malformed."""
    try:
        return msgspec.json.decode(value, type=HopRequest)
    except msgspec.MsgspecError as error:
        raise HopError(
            f"malformed {SUBMIT_HEADER} header", context=value[:80]
        ) from error


def decode_result(value: str) -> HopResult:
    """Decode a header value; raise ``HopError`` if it is malformed."""
    try:
        return msgspec.json.decode(value, type=HopResult)
    except msgspec.MsgspecError as error:
        raise HopError(
            f"malformed {RESULT_HEADER} header", context=value[:80]
        ) from error
