"""Tests of the losses that daemons publish and tell each other."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import (
    commands,
    crash_attribution,
    events,
)
from amaranthpulley.coordination.forwarding.tests import crash_site, gateway_site
from amaranthpulley.state.forwarding import crashes, gateway, leaves, requests


class PublishedLossTest(unittest.TestCase):
    """Losses that daemons publish for each other."""

    def test_losses_of_other_daemons_count(self) -> None:
        site = crash_site.begin()
        for start in range(crash_attribution.CRASH_LIMIT):
            self.assertFalse(crash_site.is_refused(site))
            site.feed(events.LossPublished(crashes.Loss(7, start, later=True)))
            site.feed(events.LossPublished(crashes.Loss(8, start, later=True)))
        self.assertTrue(crash_site.is_refused(site))

    def test_told_losses_count_until_the_store_should_have_them(self) -> None:
        site = crash_site.begin()
        for start in range(crash_attribution.CRASH_LIMIT):
            site.feed(events.LossTold(crashes.Loss(7, start, later=True)))
        self.assertTrue(crash_site.is_refused(site))
        site.advance(crash_attribution.TOLD_MS + 100)
        self.assertFalse(crash_site.is_refused(site))

    def test_told_losses_count_on_once_the_store_has_them(self) -> None:
        site = crash_site.begin()
        for start in range(crash_attribution.CRASH_LIMIT):
            loss = crashes.Loss(7, start, later=True)
            site.feed(events.LossTold(loss))
            site.feed(events.LossPublished(loss))
        site.advance(crash_attribution.TOLD_MS + 100)
        self.assertTrue(crash_site.is_refused(site))

    def test_losses_are_told_to_a_bounded_number_of_daemons(self) -> None:
        site = crash_site.begin()
        for number in range(2 * crash_attribution.MAXIMUM_TOLD):
            member = gateway.Member("a1", f"vm-{number + 1}:1")
            site.feed(events.MemberChanged(f"vm-{number + 1}", member))
        key = site.request("/visit/1", fingerprints=(7,))
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.LOST)
        (told,) = [c for c in site.others if isinstance(c, commands.PublishLosses)]
        self.assertEqual(len(set(told.addresses)), crash_attribution.MAXIMUM_TOLD)
        self.assertNotIn("vm-1:1", told.addresses)

    def test_lapsed_losses_no_longer_count(self) -> None:
        site = crash_site.begin()
        for start in range(crash_attribution.CRASH_LIMIT):
            site.feed(events.LossPublished(crashes.Loss(7, start, later=True)))
        site.feed(events.LossWithdrawn(crashes.Loss(7, 0, later=True)))
        self.assertFalse(crash_site.is_refused(site))

    def test_each_loss_is_published_once(self) -> None:
        site = crash_site.begin()
        lost = crash_site.lose_all(site)
        self.assertGreater(len(lost), len(set(lost)))
        self.assertEqual(len(crash_site.published(site)), len(set(lost)))

    def test_daemons_hash_a_start_alike(self) -> None:
        start = leaves.LeafStart("l0", "visits", "10.0.0.1:80", 1_000)
        found = crash_attribution.start_digest(start)
        self.assertEqual(found, 10989742708893793703)

    def test_an_answer_withdraws_the_losses(self) -> None:
        site = crash_site.begin()
        site.feed(events.LossPublished(crashes.Loss(7, 5)))
        key = site.request("/visit/1", fingerprints=(7,))
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.LOST)
        site.reply(site.sends_of(key)[1], gateway_site.answer())
        self.assertEqual(
            set(crash_site.withdrawn(site)),
            {*crash_site.published(site), crashes.Loss(7, 5)},
        )
        self.assertFalse(crash_site.is_refused(site))

    def test_the_rate_of_publications_is_bounded(self) -> None:
        site = crash_site.begin()
        for fingerprint in range(1, 101):
            key = site.request("/visit/1", fingerprints=(fingerprint,))
            site.fail(site.sends_of(key)[0], requests.AttemptEnd.LOST)
        burst = crash_attribution.PUBLICATION_BURST
        self.assertLessEqual(len(crash_site.published(site)), burst)
        before = len(crash_site.published(site))
        site.advance(10_000)
        key = site.request("/visit/1", fingerprints=(200,))
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.LOST)
        self.assertEqual(len(crash_site.published(site)), before + 1)


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
        sites = [crash_site.begin() for _ in range(4)]
        # Losses in the store, and how many of them each daemon has read or written.
        stored: list[crashes.Loss] = []
        read = [0] * len(sites)
        written = [0] * len(sites)

        def deliver(number: int) -> None:
            for loss in stored[read[number] :]:
                sites[number].feed(events.LossPublished(loss))
            read[number] = len(stored)

        def publish(number: int) -> None:
            losses = crash_site.published(sites[number])[written[number] :]
            written[number] += len(losses)
            stored.extend(losses)

        for step, number in steps:
            if step == "deliver":
                deliver(number)
            elif step == "restart":
                sites[number] = crash_site.begin()
                read[number] = written[number] = 0
                deliver(number)
            else:
                crash_site.lose_all(sites[number])
                publish(number)
        table = crashes.LossTable()
        for loss in stored:
            table.add(loss, 0)
        known = table.count(7) >= crash_attribution.CRASH_LIMIT
        for number, site in enumerate(sites):
            deliver(number)
            self.assertEqual(crash_site.is_refused(site), known)
