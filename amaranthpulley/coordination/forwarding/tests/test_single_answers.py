"""Tests of requests that are answered by a single leaf."""

import collections
import unittest

from amaranthpulley.coordination.forwarding import commands, events, leaf_selection
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import requests


def _site(**route: object) -> gateway_site.GatewaySite:
    site = gateway_site.GatewaySite()
    entries = [gateway_site.entry(f"l{n}", "visits") for n in range(3)]
    site.begin(gateway_site.configuration(gateway_site.single(**route)), *entries)
    return site


class IdempotentRequestTest(unittest.TestCase):
    """Requests that may run more than once."""

    def test_a_failed_attempt_is_retried(self) -> None:
        for end in requests.AttemptEnd:
            with self.subTest(end):
                site = _site()
                key = site.request("/visit/1")
                site.fail(site.sends_of(key)[0], end)
                self.assertEqual(len(site.sends_of(key)), 2)

    def test_a_busy_leaf_is_retried_later(self) -> None:
        site = gateway_site.GatewaySite()
        found = gateway_site.configuration(gateway_site.single())
        site.begin(found, gateway_site.entry("only", "visits"))
        for end in requests.BUSY:
            with self.subTest(end):
                key = site.request("/visit/1")
                site.fail(site.sends_of(key)[0], end)
                site.advance(100)
                self.assertEqual(len(site.sends_of(key)), 2)
                site.reply(site.sends_of(key)[1], gateway_site.answer())

    def test_it_runs_on_at_most_the_leaves_that_the_route_allows(self) -> None:
        site = _site()
        key = site.request("/visit/1")
        while key not in site.answers:
            site.fail(site.sends_of(key)[-1], requests.AttemptEnd.LOST)
        runs = collections.Counter(s.command.leaf_id for s in site.sends_of(key))
        self.assertEqual(len(runs), gateway_site.single().maximum_leaves)
        self.assertEqual(set(runs.values()), {leaf_selection.MAXIMUM_RUNS_PER_LEAF})
        self.assertIs(site.answers[key].reason, commands.Refusal.OUTCOME_UNKNOWN)

    def test_a_late_leaf_is_hedged_once(self) -> None:
        site = _site()
        key = site.request("/visit/1")
        site.advance(400)
        self.assertEqual(len(site.sends_of(key)), 2)

    def test_the_error_of_the_last_leaf_is_passed_on(self) -> None:
        site = _site()
        key = site.request("/visit/1")
        for signature in (b"s", b"t", b"u", b"v"):
            self.assertNotIn(key, site.answers)
            failed = gateway_site.answer(500, signature=signature)
            site.reply(site.sends_of(key)[-1], failed)
        passed = site.answers[key]
        self.assertIsInstance(passed, commands.PassAnswer)
        self.assertEqual(passed.answer.signature, b"v")


class RunOnceRequestTest(unittest.TestCase):
    """Requests that must not run twice."""

    def test_it_is_retried_only_if_it_certainly_did_not_run(self) -> None:
        for end in requests.AttemptEnd:
            with self.subTest(end):
                site = _site(idempotent=False)
                key = site.request("/visit/1")
                site.fail(site.sends_of(key)[0], end)
                again = end in requests.NOT_RUN
                self.assertEqual(len(site.sends_of(key)), 2 if again else 1)
                if not again:
                    self.assertFalse(site.answers[key].not_run)

    def test_it_is_never_hedged(self) -> None:
        site = _site(idempotent=False)
        key = site.request("/visit/1")
        site.advance(780)
        self.assertEqual(len(site.sends_of(key)), 1)
        self.assertFalse(site.answers[key].not_run)

    def test_a_request_rejected_by_all_leaves_is_refused_as_not_run(self) -> None:
        site = _site(idempotent=False)
        key = site.request("/visit/1")
        while key not in site.answers:
            last = site.sends_of(key)[-1]
            if last.command.attempt in site.gateway.attempts:
                site.reply(last, gateway_site.REJECTED)
            site.advance(10)
        self.assertGreater(len(site.sends_of(key)), 2)
        self.assertTrue(site.answers[key].not_run)

    def test_an_unproven_not_run_status_is_not_passed_on(self) -> None:
        for status in (408, 421, 429, 503):
            with self.subTest(status):
                site = _site(idempotent=False)
                key = site.request("/visit/1")
                site.reply(site.sends_of(key)[0], gateway_site.answer(status))
                site.advance(800)
                refused = site.answers[key]
                self.assertIsInstance(refused, commands.Refuse)
                self.assertFalse(refused.not_run)

    def test_attempts_are_not_cancelled_after_the_client_has_left(self) -> None:
        site = _site(idempotent=False)
        key = site.request("/visit/1")
        site.feed(events.ClientLeft(key))
        site.advance(600)
        self.assertEqual(site.others, [c for c in site.others if not _cancels(c)])


class EndedRequestTest(unittest.TestCase):
    """Requests that time out or whose client has disconnected."""

    def test_a_request_is_refused_at_the_timeout_of_its_route(self) -> None:
        site = _site(timeout_ms=300)
        key = site.request("/visit/1", deadline_ms=2_000)
        site.advance(299)
        self.assertNotIn(key, site.answers)
        site.advance(1)
        self.assertIs(site.answers[key].reason, commands.Refusal.TIMED_OUT)

    def test_leaves_get_no_more_time_than_is_left(self) -> None:
        site = _site()
        key = site.request("/visit/1", deadline_ms=500)
        site.advance(200)
        for sent in site.sends_of(key):
            left_ms = 500 - (sent.at_ms - 1_000_000)
            self.assertLessEqual(sent.command.budget_ms, left_ms)

    def test_attempts_are_cancelled_soon_after_the_client_has_left(self) -> None:
        site = _site()
        key = site.request("/visit/1", deadline_ms=5_000)
        site.feed(events.ClientLeft(key))
        site.advance(500)
        self.assertTrue(any(_cancels(command) for command in site.others))
        self.assertEqual(site.gateway.requests, {})


def _cancels(command: commands.Command) -> bool:
    return isinstance(command, commands.CancelAttempt)
