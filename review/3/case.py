"""A leader that was frozen refuses an order that its successor has acknowledged."""

import http.client
import pathlib
import re
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import BROKEN
from harness import HELD
from harness import CannotRunError
from harness import Daemon
from harness import Site
from harness import ask_on
from harness import run_case
from harness import wait_until

ROUTES = [["look", "a.example", "/look/", "safe", 5, "shop"]]
LEADER = re.compile(r"event='leader'.* leader='([0-9.]+):")
ROUNDS = 10
FROZEN_S = 2.0
READERS = 2


class Readers:
    """Read the configuration from one daemon again and again."""

    def __init__(self, address: str) -> None:
        self._address = address
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, daemon=True) for _ in range(READERS)
        ]
        for each in self._threads:
            each.start()

    def stop(self) -> None:
        self._stopped.set()
        for each in self._threads:
            each.join()

    def _run(self) -> None:
        while not self._stopped.is_set():
            connection = http.client.HTTPConnection(self._address, timeout=1.0)
            while not self._stopped.is_set():
                if ask_on(connection, "GET", "/-/config").status == 0:
                    break
            connection.close()


def main(folder: pathlib.Path, has_trouble: bool) -> int:
    site = Site(folder, ("shop",))
    record = site.record
    site.start()
    version = 1
    site.put_until_acknowledged(site.document(1, ROUTES), 0)
    refused = 0
    for number in range(ROUNDS):
        time.sleep(3)
        leader = find_leader(site)
        others = [each for each in site.cores if each is not leader]
        record.note(f"round {number}: the leader is {leader.name}")
        kept = http.client.HTTPConnection(leader.control, timeout=1.0)
        if ask_on(kept, "GET", "/-/config").status != 200:
            raise CannotRunError("the configuration cannot be read")
        readers = Readers(leader.control)
        time.sleep(0.5)
        if has_trouble:
            leader.send_signal(signal.SIGSTOP)
        began_at = time.monotonic()
        first, second = version + 1, version + 2
        site.put_until_acknowledged(site.document(first, ROUTES), version, others)
        order = site.document(second, ROUTES)
        site.put_until_acknowledged(order, first, others)
        record.note("operator: this acknowledgement is lost on its way")
        version = second
        time.sleep(max(0.0, began_at + FROZEN_S - time.monotonic()))
        record.note(f"operator: sends PUT {second:08x} again to {leader.name}")
        kept.putrequest("PUT", "/-/config")
        kept.putheader("If-Match", f"{first:08x}")
        kept.putheader("Content-Type", "application/json")
        kept.putheader("Content-Length", str(len(order)))
        kept.endheaders(order)
        time.sleep(0.2)
        if has_trouble:
            leader.send_signal(signal.SIGCONT)
        try:
            response = kept.getresponse()
            status, body = response.status, response.read()
        except (OSError, http.client.HTTPException):
            status, body = 0, b""
        record.note(f"operator: {leader.name} answers {status} {body!r}")
        kept.close()
        readers.stop()
        refused += 400 <= status < 500
        wait_until(
            lambda: site.read_version(others[0].control) == f"{second:08x}",
            "the order is in force",
        )
    record.note(f"result: {refused} of {ROUNDS} orders sent again were refused")
    print(f"acknowledged orders that were refused when sent again: {refused}")
    return BROKEN if refused else HELD


def find_leader(site: Site) -> Daemon:
    """Return the daemon that all core daemons took for the leader last."""
    found: set[str] = set()

    def is_found() -> bool:
        names = [LEADER.findall(daemon.log()) for daemon in site.cores]
        found.clear()
        found.update(each[-1] for each in names if each)
        return len(found) == 1

    wait_until(is_found, "all name one leader")
    (ip,) = found
    return next(each for each in site.cores if each.ip == ip)


run_case(main, __file__)
