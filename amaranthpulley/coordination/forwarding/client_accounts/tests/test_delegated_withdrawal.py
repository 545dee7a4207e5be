"""Tests of requests at a delegate whose key is withdrawn."""

import unittest

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.client_accounts.tests import account_site
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import delegations, gateway, requests


def _merged() -> requests.LeafAnswer:
    return gateway_site.answer(signature=b"", body=b"records")


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
        self.found.change(account_site.WITHOUT_RED)
        self.site.feed(events.DelegateAnswered(sent.delegation, _merged(), 0))
        self.assertIsInstance(self.site.answers[key], commands.PassAnswer)

    def test_a_refused_request_goes_nowhere_else(self) -> None:
        key, sent = self._hand_over()
        self.found.change(account_site.WITHOUT_RED)
        self.site.feed(
            events.DelegateAnswered(sent.delegation, gateway_site.answer(503), None)
        )
        refused = self.site.answers[key]
        self.assertIs(refused.reason, commands.Refusal.UNAUTHORIZED)
        self.assertEqual(self.site.sends_of(key), [])

    def test_a_silent_delegate_leaves_an_unknown_outcome(self) -> None:
        key, _ = self._hand_over()
        self.found.change(account_site.WITHOUT_RED)
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
        self.found.change(account_site.WITHOUT_RED)
        for _ in range(5):
            self.site.feed(events.DelegateHeard(sent.delegation))
            self.site.advance(50)
        self.assertFalse(self.site.answers[key].not_run)
        self.assertIn(sent.delegation, account_site.cancelled(self.site))

    def test_the_delegate_hands_back_a_request_of_a_removed_account(self) -> None:
        found = account_site.AccountSite()
        for leaf in found.site.gateway.directory.all():
            leaf.full_until_ms = found.site.now_ms + 200
        origin = delegations.Origin(1, 0, account_site.RED.name)
        incoming = requests.IncomingRequest(
            77, "r77", gateway_site.HOST, "/wide/1", (77,), 800, origin
        )
        found.site.feed(events.RequestArrived(incoming))
        found.change(account_site.WITHOUT_RED)
        refused = found.site.answers[77]
        self.assertIs(refused.reason, commands.Refusal.OTHER_VERSION)
        self.assertTrue(refused.not_run)
