"""Judge whether what a backend server sent is its answer to a request.

A faulty server may repeat an earlier answer on a kept connection, where the answer to
the next request is expected. The request id that servers echo tells them apart.
"""

import enum
from typing import NamedTuple

from pimentobend_adapters._internal.http.headers import HeaderNames
from pimentobend_adapters._internal.http.headers import find_header
from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import Ran

SUCCESS = range(200, 300)
MISDIRECTED = 421


class Verdict(enum.Enum):
    """What the head of an answer is taken for."""

    ANSWER = "answer"
    REFUSAL = "refusal"  # the server states that it did not run the request
    FOREIGN = "foreign"  # not the answer to this request; it may have run


class Exchange(NamedTuple):
    """A request and the head of what came back for it."""

    request_id: str
    status: int
    headers: Headers
    was_reused: bool  # the connection had carried an earlier request


class Judgement(NamedTuple):
    """Verdict on an answer, and whether its connection may carry another request."""

    verdict: Verdict
    may_reuse: bool


_FOREIGN = Judgement(Verdict.FOREIGN, may_reuse=False)


def judge(exchange: Exchange, names: HeaderNames) -> Judgement:
    """Judge an answer by its head.

    An answer that names no request is accepted on a new connection only, as nothing
    else can arrive there, and never as a refusal. A refusal ends its connection: the
    request may be sent to the server again, under the same id, and a copy of the
    refusal must not arrive there.
    """
    answered_id = find_header(exchange.headers, names.request_id)
    is_refusal = _is_refusal(exchange, names)
    if answered_id is None:
        if exchange.was_reused or is_refusal:
            return _FOREIGN
    elif answered_id != exchange.request_id:
        return _FOREIGN
    if names.stamp and not _is_stamped(exchange, names):
        return _FOREIGN
    verdict = Verdict.REFUSAL if is_refusal else Verdict.ANSWER
    return Judgement(verdict, may_reuse=answered_id is not None and not is_refusal)


def _is_refusal(exchange: Exchange, names: HeaderNames) -> bool:
    if names.not_run:
        if find_header(exchange.headers, names.not_run) is not None:
            return True
    elif find_header(exchange.headers, names.ran) == Ran.NOT_RUN.value:
        return True
    return bool(names.expected_server) and exchange.status == MISDIRECTED


def _is_stamped(exchange: Exchange, names: HeaderNames) -> bool:
    """Return whether an answer is the server's own, as it sent it."""
    if find_header(exchange.headers, "Content-Encoding") is not None:
        return False
    is_from_server = find_header(exchange.headers, names.stamp) is not None
    return is_from_server or exchange.status not in SUCCESS
