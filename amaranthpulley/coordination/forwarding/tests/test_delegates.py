"""Tests of the selection of delegates and of the division among all daemons."""

import itertools
import unittest

import hypothesis
import hypothesis.strategies as st

from amaranthpulley.coordination.forwarding import connection_shares, delegates, events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway

REGIONS = {"a1": "a", "a2": "a", "b1": "b"}
SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=60
)


def _member(domain: str, number: int, speed: float = 0.5) -> gateway.Member:
    return gateway.Member(domain, f"{domain}-{number}:1", f"{domain}-{number}:2", speed)


def _fleet(**sizes: int) -> dict[str, gateway.Member]:
    """Return the members of domains with so many daemons; the first ones are fast."""
    return {
        f"{domain}-{number}": _member(domain, number, 2.0 if number < 2 else 0.5)
        for domain, size in sizes.items()
        for number in range(size)
    }


def _daemon(name: str, members: dict[str, gateway.Member]) -> gateway.Gateway:
    domain = members[name].failure_domain
    place = gateway.Place(name, domain, REGIONS[domain], REGIONS)
    state = gateway.Gateway(place, gateway.Limits(), 0)
    for other, member in members.items():
        state.set_member(other, member)
    state.sharded_services = gateway_site.SHARDS
    return state


class DelegatesTest(unittest.TestCase):
    """Selection of the daemons that run sharded requests for the others."""

    def test_fast_daemons_are_selected_and_all_daemons_agree(self) -> None:
        members = _fleet(a1=20, b1=9)
        for name in members:
            fleet = delegates.fleet_of(_daemon(name, members))
            self.assertEqual(set(fleet.delegates["a1"]), {"a1-0", "a1-1"})
            self.assertEqual(set(fleet.delegates["b1"]), {"b1-0", "b1-1"})

    def test_their_number_grows_with_the_domain(self) -> None:
        cases = [(8, 2), (20, 2), (35, 3), (830, 83)]
        for size, expected in cases:
            with self.subTest(size=size):
                members = _fleet(a1=size)
                fleet = delegates.fleet_of(_daemon("a1-0", members))
                self.assertEqual(len(fleet.delegates["a1"]), expected)

    def test_phases_for_a_leaf_are_evenly_spaced(self) -> None:
        """Daemons that start together must not send their first requests together."""
        members = _fleet(a1=5, b1=3)
        phases = sorted(
            delegates.phase_of(_daemon(name, members), "leaf") for name in members
        )
        gaps = [b - a for a, b in itertools.pairwise(phases)]
        for gap in gaps:
            self.assertAlmostEqual(gap, 1 / len(members))

    def test_small_domains_have_none(self) -> None:
        members = _fleet(a1=7, b1=2)
        state = _daemon("a1-5", members)
        self.assertEqual(delegates.own_delegates(state), ())
        self.assertTrue(delegates.runs_searches(state))

    def test_a_delegate_hands_nothing_over(self) -> None:
        members = _fleet(a1=10)
        self.assertEqual(delegates.own_delegates(_daemon("a1-0", members)), ())
        others = delegates.own_delegates(_daemon("a1-7", members))
        self.assertEqual(set(others), {"a1-0", "a1-1"})

    def test_daemons_of_earlier_releases_are_not_selected(self) -> None:
        members = _fleet(a1=12)
        for number in range(2):
            members[f"a1-{number}"] = gateway.Member("a1", "old:1")
        fleet = delegates.fleet_of(_daemon("a1-5", members))
        self.assertFalse({"a1-0", "a1-1"} & set(fleet.delegates["a1"]))

    @SETTINGS
    @hypothesis.given(st.integers(1, 30), st.integers(0, 30), st.integers(0, 12))
    def test_the_allowances_never_add_up_to_more_than_one(
        self, first: int, second: int, third: int
    ) -> None:
        members = _fleet(a1=first, a2=second, b1=third)
        for service in ("shard-0", "visits"):
            total = sum(
                delegates.allowance(_daemon(name, members), service, 0)
                for name in members
            )
            self.assertAlmostEqual(total, 1.0)

    def test_a_daemon_whose_registration_has_lapsed_has_none(self) -> None:
        members = _fleet(a1=10)
        state = _daemon("a1-5", members)
        state.registered_until_ms = 30_000
        self.assertGreater(delegates.allowance(state, "shard-0", 29_999), 0.0)
        # It was paused, or the store was out of reach, for longer than that.
        self.assertEqual(delegates.allowance(state, "shard-0", 30_000), 0.0)
        state.registered_until_ms = 60_000
        state.set_member("a1-5", None)
        self.assertEqual(delegates.allowance(state, "shard-0", 30_000), 0.0)


class ConnectionSharesTest(unittest.TestCase):
    """Division of a leaf's connections, 40 in these tests, among the daemons."""

    def _kept(self, members: dict[str, gateway.Member], service: str) -> list[int]:
        """Return for each leaf the connections that all daemons keep to it."""
        totals = [0, 0, 0]
        found = gateway_site.configuration(gateway_site.route(), gateway_site.single())
        for name in members:
            state = _daemon(name, members)
            site = gateway_site.GatewaySite()
            site.gateway = state
            site.feed(events.ConfigurationRead(found))
            for number, domain in enumerate(("a1", "a2", "b1")):
                entry = gateway_site.entry(f"leaf-{number}", service, domain)
                site.feed(events.LeafWritten(entry))
            for number in range(3):
                leaf = state.directory.get(f"leaf-{number}")
                totals[number] += connection_shares.kept_connections(state, leaf)
        return totals

    def test_no_leaf_gets_more_than_it_accepts(self) -> None:
        cases = [
            ("few daemons", _fleet(a1=2, b1=2)),
            ("as many as connections", _fleet(a1=7, a2=7, b1=7)),
            ("delegates", _fleet(a1=30, a2=30, b1=30)),
        ]
        for name, members in cases:
            for service in ("shard-0", "visits"):
                with self.subTest(name, service=service):
                    for total in self._kept(members, service):
                        self.assertLessEqual(total, 40)
                        self.assertGreater(total, 20)

    def test_more_daemons_than_connections_share_them(self) -> None:
        members = _fleet(a1=90, b1=90)
        totals = self._kept(members, "visits")
        self.assertLessEqual(max(totals), 48)

    def test_only_runners_keep_connections_to_sharded_services(self) -> None:
        members = _fleet(a1=30)
        state = _daemon("a1-20", members)
        found = gateway_site.configuration(gateway_site.route())
        site = gateway_site.GatewaySite()
        site.gateway = state
        site.feed(events.ConfigurationRead(found))
        site.feed(events.LeafWritten(gateway_site.entry("leaf", "shard-0")))
        leaf = state.directory.get("leaf")
        self.assertEqual(connection_shares.kept_connections(state, leaf), 0)
        self.assertGreater(connection_shares.maximum_concurrency(state, leaf), 0)
