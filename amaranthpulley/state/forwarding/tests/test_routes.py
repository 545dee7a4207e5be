"""Tests of the route lookup."""

import unittest

from amaranthpulley.state.forwarding import routes

HOST = "search.example"


def _configuration(**prefixes: str) -> routes.Configuration:
    """Return a configuration of routes with the given names and prefixes."""
    table = {
        prefix: routes.Route(
            *(name, HOST, prefix, True, 800, 130, 1, 2, (), ("s",), 5, 0.5),
            frozenset(),
        )
        for name, prefix in prefixes.items()
    }
    return routes.Configuration(1, {HOST: table}, {}, routes.ClientLimits())


class FindRouteTest(unittest.TestCase):
    """Lookup by host and longest prefix."""

    def test_the_longest_prefix_is_selected(self) -> None:
        found = _configuration(all="/", a="/a/", ab="/a/b/")
        cases = {
            "/": "all",
            "/x": "all",
            "/a": "all",
            "/a/": "a",
            "/a/x": "a",
            "/a/b": "a",
            "/a/b/c/d": "ab",
            "/ab/": "all",
        }
        for path, name in cases.items():
            with self.subTest(path):
                route = routes.find_route(found, HOST, path)
                self.assertEqual(route.name, name)

    def test_other_hosts_have_no_route(self) -> None:
        found = _configuration(wide="/wide/")
        self.assertIsNone(routes.find_route(found, "other.example", "/wide/1"))
        self.assertIsNone(routes.find_route(found, HOST, "/wide"))
