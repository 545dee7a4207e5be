"""Tests of the selection of leaves."""

import unittest

from amaranthpulley.coordination.forwarding import commands, events, leaf_health
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import gateway, requests


class LeafSelectionTest(unittest.TestCase):
    """Selection among the leaves of one service."""

    def setUp(self) -> None:
        self.site = gateway_site.GatewaySite()

    def _begin(self, *entries: object, **route: object) -> None:
        found = gateway_site.configuration(gateway_site.single(**route))
        self.site.begin(found, *entries)

    def _selected(self) -> str | None:
        key = self.site.request("/visit/1")
        sends = self.site.sends_of(key)
        return sends[0].command.leaf_id if sends else None

    def test_a_leaf_of_the_own_region_is_preferred(self) -> None:
        near = gateway_site.entry("near", "visits", "a1")
        self._begin(gateway_site.entry("far", "visits", "b1"), near)
        self.assertEqual(self._selected(), "near")

    def test_only_regions_that_the_route_allows_are_used(self) -> None:
        near = gateway_site.entry("near", "visits", "a1")
        far = gateway_site.entry("far", "visits", "b1")
        self._begin(near, far, regions=frozenset({"b"}))
        self.assertEqual(self._selected(), "far")

    def test_leaves_of_an_evacuated_domain_get_no_requests(self) -> None:
        self._begin(gateway_site.entry("near", "visits", "a1"))
        self.site.feed(events.EvacuationChanged("a1", True))
        self.assertIsNone(self._selected())
        self.site.feed(events.EvacuationChanged("a1", False))
        self.assertEqual(self._selected(), "near")

    def test_a_draining_leaf_is_used_last_and_not_after_the_drain_time(self) -> None:
        self._begin(
            gateway_site.entry("leaving", "visits", draining=True),
            gateway_site.entry("staying", "visits", "b1"),
        )
        self.assertEqual(self._selected(), "staying")
        self.site.feed(events.LeafDeleted("staying"))
        self.site.advance(1_500)
        self.assertIsNotNone(self._selected())
        self.site.advance(self.site.gateway.limits.drain_ms)
        self.assertIsNone(self._selected())

    def test_a_leaf_whose_entry_returns_is_used_again(self) -> None:
        entry = gateway_site.entry("l", "visits")
        self._begin(entry)
        self.site.feed(events.LeafDeleted("l"))
        self.site.advance(1_500)
        self.site.feed(events.LeafWritten(entry))
        self.site.advance(5_000)
        self.assertEqual(self._selected(), "l")

    def test_a_leaf_whose_entry_stays_deleted_is_removed(self) -> None:
        self._begin(gateway_site.entry("l", "visits"))
        self.site.feed(events.LeafDeleted("l"))
        self.site.advance(2_500)
        self.assertEqual(self.site.gateway.directory.all(), [])

    def test_a_restarted_leaf_with_the_same_identity_is_not_suspected(self) -> None:
        self._begin(gateway_site.entry("l", "visits"))
        key = self.site.request("/visit/1")
        self.site.fail(self.site.sends_of(key)[0], requests.AttemptEnd.UNREACHABLE)
        self.assertTrue(self.site.gateway.directory.get("l").suspected)
        restarted = gateway_site.entry("l", "visits", born_ms=2_000)
        self.site.feed(events.LeafWritten(restarted))
        self.assertFalse(self.site.gateway.directory.get("l").suspected)

    def test_new_requests_avoid_a_paused_leaf(self) -> None:
        self._begin(
            gateway_site.entry("near", "visits", "a1"),
            gateway_site.entry("far", "visits", "b1"),
        )
        self.assertEqual(self._selected(), "near")
        # The near leaf is overdue after this time; the far one would not be.
        self.site.advance(45)
        self.assertEqual(self._selected(), "far")

    def test_a_leaf_is_removed_when_another_answers_at_its_address(self) -> None:
        self._begin(gateway_site.entry("l", "visits"))
        key = self.site.request("/visit/1")
        wrong_leaf = gateway_site.answer(421, signature=b"", not_run=True)
        self.site.reply(self.site.sends_of(key)[0], wrong_leaf)
        self.assertIsNone(self.site.gateway.directory.get("l"))

    def test_a_replaced_leaf_whose_entry_is_written_anew_is_used(self) -> None:
        entry = gateway_site.entry("l", "visits")
        self._begin(entry)
        self.site.feed(events.ProbeEnded("l", False, replaced=True))
        self.assertIsNone(self._selected())
        self.site.feed(events.LeafWritten(entry._replace(address="l:2")))
        self.assertEqual(self._selected(), "l")

    def test_a_daemon_uses_its_share_of_the_connections(self) -> None:
        self._begin(gateway_site.entry("l", "visits"))
        for number in range(2, 11):
            member = gateway.Member("a1", "")
            self.site.feed(events.MemberChanged(f"vm-{number}", member))
        chosen = [self._selected() for _ in range(6)]
        # 40 connections for ten daemons, of which a tenth is reserved.
        self.assertEqual(chosen.count("l"), 3)


class WeightTest(unittest.TestCase):
    """Selection among weighted services."""

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
    """Suspicion of unresponsive leaves."""

    def test_an_unresponsive_leaf_is_probed_and_used_again(self) -> None:
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


class UnreachableLeafTest(unittest.TestCase):
    """Leaves to which no connection can be opened."""

    def setUp(self) -> None:
        self.site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.single())
        entries = [gateway_site.entry(f"l{n}", "visits") for n in range(2)]
        self.site.begin(found, *entries)

    def _fail_all(self, key: int) -> list[str]:
        """Let no leaf be reached; return the leaves that the request was sent to."""
        tried = 0
        while tried < len(self.site.sends_of(key)):
            sent = self.site.sends_of(key)[tried]
            self.site.fail(sent, requests.AttemptEnd.UNREACHABLE)
            tried += 1
        return [sent.command.leaf_id for sent in self.site.sends_of(key)]

    def test_a_request_tries_each_leaf_once_and_ends_at_once(self) -> None:
        key = self.site.request("/visit/1")
        self.assertEqual(sorted(self._fail_all(key)), ["l0", "l1"])
        self.assertTrue(self.site.answers[key].not_run)

    def test_the_next_request_is_refused_unsent_with_a_time(self) -> None:
        self._fail_all(self.site.request("/visit/1"))
        key = self.site.request("/visit/2")
        self.assertEqual(self.site.sends_of(key), [])
        self.assertTrue(self.site.answers[key].not_run)
        self.assertGreater(self.site.answers[key].retry_after_ms, 0)

    def test_a_leaf_is_tried_again_after_a_moment(self) -> None:
        self._fail_all(self.site.request("/visit/1"))
        self.site.advance(leaf_health.UNREACHABLE_PAUSE_MS)
        key = self.site.request("/visit/2")
        self.site.reply(self.site.sends_of(key)[0], gateway_site.answer())
        self.assertEqual(self.site.answers[key].answer.status, 200)

    def test_a_request_that_was_never_sent_ends_as_not_run(self) -> None:
        # Guards against a 502 or 504 for a request that has reached no leaf.
        key = self.site.request("/visit/1", deadline_ms=300)
        while key not in self.site.answers:
            for sent in self.site.sends_of(key):
                self.site.feed(events.AttemptOpening(sent.command.attempt))
            self.site.advance(1)
        self.assertTrue(self.site.answers[key].not_run)
        for sent in self.site.sends_of(key):
            cancelled = commands.CancelAttempt(sent.command.attempt)
            self.assertIn(cancelled, self.site.others)

    def test_a_request_that_was_sent_may_have_run(self) -> None:
        key = self.site.request("/visit/1", deadline_ms=300)
        for sent in self.site.sends_of(key):
            self.site.feed(events.AttemptOpening(sent.command.attempt))
            self.site.feed(events.AttemptSent(sent.command.attempt))
        self.site.advance(300)
        self.assertFalse(self.site.answers[key].not_run)

    def test_a_healthy_leaf_is_used_at_once(self) -> None:
        self._fail_all(self.site.request("/visit/1"))
        self.site.feed(events.ProbeEnded("l1", True))
        key = self.site.request("/visit/2")
        self.assertEqual(self.site.sends_of(key)[0].command.leaf_id, "l1")
