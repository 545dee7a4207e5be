"""Tests of the choice of leaves."""

import unittest

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, requests


class LeafChoiceTest(unittest.TestCase):
    """Which leaf gets a request."""

    def setUp(self) -> None:
        self.site = gateway_site.GatewaySite()

    def _begin(self, *entries: object, **route: object) -> None:
        found = gateway_site.configuration(gateway_site.single(**route))
        self.site.begin(found, *entries)

    def _chosen(self) -> str | None:
        key = self.site.request("/visit/1")
        sends = self.site.sends_of(key)
        return sends[0].command.leaf_id if sends else None

    def test_the_own_region_goes_first(self) -> None:
        near = gateway_site.entry("near", "visits", "a1")
        self._begin(gateway_site.entry("far", "visits", "b1"), near)
        self.assertEqual(self._chosen(), "near")

    def test_only_regions_that_the_route_allows_are_used(self) -> None:
        near = gateway_site.entry("near", "visits", "a1")
        far = gateway_site.entry("far", "visits", "b1")
        self._begin(near, far, regions=frozenset({"b"}))
        self.assertEqual(self._chosen(), "far")

    def test_an_evacuated_domain_gets_nothing(self) -> None:
        self._begin(gateway_site.entry("near", "visits", "a1"))
        self.site.feed(events.EvacuationChanged("a1", True))
        self.assertIsNone(self._chosen())
        self.site.feed(events.EvacuationChanged("a1", False))
        self.assertEqual(self._chosen(), "near")

    def test_a_draining_leaf_is_the_last_choice_and_soon_none(self) -> None:
        self._begin(
            gateway_site.entry("leaving", "visits", draining=True),
            gateway_site.entry("staying", "visits", "b1"),
        )
        self.assertEqual(self._chosen(), "staying")
        self.site.feed(events.LeafDeleted("staying"))
        self.site.advance(1_500)
        self.assertIsNotNone(self._chosen())
        self.site.advance(self.site.gateway.limits.drain_ms)
        self.assertIsNone(self._chosen())

    def test_an_entry_that_comes_back_is_used_again(self) -> None:
        entry = gateway_site.entry("l", "visits")
        self._begin(entry)
        self.site.feed(events.LeafDeleted("l"))
        self.site.advance(1_500)
        self.site.feed(events.LeafWritten(entry))
        self.site.advance(5_000)
        self.assertEqual(self._chosen(), "l")

    def test_an_entry_that_stays_away_is_forgotten(self) -> None:
        self._begin(gateway_site.entry("l", "visits"))
        self.site.feed(events.LeafDeleted("l"))
        self.site.advance(2_500)
        self.assertEqual(self.site.gateway.directory.all(), [])

    def test_a_new_start_under_the_same_identity_knows_nothing_of_before(self) -> None:
        self._begin(gateway_site.entry("l", "visits"))
        key = self.site.request("/visit/1")
        self.site.fail(self.site.sends_of(key)[0], requests.AttemptEnd.UNREACHABLE)
        self.assertTrue(self.site.gateway.directory.get("l").suspected)
        reborn = gateway_site.entry("l", "visits", born_ms=2_000)
        self.site.feed(events.LeafWritten(reborn))
        self.assertFalse(self.site.gateway.directory.get("l").suspected)

    def test_a_paused_leaf_is_passed_over_without_a_second_send(self) -> None:
        self._begin(
            gateway_site.entry("near", "visits", "a1"),
            gateway_site.entry("far", "visits", "b1"),
        )
        self.assertEqual(self._chosen(), "near")
        # Late enough for the near leaf, and not yet for the far one.
        self.site.advance(45)
        self.assertEqual(self._chosen(), "far")

    def test_a_wrong_leaf_is_forgotten_at_once(self) -> None:
        self._begin(gateway_site.entry("l", "visits"))
        key = self.site.request("/visit/1")
        self.site.fail(self.site.sends_of(key)[0], requests.AttemptEnd.WRONG_LEAF)
        self.assertIsNone(self.site.gateway.directory.get("l"))

    def test_connections_are_shared_between_daemons(self) -> None:
        self._begin(gateway_site.entry("l", "visits"))
        for number in range(2, 11):
            member = gateway.Member("a1", "")
            self.site.feed(events.MemberChanged(f"vm-{number}", member))
        chosen = [self._chosen() for _ in range(6)]
        # 40 connections for ten daemons, of which a tenth is left free.
        self.assertEqual(chosen.count("l"), 3)


class WeightTest(unittest.TestCase):
    """Shares of several services."""

    def test_each_service_gets_its_share(self) -> None:
        site = gateway_site.GatewaySite()
        weighted = (
            gateway_site.routes.WeightedService("visits", 3.0),
            gateway_site.routes.WeightedService("others", 1.0),
        )
        found = gateway_site.configuration(gateway_site.single(services=weighted))
        site.begin(
            found,
            gateway_site.entry("v", "visits"),
            gateway_site.entry("o", "others"),
        )
        for _ in range(200):
            key = site.request("/visit/1")
            site.reply(site.sends_of(key)[0], gateway_site.answer())
        others = sum(sent.command.leaf_id == "o" for sent in site.sent)
        self.assertAlmostEqual(others / len(site.sent), 0.25, delta=0.02)


class SuspectedLeafTest(unittest.TestCase):
    """Leaves that stay silent."""

    def test_a_silent_leaf_is_checked_and_used_again(self) -> None:
        site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.single())
        site.begin(found, gateway_site.entry("l", "visits"))
        site.request("/visit/1")
        site.advance(1_500)
        self.assertTrue(site.gateway.directory.get("l").suspected)
        probes = [c for c in site.others if type(c).__name__ == "ProbeLeaf"]
        self.assertEqual(len(probes), 1)
        site.feed(events.ProbeEnded("l", True))
        self.assertFalse(site.gateway.directory.get("l").suspected)
