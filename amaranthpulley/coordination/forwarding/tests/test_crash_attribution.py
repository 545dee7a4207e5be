"""Tests of requests that crash the leaves that run them."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import (
    commands,
    crash_attribution,
    events,
)
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import crashes, leaves, requests

LEAVES = 6


def _site(slots: int = 40) -> gateway_site.GatewaySite:
    site = gateway_site.GatewaySite()
    entries = [
        gateway_site.entry(f"l{n}", "visits", slots=slots) for n in range(LEAVES)
    ]
    site.begin(gateway_site.configuration(gateway_site.single()), *entries)
    return site


def _lose_all(site: gateway_site.GatewaySite) -> list[str]:
    """Send the same request and lose every leaf that runs it; return the leaves."""
    key = site.request("/visit/1", fingerprints=(7,))
    lost = 0
    while lost < len(site.sends_of(key)):
        site.fail(site.sends_of(key)[lost], requests.AttemptEnd.LOST)
        lost += 1
    return [sent.command.leaf_id for sent in site.sends_of(key)]


class CrashingRequestTest(unittest.TestCase):
    """A daemon that loses leaves under one request."""

    def test_a_request_is_refused_unsent_after_three_lost_leaves(self) -> None:
        site = _site()
        for _ in range(2):
            _lose_all(site)
        key = site.request("/visit/1", fingerprints=(7,))
        self.assertEqual(site.sends_of(key), [])
        self.assertIs(site.answers[key].reason, commands.Refusal.CRASHES_LEAVES)
        lost = site.logs_of(log_events.REQUEST_LOST_LEAF)
        self.assertEqual([line["leaves"] for line in lost], [1, 2, 3])
        self.assertEqual({line["fingerprint"] for line in lost}, {f"{7:016x}"})

    def test_it_is_not_sent_again_once_it_is_refused(self) -> None:
        site = _site()
        for start in range(crash_attribution.CRASH_LIMIT - 1):
            site.feed(events.LossPublished(crashes.Loss(7, start, later=True)))
        self.assertEqual(len(_lose_all(site)), 1)
        site.advance(1_000)
        self.assertEqual(len(site.sent), 1)
        (answer,) = site.answers.values()
        self.assertIs(answer.reason, commands.Refusal.OUTCOME_UNKNOWN)

    def test_a_running_request_gets_no_hedge_once_it_is_refused(self) -> None:
        site = _site()
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
        site = _site()
        for query in range(3):
            self.assertFalse(_is_refused(site, (100 + query, 7)))
            site.fail(site.sent[-1], requests.AttemptEnd.LOST)
            site.advance(1_000)
        self.assertTrue(_is_refused(site, (200, 7)))

    def test_an_answer_to_another_query_clears_the_path_alone(self) -> None:
        site = _site()
        for start in range(crash_attribution.CRASH_LIMIT):
            for fingerprint in (100, 7):
                loss = crashes.Loss(fingerprint, start, later=True)
                site.feed(events.LossPublished(loss))
        site.feed(events.LossWithdrawn(crashes.Loss(7, 0, later=True)))
        self.assertFalse(_is_refused(site, (200, 7)))
        site.reply(site.sent[-1], gateway_site.answer())
        self.assertEqual(len(_withdrawn(site)), 2)
        self.assertTrue(_is_refused(site, (100, 7)))

    def test_each_start_of_a_leaf_counts(self) -> None:
        site = gateway_site.GatewaySite()
        entry = gateway_site.entry("l0", "visits")
        route = gateway_site.single(maximum_leaves=1, idempotent=False)
        site.begin(gateway_site.configuration(route), entry)
        for number in range(1, 4):
            self.assertEqual(_lose_all(site), ["l0"])
            born_ms = entry.born_ms + number
            site.feed(events.LeafWritten(entry._replace(born_ms=born_ms)))
        self.assertEqual(_lose_all(site), [])

    def test_a_request_with_occasional_answers_is_not_refused(self) -> None:
        site = _site()
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


def _published(site: gateway_site.GatewaySite) -> list[crashes.Loss]:
    return [
        loss
        for command in site.others
        if isinstance(command, commands.PublishLosses)
        for loss in command.losses
    ]


def _withdrawn(site: gateway_site.GatewaySite) -> list[crashes.Loss]:
    return [
        loss
        for command in site.others
        if isinstance(command, commands.WithdrawLosses)
        for loss in command.losses
    ]


def _is_refused(
    site: gateway_site.GatewaySite, fingerprints: tuple[int, ...] = (7,)
) -> bool:
    key = site.request("/visit/1", fingerprints=fingerprints)
    return not site.sends_of(key)


class PublishedLossTest(unittest.TestCase):
    """Losses that daemons publish for each other."""

    def test_losses_of_other_daemons_count(self) -> None:
        site = _site()
        for start in range(crash_attribution.CRASH_LIMIT):
            self.assertFalse(_is_refused(site))
            site.feed(events.LossPublished(crashes.Loss(7, start, later=True)))
            site.feed(events.LossPublished(crashes.Loss(8, start, later=True)))
        self.assertTrue(_is_refused(site))

    def test_lapsed_losses_no_longer_count(self) -> None:
        site = _site()
        for start in range(crash_attribution.CRASH_LIMIT):
            site.feed(events.LossPublished(crashes.Loss(7, start, later=True)))
        site.feed(events.LossWithdrawn(crashes.Loss(7, 0, later=True)))
        self.assertFalse(_is_refused(site))

    def test_each_loss_is_published_once(self) -> None:
        site = _site()
        lost = _lose_all(site)
        self.assertGreater(len(lost), len(set(lost)))
        self.assertEqual(len(_published(site)), len(set(lost)))

    def test_daemons_hash_a_start_alike(self) -> None:
        start = leaves.LeafStart("l0", "visits", "10.0.0.1:80", 1_000)
        found = crash_attribution.start_digest(start)
        self.assertEqual(found, 10989742708893793703)

    def test_an_answer_withdraws_the_losses(self) -> None:
        site = _site()
        site.feed(events.LossPublished(crashes.Loss(7, 5)))
        key = site.request("/visit/1", fingerprints=(7,))
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.LOST)
        site.reply(site.sends_of(key)[1], gateway_site.answer())
        self.assertEqual(set(_withdrawn(site)), {*_published(site), crashes.Loss(7, 5)})
        self.assertFalse(_is_refused(site))

    def test_the_rate_of_publications_is_bounded(self) -> None:
        site = _site()
        for fingerprint in range(1, 101):
            key = site.request("/visit/1", fingerprints=(fingerprint,))
            site.fail(site.sends_of(key)[0], requests.AttemptEnd.LOST)
        burst = crash_attribution.PUBLICATION_BURST
        self.assertLessEqual(len(_published(site)), burst)
        before = len(_published(site))
        site.advance(10_000)
        key = site.request("/visit/1", fingerprints=(200,))
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.LOST)
        self.assertEqual(len(_published(site)), before + 1)


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
        self.assertEqual(_published(self.site), [])
        key = self.site.request(fingerprints=(7,))
        self.assertTrue(self.site.sends_of(key))

    def test_a_request_that_no_shard_answers_has(self) -> None:
        self._lose(answered=0)
        self.assertEqual(len(_published(self.site)), crash_attribution.CRASH_LIMIT)
        key = self.site.request(fingerprints=(7,))
        self.assertEqual(self.site.sends_of(key), [])


class JointLossTest(unittest.TestCase):
    """Leaves that are lost together, for a reason that is not the request.

    Guards against a page that is refused for minutes after all leaves of its service
    have crashed at once, though no request is the cause (RECOVER).
    """

    def setUp(self) -> None:
        self.site = _site(slots=2)

    def _lose_together(self) -> None:
        """Lose every leaf of the service while it runs the same request."""
        keys = [
            self.site.request("/visit/1", fingerprints=(7,)) for _ in range(2 * LEAVES)
        ]
        running = list(self.site.sent)
        lost = {sent.command.leaf_id for sent in running}
        self.assertGreaterEqual(len(lost), crash_attribution.CRASH_LIMIT)
        for sent in running:
            self.site.fail(sent, requests.AttemptEnd.LOST)
        for sent in self.site.sent[len(running) :]:
            self.site.fail(sent, requests.AttemptEnd.UNREACHABLE)
        for number in range(LEAVES):
            self.site.feed(events.LeafDeleted(f"l{number}"))
        self.site.advance(3_000)
        self.assertEqual(len(self.site.answers), len(keys))
        for number in range(LEAVES):
            entry = gateway_site.entry(f"again-{number}", "visits")
            self.site.feed(events.LeafWritten(entry))

    def test_the_request_is_served_when_leaves_are_back(self) -> None:
        self._lose_together()
        self.assertFalse(_is_refused(self.site))

    def test_losses_that_several_daemons_saw_count_as_one(self) -> None:
        for start in range(LEAVES):
            self.site.feed(events.LossPublished(crashes.Loss(7, start)))
        self.assertFalse(_is_refused(self.site))

    def test_one_of_the_losses_is_published(self) -> None:
        self._lose_together()
        self.assertEqual(len(_published(self.site)), 1)

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
            _lose_all(self.site)
        self.assertTrue(_is_refused(self.site))
        self.site.advance(crash_attribution.LIFETIME_MS)
        self.assertFalse(_is_refused(self.site))


class CrashAttributionPropertiesTest(unittest.TestCase):
    """Daemons whose changes of the store come late, and that restart."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=60
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("send", "send", "deliver", "restart")),
                strategies.integers(0, 3),
            ),
            max_size=40,
        )
    )
    def test_no_daemon_sends_what_the_store_knows_to_crash(self, steps: list) -> None:
        sites = [_site() for _ in range(4)]
        # Losses in the store, and how many of them each daemon has read or written.
        stored: list[crashes.Loss] = []
        read = [0] * len(sites)
        written = [0] * len(sites)

        def deliver(number: int) -> None:
            for loss in stored[read[number] :]:
                sites[number].feed(events.LossPublished(loss))
            read[number] = len(stored)

        def publish(number: int) -> None:
            losses = _published(sites[number])[written[number] :]
            written[number] += len(losses)
            stored.extend(losses)

        for step, number in steps:
            if step == "deliver":
                deliver(number)
            elif step == "restart":
                sites[number] = _site()
                read[number] = written[number] = 0
                deliver(number)
            else:
                _lose_all(sites[number])
                publish(number)
        table = crashes.LossTable()
        for loss in stored:
            table.add(loss)
        known = table.count(7) >= crash_attribution.CRASH_LIMIT
        for number, site in enumerate(sites):
            deliver(number)
            self.assertEqual(_is_refused(site), known)
