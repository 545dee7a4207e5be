"""Tests of versions that change the accounts while requests are in progress."""

import unittest

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.client_accounts.tests import account_site
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import requests
from amaranthpulley.state.forwarding.client_accounts import accounts

PATHS = ("/visit/1", "/wide/1")
LOST = requests.AttemptEnd.LOST


class WithdrawnKeyTest(unittest.TestCase):
    """Requests whose key a new version has removed."""

    def _assert_unauthorized(self, found: account_site.AccountSite, key: int) -> None:
        refused = found.site.answers[key]
        self.assertEqual(
            refused, commands.Refuse(key, commands.Refusal.UNAUTHORIZED, True, 0)
        )
        self.assertNotIn(key, found.site.gateway.requests)

    def test_new_requests_are_refused(self) -> None:
        found = account_site.AccountSite()
        found.change(account_site.WITHOUT_RED)
        self._assert_unauthorized(found, found.ask())
        self.assertTrue(found.site.sends_of(found.ask(key_digest=b"blue")))

    def test_a_waiting_request_ends_and_frees_its_place(self) -> None:
        for path in PATHS:
            with self.subTest(path):
                found = account_site.AccountSite()
                for leaf in found.site.gateway.directory.all():
                    leaf.full_until_ms = found.site.now_ms + 200
                key = found.ask(path)
                self.assertTrue(found.site.gateway.waiting.services)
                found.change(account_site.WITHOUT_RED)
                self._assert_unauthorized(found, key)
                self.assertEqual(found.site.gateway.waiting.services, [])
                found.site.advance(1_000)
                self.assertEqual(found.site.sent, [])

    def test_a_request_that_waits_for_its_connections_ends(self) -> None:
        for path in PATHS:
            with self.subTest(path):
                found = account_site.AccountSite()
                key = found.ask(path)
                numbers = {s.command.attempt for s in found.site.sends_of(key)}
                for number in numbers:
                    found.site.feed(events.AttemptOpening(number))
                found.change(account_site.WITHOUT_RED)
                self._assert_unauthorized(found, key)
                self.assertEqual(account_site.cancelled(found.site), numbers)
                self.assertEqual(found.site.gateway.attempts, {})

    def test_the_answer_of_a_leaf_is_passed_on(self) -> None:
        for path in PATHS:
            with self.subTest(path):
                found = account_site.AccountSite()
                key = found.ask(path)
                found.change(account_site.WITHOUT_RED)
                found.site.advance(20)
                for sent in found.site.sends_of(key):
                    found.site.reply(sent, gateway_site.answer(body=b"x" * 24))
                given = found.site.answers[key]
                self.assertIsInstance(given, commands.PassAnswer | commands.SendMerged)

    def test_a_request_at_a_silent_leaf_is_not_hedged(self) -> None:
        for path in PATHS:
            with self.subTest(path):
                found = account_site.AccountSite()
                key = found.ask(path)
                sends = found.site.sends_of(key)
                found.change(account_site.WITHOUT_RED)
                found.site.advance(1_000)
                self.assertEqual(found.site.sends_of(key), sends)
                refused = found.site.answers[key]
                self.assertFalse(refused.not_run)
                self.assertIs(refused.reason, commands.Refusal.TIMED_OUT)

    def test_a_request_that_its_leaf_turned_away_is_not_sent_again(self) -> None:
        # Guards against a retry with a withdrawn key, and against 502 for a request
        # that has certainly not run.
        found = account_site.AccountSite()
        key = found.ask()
        (sent,) = found.site.sends_of(key)
        found.change(account_site.WITHOUT_RED)
        found.site.reply(sent, gateway_site.REJECTED)
        self._assert_unauthorized(found, key)
        self.assertEqual(found.site.sends_of(key), [sent])

    def test_a_request_whose_leaf_was_lost_has_an_unknown_outcome(self) -> None:
        found = account_site.AccountSite()
        key = found.ask()
        (sent,) = found.site.sends_of(key)
        found.change(account_site.WITHOUT_RED)
        found.site.fail(sent, LOST)
        refused = found.site.answers[key]
        self.assertIs(refused.reason, commands.Refusal.OUTCOME_UNKNOWN)
        self.assertFalse(refused.not_run)
        self.assertEqual(found.site.sends_of(key), [sent])

    def test_a_search_ends_with_the_parts_that_were_sent(self) -> None:
        # Guards against a search that waits to its deadline for parts that are not sent
        # any more.
        found = account_site.AccountSite()
        directory = found.site.gateway.directory
        for leaf in directory.of_service("shard-2"):
            leaf.full_until_ms = found.site.now_ms + 200
        key = found.ask("/wide/1")
        first, second = found.site.sends_of(key)
        found.site.reply(first, gateway_site.answer(body=b"x" * 24))
        found.change(account_site.WITHOUT_RED)
        self.assertNotIn(key, found.site.answers)
        found.site.reply(second, gateway_site.answer(body=b"y" * 24))
        merged = found.site.answers[key]
        self.assertEqual(merged.missing, 1)

    def test_a_part_that_waits_for_its_connection_is_not_sent(self) -> None:
        found = account_site.AccountSite()
        key = found.ask("/wide/1")
        opening, *others = found.site.sends_of(key)
        found.site.feed(events.AttemptOpening(opening.command.attempt))
        found.change(account_site.WITHOUT_RED)
        self.assertEqual(account_site.cancelled(found.site), {opening.command.attempt})
        for sent in others:
            found.site.reply(sent, gateway_site.answer(body=b"x" * 24))
        self.assertEqual(found.site.answers[key].missing, 1)

    def test_an_answered_request_stays_answered(self) -> None:
        found = account_site.AccountSite()
        key = found.ask()
        found.site.reply(found.site.sends_of(key)[0], gateway_site.answer())
        found.change(account_site.WITHOUT_RED)
        self.assertIsInstance(found.site.answers[key], commands.PassAnswer)

    def test_requests_of_other_keys_go_on(self) -> None:
        two_keys = account_site.table(
            red=account_site.RED, other=account_site.RED, blue=account_site.BLUE
        )
        for digest in (b"other", b"blue"):
            with self.subTest(digest):
                found = account_site.AccountSite(accounts=two_keys)
                key = found.ask(key_digest=digest)
                one_key = account_site.table(
                    other=account_site.RED, blue=account_site.BLUE
                )
                found.change(one_key)
                (sent,) = found.site.sends_of(key)
                found.site.reply(sent, gateway_site.REJECTED)
                self.assertEqual(len(found.site.sends_of(key)), 2)

    def test_an_older_version_brings_no_key_back(self) -> None:
        found = account_site.AccountSite()
        found.change(account_site.WITHOUT_RED)
        found.version = 0
        found.change(account_site.table(red=account_site.RED))
        self._assert_unauthorized(found, found.ask())

    def test_the_version_is_logged_without_keys(self) -> None:
        found = account_site.AccountSite()
        found.ask()
        found.change(account_site.WITHOUT_RED)
        line = found.site.logs_of(log_events.CLIENT_ACCOUNTS_IN_FORCE)[-1]
        expected = {
            **{"version": 2, "accounts": 1, "keys": 1},
            **{"shared_keys": 0, "withdrawn": 1},
        }
        self.assertEqual(line, expected)

    def test_the_trace_shows_what_ended_a_waiting_request(self) -> None:
        found = account_site.AccountSite()
        for leaf in found.site.gateway.directory.all():
            leaf.full_until_ms = found.site.now_ms + 200
        found.ask()
        found.change(account_site.WITHOUT_RED)
        decisions = [
            (line["decision"], line["service"])
            for line in found.site.logs_of(log_events.FORWARD_DECIDED)
        ]
        expected = [
            (what, "visits") for what in ("leaves_busy", "withdrawn", "unanswered")
        ]
        self.assertEqual(decisions, expected)
        (ended,) = found.site.logs_of(log_events.FORWARD_ENDED)
        self.assertEqual(ended["outcome"], "unauthorized")
        self.assertEqual(ended["account"], account_site.RED.name)

    def test_shared_keys_are_logged(self) -> None:
        found = account_site.AccountSite(accounts=None)
        shared = tuple(accounts.SharedKeys("red", f"b{n}", 2) for n in range(30))
        found.change(account_site.WITHOUT_RED._replace(shared_keys=shared))
        lines = found.site.logs_of(log_events.CLIENT_KEYS_SHARED)
        self.assertEqual(
            lines[0], {"version": 2, "holder": "red", "other": "b0", "keys": 2}
        )
        self.assertEqual(len(lines), 20)
        (line,) = found.site.logs_of(log_events.CLIENT_ACCOUNTS_IN_FORCE)
        self.assertEqual(line["shared_keys"], 60)


class ChangedAccountTest(unittest.TestCase):
    """Accounts that appear, change and disappear under waiting requests."""

    def _waiting(
        self, before: accounts.AccountTable | None, digest: bytes | None = b"red"
    ) -> tuple[account_site.AccountSite, int]:
        found = account_site.AccountSite(accounts=before)
        for leaf in found.site.gateway.directory.all():
            leaf.full_until_ms = found.site.now_ms + 100
        return found, found.ask(key_digest=digest)

    def test_a_key_that_moves_sends_the_new_name(self) -> None:
        found, key = self._waiting(account_site.table(red=account_site.RED))
        found.change(account_site.table(red=account_site.BLUE))
        found.site.advance(150)
        sent = found.site.sends_of(key)[0]
        self.assertEqual(sent.command.account, "blue")

    def test_new_regions_apply(self) -> None:
        limited = account_site.account("red", regions=frozenset({"b"}))
        found, key = self._waiting(account_site.table(red=account_site.RED))
        found.change(account_site.table(red=limited))
        found.site.advance(150)
        (sent,) = found.site.sends_of(key)
        self.assertEqual(sent.command.leaf_id, "visits-2")

    def test_first_accounts_apply_to_a_request_with_a_valid_key(self) -> None:
        # Guards against the key in a request to a leaf after keys have been introduced.
        found, key = self._waiting(None)
        found.change(account_site.table(red=account_site.RED))
        found.site.advance(150)
        sent = found.site.sends_of(key)[0]
        self.assertEqual(sent.command.account, account_site.RED.name)

    def test_first_accounts_end_a_request_without_a_key(self) -> None:
        found, key = self._waiting(None, None)
        found.change(account_site.table(red=account_site.RED))
        self.assertIs(found.site.answers[key].reason, commands.Refusal.UNAUTHORIZED)

    def test_without_accounts_a_request_goes_on(self) -> None:
        found, key = self._waiting(account_site.table(red=account_site.RED))
        found.change(None)
        found.site.advance(150)
        self.assertTrue(found.site.sends_of(key))
