"""Soak runs in which the API keys and the limits of organisations change."""

import math
import threading
import time
from collections.abc import Sequence
from typing import Any

from platform_fleet import ROUTE_COLUMNS
from platform_fleet import Fleet
from platform_server import PREFIX
from soak_client import LastingConnection
from soak_faults import Fault
from soak_faults import make_faults
from soak_key_checks import BURST
from soak_key_checks import LIMITED
from soak_key_checks import LIMITS
from soak_key_checks import TENANT
from soak_key_checks import KeyHistory
from soak_key_checks import Version
from soak_kinds import Evidence
from soak_kinds import SingleFaults
from soak_traffic import TIMEOUT_S
from soak_traffic import Caller
from soak_traffic import ConfigurationChange
from soak_traffic import RequestRecord

# Shorter than the platform's, so that a pause of 3 s exceeds the age of a proof.
REVOKE_S = 2.5
FAULTS = ("kill", "stop", "pause", "reload")
KEYED_ROUTES = {
    "columns": [*ROUTE_COLUMNS, "allowAnonymous"],
    "rows": [
        ["look", "a.example", "/look/", "safe", 10, "shop", True],
        ["find", "a.example", "/find/", "safe", 10, "shop", None],
        ["book", "a.example", "/book/", "unsafe", 10, "shop", None],
    ],
}
ORGANISATIONS = (LIMITED, "free", "other")
STEADY_KEYS = {"limited-key": LIMITED, "free-key": "free"}
MOVING_KEYS = tuple(f"moving-{number}" for number in range(4))
# Keys of the callers: empty for none, None for a route that needs none.
KEYS = (*STEADY_KEYS, *MOVING_KEYS, "unknown-key", "", None)
KEY_WEIGHTS = (10, 4, *(1 for _ in MOVING_KEYS), 1, 1, 1)
# Each moving key is added, moved and removed, for longer than REVOKE_S.
HOLDERS = ("free", "other", "", "", "")
RATES_PER_S = (10.0, 5.0)  # of the limited organisation
LOWERED = 6  # label of the first version with the lower rate
PAUSE_S = 0.04  # between two requests of a caller
CALLERS_PER_INSTANCE = 4


class KeyedCaller(Caller):
    """Send requests with and without keys, and with a forged organisation."""

    def run(self, stopping: threading.Event) -> None:
        """Send one request after another until ``stopping`` is set."""
        process, rng = self._process, self._rng
        connection = LastingConnection(process.address(8400), TIMEOUT_S)
        while not stopping.wait(PAUSE_S):
            key, request_id = rng.choices(KEYS, KEY_WEIGHTS)[0], self._next_id()
            name = "look" if key is None else rng.choice(("find", "book"))
            headers = {
                "Host": "a.example",
                f"{PREFIX}Request-Id": request_id,
                f"{PREFIX}Deadline-Ms": "10000",
                TENANT: "forged",
                **({"Authorization": f"Bearer {key}"} if key else {}),
            }
            began_at, method = time.monotonic(), "POST" if name == "book" else "GET"
            answer, _, _ = connection.send(method, f"/{name}/1", b"", headers)
            if answer.headers.get("connection") == "close":
                connection.close()
            sent = (request_id, process, name != "book", True, began_at)
            ended_at = time.monotonic()
            self.records.append(RequestRecord(*sent, ended_at, answer, api_key=key))
        connection.close()


class KeyChanges(SingleFaults):
    """Keys that are added, moved and removed, and a limit that is lowered."""

    def __init__(self, instances: int = 2, servers_per_service: int = 2) -> None:
        super().__init__(instances, servers_per_service)
        self.shape = self.shape._replace(revoke_s=REVOKE_S, limits=LIMITS)

    def make_callers(self, fleet: Fleet, seed: int) -> Sequence[Caller]:
        """Return the callers of a fleet."""
        return [
            KeyedCaller(process, number, seed)
            for process in fleet.instances
            for number in range(CALLERS_PER_INSTANCE)
        ]

    def make_routes(self, label: int) -> dict[str, Any]:
        """Return the same routes for all versions."""
        return KEYED_ROUTES

    def make_tenants(self, label: int) -> dict[str, Any] | None:
        """Return the organisations of a version."""
        limits = {LIMITED: (RATES_PER_S[label >= LOWERED], BURST)}
        rows: dict[str, list[Any]] = {
            name: [name, [], *limits.get(name, (None, None))] for name in ORGANISATIONS
        }
        for key, holder in _holders(label).items():
            rows[holder][1].append(key)
        columns = ["name", "apiKeys", "ratePerS", "burst"]
        return {"columns": columns, "rows": list(rows.values())}

    def make_faults(self) -> dict[str, Fault]:
        """Return new faults for one run, by name."""
        return {name: each for name, each in make_faults().items() if name in FAULTS}

    def check_answers(self, evidence: Evidence, fleet: Fleet) -> list[str]:
        """Return the violations by keys, organisations and the limit."""
        first = ConfigurationChange(1, -math.inf, -math.inf)
        versions = [
            Version(each, _holders(each.label), RATES_PER_S[each.label >= LOWERED])
            for each in (first, *evidence.changes)
        ]
        history = KeyHistory(versions, REVOKE_S)
        violations = super().check_answers(evidence, fleet)
        limited: dict[str, float] = {}  # when each request ran
        servers = {p.server.address: p.server for p in fleet.instances if p.server}
        for record in evidence.records:
            violations += history.check_answer(record, evidence.faults)
            for run in evidence.runs.get(record.request_id, ()):
                head = servers[run.server].heads[record.request_id]
                violations += history.check_run(record, run.began_at, head)
                if head.get(TENANT) == LIMITED:
                    limited[record.request_id] = run.began_at
        return [*violations, *history.check_limit(limited.values())]


def _holders(label: int) -> dict[str, str]:
    """Return the organisations by key; each version changes one key."""
    states = [HOLDERS[(label + 5 * n) // 4 % len(HOLDERS)] for n in range(4)]
    moving = zip(MOVING_KEYS, states, strict=True)
    return STEADY_KEYS | {key: holder for key, holder in moving if holder}
