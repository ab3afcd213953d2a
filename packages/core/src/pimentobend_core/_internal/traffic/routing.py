"""Match requests to routes by host, path and method."""

from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables

ANY_HOST = "*"


class RouteMatcher:
    """Find the route of a request in one version of the tables.

    A route for the request's host takes precedence over one for any host, then
    the longest path wins, then a route that lists the method. A lookup takes one
    dictionary access per path segment, first for the host, then for any host.
    """

    def __init__(self, tables: Tables) -> None:
        self._hosts: dict[str, dict[str, tuple[Route, ...]]] = {}
        for route in tables.routes:
            paths = self._hosts.setdefault(route.host.lower(), {})
            path = _without_slash(route.path)
            paths[path] = (*paths.get(path, ()), route)
        for paths in self._hosts.values():
            for path, routes in paths.items():
                paths[path] = tuple(sorted(routes, key=_is_for_any_method))

    def match(self, method: str, host: str, path: str) -> Route | None:
        """Return the route for a request, or None."""
        for name in (_without_port(host).lower(), ANY_HOST):
            paths = self._hosts.get(name)
            if paths is None:
                continue
            route = _match_longest_prefix(paths, method, path)
            if route is not None:
                return route
        return None


def _match_longest_prefix(
    paths: dict[str, tuple[Route, ...]], method: str, path: str
) -> Route | None:
    prefix = _without_slash(path)
    while True:
        for route in paths.get(prefix, ()):
            ends_with_slash = len(route.path) > 1 and route.path.endswith("/")
            if ends_with_slash and not path.startswith(route.path):
                continue
            if not route.methods or method in route.methods:
                return route
        if not prefix:
            return None
        prefix = prefix.rpartition("/")[0]


def _is_for_any_method(route: Route) -> bool:
    return not route.methods


def _without_slash(path: str) -> str:
    return path.rstrip("/")


def _without_port(host: str) -> str:
    if host.startswith("["):
        return host.partition("]")[0] + "]"
    return host.partition(":")[0]
