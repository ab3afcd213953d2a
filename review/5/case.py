"""A server says that it leaves to a daemon that has just been restarted."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from clients import Clients
from harness import BROKEN
from harness import CONTROL
from harness import DRAIN_S
from harness import HELD
from harness import STABLE_S
from harness import CannotRunError
from harness import Site
from harness import ask
from harness import run_case
from harness import wait_until
from server import Server

ROUTES = [
    ["look", "a.example", "/look/", "safe", 5, "shop"],
    ["book", "a.example", "/book/", "unsafe", 5, "shop"],
]
GRACE_S = 6.0
LATE_S = 5.0  # by which one ping arrives late
SERVES_ON_S = 14.0  # how long the server serves after its DELETE was acknowledged


def main(folder: pathlib.Path, has_trouble: bool) -> int:
    site = Site(folder, ("shop", "shop", "shop"))
    record = site.record
    site.start()
    first, second, third = site.sides
    servers = [Server(side, record, work_s=0.05) for side in site.sides]
    site.put_until_acknowledged(site.document(1, ROUTES), 0)
    for side, server in zip(site.sides, servers, strict=True):
        wait_until(side.is_ready, f"{side.name} is ready")
        server.start_pings()
    leaving = servers[0]
    clients = [
        Clients(side, record, path, method, 0.05)
        for side in (second, third)
        for path, method in (("/look/1", "GET"), ("/look/2", "GET"), ("/book/1", "POST"))
    ]
    for each in clients:
        each.start()
    wait_until(lambda: all(each.runs for each in servers), "all servers run requests")
    time.sleep(STABLE_S)

    # The last ping of the server is under way for LATE_S.
    leaving.stop_pings()
    time.sleep(0.2)
    path, ping = leaving.make_ping()
    record.note(f"{leaving.server_id}: sends a ping that arrives {LATE_S} s later")
    if has_trouble:
        first.send_signal(signal.SIGTERM)
        try:
            first.popen.wait(GRACE_S)
        except Exception:
            first.end()
        first.start(first=False)
    wait_until(lambda: is_open(first.control), "the daemon answers again")
    sent_at = time.monotonic()

    def deliver() -> None:
        status = ask(f"{first.ip}:{CONTROL}", "PUT", path, ping).status
        record.note(f"{leaving.server_id}: the late ping arrives: {status}")

    timer = threading.Timer(LATE_S, deliver)
    timer.daemon = True
    timer.start()
    if leaving.withdraw() != 200:
        raise CannotRunError("the DELETE was not acknowledged")
    acknowledged_at = time.monotonic()
    time.sleep(max(0.0, sent_at + SERVES_ON_S - time.monotonic()))
    for each in clients:
        each.stop()
    leaving.exit()
    late = [
        run
        for run in leaving.runs
        if run.at > acknowledged_at + max(DRAIN_S, STABLE_S)
    ]
    record.note(
        f"result: {len(late)} requests reached {leaving.server_id} later than"
        f" {max(DRAIN_S, STABLE_S)} s after its DELETE was acknowledged"
    )
    print(f"requests that reached the server after it had left: {len(late)}")
    return BROKEN if late else HELD


def is_open(address: str) -> bool:
    return ask(address, "GET", "/").status != 0


run_case(main, __file__)
