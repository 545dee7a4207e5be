"""Tests of the route lookup."""

import unittest

from amaranthpulley.state.forwarding import routes
from amaranthpulley.state.forwarding.client_accounts import accounts

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


class WithAccountTest(unittest.TestCase):
    """A route with the priority and the regions of an account."""

    def _route(self, **changes: object) -> routes.Route:
        route = _configuration(a="/a/").routes[HOST]["/a/"]
        return route._replace(priority=2)._replace(**changes)

    def _account(self, **changes: object) -> accounts.Account:
        usual = accounts.Account("red", None, frozenset(), 0.0, 0.0)
        return usual._replace(**changes)

    def test_ranks(self) -> None:
        cases = {(None, 2): (2, 0), (0, 2): (0, 2), (3, 0): (3, 0), (5, 1): (5, 1)}
        for (of_account, of_route), expected in cases.items():
            with self.subTest(account=of_account, route=of_route):
                route = self._route(priority=of_route)
                account = self._account(priority=of_account)
                found = routes.with_account(route, account)
                self.assertEqual(found.rank, expected)

    def test_regions(self) -> None:
        a, b, both = frozenset("a"), frozenset("b"), frozenset("ab")
        none: frozenset[str] = frozenset()
        cases = (
            *((none, none, none), (a, none, a), (none, a, a), (both, a, a)),
            *((a, both, a), (a, b, routes.NO_REGIONS)),
        )
        for of_account, of_route, expected in cases:
            with self.subTest(account=of_account, route=of_route):
                route = self._route(regions=of_route)
                account = self._account(regions=of_account)
                found = routes.with_account(route, account)
                self.assertEqual(found.regions, expected)

    def test_without_an_account_a_route_is_as_it_is(self) -> None:
        route = self._route()
        self.assertIs(routes.with_account(route, None), route)


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
