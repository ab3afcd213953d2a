"""Read API keys from requests and keep them out of logs."""

import re
from typing import Any

from pimentobend_core._internal.models.request import Headers
from pimentobend_core._internal.utils.api_keys import digest_key

AUTHORIZATION = "authorization"
_BEARER = re.compile(r"bearer +([!-~]+)", re.IGNORECASE)
# A key has no such character, so the digest of a malformed value is that of no key.
_MALFORMED = "\0"


class HiddenText(str):
    """Text that is sent as it is, but that descriptions of objects do not show."""

    __slots__ = ()

    def __repr__(self) -> str:
        return "<hidden>"


def hide_credentials(headers: Headers) -> Headers:
    """Return headers whose descriptions do not show credentials."""
    return tuple(
        (name, HiddenText(value) if _is_credentials(name) else value)
        for name, value in headers
    )


def find_key_digest(headers: Headers) -> bytes:
    """Return the digest of a request's API key; empty without credentials.

    Malformed credentials have a digest that is no key's.
    """
    values = [value for name, value in headers if _is_credentials(name)]
    if not values:
        return b""
    bearer = _BEARER.fullmatch(values[0].strip())
    if len(values) > 1 or bearer is None:
        return digest_key(_MALFORMED + _MALFORMED.join(values))
    return digest_key(bearer[1])


def is_from_this_machine(environ: dict[str, Any]) -> bool:
    """Return whether a connection comes from the address at which it arrived.

    Programs that connect to an address of their own machine have that address too.
    Other loopback addresses do not count, as several simulated machines share them.
    """
    remote = environ.get("REMOTE_ADDR")
    return bool(remote) and remote == environ.get("SERVER_NAME")


def _is_credentials(name: str) -> bool:
    return name.lower().replace("_", "-") == AUTHORIZATION
