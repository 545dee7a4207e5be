"""Property of withdrawn keys over random interleavings."""

import random
import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.client_accounts.tests import account_site
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import requests

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=150
)
PATHS = ("/visit/1", "/wide/1")
LOST = requests.AttemptEnd.LOST


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
        if number in account_site.cancelled(site):
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
        for number in self.opening & account_site.cancelled(site):
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
