"""Replays of overload: waiting calls, their order, and refusals."""

import unittest

from amaranthpulley.coordination.forwarding import (
    attempt_dispatch,
    commands,
    connection_shares,
    events,
)
from amaranthpulley.coordination.forwarding.overload import admission
from amaranthpulley.coordination.forwarding.overload.tests import overloaded_site
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import requests

LEAVES = 3
WORK_MS = 60
OBJECTIVE_MS = 300
# Requests a second that the leaves can run: two slots each.
CAPACITY_PER_S = 1000 * 2 * LEAVES // WORK_MS


class BurstTest(unittest.TestCase):
    """More requests than the leaves can run, for a while or for long."""

    def _play(self, load: float, seconds: float) -> tuple:
        """Send every fourth request with the urgent rank."""
        site = overloaded_site.OverloadedSite(LEAVES, WORK_MS)
        for _ in range(5):
            site.ask()
            site.advance(WORK_MS)
        keys: dict[bool, list[int]] = {True: [], False: []}
        interval_ms = 1000 / (CAPACITY_PER_S * load)
        sent = 0
        for passed_ms in range(int(seconds * 1000)):
            while sent * interval_ms <= passed_ms:
                urgent = sent % 4 == 0
                keys[urgent].append(site.ask("/urgent/1" if urgent else "/visit/1"))
                sent += 1
            site.advance(1)
        site.advance(2_000)
        return site, keys[True], keys[False]

    def test_a_short_burst_is_served_in_the_order_of_rank(self) -> None:
        for load in (1.4, 1.8):
            with self.subTest(load=load):
                site, urgent, usual = self._play(load, 0.5)
                self.assertEqual(site.served_in_time(urgent), 1.0)
                asked = urgent + usual
                possible = CAPACITY_PER_S * (0.5 + OBJECTIVE_MS / 1000)
                served = site.served_in_time(asked) * len(asked)
                self.assertGreater(served, 0.8 * min(len(asked), possible))

    def test_no_rank_starves_a_more_urgent_one_under_standing_overload(self) -> None:
        site, urgent, usual = self._play(1.8, 4.0)
        self.assertGreater(site.served_in_time(urgent), 0.95)
        self.assertGreater(site.served_in_time(urgent), site.served_in_time(usual))
        self.assertGreater(site.served_in_time(usual), 0.1)

    def test_every_refusal_is_true_and_says_when_to_return(self) -> None:
        site, urgent, usual = self._play(3.0, 4.0)
        refused = site.refusals(urgent + usual)
        self.assertTrue(refused)
        for refusal in refused:
            if refusal.not_run:
                self.assertNotIn(refusal.request_key, site.started)
            self.assertGreater(refusal.retry_after_ms, 0)

    def test_the_queue_is_bounded_by_what_can_still_be_served(self) -> None:
        site, _, _ = self._play(3.0, 4.0)
        self.assertEqual(site.site.gateway.requests, {})
        self.assertEqual(site.site.gateway.waiting.services, [])


class WaitingTest(unittest.TestCase):
    """What wakes a waiting call, and which one."""

    def setUp(self) -> None:
        self.site = gateway_site.GatewaySite()
        urgent = gateway_site.single(name="urgent", prefix="/urgent/", priority=0)
        found = gateway_site.configuration(gateway_site.single(), urgent)
        self.site.begin(found, gateway_site.entry("only", "visits"))
        member = self.site.gateway.directory.get("only")
        self.room = connection_shares.maximum_concurrency(self.site.gateway, member)
        self.first = [self.site.request("/visit/1") for _ in range(self.room)]

    def test_an_answer_wakes_the_most_urgent_call_at_once(self) -> None:
        usual = self.site.request("/visit/1")
        urgent = self.site.request("/urgent/1")
        self.assertEqual(self.site.sends_of(urgent), [])
        (sent,) = self.site.sends_of(self.first[0])
        self.site.reply(sent, gateway_site.answer())
        self.assertEqual(len(self.site.sends_of(urgent)), 1)
        self.assertEqual(self.site.sends_of(usual), [])

    def test_a_call_that_another_attempt_answers_does_not_wait_on(self) -> None:
        site = gateway_site.GatewaySite()
        entries = [
            gateway_site.entry(f"{service}-{number}", service)
            for service in gateway_site.SHARDS
            for number in range(2)
        ]
        site.begin(gateway_site.configuration(gateway_site.route()), *entries)
        key = site.request()
        first = site.sends_of(key)[0]
        for number in range(2):
            leaf = site.gateway.directory.get(f"{gateway_site.SHARDS[0]}-{number}")
            leaf.full_until_ms = site.now_ms + 60
        call = site.gateway.requests[key].calls[0]
        call.sends = 0
        request = site.gateway.requests[key]
        attempt_dispatch.send_to_best_leaf(
            site.gateway, request, 0, site.now_ms, site.random.random
        )
        self.assertIsNotNone(call.waiting)
        site.reply(first, gateway_site.answer())
        site.advance(70)
        self.assertEqual(site.gateway.waiting.services, [])
        sends = [
            s for s in site.sends_of(key) if s.command.leaf_id.startswith("shard-0")
        ]
        self.assertEqual(len(sends), 1)

    def test_calls_that_can_meet_their_objective_go_first(self) -> None:
        late = self.site.request("/visit/1")
        self.site.advance(gateway_site.single().objective_ms)
        timely = self.site.request("/visit/1")
        (sent,) = self.site.sends_of(self.first[0])
        self.site.reply(sent, gateway_site.answer())
        self.assertEqual(len(self.site.sends_of(timely)), 1)
        self.assertEqual(self.site.sends_of(late), [])

    def test_a_leaf_that_is_back_wakes_them(self) -> None:
        waiting = self.site.request("/visit/1")
        self.site.feed(events.LeafWritten(gateway_site.entry("new", "visits")))
        self.site.advance(100)
        self.assertEqual(len(self.site.sends_of(waiting)), 1)

    def test_a_call_that_comes_too_late_is_refused_before_its_deadline(self) -> None:
        waiting = self.site.request("/visit/1", deadline_ms=200)
        self.site.advance(200 - 20 - 1)
        refused = self.site.answers[waiting]
        self.assertTrue(refused.not_run)
        self.assertEqual(self.site.sends_of(waiting), [])

    def test_an_arrival_does_not_take_the_place_of_a_more_urgent_call(self) -> None:
        """Tokens of a cold leaf come without an event that wakes waiting calls."""
        site = self.site
        found = site.gateway.configuration
        limits = found.services["visits"]._replace(cold_requests_per_second=40.0)
        services = {**found.services, "visits": limits}
        site.feed(
            events.ConfigurationRead(found._replace(version=2, services=services))
        )
        site.feed(
            events.LeafWritten(gateway_site.entry("cold", "visits", cold_ms=5_000))
        )
        while site.sends_of(site.request("/visit/1")):
            pass
        urgent = site.request("/urgent/1")
        self.assertEqual(site.sends_of(urgent), [])
        before = len(site.sent)
        while len(site.sent) == before:
            site.advance(1)
            site.request("/visit/1")
        self.assertEqual(site.sent[before].command.request_key, urgent)

    def test_waiting_calls_are_not_polled_often(self) -> None:
        self.site.request("/visit/1")
        wakes = 0

        def count(event: events.Event, feed=self.site.feed) -> None:  # noqa: ANN001
            nonlocal wakes
            wakes += isinstance(event, events.WakeDue)
            feed(event)

        self.site.feed = count
        self.site.advance(400)
        calls = self.room + 1
        interval_ms = attempt_dispatch.LONGEST_WAIT_CHECK_MS
        self.assertLessEqual(wakes, calls * 400 // interval_ms)


class AdmissionTest(unittest.TestCase):
    """Requests that are refused on arrival."""

    def test_leaves_that_are_full_for_longer_than_the_deadline(self) -> None:
        site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.single())
        site.begin(found, gateway_site.entry("only", "visits"))
        site.gateway.directory.get("only").full_until_ms = site.now_ms + 500
        key = site.request("/visit/1", deadline_ms=300)
        refused = site.answers[key]
        self.assertEqual(refused.reason, commands.Refusal.OVERLOADED)
        self.assertTrue(refused.not_run)

    def test_all_leaves_of_a_service_are_lost(self) -> None:
        site = gateway_site.GatewaySite()
        site.begin(gateway_site.configuration(gateway_site.single()))
        key = site.request("/visit/1")
        refused = site.answers[key]
        self.assertEqual(refused.reason, commands.Refusal.NO_LEAF)
        self.assertGreater(refused.retry_after_ms, 0)

    def test_refused_clients_return_in_the_order_of_rank_and_spread(self) -> None:
        times = [
            [admission.return_after_ms(rank, 100.0, 2_000, key) for key in range(50)]
            for rank in range(3)
        ]
        means = [sum(found) / len(found) for found in times]
        self.assertEqual(means, sorted(means))
        for found in times:
            self.assertGreater(len(set(found)), 30)
            self.assertGreaterEqual(max(found) - min(found), 40)

    def test_no_client_is_told_a_time_that_it_would_not_honour(self) -> None:
        for left_ms in (1, 30, 300, 3_000):
            after_ms = admission.return_after_ms(2, 5_000.0, left_ms, 7)
            self.assertLessEqual(after_ms, max(1, left_ms / 3))


class StartTest(unittest.TestCase):
    """Requests that come before the configuration is read."""

    def test_clients_return_within_the_time_that_they_have(self) -> None:
        site = gateway_site.GatewaySite()
        site.gateway.started_ms = site.now_ms
        for deadline_ms, most_ms in ((300, 100), (3_000, 350), (None, 350)):
            with self.subTest(deadline_ms=deadline_ms):
                refused = site.answers[site.request("/visit/1", deadline_ms)]
                self.assertEqual(refused.reason, commands.Refusal.NO_CONFIGURATION)
                self.assertLessEqual(refused.retry_after_ms, most_ms)
                self.assertGreater(refused.retry_after_ms, 0)

    def test_clients_return_later_while_the_store_is_away(self) -> None:
        # A client that repeats once must not return before the store does.
        for waited_ms, least_ms in ((50, 200), (600, 600), (5_000, 1_000)):
            with self.subTest(waited_ms=waited_ms):
                site = gateway_site.GatewaySite()
                site.gateway.started_ms = site.now_ms - waited_ms
                refused = site.answers[site.request("/visit/1", 8_000)]
                self.assertGreaterEqual(refused.retry_after_ms, least_ms)
                self.assertLessEqual(refused.retry_after_ms, 8_000 / 3)


class ShedTest(unittest.TestCase):
    """Leaves that reject requests."""

    def test_a_shed_request_is_sent_again_when_the_pause_of_the_leaf_ends(self) -> None:
        site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.single())
        site.begin(found, gateway_site.entry("only", "visits"))
        key = site.request("/visit/1")
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.REJECTED)
        site.reply(site.sends_of(site.request("/visit/1"))[0], gateway_site.REJECTED)
        until_ms = site.gateway.directory.get("only").full_until_ms
        site.advance(until_ms - site.now_ms)
        self.assertGreaterEqual(len(site.sends_of(key)), 2)
