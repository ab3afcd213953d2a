"""Read the secrets of a process from their files."""

import hmac
import pathlib

from pimentobend_adapters._internal.exceptions import KeyFileError

MIN_KEY_BYTES = 16
# Used without a key file, which the settings allow only on loopback.
LOOPBACK_KEY = b"loopback-only"


def read_key(path: pathlib.Path | None) -> bytes:
    """Return the link key; raise KeyFileError if it is unreadable or too short."""
    if path is None:
        return LOOPBACK_KEY
    return _read_secret(path)


def read_token(path: pathlib.Path | None) -> bytes | None:
    """Return the operators' token, or None if none is required."""
    return None if path is None else _read_secret(path)


def is_authorized(header: str | None, token: bytes | None) -> bool:
    """Check an Authorization header; the token is compared in constant time."""
    if token is None:
        return True
    scheme, _, value = (header or "").partition(" ")
    matches = hmac.compare_digest(value.strip().encode(), token)
    return scheme.lower() == "bearer" and matches


def _read_secret(path: pathlib.Path) -> bytes:
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise KeyFileError(
            "cannot read the key file", context=f"{path}: {error.strerror}"
        ) from error
    if len(secret) < MIN_KEY_BYTES:
        raise KeyFileError(
            f"the key is too short: {len(secret)} bytes",
            context=str(path),
            hint=f"write at least {MIN_KEY_BYTES} random bytes into it",
        )
    return secret
