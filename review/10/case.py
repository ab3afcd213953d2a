"""A route that is added later has a name beyond Latin-1; its requests get no answer."""

import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

from fleet import BOUNDS, OUTBOUND, Fleet, ask, run_case, wait_until  # noqa: E402
from server import Server  # noqa: E402

NAME = "بکنگ" if os.environ.get("TROUBLE", "1") != "0" else "booking-2"
REQUESTS = 30  # the rule counts from 20 on


def play(record, trouble):
    fleet = Fleet([("a", "desk"), ("a", "shop"), ("a", "shop")])
    servers = [Server(each, record) for each in fleet.sides]
    try:
        fleet.start()
        for server in servers:
            server.start()
        first = ("look", "a.example", "/look/", "safe", 3, 1.5, 1, 2, "shop")
        fleet.put_config([first], ["shop", "desk"])
        fleet.wait_ready()
        desk = fleet.sides[0]
        wait_until(
            lambda: send(desk, "/look/0", "w", record) == 200, "a request is served"
        )
        time.sleep(BOUNDS["stableWindowS"] + 1)  # now all machines are in touch
        added = (NAME, "a.example", "/book/", "unsafe", 3, 1.5, 1, 2, "shop")
        fleet.patch_routes([added])
        record(f"the route {NAME!r} is acknowledged")
        rows = fleet.read_config()["routes"]["rows"]
        record(f"read back: {rows}")
        time.sleep(BOUNDS["configS"] + 0.5)
        served = {"/look/": 0, "/book/": 0}
        for number in range(REQUESTS):
            for path in served:
                status = send(desk, f"{path}{number}", f"{path[1:5]}-{number}", record)
                served[path] += status == 200
    finally:
        for server in servers:
            server.stop()
        fleet.close()
    record(f"served of {REQUESTS} each: {served}")
    if served["/book/"] * 4 < served["/look/"]:
        return f"CONFIG: the added route served {served['/book/']} of {REQUESTS}, the first one {served['/look/']}"
    return None


def send(machine, path, request_id, record):
    method = "POST" if path.startswith("/book/") else "GET"
    headers = {
        "Host": "a.example",
        "X-Pimentobend-Request-Id": request_id,
        "X-Pimentobend-Deadline-Ms": "1500",
    }
    began = time.monotonic()
    status, found, _ = ask(machine.at(OUTBOUND), method, path, b"", headers, 6.0)
    took = time.monotonic() - began
    record(f"client: {method} {path} as {request_id}: {status} after {took:.3f} s")
    return status


if __name__ == "__main__":
    run_case(FOLDER, play)
