"""Give other packages the names of headers."""

from pimentobend_adapters._internal.http.headers import HeaderNames

__all__ = ["HeaderNames"]
