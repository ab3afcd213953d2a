"""Read and check the settings of one process."""

import ipaddress
import pathlib
from typing import Any
from typing import NamedTuple
from typing import cast

from pimentobend_adapters._internal.http.server import Address
from pimentobend_core._internal.configuration.checks import NAME
from pimentobend_core._internal.utils.checks import Fault
from pimentobend_core._internal.utils.checks import IntegerCheck
from pimentobend_core._internal.utils.checks import ListCheck
from pimentobend_core._internal.utils.checks import ObjectCheck
from pimentobend_core._internal.utils.checks import TextCheck
from pimentobend_core._internal.utils.checks import parse_document
from pimentobendd._internal.exceptions import SettingsError

MAX_REPLICAS = 5
MAX_RELAYS = 64
MAX_NETWORKS = 64
MAX_GRACE_S = 3600
DEFAULT_GRACE_S = 60
DEFAULT_ANNOUNCE_FROM = ("127.0.0.0/8", "::1/128")

_ADDRESS = TextCheck(r"[0-9a-fA-F.:\[\]]+:[0-9]{1,5}", "an IP address and a port")
_PATH = TextCheck(r"[^\0]{1,1023}", "a path")
_ROLE = TextCheck(r"instance|control", "instance or control")
_NETWORK = TextCheck(r"[0-9a-fA-F.:]+(/[0-9]{1,3})?", "an IP network")
_SETTINGS = ObjectCheck(
    required={
        "instance": NAME,
        "data_centre": NAME,
        "region": NAME,
        "roles": ListCheck(_ROLE, 2),
        "listen": ObjectCheck(
            {"operators": _ADDRESS, "link": _ADDRESS},
            {"callers": _ADDRESS, "servers": _ADDRESS},
        ),
        "control": ListCheck(_ADDRESS, MAX_REPLICAS),
    },
    optional={
        "relays": ListCheck(_ADDRESS, MAX_RELAYS),
        "data_folder": _PATH,
        "link_key_file": _PATH,
        "operator_token_file": _PATH,
        "announce_from": ListCheck(_NETWORK, MAX_NETWORKS),
        "statsd": _ADDRESS,
        "shutdown_grace_s": IntegerCheck(1, MAX_GRACE_S),
    },
)


class Settings(NamedTuple):
    """The checked settings of one process."""

    instance: str
    data_centre: str
    region: str
    roles: frozenset[str]
    callers: Address | None
    servers: Address | None
    operators: Address
    link: Address
    control: tuple[str, ...]
    relays: tuple[str, ...]
    data_folder: pathlib.Path | None
    link_key_file: pathlib.Path | None
    operator_token_file: pathlib.Path | None
    announce_from: tuple[str, ...]
    statsd: Address | None
    shutdown_grace_s: int


def load_settings(path: str) -> Settings:
    """Read and check a settings file; raise SettingsError that lists its faults."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        fault = Fault(path, str(error), "a readable UTF-8 file")
        raise SettingsError(path, [fault]) from error
    return parse_settings(text, path)


def parse_settings(text: str, path: str) -> Settings:
    """Check settings given as JSON text; raise SettingsError that lists its faults."""
    document, faults = parse_document(text)
    if document is not None:
        faults += tuple(_SETTINGS.find("", document))
    if faults:
        raise SettingsError(path, faults)
    values = cast(dict[str, Any], document)
    faults = _find_inconsistencies(values)
    if faults:
        raise SettingsError(path, faults)
    return _build(values)


def _find_inconsistencies(values: dict[str, Any]) -> tuple[Fault, ...]:
    faults: list[Fault] = []
    listen = values["listen"]
    roles = values["roles"]
    if not roles:
        faults.append(Fault("roles", "[]", "at least one role"))
    if "instance" in roles:
        for key in ("callers", "servers"):
            if key not in listen:
                faults.append(
                    Fault(f"listen.{key}", "missing", "an address (role instance)")
                )
    if "control" in roles and "data_folder" not in values:
        faults.append(Fault("data_folder", "missing", "a path (role control)"))
    if not values["control"]:
        faults.append(Fault("control", "[]", "the link address of each replica"))
    faults.extend(_find_bad_addresses(values))
    faults.extend(_find_missing_secrets(values))
    return tuple(faults)


def _find_bad_addresses(values: dict[str, Any]) -> list[Fault]:
    places = [(f"listen.{key}", text) for key, text in values["listen"].items()]
    places += [(f"control[{i}]", text) for i, text in enumerate(values["control"])]
    places += [
        (f"relays[{i}]", text) for i, text in enumerate(values.get("relays", []))
    ]
    if "statsd" in values:
        places.append(("statsd", values["statsd"]))
    faults = [
        Fault(place, text, "an IP address and a port up to 65535")
        for place, text in places
        if not _is_address(text)
    ]
    for i, text in enumerate(values.get("announce_from", [])):
        try:
            ipaddress.ip_network(text)
        except ValueError:
            faults.append(Fault(f"announce_from[{i}]", text, "an IP network"))
    return faults


def _find_missing_secrets(values: dict[str, Any]) -> list[Fault]:
    """Require a key or token for each listener that is not on loopback."""
    faults = []
    for key, secret in (
        ("link", "link_key_file"),
        ("operators", "operator_token_file"),
    ):
        text = values["listen"][key]
        if secret not in values and _is_address(text) and not _is_loopback(text):
            expected = f"a file, because listen.{key} is not on loopback"
            faults.append(Fault(secret, "missing", expected))
    return faults


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        return False
    return int(port) <= 65535


def _is_loopback(text: str) -> bool:
    host, _, _ = text.rpartition(":")
    return ipaddress.ip_address(host.strip("[]")).is_loopback


def _parse_address(text: str | None) -> Address | None:
    if text is None:
        return None
    host, _, port = text.rpartition(":")
    return Address(host.strip("[]"), int(port))


def _parse_path(text: str | None) -> pathlib.Path | None:
    return None if text is None else pathlib.Path(text)


def _build(values: dict[str, Any]) -> Settings:
    listen = values["listen"]
    operators = _parse_address(listen["operators"])
    link = _parse_address(listen["link"])
    assert operators is not None and link is not None
    return Settings(
        instance=values["instance"],
        data_centre=values["data_centre"],
        region=values["region"],
        roles=frozenset(values["roles"]),
        callers=_parse_address(listen.get("callers")),
        servers=_parse_address(listen.get("servers")),
        operators=operators,
        link=link,
        control=tuple(values["control"]),
        relays=tuple(values.get("relays", [])),
        data_folder=_parse_path(values.get("data_folder")),
        link_key_file=_parse_path(values.get("link_key_file")),
        operator_token_file=_parse_path(values.get("operator_token_file")),
        announce_from=tuple(values.get("announce_from", DEFAULT_ANNOUNCE_FROM)),
        statsd=_parse_address(values.get("statsd")),
        shutdown_grace_s=values.get("shutdown_grace_s", DEFAULT_GRACE_S),
    )
