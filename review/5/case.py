"""Clients behind a link of 2 Mbit/s send bodies of 200 KB."""

import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from harness import BROKEN
from harness import HELD
from harness import HOST
from harness import STABLE_S
from harness import CannotRunError
from harness import P
from harness import Site
from harness import ask
from harness import run_case
from harness import wait_until
from server import Server

ROUTES = [
    ["look", "a.example", "/look/", "safe", 5, "shop"],
    ["photo", "a.example", "/photo/", "safe", 5, "shop"],
]
LINK_BITS_PER_S = 2e6
BODY = bytes(range(256)) * 800
CHUNK_BYTES = 4096
REQUESTS = 20


class SlowLink:
    """Forwards connections to a daemon; slows down what clients send."""

    def __init__(self, ip: str, target: str, *, is_slow: bool) -> None:
        self._listener = socket.create_server((ip, 0))
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._is_slow = is_slow
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            daemon = socket.create_connection(self._target)
            for end in (client, daemon):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            for source, sink, is_slow in (
                (client, daemon, self._is_slow),
                (daemon, client, False),
            ):
                threading.Thread(
                    target=_forward, args=(source, sink, is_slow), daemon=True
                ).start()


def _forward(source: socket.socket, sink: socket.socket, is_slow: bool) -> None:
    try:
        while data := source.recv(CHUNK_BYTES):
            if is_slow:
                time.sleep(8 * len(data) / LINK_BITS_PER_S)
            sink.sendall(data)
    except OSError:
        pass
    for end in (source, sink):
        try:
            end.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass


def main(folder: pathlib.Path, has_trouble: bool) -> int:
    site = Site(folder, ("shop", "desk", "shop"))
    record = site.record
    site.start()
    servers = [Server(side, record) for side in site.sides]
    site.put_until_acknowledged(site.document(1, ROUTES), 0)
    for side, server in zip(site.sides, servers, strict=True):
        wait_until(side.is_ready, f"{side.name} is ready")
        server.start_pings()
    time.sleep(STABLE_S)
    links = [
        SlowLink(side.ip, side.outbound, is_slow=has_trouble)
        for side in (site.sides[1], site.sides[0])
    ]
    served = {"look": 0, "photo": 0}
    for number in range(REQUESTS):
        link = links[number % len(links)]
        for kind, method, body in (("look", "GET", None), ("photo", "PUT", BODY)):
            request_id = f"{kind}-{number}"
            headers = {
                "Host": HOST,
                f"{P}Request-Id": request_id,
                f"{P}Deadline-Ms": "6000",
            }
            began_at = time.monotonic()
            answer = ask(link.address, method, f"/{kind}/1", body, headers, 7.0)
            took_s = time.monotonic() - began_at
            served[kind] += answer.status == 200
            record.note(
                f"client: {method} /{kind}/1 {request_id}, {len(body or b'')} bytes:"
                f" {answer.status} after {took_s:.2f} s {answer.body[:60]!r}"
            )
    if not served["look"]:
        raise CannotRunError("no request was served")
    everything = sum(served.values()) / (2 * REQUESTS)
    share = served["photo"] / REQUESTS
    record.note(f"result: served {served} of {REQUESTS} each")
    print(f"served: {served} of {REQUESTS} each")
    return BROKEN if share < everything / 4 else HELD


run_case(main, __file__)
