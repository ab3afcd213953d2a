"""Digests that stand for API keys wherever the keys themselves are not needed."""

import hashlib

DIGEST_BYTES = 16


def digest_key(key: str) -> bytes:
    """Return the digest of an API key."""
    content = key.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).digest()
