"""Requests that a stopping daemon accepts late are broken off while servers run them."""

import http.client
import pathlib
import signal
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "stand2"))

from fleet import BOUNDS, OUTBOUND, CannotRunError, Fleet, run_case, wait_until  # noqa: E402
from server import Server  # noqa: E402

STOPS = 6
CLIENTS = 60
PER_S = 80.0  # of the clients of one machine
WARM_S = 6.0
STOP_AGAIN_S = 4.0  # from the return of the daemon to its next stop
LONG_EVERY = 33  # 3 runs in 100 are long ones
LONG_S = 1.8
GRACE_S = BOUNDS["graceS"]
TIMEOUT_S, DEADLINE_MS = 4.0, 8000


def work_s(path, number):
    """Return the time of a run: visit-book of kattevakt-mesh, mean 170 ms, tail 3%."""
    if number % LONG_EVERY == 0:
        return LONG_S
    return 0.14 + 0.06 * (number * 7 % 10) / 10


class Sent:
    """A request of a client and what came back."""

    def __init__(self, request_id, began_at):
        self.request_id, self.began_at = request_id, began_at
        self.ended_at, self.status, self.is_stamped = 0.0, 0, False


class Clients:
    """Clients on one machine that keep their connections."""

    def __init__(self, machine, name, record):
        self._machine, self._name, self._record = machine, name, record
        self.sent = []
        self._lock = threading.Lock()
        self._number = 0
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(each,), daemon=True)
            for each in range(CLIENTS)
        ]

    def start(self):
        for each in self._threads:
            each.start()

    def stop(self):
        self._stop.set()
        for each in self._threads:
            each.join(DEADLINE_MS / 1000 + 1)

    def _run(self, client):
        gap_s = CLIENTS / PER_S
        due = time.monotonic() + gap_s * client / CLIENTS
        connection = None
        while not self._stop.is_set():
            time.sleep(max(0.0, due - time.monotonic()))
            due = max(due + gap_s, time.monotonic())
            connection = self._send(connection)

    def _send(self, connection):
        if connection is None:
            connection = http.client.HTTPConnection(
                self._machine.at(OUTBOUND), timeout=1.0
            )
            try:
                connection.connect()
            except OSError:
                return None
            connection.sock.settimeout(DEADLINE_MS / 1000)
        with self._lock:
            self._number += 1
            sent = Sent(f"{self._name}{self._number:x}", time.monotonic())
            self.sent.append(sent)
        headers = {
            "Host": "a.example",
            "X-Pimentobend-Request-Id": sent.request_id,
            "X-Pimentobend-Deadline-Ms": str(DEADLINE_MS),
        }
        try:
            connection.request("POST", f"/book/{sent.request_id}", b"x" * 300, headers)
            response = connection.getresponse()
            response.read()
            sent.status = response.status
            sent.is_stamped = (
                response.getheader("X-Pimentobend-Server-Stamp") is not None
            )
            closes = response.will_close
        except (OSError, http.client.HTTPException):
            closes = True
        sent.ended_at = time.monotonic()
        self._record(
            f"client {sent.request_id}: {sent.status or 'cut'}"
            f"{'' if sent.is_stamped else ' own'} after {sent.ended_at - sent.began_at:.3f}"
        )
        if closes:
            connection.close()
            return None
        return connection


def play(record, trouble):
    # The daemon of a zone of its own: its clients go on while it is not ready.
    fleet = Fleet([("b", "desk"), ("c", "desk"), *[("a", "booking")] * 6])
    servers = [Server(each, record, slots=10, work_s=work_s) for each in fleet.sides]
    desks = fleet.sides[:2]
    clients = [Clients(each, each.zone, record) for each in desks]
    stops = []
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
            1.5,
            1,
            2,
            "booking",
        )
        fleet.put_config([route], ["booking", "desk"])
        fleet.wait_ready()
        time.sleep(2.0)
        for each in clients:
            each.start()
        time.sleep(WARM_S)
        for _ in range(STOPS):
            stopped_at = time.monotonic()
            if trouble:
                record("SIGTERM")
                for desk in desks:
                    desk.signal(signal.SIGTERM)
                ends_at = stopped_at + GRACE_S
                while time.monotonic() < ends_at and not all(
                    each.has_ended() for each in desks
                ):
                    time.sleep(0.01)
                record(f"ended by themselves: {[each.has_ended() for each in desks]}")
                stops.append(stopped_at)
                for desk in desks:
                    desk.kill()
                    desk.start()
                wait_until(
                    lambda: all(each.is_ready() for each in desks),
                    "they are ready again",
                )
            time.sleep(STOP_AGAIN_S)
        for each in clients:
            each.stop()
    finally:
        for server in servers:
            server.stop()
        fleet.close()
    runs = {run.request_id: run for server in servers for run in server.runs.values()}
    sent = [request for each in clients for request in each.sent]
    return judge(sent, runs, stops, record)


def judge(sent, runs, stops, record):
    """Return the fault: LOST, requests broken off while their servers were at work."""
    broken = []
    served = sum(each.status == 200 for each in sent)
    for each in sent:
        run = runs.get(each.request_id)
        stopped_at = next(
            (at for at in stops if at <= each.ended_at <= at + GRACE_S + 1), None
        )
        if run is None or stopped_at is None or (each.status and each.is_stamped):
            continue
        if run.ended_at and run.ended_at <= each.ended_at:
            continue  # the server was no longer at work
        if each.ended_at - each.began_at >= TIMEOUT_S:
            continue  # the route's timeout was reached
        after_s = each.began_at - stopped_at
        is_late_run = each.ended_at - stopped_at >= GRACE_S * 5 / 6
        if is_late_run and after_s <= 3.0:
            continue  # excused: sent early, and at work in the last sixth of graceS
        end = f"{run.end} after {run.ended_at - run.began_at:.3f} s"
        record(
            f"broken off: {each.request_id} sent {after_s:.3f} s after SIGTERM got"
            f" {each.status or 'no answer'} at {each.ended_at - stopped_at:.3f} s; its run: {end}"
        )
        broken.append(each.request_id)
    record(f"sent {len(sent)}, served {served}, broken off {len(broken)}")
    if not stops and served < 0.9 * len(sent):
        raise CannotRunError("too few requests are served without the disruption")
    if broken:
        return f"LOST: {len(broken)} requests in {len(stops)} stops"
    return None


if __name__ == "__main__":
    run_case(FOLDER, play)
