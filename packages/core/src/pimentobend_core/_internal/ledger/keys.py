"""Compute the fixed-size digests under which the ledger stores keys and requests."""

import hashlib

from pimentobend_core._internal.ledger.messages import LedgerKey
from pimentobend_core._internal.models.request import RequestHead

DIGEST_BYTES = 16
FINGERPRINT_BYTES = 8

_FINGERPRINT_HEADERS = ("content-length", "content-type")


def digest_key(key: LedgerKey) -> bytes:
    """Return the digest under which the ledger stores a key."""
    return _digest(DIGEST_BYTES, key)


def find_group(digest: bytes, groups: int) -> int:
    """Return which of ``groups`` replicated logs, counted from 0, stores a key."""
    return int.from_bytes(digest[:4], "big") % groups


def fingerprint_request(head: RequestHead) -> bytes:
    """Return a digest that distinguishes requests with the same key.

    It covers the declared length and type of the body, which is streamed, but
    not its content.
    """
    described = [head.method, head.host, head.path, head.query]
    for wanted in _FINGERPRINT_HEADERS:
        values = [value for name, value in head.headers if name.lower() == wanted]
        described.append(",".join(values))
    return _digest(FINGERPRINT_BYTES, described)


def _digest(size: int, parts: tuple[str, ...] | list[str]) -> bytes:
    digest = hashlib.blake2b(digest_size=size)
    for part in parts:
        encoded = part.encode("utf-8", "surrogateescape")
        digest.update(len(encoded).to_bytes(4, "big"))
        digest.update(encoded)
    return digest.digest()
