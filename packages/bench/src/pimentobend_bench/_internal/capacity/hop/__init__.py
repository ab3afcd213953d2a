"""Latency and CPU time that one hop through a proxy adds to a request."""
