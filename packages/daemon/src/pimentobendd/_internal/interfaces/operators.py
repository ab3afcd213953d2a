"""Serve operators over HTTP: the tables and the state of this process."""

import json
import re
from collections.abc import Callable
from collections.abc import Mapping
from typing import NamedTuple
from urllib.parse import parse_qs

from returns.result import Failure

from pimentobend_core._internal.configuration.checks import check_tables
from pimentobend_core._internal.models.tables import OrganisationRow
from pimentobend_core._internal.models.tables import Tables
from pimentobendd._internal.control_port import ChangeRequest
from pimentobendd._internal.control_port import ControlPort
from pimentobendd._internal.control_port import Version
from pimentobendd._internal.interfaces.replies import MAX_DOCUMENT_BYTES
from pimentobendd._internal.interfaces.replies import Environ
from pimentobendd._internal.interfaces.replies import Reply
from pimentobendd._internal.interfaces.replies import StartResponse
from pimentobendd._internal.interfaces.replies import make_error
from pimentobendd._internal.interfaces.replies import read_document
from pimentobendd._internal.interfaces.replies import write_reply
from pimentobendd._internal.keys import is_authorized

CHANGE_ID_PATTERN = re.compile(r"[!-~]{1,64}")
VERSION_PATTERN = re.compile(r"([0-9]{1,18})\.([0-9]{1,18})")

Query = Mapping[str, str]
QueryHandler = Callable[[Query], Reply]


class OperatorsPorts(NamedTuple):
    """Functions of the process that answer the operators' requests."""

    control: ControlPort | None  # applies changes; None without the role control
    tables: Callable[[], Tables]  # returns the tables in force
    get_handlers: Mapping[str, QueryHandler]  # by path
    post_handlers: Mapping[str, QueryHandler]  # by path


class OperatorsInterface:
    """WSGI application for operators."""

    def __init__(self, ports: OperatorsPorts, token: bytes | None) -> None:
        self._ports = ports
        self._token = token

    def __call__(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        """Answer one request."""
        return write_reply(self._answer(environ), start_response)

    def _answer(self, environ: Environ) -> Reply:
        if not is_authorized(environ.get("HTTP_AUTHORIZATION"), self._token):
            hint = "send the operators' token in an Authorization: Bearer header"
            return make_error(401, "the token is missing or wrong", hint=hint)
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        query = _read_query(environ)
        if path == "/v1/tables" and method == "PUT":
            return self._apply(environ, query)
        if path == "/v1/tables" and method == "GET":
            return Reply(200, describe_tables(self._ports.tables()))
        if path in self._ports.get_handlers and method == "GET":
            return self._ports.get_handlers[path](query)
        if path in self._ports.post_handlers and method == "POST":
            return self._ports.post_handlers[path](query)
        return make_error(
            404,
            f"unknown method or path: {method} {path}",
            hint="see docs/INTERFACES.md",
        )

    def _apply(self, environ: Environ, query: Query) -> Reply:
        if self._ports.control is None:
            hint = "send the change to an instance with the role control"
            return make_error(421, "this instance does not accept changes", hint=hint)
        document = read_document(environ)
        if document is None:
            return make_error(
                400,
                f"Content-Length {environ.get('CONTENT_LENGTH')!r} is malformed,"
                f" above {MAX_DOCUMENT_BYTES} or more than the body has",
            )
        version = VERSION_PATTERN.fullmatch(query.get("version", ""))
        change_id = query.get("change", "")
        if version is None or not CHANGE_ID_PATTERN.fullmatch(change_id):
            hint = "set version=<term>.<index> and change=<id of 1 to 64 characters>"
            return make_error(
                400,
                f"version {query.get('version')!r} or change {change_id!r}"
                " is missing or malformed",
                (),
                hint,
            )
        try:
            checked = check_tables(document.decode())
        except UnicodeDecodeError as error:
            return make_error(400, f"the tables are not UTF-8: {error}")
        if isinstance(checked, Failure):
            faults = tuple(str(fault) for fault in checked.failure())
            return make_error(422, "the tables have faults", faults)
        expected = Version(int(version[1]), int(version[2]))
        request = ChangeRequest(checked.unwrap(), expected, change_id)
        return _reply_to_change(self._ports.control, request)


def _reply_to_change(control: ControlPort, request: ChangeRequest) -> Reply:
    result = control.apply(request)
    if isinstance(result, Failure):
        refused = result.failure()
        return make_error(refused.status, refused.message, hint=refused.hint)
    return Reply(200, {"version": str(result.unwrap())})


def describe_tables(tables: Tables) -> Mapping[str, object]:
    """Return the tables as the JSON document for operators."""
    document: dict[str, object] = {
        "version": str(Version(tables.term, tables.log_index)),
        "routes": [route._asdict() for route in tables.routes],
        "pools": [pool._asdict() for pool in tables.pools],
    }
    if tables.organisations:
        rows = sorted(tables.organisations, key=lambda row: row.name)
        columns = OrganisationRow.__annotations__
        document["organisations"] = [
            {column: getattr(row, column) for column in columns} for row in rows
        ]
    return document


def _read_query(environ: Environ) -> Query:
    parsed = parse_qs(environ.get("QUERY_STRING", ""))
    return {name: values[0] for name, values in parsed.items()}


def format_dump(document: Mapping[str, object]) -> str:
    """Format a state dump as one line of JSON."""
    return json.dumps(document, ensure_ascii=False, default=str, sort_keys=True)
