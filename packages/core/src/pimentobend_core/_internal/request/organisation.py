"""Find the organisation that sent a request by the request's API key."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.models.request import Ran
from pimentobend_core._internal.models.request import Refusal
from pimentobend_core._internal.models.request import RefusalReason
from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.models.tables import Organisation
from pimentobend_core._internal.pipes import Filter
from pimentobend_core._internal.ports import TablesPort
from pimentobend_core._internal.request.stages import Routed

_CREDENTIALS = "authorization"


class OrganisationFilter(Filter[Routed, Routed]):
    """Adds the organisation that holds a request's API key, or refuses the request.

    A request needs no key if its route accepts anonymous requests, or if a backend
    server on this machine sent it. A key that is sent has to be known in any case, as
    requests with a revoked key must not run. Without organisations in the tables, all
    requests pass unchanged.

    ``header`` is the name of the request header that states the organisation.
    """

    def __init__(self, tables: TablesPort, header: str) -> None:
        self._tables = tables
        self._header = header
        self._replaced = frozenset((_CREDENTIALS, _normalise(header)))

    def apply(self, value: Routed) -> Result[Routed, Refusal]:
        """Return the request with its organisation and priority, or a 401 refusal."""
        if not self._tables.current().organisations:
            return Success(value)
        head = value.head
        if not head.api_key_digest:
            # Clients may run on this machine, too; some can't be told from servers.
            may_be_call = head.is_local and not value.sender.is_client
            if value.route.allow_anonymous or may_be_call:
                return Success(self._identify(value, Organisation("")))
            return Failure(_refuse("the request has no API key"))
        organisation = self._tables.find_organisation(head.api_key_digest)
        if organisation is None:
            return Failure(_refuse("the API key is malformed or not known"))
        return Success(self._identify(value, organisation))

    def _identify(self, value: Routed, organisation: Organisation) -> Routed:
        headers: Headers = tuple(
            (name, content)
            for name, content in value.head.headers
            if _normalise(name) not in self._replaced
        )
        if organisation.name:
            headers = (*headers, (self._header, organisation.name))
        return value._replace(
            head=value.head._replace(headers=headers, organisation=organisation.name),
            organisation=organisation.name,
            priority=organisation.priority,
        )


def name_sender(tables: TablesPort, head: RequestHead) -> str:
    """Return the organisation that logs name as a request's sender.

    It is the holder of the request's key, and empty without a known key. While the
    tables hold no organisations, it is the one that the request states.
    """
    if not tables.current().organisations:
        return head.organisation
    organisation = tables.find_organisation(head.api_key_digest)
    return "" if organisation is None else organisation.name


def _normalise(name: str) -> str:
    """Return a name in the form that servers compare; many take ``_`` for ``-``."""
    return name.lower().replace("_", "-")


def _refuse(detail: str) -> Refusal:
    return Refusal(401, Ran.NOT_RUN, RefusalReason.UNKNOWN_KEY, detail)
