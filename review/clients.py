"""Clients beside a daemon that send one request after the other."""

import itertools
import threading
import time
from typing import NamedTuple

from harness import HOST
from harness import Answer
from harness import Daemon
from harness import P
from harness import Record
from harness import ask

_IDS = itertools.count(1)


class Sent(NamedTuple):
    """A request and its answer; times are of the monotonic clock."""

    request_id: str
    path: str
    sent_at: float
    answered_at: float
    answer: Answer


class Clients:
    """Sends requests to a daemon's ``outbound`` address, one every ``gap_s``."""

    def __init__(
        self, daemon: Daemon, record: Record, path: str, method: str, gap_s: float
    ) -> None:
        self.sent: list[Sent] = []
        self._daemon = daemon
        self._record = record
        self._path, self._method, self._gap_s = path, method, gap_s
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self) -> None:
        """Start sending."""
        self._thread.start()

    def stop(self) -> None:
        """Stop sending and wait for the last answer."""
        self._stopped.set()
        self._thread.join()

    def send(self) -> Sent:
        """Send one request and return it with its answer."""
        request_id = f"{next(_IDS):016x}"
        headers = {
            "Host": HOST,
            f"{P}Request-Id": request_id,
            f"{P}Deadline-Ms": "6000",
        }
        body = None if self._method == "GET" else b"{}"
        sent_at = time.monotonic()
        answer = ask(
            self._daemon.outbound, self._method, self._path, body, headers, 7.0
        )
        sent = Sent(request_id, self._path, sent_at, time.monotonic(), answer)
        self.sent.append(sent)
        self._record.note(
            f"client at {self._daemon.name}: {self._method} {self._path}"
            f" {request_id}: {answer.status}"
            f" after {sent.answered_at - sent_at:.3f} s"
        )
        return sent

    def _run(self) -> None:
        while not self._stopped.is_set():
            self.send()
            self._stopped.wait(self._gap_s)
