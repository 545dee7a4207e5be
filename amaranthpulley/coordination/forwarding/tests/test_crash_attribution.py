"""Tests of requests that crash the leaves that run them."""

import unittest

from amaranthpulley.coordination.forwarding import (
    commands,
    crash_attribution,
    events,
)
from amaranthpulley.coordination.forwarding.tests import crash_site, gateway_site
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import crashes, requests


class CrashingRequestTest(unittest.TestCase):
    """A daemon that loses leaves under one request."""

    def test_a_request_is_refused_unsent_after_three_lost_leaves(self) -> None:
        site = crash_site.begin()
        for _ in range(2):
            crash_site.lose_all(site)
        key = site.request("/visit/1", fingerprints=(7,))
        self.assertEqual(site.sends_of(key), [])
        self.assertIs(site.answers[key].reason, commands.Refusal.CRASHES_LEAVES)
        lost = site.logs_of(log_events.REQUEST_LOST_LEAF)
        self.assertEqual([line["leaves"] for line in lost], [1, 2, 3])
        self.assertEqual({line["fingerprint"] for line in lost}, {f"{7:016x}"})

    def test_it_is_not_sent_again_once_it_is_refused(self) -> None:
        site = crash_site.begin()
        for start in range(crash_attribution.CRASH_LIMIT - 1):
            site.feed(events.LossPublished(crashes.Loss(7, start, later=True)))
        self.assertEqual(len(crash_site.lose_all(site)), 1)
        site.advance(1_000)
        self.assertEqual(len(site.sent), 1)
        (answer,) = site.answers.values()
        self.assertIs(answer.reason, commands.Refusal.OUTCOME_UNKNOWN)

    def test_a_running_request_gets_no_hedge_once_it_is_refused(self) -> None:
        site = crash_site.begin()
        site.request("/visit/1", fingerprints=(7,))
        for start in range(crash_attribution.CRASH_LIMIT):
            site.feed(events.LossPublished(crashes.Loss(7, start, later=True)))
        site.advance(700)
        self.assertEqual(len(site.sent), 1)

    def test_a_waiting_request_is_refused_at_once(self) -> None:
        site = gateway_site.GatewaySite()
        route = gateway_site.single()
        entry = gateway_site.entry("l0", "visits", slots=1)
        site.begin(gateway_site.configuration(route), entry)
        while not site.gateway.waiting.of_service("visits"):
            key = site.request("/visit/1", fingerprints=(len(site.sent) + 100,))
        fingerprint = site.gateway.requests[key].incoming.fingerprints[0]
        for start in range(crash_attribution.CRASH_LIMIT):
            loss = crashes.Loss(fingerprint, start, later=True)
            site.feed(events.LossPublished(loss))
        site.advance(100)
        self.assertIs(site.answers[key].reason, commands.Refusal.CRASHES_LEAVES)
        self.assertTrue(site.answers[key].not_run)
        self.assertEqual(site.answers[key].retry_after_ms, 0)

    def test_losses_under_different_queries_of_a_path_count(self) -> None:
        site = crash_site.begin()
        for query in range(3):
            self.assertFalse(crash_site.is_refused(site, (100 + query, 7)))
            site.fail(site.sent[-1], requests.AttemptEnd.LOST)
            site.advance(1_000)
        self.assertTrue(crash_site.is_refused(site, (200, 7)))

    def test_an_answer_to_another_query_clears_the_path_alone(self) -> None:
        site = crash_site.begin()
        for start in range(crash_attribution.CRASH_LIMIT):
            for fingerprint in (100, 7):
                loss = crashes.Loss(fingerprint, start, later=True)
                site.feed(events.LossPublished(loss))
        site.feed(events.LossWithdrawn(crashes.Loss(7, 0, later=True)))
        self.assertFalse(crash_site.is_refused(site, (200, 7)))
        site.reply(site.sent[-1], gateway_site.answer())
        self.assertEqual(len(crash_site.withdrawn(site)), 2)
        self.assertTrue(crash_site.is_refused(site, (100, 7)))

    def test_each_start_of_a_leaf_counts(self) -> None:
        site = gateway_site.GatewaySite()
        entry = gateway_site.entry("l0", "visits")
        route = gateway_site.single(maximum_leaves=1, idempotent=False)
        site.begin(gateway_site.configuration(route), entry)
        for number in range(1, 4):
            self.assertEqual(crash_site.lose_all(site), ["l0"])
            born_ms = entry.born_ms + number
            site.feed(events.LeafWritten(entry._replace(born_ms=born_ms)))
        self.assertEqual(crash_site.lose_all(site), [])

    def test_a_request_with_occasional_answers_is_not_refused(self) -> None:
        site = crash_site.begin()
        for number in range(8):
            key = site.request("/visit/1", fingerprints=(7,))
            sent = site.sends_of(key)[0]
            if number % 2:
                site.reply(sent, gateway_site.answer())
            else:
                site.fail(sent, requests.AttemptEnd.LOST)
        key = site.request("/visit/1", fingerprints=(7,))
        self.assertEqual(len(site.sends_of(key)), 1)
        self.assertEqual(len(site.logs_of(log_events.REQUEST_CLEARED)), 4)


class ShardedRequestTest(unittest.TestCase):
    """Sharded requests that lose leaves of several shards."""

    def setUp(self) -> None:
        self.site = gateway_site.GatewaySite()
        entries = [
            gateway_site.entry(f"{service}-{n}", service)
            for service in gateway_site.SHARDS
            for n in range(2)
        ]
        route = gateway_site.route(maximum_leaves=1)
        self.site.begin(gateway_site.configuration(route), *entries)

    def _lose(self, answered: int) -> None:
        """Answer some shards of a request and lose the leaves of the others."""
        key = self.site.request(fingerprints=(7,))
        for sent in self.site.sends_of(key)[:answered]:
            self.site.reply(sent, gateway_site.answer(signature=b"%d" % answered))
        number = answered
        while number < len(self.site.sends_of(key)):
            sent = self.site.sends_of(key)[number]
            self.site.fail(sent, requests.AttemptEnd.LOST)
            number += 1
        self.site.advance(1_000)

    def test_a_request_that_a_shard_answers_has_no_losses(self) -> None:
        for _ in range(4):
            self._lose(answered=1)
        self.assertEqual(crash_site.published(self.site), [])
        key = self.site.request(fingerprints=(7,))
        self.assertTrue(self.site.sends_of(key))

    def test_a_request_that_no_shard_answers_has(self) -> None:
        self._lose(answered=0)
        limit = crash_attribution.SHARDED_CRASH_LIMIT
        self.assertEqual(len(crash_site.published(self.site)), limit)
        key = self.site.request(fingerprints=(7,))
        self.assertEqual(self.site.sends_of(key), [])

    def test_it_is_tried_once_more_after_a_while_on_one_leaf(self) -> None:
        self._lose(answered=0)
        self.site.advance(crash_attribution.TRIAL_DELAYS_MS[0])
        key = self.site.request(fingerprints=(7,))
        (sent,) = self.site.sends_of(key)
        self.assertIs(sent.command.reuse, commands.Reuse.NONE)
        self.site.fail(sent, requests.AttemptEnd.LOST)
        self.site.advance(crash_attribution.TRIAL_DELAYS_MS[0])
        key = self.site.request(fingerprints=(7,))
        self.assertEqual(self.site.sends_of(key), [])

    def test_other_requests_start_with_one_part_meanwhile(self) -> None:
        self._lose(answered=0)
        key = self.site.request(fingerprints=(8,))
        (first,) = self.site.sends_of(key)
        self.site.reply(first, gateway_site.answer(signature=b"first"))
        self.assertEqual(len(self.site.sends_of(key)), len(gateway_site.SHARDS))


class JointLossTest(unittest.TestCase):
    """Leaves that are lost together, for a reason that is not the request.

    Guards against a page that is refused for minutes after all leaves of its service
    have crashed at once, though no request is the cause (RECOVER).
    """

    def setUp(self) -> None:
        self.site = crash_site.begin(slots=2)

    def _lose_together(self) -> None:
        """Lose every leaf of the service while it runs the same request."""
        keys = [
            self.site.request("/visit/1", fingerprints=(7,))
            for _ in range(2 * crash_site.LEAVES)
        ]
        running = list(self.site.sent)
        lost = {sent.command.leaf_id for sent in running}
        self.assertGreaterEqual(len(lost), crash_attribution.CRASH_LIMIT)
        for sent in running:
            self.site.fail(sent, requests.AttemptEnd.LOST)
        for sent in self.site.sent[len(running) :]:
            self.site.fail(sent, requests.AttemptEnd.UNREACHABLE)
        for number in range(crash_site.LEAVES):
            self.site.feed(events.LeafDeleted(f"l{number}"))
        self.site.advance(3_000)
        self.assertEqual(len(self.site.answers), len(keys))
        for number in range(crash_site.LEAVES):
            entry = gateway_site.entry(f"again-{number}", "visits")
            self.site.feed(events.LeafWritten(entry))

    def test_the_request_is_served_when_leaves_are_back(self) -> None:
        self._lose_together()
        self.assertFalse(crash_site.is_refused(self.site))

    def test_losses_that_several_daemons_saw_count_as_one(self) -> None:
        for start in range(crash_site.LEAVES):
            self.site.feed(events.LossPublished(crashes.Loss(7, start)))
        self.assertFalse(crash_site.is_refused(self.site))

    def test_a_page_that_lost_its_leaves_one_by_one_is_served_again(self) -> None:
        crash_site.lose_all(self.site)
        crash_site.lose_all(self.site)
        self.assertTrue(crash_site.is_refused(self.site))
        self.site.advance(crash_attribution.TRIAL_DELAYS_MS[0])
        key = self.site.request("/visit/1", fingerprints=(7,))
        (trial,) = self.site.sends_of(key)
        self.assertTrue(crash_site.is_refused(self.site))
        self.site.reply(trial, gateway_site.answer())
        self.assertFalse(crash_site.is_refused(self.site))

    def test_a_trial_that_finds_no_leaf_does_not_stand_for_a_later_one(self) -> None:
        crash_site.lose_all(self.site)
        crash_site.lose_all(self.site)
        for number in range(crash_site.LEAVES):
            self.site.feed(events.LeafDeleted(f"l{number}"))
        self.site.advance(crash_attribution.TRIAL_DELAYS_MS[0])
        self.assertTrue(crash_site.is_refused(self.site))
        self.site.feed(events.LeafWritten(gateway_site.entry("again", "visits")))
        self.assertFalse(crash_site.is_refused(self.site))

    def test_a_request_that_goes_on_crashing_leaves_is_tried_few_times(self) -> None:
        crash_site.lose_all(self.site)
        crash_site.lose_all(self.site)
        before = len(self.site.sent)
        end_ms = self.site.now_ms + crash_attribution.LIFETIME_MS
        while self.site.now_ms < end_ms - 10_000:
            for number in range(len(self.site.sent) - before):
                entry = gateway_site.entry(
                    f"l{number}", "visits", born_ms=self.site.now_ms
                )
                self.site.feed(events.LeafWritten(entry))
            crash_site.lose_all(self.site)
            self.site.advance(1_000)
        trials = len(self.site.sent) - before
        self.assertEqual(trials, len(crash_attribution.TRIAL_DELAYS_MS))

    def test_one_of_the_losses_is_published(self) -> None:
        self._lose_together()
        self.assertEqual(len(crash_site.published(self.site)), 1)

    def test_a_request_under_which_a_leaf_was_lost_gets_a_new_connection(self) -> None:
        key = self.site.request("/visit/1", fingerprints=(7,))
        self.site.fail(self.site.sends_of(key)[0], requests.AttemptEnd.LOST)
        reuses = [sent.command.reuse for sent in self.site.sends_of(key)]
        self.assertEqual(reuses, [commands.Reuse.ANY, commands.Reuse.NONE])

    def test_losses_lapse_that_were_never_published(self) -> None:
        tokens = self.site.gateway.publication_tokens
        while tokens.refill(0.0, 100.0, self.site.now_ms) >= 1.0:
            tokens.take()
        for _ in range(2):
            crash_site.lose_all(self.site)
        self.assertTrue(crash_site.is_refused(self.site))
        self.site.advance(crash_attribution.LIFETIME_MS)
        self.assertFalse(crash_site.is_refused(self.site))
