"""Accounts that are far over their quota: who is asked, what is used, who returns."""

import unittest

from amaranthpulley.coordination.forwarding.client_accounts import (
    quota_asks,
    quota_owners,
    quota_tokens,
)
from amaranthpulley.coordination.forwarding.client_accounts.tests import (
    quota_callers,
    quota_fleet,
    quota_site,
    test_quota_service,
)
from amaranthpulley.state.forwarding import gateway, peer_messages

# With so many daemons in its region, vm-1 is no owner of "acme".
MEMBERS = {**{f"near-{n}": "a1" for n in range(6)}, "vm-2": "b1", "vm-3": "c1"}
FAR = {"vm-2", "vm-3"}
# A third of 10 a second.
TOKEN_MS = 300
PRESSED_MS = 900
FAR_ANSWER_MS = 24
DAEMONS = 71


class PressedAskTest(unittest.TestCase):
    """A refusal took the answers of two far owners, one after the other."""

    def setUp(self) -> None:
        self.site = quota_site.QuotaSite(MEMBERS)

    def deny(self, after_ms: int, retry_after_ms: int) -> None:
        """Let the owner that was asked last deny."""
        self.site.site.advance(after_ms)
        self.site.grant(len(self.site.asked()) - 1, 0, retry_after_ms)

    def owners(self) -> list[str]:
        return [owner for _, owner in self.site.asked()]

    def press(self) -> int:
        """Let the owner of the region and one other deny; return the request."""
        key = self.site.request()
        self.deny(2, PRESSED_MS)
        self.assertIsNone(self.site.refusal(key))
        self.deny(FAR_ANSWER_MS, PRESSED_MS)
        return key

    def test_is_refused_after_its_region_and_one_other_have_denied(self) -> None:
        key = self.press()
        self.assertIsNotNone(self.site.refusal(key))
        self.assertEqual(len(self.site.asked()), 2)

    def test_the_other_far_owner_is_asked_next(self) -> None:
        # Otherwise its tokens are left to the daemons of its own region.
        self.press()
        self.site.request()
        far = [owner for owner in self.owners() if owner in FAR]
        self.assertEqual(set(far), FAR)

    def test_denial_is_remembered_for_two_tokens(self) -> None:
        # Daemons that ask at each token cost the owners more than they get from it.
        self.press()
        near, far = self.owners()
        empty = self.site.gateway.quotas.accounts["acme"].empty_until_ms
        memory = quota_asks.PRESSED_MEMORY_TOKENS * TOKEN_MS
        self.assertAlmostEqual(empty[far] - self.site.now_ms, memory, delta=2)
        expected_ms = memory - FAR_ANSWER_MS
        self.assertAlmostEqual(empty[near] - self.site.now_ms, expected_ms, delta=2)

    def test_account_that_is_denied_now_and_then_asks_all_owners(self) -> None:
        # Its tokens may be with the third owner.
        key = self.site.request()
        self.deny(2, TOKEN_MS)
        self.deny(FAR_ANSWER_MS, TOKEN_MS)
        self.assertIsNone(self.site.refusal(key))
        self.assertEqual(len(set(self.owners())), 3)

    def test_late_answer_is_awaited(self) -> None:
        # Its tokens would lapse: a daemon with little demand has no other use for them.
        self.press()
        self.site.site.advance(2 * TOKEN_MS)
        key = self.site.request()
        self.site.site.advance(60)
        self.assertIsNone(self.site.refusal(key))
        asked = len(self.site.asked())
        self.assertEqual(asked, 3)
        self.site.grant(asked - 1, 1)
        self.assertEqual(len(self.site.site.sends_of(key)), 1)
        lost = self.site.request()
        self.site.site.advance(quota_tokens.LONGEST_WAIT_MS)
        self.assertIsNotNone(self.site.refusal(lost))


class ReturnTest(unittest.TestCase):
    """Clients that all return after the time of one token are refused again."""

    def refusals(self, rate: float) -> list[int]:
        """Return when clients with 800 ms left may return to a pressed account."""
        site = quota_site.QuotaSite(MEMBERS, quota_fleet.account("acme", rate, rate))
        keys = [site.request()]
        for index in range(2):
            site.site.advance(FAR_ANSWER_MS)
            site.grant(index, 0, PRESSED_MS)
        keys += [site.request() for _ in range(20)]
        site.grant(2, 0, PRESSED_MS)
        return [site.refusal(key).retry_after_ms for key in keys[1:]]

    def test_returns_are_spread_within_a_third_of_the_time_left(self) -> None:
        # A token comes in after 50, 100 and 300 ms.
        for rate in (60, 30, 10):
            with self.subTest(rate=rate):
                found = self.refusals(rate)
                self.assertGreater(max(found) - min(found), 60)
                self.assertGreater(len({after_ms // 20 for after_ms in found}), 3)
                self.assertGreaterEqual(min(found), 20)
                self.assertLessEqual(max(found), 800 / 3)

    def test_return_is_not_before_the_next_token(self) -> None:
        site = quota_site.QuotaSite(MEMBERS)
        site.request(deadline_ms=3_000)
        for index in range(2):
            site.site.advance(FAR_ANSWER_MS)
            site.grant(index, 0, PRESSED_MS)
        table = site.gateway.quotas.accounts["acme"]
        for left_of_pressure_ms in (-1, 5, 150, 400):
            now_ms = table.pressed_until_ms - left_of_pressure_ms
            found = quota_asks.return_ms(table, 90, 3_000, 7, now_ms)
            self.assertTrue(90 <= found <= max(90, left_of_pressure_ms), found)

    def test_returns_are_within_a_third_of_the_time_left(self) -> None:
        site = quota_site.QuotaSite(MEMBERS)
        key = site.request(deadline_ms=600)
        for index in range(2):
            site.site.advance(FAR_ANSWER_MS)
            site.grant(index, 0, PRESSED_MS)
        self.assertLessEqual(site.refusal(key).retry_after_ms, 600 / 3)


class OwnerDenialTest(unittest.TestCase):
    """An owner sees the demand of all daemons; each of them sees little of it."""

    def setUp(self) -> None:
        self.account = quota_fleet.account("acme", 30, 30)
        self.site = quota_site.QuotaSite({"vm-2": "b1", "vm-3": "c1"}, self.account)
        self.site.confirm()
        self.number = 0

    def denied_ms(self) -> int:
        self.number += 1
        request = peer_messages.TokenRequest(self.number, "acme", 50)
        self.site.receive(request, "vm-2")
        return self.site.messages(peer_messages.TokenGrant)[-1][0].retry_after_ms

    def test_many_denials_are_told_and_few_are_not(self) -> None:
        token_ms = quota_owners.token_ms(self.site.gateway, self.account)
        share = quota_owners.PRESSED_SHARE
        few = int(share * 1_000 / token_ms)
        for _ in range(few):
            self.assertLessEqual(self.denied_ms(), token_ms + 1)
        for _ in range(5):
            found = self.denied_ms()
        self.assertGreater(found, quota_owners.PRESSED_MS)
        self.site.site.advance(2_000)
        self.assertLessEqual(self.denied_ms(), token_ms + 1)

    def test_asking_daemons_tell_it_from_a_usual_denial_at_any_rate(self) -> None:
        for rate in (1, 2, 30, 200):
            account = quota_fleet.account("acme", rate, 0)
            with self.subTest(rate=rate):
                self.site = quota_site.QuotaSite({"vm-2": "b1", "vm-3": "c1"}, account)
                self.site.confirm()
                token_ms = quota_owners.token_ms(self.site.gateway, account)
                self.assertLessEqual(self.denied_ms(), token_ms + 1)
                for _ in range(200):
                    found = self.denied_ms()
                self.assertGreater(found, quota_asks.PRESSED_TOKENS * token_ms + 1)


class PressedFleetTest(unittest.TestCase):
    """Three times the quota, spread over all daemons, by clients that return."""

    def begin(self, rate: float, seed: int = 1) -> quota_fleet.QuotaFleet:
        account = quota_fleet.account("acme", rate, rate)
        fleet = quota_fleet.QuotaFleet(DAEMONS, (account,), seed=seed)
        for number in range(DAEMONS):
            fleet.start(number)
        fleet.advance(20_000)
        return fleet

    def check(
        self, fleet: quota_fleet.QuotaFleet, daemons: tuple[int, ...], times: float
    ) -> quota_callers.Outcome:
        rate = fleet.accounts[0].rate_per_s
        end_ms = fleet.now_ms + 6_500
        outcome = quota_callers.replay(fleet, rate * times, 6_500, daemons)
        used = sum(at_ms <= end_ms for at_ms in fleet.arrivals["acme"])
        self.assertGreaterEqual(used, 0.95 * rate * 7.5)
        most = fleet.most_in_a_window("acme")
        self.assertLessEqual(most, fleet.allowed(fleet.accounts[0]))
        return outcome

    def test_quota_is_used_and_refusals_come_soon(self) -> None:
        for rate in (5, 10, 33):
            for seed in (1, 2):
                with self.subTest(rate=rate, seed=seed):
                    fleet = self.begin(rate, seed)
                    outcome = self.check(fleet, tuple(range(DAEMONS)), 3)
                    took_ms = outcome.refusal_ms
                    self.assertLessEqual(took_ms[int(0.9 * len(took_ms))], 30)

    def test_quota_is_used_from_a_few_daemons(self) -> None:
        # Denials that are remembered too long leave the tokens with the owners.
        for daemons in ((3,), (0, 8, 40), tuple(range(0, DAEMONS, 6))):
            with self.subTest(daemons=len(daemons)):
                self.check(self.begin(18), daemons, 3.3)

    def test_quota_is_used_when_answers_are_late(self) -> None:
        # Small VMs whose processor share is used up answer late.
        fleet = self.begin(33)
        fleet.links = quota_fleet.Links(late=0.3, late_ms=60)
        self.check(fleet, tuple(range(DAEMONS)), 3)

    def test_usual_demand_in_one_region_does_not_wait_longer(self) -> None:
        # Its own region's owner denies almost half of its token requests. Before
        # accounts were told apart, all requests waited for 9 to 13 ms on average.
        usual = test_quota_service.USUAL
        for rate in (5, 18, 33):
            with self.subTest(rate=rate):
                fleet = self.begin(rate)
                daemons = (0, 1, 6)
                outcome = quota_callers.replay(fleet, rate * usual, 20_000, daemons)
                self.assertEqual(outcome.refusal_ms, [])
                self.assertEqual(outcome.served, outcome.clients)
                waited_ms = sum(
                    fleet.daemons[number].gateway.counters.total("quota_wait_ms_total")
                    for number in daemons
                )
                self.assertLess(waited_ms / outcome.clients, 14)
                self.assertEqual(self.pressed(fleet), [])

    def pressed(self, fleet: quota_fleet.QuotaFleet) -> list[str]:
        """Return the daemons that take the account for one far over its quota."""
        found: list[tuple[str, gateway.Gateway | None]] = [
            (daemon.name, daemon.gateway) for daemon in fleet.daemons
        ]
        return [
            name
            for name, state in found
            for table in state.quotas.accounts.values()
            if quota_asks.is_pressed(table, fleet.now_ms - 1_000)
        ]


if __name__ == "__main__":
    unittest.main()
