"""Test which route a request matches."""

import pytest
import traffic_values as values

from pimentobend_core._internal.models.tables import Route
from pimentobend_core._internal.models.tables import Tables
from pimentobend_core._internal.traffic.routing import RouteMatcher

ROUTES = (
    values.create_route("any", path="/"),
    values.create_route("kilns", path="/kilns"),
    values.create_route("kiln-book", path="/kilns/book/", methods=("POST",)),
    values.create_route("kiln-any", path="/kilns/book"),
    values.create_route("museum", host="museum.example", path="/kilns"),
    values.create_route(
        "museum-get", host="Museum.Example", path="/", methods=("GET",)
    ),
)


@pytest.mark.parametrize(
    ("method", "host", "path", "expected"),
    [
        ("GET", "a.example", "/", "any"),
        ("GET", "a.example", "", "any"),
        ("GET", "a.example", "/signs", "any"),
        ("GET", "a.example", "/kilns", "kilns"),
        ("GET", "a.example", "/kilns/", "kilns"),
        ("GET", "a.example", "/kilns/7", "kilns"),
        ("GET", "a.example", "/kilnsite", "any"),
        ("POST", "a.example", "/kilns/book/7", "kiln-book"),
        ("GET", "a.example", "/kilns/book/7", "kiln-any"),
        ("GET", "a.example:8080", "/kilns/bookend", "kilns"),
        ("GET", "museum.example", "/kilns/book", "museum"),
        ("GET", "MUSEUM.example:80", "/signs", "museum-get"),
        ("POST", "museum.example", "/signs", "any"),
        ("GET", "[::1]:80", "/kilns", "kilns"),
    ],
)
def test_longest_match_wins(method: str, host: str, path: str, expected: str) -> None:
    route = RouteMatcher(Tables(1, 1, ROUTES, ())).match(method, host, path)
    assert route is not None
    assert route.name == expected


@pytest.mark.parametrize("routes", [(), ROUTES[3:4]], ids=["none", "other path"])
def test_no_match_returns_none(routes: tuple[Route, ...]) -> None:
    assert RouteMatcher(Tables(1, 1, routes, ())).match("GET", "a", "/x") is None


def test_many_routes_are_distinguished() -> None:
    routes = tuple(
        values.create_route(f"r{number}", f"h{number % 90}", f"/p{number}/x")
        for number in range(9000)
    )
    matcher = RouteMatcher(Tables(1, 1, routes, ()))
    for route in routes:
        assert matcher.match("GET", route.host, f"{route.path}/y/z") is route
