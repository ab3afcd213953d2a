"""A ping of another writer, for a service that is not named, takes a sound server away."""

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

from fleet import APP, BOUNDS, CONTROL, OUTBOUND, CannotRunError, Fleet, ask, run_case  # noqa: E402
from server import Server  # noqa: E402

PER_S = 30.0  # two servers with three slots and 100 ms a run serve 40 at least
DEADLINE_MS, TIMEOUT_S, TARGET_S = 3000, 3, 0.5
WATCHED_S = 16.0
WINDOW_S = 2.0


def play(record, trouble):
    fleet = Fleet([("a", "desk"), ("a", "booking"), ("a", "booking")])
    servers = [Server(each, record) for each in fleet.sides]
    desk, _, machine = fleet.sides
    sent = []
    stop = threading.Event()
    try:
        fleet.start()
        for server in servers:
            server.start()
        route = (
            "book",
            "a.example",
            "/book/",
            "unsafe",
            TIMEOUT_S,
            TARGET_S,
            1,
            2,
            "booking",
        )
        fleet.put_config([route], ["booking", "desk"])
        fleet.wait_ready()
        time.sleep(2.0)
        threading.Thread(
            target=send_all, args=(desk, sent, stop, record), daemon=True
        ).start()
        time.sleep(2 * BOUNDS["stableWindowS"] + 1)
        if trouble:
            record(f"a ping of another writer is answered {forge(machine)}")
        began_at = time.monotonic()
        time.sleep(WATCHED_S)
        ends_at = time.monotonic()
        stop.set()
        time.sleep(DEADLINE_MS / 1000 + 0.5)
    finally:
        stop.set()
        for server in servers:
            server.stop()
        fleet.close()
    return judge(sent, servers[1:], began_at, ends_at, record)


def forge(machine):
    """Send a ping whose service is not named; return the status of the answer."""
    now_ms = int(time.time() * 1000)
    document = {
        "address": machine.at(APP),
        "info": {
            "service": "no-such-service",
            "version": "v1",
            "zone": "a",
            "slots": 3,
        },
        "status": {"state": "ready", "seq": 1, "warmupRemainingS": 0},
        "born": now_ms,
    }
    headers = {"Content-Type": "application/json"}
    path = f"/-/instances/i-other-{now_ms:x}"
    return ask(
        machine.at(CONTROL), "PUT", path, json.dumps(document).encode(), headers
    )[0]


def send_all(machine, sent, stop, record):
    due = time.monotonic()
    number = 0
    while not stop.is_set():
        number += 1
        entry = [f"b{number}", time.monotonic(), 0]
        sent.append(entry)
        threading.Thread(
            target=send, args=(machine, entry, record), daemon=True
        ).start()
        due += 1 / PER_S
        time.sleep(max(0.0, due - time.monotonic()))


def send(machine, entry, record):
    headers = {
        "Host": "a.example",
        "X-Pimentobend-Request-Id": entry[0],
        "X-Pimentobend-Deadline-Ms": str(DEADLINE_MS),
    }
    path = f"/book/{entry[0]}"
    status, _, _ = ask(machine.at(OUTBOUND), "POST", path, b"x" * 300, headers, 5)
    entry[2] = status
    record(f"client {entry[0]}: {status} after {time.monotonic() - entry[1]:.3f} s")


def judge(sent, servers, began_at, ends_at, record):
    """Return the fault: FLOOR, in windows of 2 s."""
    broken, windows = 0, 0
    at = began_at
    while at + WINDOW_S <= ends_at:
        here = [each for each in sent if at <= each[1] < at + WINDOW_S]
        unserved = sum(each[2] != 200 for each in here) / max(1, len(here))
        used = [
            sum(at <= run.began_at < at + WINDOW_S for run in server.runs.values())
            for server in servers
        ]
        share = sum(map(bool, used)) / len(servers)
        is_broken = 0 < share < BOUNDS["floorShare"] and 0.1 < unserved < 0.5
        record(
            f"from {at - began_at:5.1f} s: {len(here)} sent, {unserved:.2f} not served, runs by server {used}"
        )
        broken += is_broken
        windows += 1
        at += WINDOW_S
    if not any(each[2] == 200 for each in sent):
        raise CannotRunError("nothing is served")
    # The first window begins with the ping; one more may hold what was queued.
    if broken:
        return f"FLOOR: in {broken} of {windows} windows of 2 s a sound server got nothing while a tenth to a half of the requests was not served"
    return None


if __name__ == "__main__":
    run_case(FOLDER, play)
