"""Tests of versions that change the accounts while requests are in progress."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.client_accounts.tests import account_site
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import delegations, gateway, requests
from amaranthpulley.state.forwarding.client_accounts import accounts

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
# A version in which red has lost its only key.
WITHOUT_RED = account_site.table(blue=account_site.BLUE)
PATHS = ("/visit/1", "/wide/1")
LOST = requests.AttemptEnd.LOST


def _cancelled(site: gateway_site.GatewaySite) -> set[int]:
    found = site.others
    return {c.attempt for c in found if isinstance(c, commands.CancelAttempt)}


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
        found.change(WITHOUT_RED)
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
                found.change(WITHOUT_RED)
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
                found.change(WITHOUT_RED)
                self._assert_unauthorized(found, key)
                self.assertEqual(_cancelled(found.site), numbers)
                self.assertEqual(found.site.gateway.attempts, {})

    def test_the_answer_of_a_leaf_is_passed_on(self) -> None:
        for path in PATHS:
            with self.subTest(path):
                found = account_site.AccountSite()
                key = found.ask(path)
                found.change(WITHOUT_RED)
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
                found.change(WITHOUT_RED)
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
        found.change(WITHOUT_RED)
        found.site.reply(sent, gateway_site.REJECTED)
        self._assert_unauthorized(found, key)
        self.assertEqual(found.site.sends_of(key), [sent])

    def test_a_request_whose_leaf_was_lost_has_an_unknown_outcome(self) -> None:
        found = account_site.AccountSite()
        key = found.ask()
        (sent,) = found.site.sends_of(key)
        found.change(WITHOUT_RED)
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
        found.change(WITHOUT_RED)
        self.assertNotIn(key, found.site.answers)
        found.site.reply(second, gateway_site.answer(body=b"y" * 24))
        merged = found.site.answers[key]
        self.assertEqual(merged.missing, 1)

    def test_a_part_that_waits_for_its_connection_is_not_sent(self) -> None:
        found = account_site.AccountSite()
        key = found.ask("/wide/1")
        opening, *others = found.site.sends_of(key)
        found.site.feed(events.AttemptOpening(opening.command.attempt))
        found.change(WITHOUT_RED)
        self.assertEqual(_cancelled(found.site), {opening.command.attempt})
        for sent in others:
            found.site.reply(sent, gateway_site.answer(body=b"x" * 24))
        self.assertEqual(found.site.answers[key].missing, 1)

    def test_an_answered_request_stays_answered(self) -> None:
        found = account_site.AccountSite()
        key = found.ask()
        found.site.reply(found.site.sends_of(key)[0], gateway_site.answer())
        found.change(WITHOUT_RED)
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
        found.change(WITHOUT_RED)
        found.version = 0
        found.change(account_site.table(red=account_site.RED))
        self._assert_unauthorized(found, found.ask())

    def test_the_version_is_logged_without_keys(self) -> None:
        found = account_site.AccountSite()
        found.ask()
        found.change(WITHOUT_RED)
        line = found.site.logs_of(log_events.CLIENT_ACCOUNTS_IN_FORCE)[-1]
        expected = {
            **{"version": 2, "accounts": 1, "keys": 1},
            **{"shared_keys": 0, "withdrawn": 1},
        }
        self.assertEqual(line, expected)

    def test_shared_keys_are_logged(self) -> None:
        found = account_site.AccountSite(accounts=None)
        shared = tuple(accounts.SharedKeys("red", f"b{n}", 2) for n in range(30))
        found.change(WITHOUT_RED._replace(shared_keys=shared))
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


class WithdrawnAtDelegateTest(unittest.TestCase):
    """Requests at a delegate whose key is withdrawn."""

    def setUp(self) -> None:
        self.found = account_site.AccountSite()
        self.site = self.found.site
        names = ["fast-0", "fast-1", *(f"vm-{number}" for number in range(1, 19))]
        for other in names:
            speed = 2.0 if other.startswith("fast") else 0.5
            member = gateway.Member("a1", f"{other}:1", f"{other}:2", speed)
            self.site.feed(events.MemberChanged(other, member))

    def _hand_over(self) -> tuple[int, commands.SendToDelegate]:
        key = self.found.ask("/wide/1")
        found = self.site.others
        sent = [c for c in found if isinstance(c, commands.SendToDelegate)]
        return key, sent[-1]

    def test_the_delegate_is_told_the_account_and_gets_no_key(self) -> None:
        _, sent = self._hand_over()
        self.assertEqual(sent.origin, delegations.Origin(1, 0, account_site.RED.name))
        self.assertTrue(sent.hides_key)

    def test_without_accounts_the_origin_is_as_before(self) -> None:
        self.found.change(None)
        _, sent = self._hand_over()
        self.assertEqual(sent.origin, delegations.Origin(2, 0))
        self.assertFalse(sent.hides_key)

    def test_an_answer_is_passed_on(self) -> None:
        key, sent = self._hand_over()
        self.found.change(WITHOUT_RED)
        self.site.feed(events.DelegateAnswered(sent.delegation, _merged(), 0))
        self.assertIsInstance(self.site.answers[key], commands.PassAnswer)

    def test_a_refused_request_goes_nowhere_else(self) -> None:
        key, sent = self._hand_over()
        self.found.change(WITHOUT_RED)
        self.site.feed(
            events.DelegateAnswered(sent.delegation, gateway_site.answer(503), None)
        )
        refused = self.site.answers[key]
        self.assertIs(refused.reason, commands.Refusal.UNAUTHORIZED)
        self.assertEqual(self.site.sends_of(key), [])

    def test_a_silent_delegate_leaves_an_unknown_outcome(self) -> None:
        key, _ = self._hand_over()
        self.found.change(WITHOUT_RED)
        self.site.advance(50)
        refused = self.site.answers[key]
        self.assertIs(refused.reason, commands.Refusal.OUTCOME_UNKNOWN)
        self.assertEqual(self.site.sends_of(key), [])

    def test_a_delegate_may_not_go_on_for_long(self) -> None:
        # Guards against a delegate that sends to leaves with a key that was withdrawn
        # long ago: it does not know the key.
        limits = self.site.gateway.limits
        self.site.gateway.limits = limits._replace(configuration_ms=1_000)
        key, sent = self._hand_over()
        self.found.change(WITHOUT_RED)
        for _ in range(5):
            self.site.feed(events.DelegateHeard(sent.delegation))
            self.site.advance(50)
        self.assertFalse(self.site.answers[key].not_run)
        self.assertIn(sent.delegation, _cancelled(self.site))

    def test_the_delegate_hands_back_a_request_of_a_removed_account(self) -> None:
        found = account_site.AccountSite()
        for leaf in found.site.gateway.directory.all():
            leaf.full_until_ms = found.site.now_ms + 200
        origin = delegations.Origin(1, 0, account_site.RED.name)
        incoming = requests.IncomingRequest(
            77, "r77", gateway_site.HOST, "/wide/1", (77,), 800, origin
        )
        found.site.feed(events.RequestArrived(incoming))
        found.change(WITHOUT_RED)
        refused = found.site.answers[77]
        self.assertIs(refused.reason, commands.Refusal.OTHER_VERSION)
        self.assertTrue(refused.not_run)


def _merged() -> requests.LeafAnswer:
    return gateway_site.answer(signature=b"", body=b"records")


class _Interleaving:
    """Random moves of one client, its operator and the leaves."""

    def __init__(self, seed: int) -> None:
        self.chance = random.Random(seed)
        self.found = account_site.AccountSite()
        self.holds_red = True
        # Requests whose key was withdrawn while they had no answer.
        self.withdrawn: set[int] = set()
        # Attempts that a leaf may have run, and those that wait for a connection.
        self.may_have_run: dict[int, int] = {}
        self.opening: set[int] = set()
        self.open: list[gateway_site.Sent] = []
        self.broken: list[str] = []
        self._seen = 0

    def move(self, kind: int) -> None:
        """Make a move and check what followed."""
        site = self.found.site
        if kind == 0:
            self._change()
        elif kind <= 3:
            self.found.ask(self.chance.choice(PATHS))
        elif kind == 4:
            leaf = self.chance.choice(site.gateway.directory.all())
            leaf.full_until_ms = site.now_ms + self.chance.randrange(200)
        elif kind <= 8 and self.open:
            self._end_attempt(self.open.pop(self.chance.randrange(len(self.open))))
        else:
            site.advance(self.chance.randrange(1, 120))
        self._check()

    def _change(self) -> None:
        self.holds_red = not self.holds_red
        if not self.holds_red:
            requested = self.found.site.gateway.requests.values()
            self.withdrawn |= {r.incoming.key for r in requested if not r.answered}
        red = {"red": account_site.RED} if self.holds_red else {}
        self.found.change(account_site.table(**red, blue=account_site.BLUE))

    def _end_attempt(self, sent: gateway_site.Sent) -> None:
        number, site = sent.command.attempt, self.found.site
        if number in _cancelled(site):
            return
        if number in self.opening and sent.command.request_key in self.withdrawn:
            self.broken.append(f"sent once connected: {sent}")
        self.opening.discard(number)
        site.feed(events.AttemptSent(number))
        if self.chance.random() < 0.4:
            del self.may_have_run[number]
            site.reply(sent, gateway_site.REJECTED)
        elif self.chance.random() < 0.7:
            site.reply(sent, gateway_site.answer(body=b"x" * 24))
        else:
            site.fail(sent, LOST)

    def _check(self) -> None:
        site = self.found.site
        while self._seen < len(site.sent):
            sent = site.sent[self._seen]
            self._seen += 1
            number, key = sent.command.attempt, sent.command.request_key
            if not self.holds_red or key in self.withdrawn:
                self.broken.append(f"sent with a withdrawn key: {sent}")
            self.open.append(sent)
            self.may_have_run[number] = key
            if self.chance.random() < 0.3:
                self.opening.add(number)
                site.feed(events.AttemptOpening(number))
        for number in self.opening & _cancelled(site):
            self.may_have_run.pop(number, None)
        for key, given in site.answers.items():
            if isinstance(given, commands.Refuse) and given.not_run:
                if key in self.may_have_run.values():
                    self.broken.append(f"may have run: {given}")


class WithdrawalPropertyTest(unittest.TestCase):
    """Random interleavings of versions, answers, failures and time."""

    @SETTINGS
    @hypothesis.given(
        strategies.integers(0, 10_000),
        strategies.lists(strategies.integers(0, 9), min_size=20, max_size=60),
    )
    def test_nothing_is_sent_with_a_withdrawn_key(
        self, seed: int, moves: list[int]
    ) -> None:
        run = _Interleaving(seed)
        for kind in moves:
            run.move(kind)
        run.found.site.advance(1_000)
        run._check()
        self.assertEqual(run.broken, [])
        unanswered = set(range(1, run.found.site._next_key + 1)) - set(
            run.found.site.answers
        )
        self.assertEqual(unanswered, set())
