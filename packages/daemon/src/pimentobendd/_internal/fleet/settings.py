"""Read and check the settings of a daemon that discovers its fleet from seeds."""

import ipaddress
import json
import pathlib
from typing import Any
from typing import NamedTuple
from typing import cast

from pimentobend_adapters._internal.http.server import Address
from pimentobend_core._internal.configuration.checks import NAME
from pimentobend_core._internal.limits.terms import LimitSettings
from pimentobend_core._internal.memory.budget import MemoryTerms
from pimentobend_core._internal.memory.budget import make_terms
from pimentobend_core._internal.traffic.shared_budget import BudgetTerms
from pimentobend_core._internal.utils.checks import BooleanCheck
from pimentobend_core._internal.utils.checks import Fault
from pimentobend_core._internal.utils.checks import IntegerCheck
from pimentobend_core._internal.utils.checks import ListCheck
from pimentobend_core._internal.utils.checks import NumberCheck
from pimentobend_core._internal.utils.checks import ObjectCheck
from pimentobend_core._internal.utils.checks import TextCheck
from pimentobend_core._internal.utils.checks import parse_document
from pimentobendd._internal.exceptions import SettingsError

MAX_SEEDS = 64
MAX_PORT = 65535
MAX_SECONDS = 3600.0
MIN_MEMORY_MB = 64  # an idle process takes 40

_ADDRESS = TextCheck(r"[0-9.]+:[0-9]{1,5}", "an IPv4 address and a port")
# Operators name services as they like; their names travel in a header, too.
_SERVICE = TextCheck(
    r"[^\x00-\x1f\x7f\ud800-\udfff]{1,255}", "a name without control characters"
)
_PATH = TextCheck(r"[^\0]{1,1023}", "a path")
_ROLE = TextCheck(r"instance|control", "instance or control")
_SECONDS = NumberCheck(0, MAX_SECONDS)
_SETTINGS = ObjectCheck(
    required={
        "instance": TextCheck(r"[!-~]{1,128}", "a name without spaces"),
        "data_centre": NAME,
        "region": NAME,
        "roles": ListCheck(_ROLE, 2),
        "ip": TextCheck(r"[0-9.]{7,15}", "an IPv4 address"),
        "link_ports": ListCheck(IntegerCheck(1, MAX_PORT), 2),
        "seeds": ListCheck(_ADDRESS, MAX_SEEDS),
    },
    optional={
        "listen": ObjectCheck(
            {},
            {
                "callers": _ADDRESS,
                "forward": _ADDRESS,
                "ready": _ADDRESS,
                "servers": _ADDRESS,
                "operators": _ADDRESS,
                "metrics_port": IntegerCheck(1, MAX_PORT),
            },
        ),
        "beside": ObjectCheck({"service": _SERVICE, "address": _ADDRESS}),
        "first_start": BooleanCheck(),
        "data_folder": _PATH,
        "heartbeat_s": NumberCheck(0.1, MAX_SECONDS),
        "grace_s": _SECONDS,
        "admission_behind_calls": BooleanCheck(),
        "retry_budget": ObjectCheck(
            {
                "ratio": NumberCheck(0, 10),
                "window_s": NumberCheck(0.1, MAX_SECONDS),
                "allowance": NumberCheck(0, 1_000_000),
            }
        ),
        "limits": ObjectCheck(
            {},
            {
                "window_s": NumberCheck(1, MAX_SECONDS),
                "over": NumberCheck(0, 10),
                "slack": NumberCheck(0, 1_000_000),
            },
        ),
        "strict_revoke": ObjectCheck({"revoke_s": NumberCheck(1, MAX_SECONDS)}),
        "memory_mb": NumberCheck(MIN_MEMORY_MB, 1_000_000),
        "server_memory_mb": NumberCheck(1, 1_000_000),
        "extra_copies": ObjectCheck({"share": NumberCheck(0, 10)}),
    },
)
DEFAULT_HEARTBEAT_S = 2.0
DEFAULT_GRACE_S = 10.0
DEFAULT_BUDGET = BudgetTerms(ratio=0.2, window_s=10.0, allowance=50.0)


class LocalServer(NamedTuple):
    """The backend server on the same machine."""

    service: str
    address: str


class FleetSettings(NamedTuple):
    """The checked settings of one process."""

    instance: str
    data_centre: str
    region: str
    roles: frozenset[str]
    ip: str
    link_port: int  # the same on every daemon of the fleet
    seeds: tuple[str, ...]  # link addresses of daemons to ask for the others
    callers: Address | None
    forward: Address | None
    ready: Address | None
    servers: Address | None
    operators: Address | None
    metrics: Address | None
    beside: LocalServer | None
    first_start: bool  # true only when the whole fleet starts for the first time
    data_folder: pathlib.Path | None
    heartbeat_s: float
    grace_s: float  # from the stop signal until the process is killed
    budget: BudgetTerms
    memory: MemoryTerms
    limits: LimitSettings = LimitSettings()
    # From the acknowledgement of a version that removes a key to the last request that
    # runs with it; None if that is not bounded.
    revoke_s: float | None = None
    # Whether requests are admitted by the room of the services that their runs call.
    admission_behind_calls: bool = False

    @property
    def link(self) -> str:
        """Return the link address of this process."""
        return f"{self.ip}:{self.link_port}"


def load_fleet_settings(path: str) -> FleetSettings:
    """Read and check a settings file; raise SettingsError that lists its faults."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(path, str(error), "a readable UTF-8 file")
        raise SettingsError(path, [fault]) from error
    return parse_fleet_settings(text, path)


def parse_fleet_settings(text: str, path: str) -> FleetSettings:
    """Check settings given as JSON text; raise SettingsError that lists its faults."""
    document, faults = parse_document(text)
    if isinstance(document, dict):
        document = {key: value for key, value in document.items() if value is not None}
    if document is not None:
        faults += tuple(_SETTINGS.find("", document))
    if faults:
        raise SettingsError(path, faults)
    values = cast(dict[str, Any], document)
    faults = tuple(_find_inconsistencies(values))
    if faults:
        raise SettingsError(path, faults)
    return _build(values)


def _find_inconsistencies(values: dict[str, Any]) -> list[Fault]:
    faults: list[Fault] = []
    roles = values["roles"]
    listen = values.get("listen", {})
    if not values["link_ports"]:
        faults.append(Fault("link_ports", "[]", "the first and the last port"))
    if not roles:
        faults.append(Fault("roles", json.dumps(roles), "at least one role"))
    if "instance" in roles:
        for key in ("callers", "forward", "servers"):
            if key not in listen:
                faults.append(Fault(f"listen.{key}", "missing", "an address"))
    if "control" in roles and "data_folder" not in values:
        faults.append(Fault("data_folder", "missing", "a path (role control)"))
    addresses = {key: text for key, text in listen.items() if key != "metrics_port"}
    places = [(f"listen.{key}", text) for key, text in addresses.items()]
    places += [(f"seeds[{i}]", text) for i, text in enumerate(values["seeds"])]
    places.append(("ip", f"{values['ip']}:1"))
    if "beside" in values:
        places.append(("beside.address", values["beside"]["address"]))
    for place, text in places:
        if not _is_address(text):
            faults.append(Fault(place, text, "an IPv4 address and a port up to 65535"))
    return faults


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return int(port) <= MAX_PORT


def _parse_address(text: str | None) -> Address | None:
    if text is None:
        return None
    host, _, port = text.rpartition(":")
    return Address(host, int(port))


def _build(values: dict[str, Any]) -> FleetSettings:
    listen = values.get("listen", {})
    link_port = values["link_ports"][0]
    folder = values.get("data_folder")
    beside = values.get("beside")
    seeds = (text.rpartition(":")[0] for text in values["seeds"])
    budget = DEFAULT_BUDGET._replace(
        **values.get("retry_budget", {}),
        copies_share=values.get("extra_copies", {}).get("share"),
    )
    metrics_port = listen.get("metrics_port")
    strict_revoke = values.get("strict_revoke")
    return FleetSettings(
        instance=values["instance"],
        data_centre=values["data_centre"],
        region=values["region"],
        roles=frozenset(values["roles"]),
        ip=values["ip"],
        link_port=link_port,
        seeds=tuple(f"{host}:{link_port}" for host in seeds),
        callers=_parse_address(listen.get("callers")),
        forward=_parse_address(listen.get("forward")),
        ready=_parse_address(listen.get("ready")),
        servers=_parse_address(listen.get("servers")),
        operators=_parse_address(listen.get("operators")),
        metrics=Address(values["ip"], metrics_port) if metrics_port else None,
        beside=LocalServer(**beside) if beside else None,
        first_start=values.get("first_start", False),
        data_folder=pathlib.Path(folder) if folder else None,
        heartbeat_s=values.get("heartbeat_s", DEFAULT_HEARTBEAT_S),
        grace_s=values.get("grace_s", DEFAULT_GRACE_S),
        budget=budget,
        limits=LimitSettings(**values.get("limits", {})),
        revoke_s=strict_revoke["revoke_s"] if strict_revoke else None,
        admission_behind_calls=values.get("admission_behind_calls", False),
        memory=make_terms(values.get("memory_mb"), values.get("server_memory_mb")),
    )
