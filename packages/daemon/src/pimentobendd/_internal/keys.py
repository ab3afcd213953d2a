"""Read the secrets of a process from their files."""

import hmac
import pathlib

from pimentobend_adapters._internal.exceptions import KeyFileError

MIN_KEY_BYTES = 16
LOOPBACK_KEY = b"loopback-only"  # the settings refuse other addresses without a file


def read_key(path: pathlib.Path | None) -> bytes:
    """Return the link key; raise KeyFileError if the file cannot serve."""
    if path is None:
        return LOOPBACK_KEY
    return _read_secret(path)


def read_token(path: pathlib.Path | None) -> bytes | None:
    """Return the operators' token, or None when none is asked for."""
    return None if path is None else _read_secret(path)


def is_token(given: str | None, token: bytes | None) -> bool:
    """Compare an Authorization header with the token in constant time."""
    if token is None:
        return True
    scheme, _, value = (given or "").partition(" ")
    matches = hmac.compare_digest(value.strip().encode(), token)
    return scheme.lower() == "bearer" and matches


def _read_secret(path: pathlib.Path) -> bytes:
    try:
        secret = path.read_bytes().strip()
    except OSError as error:
        raise KeyFileError(
            "cannot read a key file", context=f"{path}: {error.strerror}"
        ) from error
    if len(secret) < MIN_KEY_BYTES:
        raise KeyFileError(
            "a key is too short",
            context=str(path),
            hint=f"write at least {MIN_KEY_BYTES} random bytes into it",
        )
    return secret
