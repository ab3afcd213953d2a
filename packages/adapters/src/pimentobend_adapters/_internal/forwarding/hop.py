"""Encode what two daemons tell each other about an attempt."""

from typing import NamedTuple

import msgspec

from pimentobend_adapters._internal.exceptions import AdapterError
from pimentobend_core._internal.models.request import AttemptKind

SUBMIT_HEADER = "Pimentobend-Hop"
RESULT_HEADER = "Pimentobend-Hop-Result"

_ENCODER = msgspec.json.Encoder()


class HopError(AdapterError):
    """Report a header between daemons that cannot be read."""


class HopSubmit(NamedTuple):
    """Describe an attempt to the daemon beside its server."""

    attempt_id: str
    server_id: str
    route: str
    priority: int
    is_repeatable: bool
    target_ms: int
    remaining_ms: int  # until the deadline
    process_id: int  # of the daemon that is meant
    is_repeat: bool  # an earlier attempt of the request may have reached a server


class HopResult(NamedTuple):
    """Describe the end of an attempt to its origin."""

    kind: AttemptKind
    reason: str


def encode_hop(value: HopSubmit | HopResult) -> str:
    """Return the value of a header."""
    return _ENCODER.encode(value).decode()


def decode_submit(value: str) -> HopSubmit:
    """Read a header; raise ``HopError``."""
    try:
        return msgspec.json.decode(value, type=HopSubmit)
    except msgspec.MsgspecError as error:
        raise HopError("a hop's request does not decode", context=value[:80]) from error


def decode_result(value: str) -> HopResult:
    """Read a header; raise ``HopError``."""
    try:
        return msgspec.json.decode(value, type=HopResult)
    except msgspec.MsgspecError as error:
        raise HopError("a hop's result does not decode", context=value[:80]) from error
