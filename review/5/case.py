"""A client names X-Pimentobend-Caller-Service in its Connection header."""

import pathlib
import sys
import time
from http.server import BaseHTTPRequestHandler

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import BROKEN
from harness import HELD
from harness import HOST
from harness import P
from harness import STABLE_S
from harness import CannotRunError
from harness import Daemon
from harness import Record
from harness import Site
from harness import ask
from harness import run_case
from harness import wait_until
from server import Server

ROUTES = [["look", "a.example", "/look/", "safe", 5, "shop"]]
CALLER_SERVICE = f"{P}Caller-Service"


class CheckingServer(Server):
    """Notes the callers' services of the requests that it runs."""

    def __init__(self, daemon: Daemon, record: Record) -> None:
        self.callers: dict[str, list[str]] = {}
        super().__init__(daemon, record)

    def serve(self, request: BaseHTTPRequestHandler) -> None:
        request_id = request.headers.get(f"{P}Request-Id")
        if request_id is not None:
            callers = request.headers.get_all(CALLER_SERVICE) or []
            self.callers[request_id] = callers
            self.record.note(f"{self.server_id}: {request_id} comes from {callers}")
        super().serve(request)


def main(folder: pathlib.Path, has_trouble: bool) -> int:
    site = Site(folder, ("shop", "desk"))
    record = site.record
    site.start()
    shop, desk = site.sides
    servers = [CheckingServer(side, record) for side in site.sides]
    site.put_until_acknowledged(site.document(1, ROUTES), 0)
    for side, server in zip(site.sides, servers, strict=True):
        wait_until(side.is_ready, f"{side.name} is ready")
        server.start_pings()
    time.sleep(STABLE_S)
    wrong = 0
    ran = 0
    for number in range(20):
        side = (desk, shop)[number % 2]
        request_id = f"{number:016x}"
        headers = {
            "Host": HOST,
            f"{P}Request-Id": request_id,
            f"{P}Deadline-Ms": "4000",
            CALLER_SERVICE: "billing",
            "Connection": f"keep-alive, {CALLER_SERVICE}"
            if has_trouble
            else "keep-alive",
        }
        record.note(f"client at {side.name}: GET /look/1 {request_id}, {headers}")
        answer = ask(side.outbound, "GET", "/look/1", None, headers, 5.0)
        record.note(f"client at {side.name}: {request_id}: {answer.status}")
        for server in servers:
            if request_id in server.callers:
                ran += 1
                wrong += server.callers[request_id] != [side.service]
    if not ran:
        raise CannotRunError("no request ran")
    record.note(f"result: {wrong} of {ran} requests ran without their caller's service")
    print(f"requests that ran without their caller's service: {wrong} of {ran}")
    return BROKEN if wrong else HELD


run_case(main, __file__)
