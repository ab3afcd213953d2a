"""Test which requests get an organisation and which are refused."""

from typing import NamedTuple

import pytest
from fake_ports import FakeBody
from fake_ports import FakeTables
from fake_ports import make_head
from fake_ports import make_route
from returns.result import Failure

from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import Sender
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.request.organisation import OrganisationFilter
from pimentobend_core._internal.request.organisation import name_sender
from pimentobend_core._internal.request.stages import Routed
from pimentobend_core._internal.utils.api_keys import digest_key

ORGANISATIONS = (
    Organisation("museum", ("k1", "k2"), priority=0),
    Organisation("archive", ("k3",)),
)
HEADER = "Org-Name"
SENT = (
    ("Authorization", "Bearer k1"),
    ("authorization", "again"),
    ("X-Mine", "1"),
    ("org-name", "forged"),
    ("ORG_NAME", "forged"),
)
KEPT = (("X-Mine", "1"),)


class Case(NamedTuple):
    """A request and its organisation, which is None if the request is refused."""

    name: str
    key: str
    organisation: str | None
    priority: int | None = None
    is_anonymous: bool | None = None
    is_local: bool = False
    is_client: bool = False


CASES = [
    Case("known key", "k1", "museum", 0),
    Case("second key", "k2", "museum", 0),
    Case("without a priority", "k3", "archive"),
    Case("unknown key", "k4", None),
    Case("no key", "", None),
    Case("no key, stated as not anonymous", "", None, is_anonymous=False),
    Case("anonymous", "", "", is_anonymous=True),
    Case("anonymous route, known key", "k1", "museum", 0, is_anonymous=True),
    Case("anonymous route, revoked key", "k4", None, is_anonymous=True),
    Case("call of a local server", "", "", is_local=True),
    Case("local client without a key", "", None, is_local=True, is_client=True),
    Case("local, known key", "k3", "archive", is_local=True),
    Case("local, unknown key", "k4", None, is_local=True),
]


def make_routed(case: Case) -> Routed:
    route = make_route(repeatable=True)._replace(
        allow_anonymous=case.is_anonymous, priority=7
    )
    digest = digest_key(case.key) if case.key else b""
    head = make_head()._replace(
        headers=SENT, api_key_digest=digest, is_local=case.is_local
    )
    sender = Sender(is_client=case.is_client)
    return Routed(head, FakeBody(), route, "p", sender=sender)


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_organisation_of_a_request(case: Case) -> None:
    """Guard against forged organisations and against keys that are passed on."""
    routed = make_routed(case)
    tables = FakeTables(routed.route, ORGANISATIONS)
    result = OrganisationFilter(tables, HEADER).apply(routed)
    if case.organisation is None:
        refusal = result.failure()
        assert refusal[:3] == (401, Ran.NOT_RUN, RefusalReason.UNKNOWN_KEY)
        assert refusal.retry_after_s is None
        return
    found = result.unwrap()
    stated = ((HEADER, case.organisation),) if case.organisation else ()
    assert found.head.headers == KEPT + stated
    assert found.head.organisation == found.organisation == case.organisation
    assert found.priority == case.priority


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_logs_name_the_holder_of_the_key(case: Case) -> None:
    """Guard against log lines that name the organisation that a client claims."""
    routed = make_routed(case)
    tables = FakeTables(routed.route, ORGANISATIONS)
    assert name_sender(tables, routed.head) == (case.organisation or "")
    assert name_sender(FakeTables(routed.route), routed.head) == "org"


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_tables_without_organisations_pass_each_request_unchanged(case: Case) -> None:
    routed = make_routed(case)
    result = OrganisationFilter(FakeTables(routed.route), HEADER).apply(routed)
    assert not isinstance(result, Failure)
    assert result.unwrap() == routed
