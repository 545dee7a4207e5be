"""What is served of an account's demand, and how long its requests wait for tokens."""

import unittest

from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.coordination.forwarding.client_accounts.tests import quota_fleet

USUAL = 1 / 1.6
WITHIN = 0.95


def replay(
    fleet: quota_fleet.QuotaFleet, share: float, for_ms: int, *daemons: int
) -> list[quota_fleet.Ended]:
    """Send a share of the first account's rate, and return how its requests ended."""
    account = fleet.accounts[0]
    interval_ms = 1_000 / (account.rate_per_s * share)
    began_ms, asked_ms, turn = fleet.now_ms, 0.0, 0
    fleet.ended.clear()
    while asked_ms < for_ms:
        fleet.advance(max(0, began_ms + int(asked_ms) - fleet.now_ms))
        fleet.ask(daemons[turn % len(daemons)], account.name)
        turn += 1
        asked_ms += interval_ms * fleet.random.uniform(0.2, 1.8)
    fleet.advance(1_000)
    return list(fleet.ended)


def served(ended: list[quota_fleet.Ended]) -> int:
    return sum(one.refusal is None for one in ended)


class QuotaServiceTest(unittest.TestCase):
    def begin(
        self, rate: float, burst: float, count: int = 71, seed: int = 1
    ) -> quota_fleet.QuotaFleet:
        account = quota_fleet.account("acme", rate, burst)
        fleet = quota_fleet.QuotaFleet(count, (account,), seed=seed)
        for number in range(count):
            fleet.start(number)
        fleet.advance(20_000)
        return fleet

    def check_bound(self, fleet: quota_fleet.QuotaFleet) -> None:
        account = fleet.accounts[0]
        most = fleet.most_in_a_window(account.name)
        self.assertLessEqual(most, fleet.allowed(account))

    def test_demand_on_one_of_71_daemons_is_served_up_to_the_quota(self) -> None:
        # Equal shares of the daemons would serve a 71st of it.
        for rate in (1, 5, 18, 200):
            for share in (USUAL, 1.0, 5.0):
                with self.subTest(rate=rate, share=share):
                    fleet = self.begin(rate, rate)
                    for_ms = 20_000 if rate > 1 else 60_000
                    ended = replay(fleet, share, for_ms, 3)
                    within = min(len(ended), rate * for_ms / 1000 + rate)
                    self.assertGreaterEqual(served(ended), WITHIN * within)
                    self.check_bound(fleet)

    def test_usual_demand_on_a_few_daemons_is_served(self) -> None:
        for rate in (5, 18):
            with self.subTest(rate=rate):
                ended = replay(self.begin(rate, rate), USUAL, 30_000, 0, 8, 40)
                self.assertEqual(served(ended), len(ended))

    def test_burst_of_several_times_the_usual_rate(self) -> None:
        # 3 to 7.5 times the usual rate for 6 s; then the usual rate is served again.
        for times in (3.0, 7.5):
            with self.subTest(times=times):
                fleet = self.begin(10, 10)
                replay(fleet, USUAL, 5_000, 3)
                ended = replay(fleet, USUAL * times, 6_000, 3)
                self.assertGreaterEqual(served(ended), WITHIN * 60)
                refused = {one.refusal.reason for one in ended if one.refusal}
                self.assertEqual(refused, {commands.Refusal.OVER_QUOTA})
                self.check_bound(fleet)
                fleet.advance(1_000)
                ended = replay(fleet, USUAL, 10_000, 3)
                self.assertGreaterEqual(served(ended), WITHIN * len(ended))

    def test_usual_demand_is_served_while_an_owner_is_lost(self) -> None:
        for rate in (5, 10, 18):
            for lost in range(3):
                with self.subTest(rate=rate, lost=lost):
                    fleet = self.begin(rate, rate)
                    names = [daemon.name for daemon in fleet.daemons]
                    owner = fleet.owners(fleet.accounts[0])[lost]
                    asker = 0 if names[0] != owner else 1
                    replay(fleet, USUAL, 3_000, asker)
                    fleet.stop(names.index(owner))
                    ended = replay(fleet, USUAL, 40_000, asker)
                    self.assertGreaterEqual(served(ended), WITHIN * len(ended))

    def test_lost_datagrams_cost_little_service(self) -> None:
        fleet = self.begin(10, 10)
        fleet.links = quota_fleet.Links(lost=0.02, doubled=0.02)
        ended = replay(fleet, USUAL, 30_000, 3)
        self.assertGreaterEqual(served(ended), WITHIN * len(ended))

    def test_all_daemons_start_at_once(self) -> None:
        # Owners wait for confirmations of daemons that are starting themselves.
        account = quota_fleet.account("acme", 10, 10)
        fleet = quota_fleet.QuotaFleet(71, (account,))
        for number in range(71):
            fleet.start(number)
        fleet.advance(2_000)
        ended = replay(fleet, USUAL, 10_000, 3)
        self.assertGreaterEqual(served(ended), WITHIN * len(ended))

    def test_requests_hardly_wait_for_tokens(self) -> None:
        # A round trip within the region takes 2 ms here, between regions 24 ms.
        for rate in (5, 18):
            with self.subTest(rate=rate):
                fleet = self.begin(rate, rate)
                ended = replay(fleet, USUAL, 30_000, 3)
                counters = fleet.daemons[3].gateway.counters
                waited_ms = counters.total("quota_wait_ms_total") / len(ended)
                self.assertLess(waited_ms, 12)


if __name__ == "__main__":
    unittest.main()
