"""Start real daemons on loopback and talk to their interfaces."""

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
_CALL_TIMEOUT_S = 30.0


class Listen(TypedDict, total=False):
    """Spell the addresses that a daemon listens on."""

    callers: str
    servers: str
    operators: str
    link: str


class BenchDaemon:
    """Own one daemon's process, its settings file and its data folder."""

    def __init__(self, name: str, roles: list[str], control_link: str = "") -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="pimentobend-bench-")
        keys = ["operators", "link"]
        if "instance" in roles:
            keys += ["callers", "servers"]
        addresses = dict(zip(keys, free_addresses(len(keys)), strict=True))
        self.listen = Listen(**addresses)  # type: ignore[typeddict-item]
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
            self._wait()
        except TimeoutError as error:
            raise RuntimeError(f"no start: {self.process.errors()}") from error

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
        """End the process and remove its files."""
        self.process.stop()
        self._folder.cleanup()

    def apply(self, routes: Iterable[Route], pools: Iterable[Pool]) -> str:
        """Apply the first tables and return their version."""
        document = {
            "routes": [route._asdict() for route in routes],
            "pools": [pool._asdict() for pool in pools],
        }
        url = f"http://{self.listen['operators']}/v1/tables"
        until = time.monotonic() + _START_TIMEOUT_S
        while True:
            expected = self.get("/v1/status")["version"]
            try:
                answer = call("PUT", f"{url}?version={expected}&change=bench", document)
                return str(answer["version"])
            except urllib.error.HTTPError as error:
                if error.code != _NO_LEADER_STATUS or time.monotonic() > until:
                    raise
            time.sleep(_POLL_S)

    def wait_for_version(self, version: str) -> None:
        """Wait until the daemon has the tables of a version in force."""
        until = time.monotonic() + _TABLES_TIMEOUT_S
        while self.get("/v1/status")["version"] != version:
            if time.monotonic() > until:
                raise TimeoutError(f"version {version} is not in force")
            time.sleep(_POLL_S)

    def announce(self, server: Server) -> None:
        """Announce a server to the daemon, or renew its lease."""
        document = {**server._asdict(), "state": server.state.value, "lease_s": LEASE_S}
        call("POST", f"http://{self.listen['servers']}/announce", document)

    def get(self, path: str) -> dict[str, Any]:
        """Return a document of the operators' interface."""
        return call("GET", f"http://{self.listen['operators']}{path}")

    def _wait(self) -> None:
        until = time.monotonic() + _START_TIMEOUT_S
        host, _, port = self.listen["operators"].rpartition(":")
        while True:
            try:
                socket.create_connection((host, int(port)), timeout=1).close()
                return
            except OSError:
                if time.monotonic() > until:
                    raise TimeoutError(self.listen["operators"]) from None
                time.sleep(_POLL_S)


def call(
    method: str, url: str, document: Mapping[str, object] | None = None
) -> dict[str, Any]:
    """Send a JSON document and return the one that answers it."""
    content = None if document is None else json.dumps(document).encode()
    request = urllib.request.Request(url, data=content, method=method)
    with urllib.request.urlopen(request, timeout=_CALL_TIMEOUT_S) as answer:
        return dict(json.load(answer))


def free_addresses(count: int) -> list[str]:
    """Return distinct loopback addresses that nobody listens on."""
    probes = [socket.socket() for _ in range(count)]
    try:
        for probe in probes:
            probe.bind(("127.0.0.1", 0))
        return [f"127.0.0.1:{probe.getsockname()[1]}" for probe in probes]
    finally:
        for probe in probes:
            probe.close()
