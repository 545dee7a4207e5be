"""Replays of bursts of gathered requests, and those that are refused on arrival."""

import unittest
from unittest import mock

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.overload import admission
from amaranthpulley.coordination.forwarding.overload.tests import gathered_site
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import requests

CALM_MS = 1_000
AFTER_MS = 2_000


def _no_wait(*_arguments: object) -> float:
    """Expect no wait, as before there was an estimate."""
    return 0.0


def _play(shards: int, load: float, for_ms: int) -> tuple:
    """Return the site and the clients of a calm, a burst and the calm after it."""
    site = gathered_site.GatheredSite(shards)
    calm = site.play(1.0, CALM_MS)
    burst = site.play(load, for_ms)
    after = site.play(1.0, CALM_MS)
    site.play(0.0, AFTER_MS)
    return site, calm, burst, after


class GatheredBurstTest(unittest.TestCase):
    """All requests of a burst get some parts in time, few all that they need."""

    def _compare(self, shards: int, load: float, for_ms: int) -> tuple:
        with mock.patch.object(admission, "gathered_answer_ms", _no_wait):
            site, _, burst, _ = _play(shards, load, for_ms)
            before = site.shares(burst)
        site, calm, burst, after = _play(shards, load, for_ms)
        self.assertEqual(site.shares(calm), (1.0, 1.0))
        self.assertGreater(site.shares(after)[1], 0.9)
        return before, site.shares(burst)

    def test_a_burst_that_the_leaves_can_bear_is_served_as_before(self) -> None:
        for shards in (10, 36):
            with self.subTest(shards=shards):
                before, after = self._compare(shards, 1.7, 3_000)
                self.assertEqual(after[0], 1.0)
                self.assertGreater(after[1], before[1] - 0.02)

    def test_more_requests_of_a_large_burst_are_served_and_in_time(self) -> None:
        for shards, for_ms in ((10, 5_000), (36, 3_000)):
            with self.subTest(shards=shards):
                before, after = self._compare(shards, 2.6, for_ms)
                self.assertGreater(after[0], before[0] + 0.05)
                self.assertGreater(after[1], before[1] + 0.05)

    def test_a_refused_request_has_not_run_and_may_return(self) -> None:
        site, _, _, _ = _play(10, 2.6, 3_000)
        refused = [r for r in site.refusals if r.not_run]
        self.assertTrue(refused)
        sent = {attempt.command.request_key for attempt in site.site.sent}
        for refusal in refused:
            self.assertNotIn(refusal.request_key, sent)
            self.assertGreater(refusal.retry_after_ms, 0)


class CalmTest(unittest.TestCase):
    """A gathered request is refused although the leaves have room."""

    def test_none_is_refused_or_deferred_at_the_usual_rate(self) -> None:
        for shards in (10, 36):
            with self.subTest(shards=shards):
                site = gathered_site.GatheredSite(shards, seed=2)
                clients = site.play(1.3, 4_000)
                site.play(0.0, AFTER_MS)
                self.assertEqual(site.refusals, [])
                self.assertGreater(site.shares(clients)[1], 0.99)

    def test_one_shard_that_the_coverage_does_not_need_refuses_nothing(self) -> None:
        site = gathered_site.GatheredSite(10)
        for leaf in site.site.gateway.directory.of_service("shard-3"):
            leaf.full_until_ms = site.site.now_ms + 1_000
        clients = site.play(1.0, 500)
        site.play(0.0, AFTER_MS)
        self.assertEqual(site.shares(clients)[0], 1.0)

    def test_only_shards_with_waiting_calls_are_looked_at(self) -> None:
        # The estimate is on the path of every request: it must cost nothing in calm.
        site = gathered_site.GatheredSite(36)
        with mock.patch.object(
            admission, "expected_answer_ms", side_effect=AssertionError
        ):
            site.play(1.0, 500)


class CoverageOutOfReachTest(unittest.TestCase):
    """A request that cannot reach its coverage keeps places that others need."""

    def test_its_places_are_free_at_once(self) -> None:
        site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.route(minimum_coverage=1.0))
        entries = [gateway_site.entry(name, name) for name in gateway_site.SHARDS]
        site.begin(found, *entries)
        first, second, third = gateway_site.SHARDS
        site.gateway.directory.get(third).full_until_ms = site.now_ms + 300
        key = site.request()
        opening = next(s for s in site.sends_of(key) if s.command.leaf_id == second)
        site.feed(events.AttemptOpening(opening.command.attempt))
        self.assertEqual(site.gateway.waiting.services, [third])
        site.feed(events.LeafDeleted(first))
        failed = next(s for s in site.sends_of(key) if s.command.leaf_id == first)
        site.fail(failed, requests.AttemptEnd.UNREACHABLE)
        self.assertIn(key, site.answers)
        self.assertEqual(site.gateway.waiting.services, [])
        cancelled = commands.CancelAttempt(opening.command.attempt)
        self.assertIn(cancelled, site.others)
        self.assertEqual(site.gateway.directory.get(second).in_flight, 0)
