"""Recognise a request that comes again, at any machine."""

import hashlib

from pimentobend_core._internal.models.request import RequestHead
from pimentobend_core._internal.ports import Body

FINGERPRINT_BYTES = 8
NO_FINGERPRINT = ""  # of a request that cannot be recognised
_LENGTH_BYTES = 4
_CREDENTIALS = "authorization"  # the header that names the caller where there is one


def find_fingerprint(head: RequestHead, body: Body) -> str:
    """Return 16 hex digits that are equal for equal requests of one caller.

    They cover the method, host, path, query, organisation, credentials and body. A body
    that can be read only once has no fingerprint.
    """
    if not body.can_replay:
        return NO_FINGERPRINT
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    credentials = [
        value for name, value in head.headers if name.lower() == _CREDENTIALS
    ]
    parts = (head.method, head.host, head.path, head.query, head.organisation)
    for part in (*parts, ",".join(credentials)):
        content = part.encode(errors="surrogateescape")
        # The lengths keep parts apart that would be equal when joined.
        digest.update(len(content).to_bytes(_LENGTH_BYTES, "big"))
        digest.update(content)
    for chunk in body.chunks():
        digest.update(chunk)
    return digest.hexdigest()
