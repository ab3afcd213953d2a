"""Check the interfaces of a daemon with malformed and refused requests."""

import json
import pathlib
from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

import pytest
from processes import Fleet
from processes import call
from processes import wait_until
from raw_backend import ECHO
from raw_backend import RawBackend
from raw_backend import exchange
from settings_of import instance_settings

TOKEN = "operators-token-0123456789"
BEARER = {"Authorization": f"Bearer {TOKEN}"}
ROUTE = {"name": "raw", "path": "/raw", "pool": "raw", "repeatable": False}
TABLES = {"routes": [ROUTE], "pools": [{"name": "raw", "service": "raw"}]}

LARGE = 300_000
DIGITS = b"9" * 5000  # more than ``int`` reads
ANSWERS = {
    "fine": b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\nConnection: close, X-Hop\r\n"
    b"X-Hop: 1\r\nX-End: 1\r\nSet-Cookie: a\r\nSet-Cookie: b\r\n\r\nfine",
    "short": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine",
    "short-large": b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % LARGE
    + b"x" * (LARGE - 1),
    "short-chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nfine\r\n",
    "no-chunk-size": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"zz\r\nfine\r\n0\r\n\r\n",
    "no-chunk": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "huge-load": b"HTTP/1.1 200 OK\r\nPimentobend-Load: %s/1\r\n" % DIGITS
    + b"Content-Length: 4\r\n\r\nfine",
    "chunked": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"4\r\nfine\r\n0\r\n\r\n",
    "refuses": b"HTTP/1.1 503 Busy\r\nPimentobend-Ran: not-run\r\n"
    b"Pimentobend-Request-Id: " + ECHO + b"\r\nContent-Length: 0\r\n\r\n",
    "refuses-unnamed": b"HTTP/1.1 503 Busy\r\nPimentobend-Ran: not-run\r\n"
    b"Content-Length: 0\r\n\r\n",
    "nonsense": b"nonsense\r\n\r\n",
    "silent": b"",
}


class Site(NamedTuple):
    """One daemon with all roles in front of one raw backend server."""

    listen: dict[str, str]
    backend: RawBackend
    process: Any


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    """Start the daemon, announce the server and apply the tables."""
    folder: pathlib.Path = tmp_path_factory.mktemp("site")
    fleet = Fleet(folder)
    backend = RawBackend(ANSWERS)
    token_file = folder / "token"
    token_file.write_text(TOKEN)
    settings = instance_settings("all-1", [])
    listen = settings["listen"]
    settings |= {
        "roles": ["instance", "control"],
        "control": [listen["link"]],
        "data_folder": str(folder / "data"),
        "operator_token_file": str(token_file),
    }
    process = fleet.start_daemon(settings)
    document = json.dumps(_announcement(port=backend.port)).encode()
    servers = f"http://{listen['servers']}"
    assert call("POST", f"{servers}/announce", document).status == 200
    tables = folder / "tables.json"
    tables.write_text(json.dumps(TABLES))
    operators = f"--operators={listen['operators']}"
    token = f"--token_file={token_file}"
    wait_until(
        lambda: fleet.run_client("apply", operators, token, str(tables)).returncode == 0
    )
    url = f"http://{listen['callers']}/raw/fine"
    wait_until(lambda: call("GET", url).status == 200)
    yield Site(listen, backend, process)
    fleet.stop()
    backend.close()


def _announcement(**changes: Any) -> dict[str, Any]:
    return {
        "server_id": "raw-1",
        "service": "raw",
        "host": "127.0.0.1",
        "port": 1,
        "slots": 6,
        "data_centre": "nord-a",
        "region": "nord",
        "state": "ready",
        "incarnation": 1,
        "lease_s": 60,
        **changes,
    }


GET = b"GET /raw/fine HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
POST = b"POST /raw/fine HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
BAD_REQUESTS = [
    ("two lengths", POST + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400),
    ("negative length", POST + b"Content-Length: -1\r\n\r\n", 400),
    (
        "length and chunks",
        POST + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        400,
    ),
    ("other encoding", POST + b"Transfer-Encoding: gzip\r\n\r\n", 400),
    ("short body", POST + b"Content-Length: 9\r\n\r\nx", 400),
    ("bad chunk", POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n", 400),
    ("huge header", GET + b"X-Huge: " + b"x" * 70_000 + b"\r\n\r\n", 400),
    ("huge line", b"GET /" + b"x" * 70_000 + b" HTTP/1.1\r\n\r\n", 414),
    ("no request", b"nonsense\r\n\r\n", 400),
    ("bad deadline", GET + b"Pimentobend-Deadline-Ms: -5\r\n\r\n", 400),
    ("huge deadline", GET + b"Pimentobend-Deadline-Ms: %s\r\n\r\n" % DIGITS, 400),
    ("empty key", GET + b"Idempotency-Key: \r\n\r\n", 400),
]


@pytest.mark.parametrize(
    ("request_bytes", "status"),
    [case[1:] for case in BAD_REQUESTS],
    ids=[case[0] for case in BAD_REQUESTS],
)
def test_bad_requests_are_refused(
    site: Site, request_bytes: bytes, status: int
) -> None:
    before = len(site.backend.requests)
    answer = exchange(site.listen["callers"], request_bytes)
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer[:200]
    assert b"\r\nPimentobend-Ran: not-run\r\n" in answer
    assert len(site.backend.requests) == before


def test_longer_body_is_not_a_second_request(site: Site) -> None:
    request = POST + b"Content-Length: 1\r\n\r\nxGET /raw/fine HTTP/1.1\r\n\r\n"
    answer = exchange(site.listen["callers"], request)
    assert answer.count(b"HTTP/1.1 ") == 1


BACKEND_ANSWERS = [
    ("fine", 200, "ran"),
    ("chunked", 200, "ran"),
    ("huge-load", 200, "ran"),
    ("short", 502, "ran"),
    ("no-chunk-size", 502, "ran"),
    ("no-chunk", 502, "ran"),
    ("refuses", 503, "not-run"),
    ("refuses-unnamed", 502, "unknown"),
    ("nonsense", 504, "unknown"),
    ("silent", 504, "unknown"),
]


@pytest.mark.parametrize(("name", "status", "ran"), BACKEND_ANSWERS)
def test_backend_answers_give_the_right_status_and_ran(
    site: Site, name: str, status: int, ran: str
) -> None:
    answer = call("GET", f"http://{site.listen['callers']}/raw/{name}")
    assert (answer.status, answer.headers["Pimentobend-Ran"]) == (status, ran)


@pytest.mark.parametrize("name", ["short-large", "short-chunked"])
def test_truncated_stream_does_not_look_complete(site: Site, name: str) -> None:
    request = b"GET /raw/%s HTTP/1.1\r\nHost: h\r\n\r\n" % name.encode()
    answer = exchange(site.listen["callers"], request)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ")
    if b"chunked" in head.lower():
        assert not body.endswith(b"0\r\n\r\n")
    else:
        assert len(body) < LARGE


def test_hop_by_hop_headers_are_not_forwarded(site: Site) -> None:
    hop = b"Connection: close, X-Mine\r\nX-Mine: 1\r\nTE: trailers\r\nX-Far: 1\r\n\r\n"
    request = b"GET /raw/fine HTTP/1.1\r\nHost: h\r\n" + hop
    answer = exchange(site.listen["callers"], request).lower()
    sent = site.backend.requests[-1].lower()
    assert b"x-far: 1" in sent
    assert b"x-mine" not in sent
    assert b"\r\nte:" not in sent
    assert b"x-end: 1" in answer
    assert b"x-hop" not in answer
    assert answer.count(b"set-cookie") == 2


BAD_ANNOUNCEMENTS: list[tuple[str, str, bytes, int]] = [
    ("/announce", "POST", b"", 422),
    ("/announce", "POST", b"[]", 422),
    ("/announce", "POST", b"\xff", 422),
    ("/announce", "POST", json.dumps(_announcement(colour=1)).encode(), 422),
    ("/announce", "POST", json.dumps(_announcement(lease_s=-1)).encode(), 422),
    ("/announce", "POST", json.dumps(_announcement(slots=0)).encode(), 422),
    ("/announce", "POST", json.dumps(_announcement(state="?")).encode(), 422),
    ("/announce", "POST", json.dumps(_announcement(port=0)).encode(), 422),
    ("/announce", "POST", json.dumps(_announcement(host="name")).encode(), 422),
    ("/announce", "POST", json.dumps(_announcement(host="10.1.1.1")).encode(), 422),
    ("/announce", "GET", b"", 405),
    ("/other", "POST", b"", 404),
    ("/withdraw", "POST", b"{}", 422),
]


@pytest.mark.parametrize(("path", "method", "content", "status"), BAD_ANNOUNCEMENTS)
def test_bad_announcements_are_refused(
    site: Site, path: str, method: str, content: bytes, status: int
) -> None:
    answer = call(method, f"http://{site.listen['servers']}{path}", content or None)
    assert answer.status == status
    assert json.loads(answer.content)["error"]


GOOD_TABLES = json.dumps(TABLES).encode()
BAD_OPERATIONS: list[tuple[str, str, bytes, dict[str, str], int]] = [
    ("GET", "/v1/tables", b"", {}, 401),
    ("GET", "/v1/tables", b"", {"Authorization": "Bearer wrong"}, 401),
    ("GET", "/v1/tables", b"", {"Authorization": TOKEN}, 401),
    ("GET", "/v1/nothing", b"", BEARER, 404),
    ("DELETE", "/v1/tables", b"", BEARER, 404),
    ("PUT", "/v1/tables", GOOD_TABLES, BEARER, 400),
    ("PUT", "/v1/tables?version=1&change=c", GOOD_TABLES, BEARER, 400),
    ("PUT", "/v1/tables?version=0.0&change=", GOOD_TABLES, BEARER, 400),
    ("PUT", "/v1/tables?version=0.0&change=c", b"\xff", BEARER, 400),
    ("PUT", "/v1/tables?version=0.0&change=c", b"{}", BEARER, 422),
    ("PUT", "/v1/tables?version=0.0&change=late", GOOD_TABLES, BEARER, 409),
]


@pytest.mark.parametrize(
    ("method", "path", "content", "headers", "status"), BAD_OPERATIONS
)
def test_bad_operations_are_refused(
    site: Site,
    method: str,
    path: str,
    content: bytes,
    headers: dict[str, str],
    status: int,
) -> None:
    url = f"http://{site.listen['operators']}{path}"
    answer = call(method, url, content or None, headers)
    assert answer.status == status
    assert json.loads(answer.content)["error"]
    assert TOKEN not in answer.content.decode()


def test_token_is_in_neither_dump_nor_log(site: Site) -> None:
    dump = call("GET", f"http://{site.listen['operators']}/v1/dump", None, BEARER)
    assert dump.status == 200
    assert TOKEN not in dump.content.decode()
    assert TOKEN not in site.process.log.read_text()
