"""An operator who sends changes, each to another core machine first."""

import json
import time

from fleet import CONTROL, CannotRunError, ask, table

COLUMNS = (
    "name",
    "host",
    "pathPrefix",
    "type",
    "timeoutS",
    "targetLatencyS",
    "priority",
    "maxAttempts",
    "service",
)


def first_config(services, routes=()):
    """Return a whole configuration without its version."""
    rows = [(each, "/healthz", 360, "h1", False) for each in services]
    columns = ("name", "healthCheckPath", "maxConnections", "protocol", "tls")
    return {
        "routes": table(COLUMNS, routes),
        "services": table(columns, rows),
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 67108864,
            "headerTimeoutS": 3,
            "idleTimeoutS": 15,
        },
    }


class Operator:
    """Sends each change until it is acknowledged, to one core machine after another."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.version = 0
        self.acked_by = None

    def send(self, method, document, timeout_s=10.0):
        """Return whether the change is acknowledged in time."""
        body = json.dumps({"version": f"{self.version + 1:08x}", **document}).encode()
        headers = {
            "If-Match": f"{self.version:08x}",
            "Content-Type": "application/json",
        }
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at:
            first = self.version % len(self._fleet.core)
            for each in self._fleet.core[first:] + self._fleet.core[:first]:
                address = each.at(CONTROL)
                status, _, _ = ask(address, method, "/-/config", body, headers, 1.0)
                if status == 200:
                    self.version += 1
                    self.acked_by = each
                    return True
                if status in (400, 409, 412, 413, 422):
                    raise CannotRunError(f"a change was answered {status}")
            time.sleep(0.1)
        return False

    def read(self, timeout_s):
        """Return the newest version read back, and how often each status came."""
        statuses, found = {}, 0
        ends_at = time.monotonic() + timeout_s
        while time.monotonic() < ends_at and found < self.version:
            for each in self._fleet.core:
                address = each.at(CONTROL)
                status, _, body = ask(address, "GET", "/-/config", timeout_s=1.0)
                statuses[status] = statuses.get(status, 0) + 1
                if status == 200:
                    found = max(found, int(json.loads(body)["version"], 16))
            time.sleep(0.2)
        return found, statuses
