"""Public names of the HTTP adapters."""

from pimentobend_adapters._internal.http.headers import HeaderNames

__all__ = ["HeaderNames"]
