"""Start real daemons on loopback and call their HTTP interfaces."""

import json
import pathlib
import socket
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Iterable
from collections.abc import Mapping
from types import TracebackType
from typing import Any
from typing import TypedDict

from pimentobend_bench._internal.capacity.process import BenchProcess
from pimentobend_core._internal.models.server import Server
from pimentobend_core._internal.models.tables import Pool
from pimentobend_core._internal.models.tables import Route

LEASE_S = 60.0
_START_TIMEOUT_S = 20.0
_TABLES_TIMEOUT_S = 60.0
_POLL_S = 0.05
_NO_LEADER_STATUS = 503
_REQUEST_TIMEOUT_S = 30.0


class ListenAddresses(TypedDict, total=False):
    """``listen`` section of a daemon's settings, as ``host:port``."""

    callers: str
    servers: str
    operators: str
    link: str


class BenchDaemon:
    """Run a daemon with a settings file and a data folder of its own."""

    def __init__(self, name: str, roles: list[str], control_link: str = "") -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="pimentobend-bench-")
        keys = ["operators", "link"]
        if "instance" in roles:
            keys += ["callers", "servers"]
        addresses = dict(zip(keys, free_addresses(len(keys)), strict=True))
        self.listen = ListenAddresses(**addresses)  # type: ignore[typeddict-item]
        settings = {
            "instance": name,
            "data_centre": "dc-0",
            "region": "region-0",
            "roles": roles,
            "listen": self.listen,
            "control": [control_link or self.listen["link"]],
            "data_folder": f"{self._folder.name}/data",
        }
        path = pathlib.Path(self._folder.name, "settings.json")
        path.write_text(json.dumps(settings))
        self.process = BenchProcess(["pimentobendd", f"--settings={path}"])
        try:
            self._wait_until_listening()
        except TimeoutError as error:
            raise RuntimeError(
                f"daemon {name} did not start within {_START_TIMEOUT_S:g} s:"
                f" {self.process.errors()}"
            ) from error

    def __enter__(self) -> "BenchDaemon":
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        self.stop()

    def stop(self) -> None:
        """Stop the process and remove its files."""
        self.process.stop()
        self._folder.cleanup()

    def apply_tables(self, routes: Iterable[Route], pools: Iterable[Pool]) -> str:
        """Replace the tables and return their version; wait for a leader if needed."""
        document = {
            "routes": [route._asdict() for route in routes],
            "pools": [pool._asdict() for pool in pools],
        }
        url = f"http://{self.listen['operators']}/v1/tables"
        give_up_at = time.monotonic() + _START_TIMEOUT_S
        while True:
            expected = self.get("/v1/status")["version"]
            try:
                answer = call_json(
                    "PUT", f"{url}?version={expected}&change=bench", document
                )
                return str(answer["version"])
            except urllib.error.HTTPError as error:
                if error.code != _NO_LEADER_STATUS or time.monotonic() > give_up_at:
                    raise
            time.sleep(_POLL_S)

    def wait_for_version(self, version: str) -> None:
        """Wait until the daemon uses the tables of this version."""
        give_up_at = time.monotonic() + _TABLES_TIMEOUT_S
        while self.get("/v1/status")["version"] != version:
            if time.monotonic() > give_up_at:
                raise TimeoutError(
                    f"daemon does not use tables of version {version}"
                    f" after {_TABLES_TIMEOUT_S:g} s"
                )
            time.sleep(_POLL_S)

    def announce(self, server: Server) -> None:
        """Announce a server to the daemon, or renew its lease."""
        document = {**server._asdict(), "state": server.state.value, "lease_s": LEASE_S}
        call_json("POST", f"http://{self.listen['servers']}/announce", document)

    def get(self, path: str) -> dict[str, Any]:
        """Return a JSON document from the operators' interface."""
        return call_json("GET", f"http://{self.listen['operators']}{path}")

    def _wait_until_listening(self) -> None:
        give_up_at = time.monotonic() + _START_TIMEOUT_S
        host, _, port = self.listen["operators"].rpartition(":")
        while True:
            try:
                socket.create_connection((host, int(port)), timeout=1).close()
                return
            except OSError:
                if time.monotonic() > give_up_at:
                    raise TimeoutError(f"nothing listens on {host}:{port}") from None
                time.sleep(_POLL_S)


def call_json(
    method: str, url: str, document: Mapping[str, object] | None = None
) -> dict[str, Any]:
    """Send an HTTP request with a JSON body and return the JSON response."""
    content = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(url, data=content, method=method)
    with urllib.request.urlopen(request, timeout=_REQUEST_TIMEOUT_S) as answer:
        return dict(json.load(answer))


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses with free ports."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for bound_socket in sockets:
            bound_socket.bind(("127.0.0.1", 0))
        return [
            f"127.0.0.1:{bound_socket.getsockname()[1]}" for bound_socket in sockets
        ]
    finally:
        for bound_socket in sockets:
            bound_socket.close()
