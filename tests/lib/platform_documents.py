"""A configuration document of the platform, and changes to it."""

import json
from typing import Any

ROUTE_COLUMNS = [
    "name",
    "host",
    "pathPrefix",
    "type",
    "timeoutS",
    "targetLatencyS",
    "priority",
    "trafficSplit",
    "maxAttempts",
    "service",
]
SPLIT = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
ROWS = [
    ["r1", "h.example", "/x/", "safe", 3, 1.5, 2, SPLIT, 2, None],
    ["r2", "g.example", "/y/z/", "unsafe", 4.5, 1.5, 1, None, 2, "b"],
]
SERVICES = {
    "columns": ["name", "healthCheckPath", "maxConnections", "protocol", "tls"],
    "rows": [["a", "/healthz", 360, "h1", False], ["b", "/healthz", 360, "h1", False]],
}
CONFIGURATION: dict[str, Any] = {
    "version": "0000000c",
    "routes": {"columns": ROUTE_COLUMNS, "rows": ROWS},
    "services": SERVICES,
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 67108864,
        "headerTimeoutS": 3,
        "idleTimeoutS": 15,
    },
}


def changed(document: dict[str, Any], path: str, value: object) -> bytes:
    """Return a document with one value replaced, or removed if it is ``...``."""
    copy = json.loads(json.dumps(document))
    *parents, last = path.split(".")
    node = copy
    for part in parents:
        node = node[int(part) if part.isdigit() else part]
    key: Any = int(last) if last.isdigit() else last
    if value is ...:
        del node[key]
    else:
        node[key] = value
    return json.dumps(copy).encode()
