"""Send requests over blocking sockets and read the answers strictly."""

from typing import Any

import urllib3
from urllib3.connection import HTTPConnection

from pimentobend_adapters._internal.http.strict_answer import StrictAnswer


class _Connection(HTTPConnection):
    response_class = StrictAnswer


class _Pool(urllib3.HTTPConnectionPool):
    ConnectionCls = _Connection


def create_pools(**options: Any) -> urllib3.PoolManager:
    """Return a client that reads answers strictly and sends each request once."""
    pools = urllib3.PoolManager(retries=False, **options)
    pools.pool_classes_by_scheme = {"http": _Pool}
    return pools
