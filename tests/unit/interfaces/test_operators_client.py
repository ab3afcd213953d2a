"""Test answers to the operators' client that break the grammar of HTTP.

The client read a document from answers whose end is in doubt.
"""

from collections.abc import Iterator

import pytest
from answer_table import MALFORMED_CHUNKS
from answer_table import MALFORMED_HEADS
from answer_table import TRUNCATED_TRAILERS
from answer_table import VALID
from answer_table import AnswerCase
from raw_backend import RawBackend

from pimentobend._internal.exceptions import UnreachableError
from pimentobend._internal.operators import OperatorsClient

MALFORMED = [*MALFORMED_HEADS, *MALFORMED_CHUNKS, *TRUNCATED_TRAILERS]
DOCUMENTS = [case for case in VALID if case.content]
CASES = [*MALFORMED, *DOCUMENTS]


def _name(case: AnswerCase) -> str:
    return case.name


@pytest.fixture(scope="module")
def daemon() -> Iterator[RawBackend]:
    """Run a server that answers with the case that a query names."""
    answers = {f"tables?case={n}": each.encode(b"") for n, each in enumerate(CASES)}
    backend = RawBackend(answers)
    yield backend
    backend.close()


@pytest.fixture
def client(daemon: RawBackend) -> OperatorsClient:
    """Return a client without connections, as the server closes each of them."""
    return OperatorsClient(f"127.0.0.1:{daemon.port}", None)


@pytest.mark.parametrize("method", ["get", "post"])
@pytest.mark.parametrize("case", MALFORMED, ids=_name)
def test_a_malformed_answer_is_no_document(
    client: OperatorsClient, case: AnswerCase, method: str
) -> None:
    with pytest.raises(UnreachableError):
        getattr(client, method)("/v1/tables", case=str(CASES.index(case)))


@pytest.mark.parametrize("case", DOCUMENTS, ids=_name)
def test_a_valid_answer_is_read(client: OperatorsClient, case: AnswerCase) -> None:
    document = client.get("/v1/tables", case=str(CASES.index(case)))
    assert document in ({}, 1234567890)
