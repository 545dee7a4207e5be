"""Bytes of the messages about quotas, for each daemon of several deployments."""

import heapq
import unittest

from amaranthpulley.coordination.forwarding.client_accounts.tests import quota_fleet
from amaranthpulley.protocol.forwarding import peer_message_codec

# What the users allow a daemon for control, sent and received.
ALLOWED_BYTES_PER_S = 30_000
# Heads of IP and UDP.
DATAGRAM_HEAD_BYTES = 28
ACCOUNTS = tuple(
    quota_fleet.account(f"account-{number:02}", 5 + number % 14, 5 + number % 14)
    for number in range(78)
)
USUAL = 1 / 1.6
DAEMONS_OF_AN_ACCOUNT = 3


class QuotaTrafficTest(unittest.TestCase):
    def begin(self, count: int) -> quota_fleet.QuotaFleet:
        fleet = quota_fleet.QuotaFleet(count, ACCOUNTS)
        fleet.size_of = lambda message: (
            len(peer_message_codec.encode(message)) + DATAGRAM_HEAD_BYTES
        )
        for number in range(count):
            fleet.start(number)
        return fleet

    def bytes_of(self, fleet: quota_fleet.QuotaFleet) -> list[int]:
        return [daemon.sent_bytes + daemon.received_bytes for daemon in fleet.daemons]

    def advance(self, fleet: quota_fleet.QuotaFleet, for_ms: int) -> int:
        """Advance the fleet; return the most bytes of a daemon in that time."""
        before = self.bytes_of(fleet)
        fleet.advance(for_ms)
        after = self.bytes_of(fleet)
        return max(late - early for early, late in zip(before, after, strict=True))

    def send_demand(self, fleet: quota_fleet.QuotaFleet, for_ms: int) -> None:
        """Send the usual demand of all accounts, each to a few daemons."""
        end_ms, turn = fleet.now_ms + for_ms, 0
        due = [(fleet.now_ms + 6.0 * n, n) for n in range(len(ACCOUNTS))]
        while due[0][0] < end_ms:
            at_ms, number = heapq.heappop(due)
            fleet.advance(max(0, int(at_ms) - fleet.now_ms))
            turn += 1
            daemon = number * 7 + turn % DAEMONS_OF_AN_ACCOUNT
            fleet.ask(daemon % len(fleet.daemons), ACCOUNTS[number].name)
            interval_ms = 1_000 / (ACCOUNTS[number].rate_per_s * USUAL)
            next_ms = at_ms + interval_ms * fleet.random.uniform(0.2, 1.8)
            heapq.heappush(due, (next_ms, number))

    def test_start_of_all_and_usual_demand_stay_within_the_budget(self) -> None:
        for count in (24, 71, 300):
            with self.subTest(count=count):
                fleet = self.begin(count)
                for _ in range(8):
                    most = self.advance(fleet, 1_000)
                    self.assertLessEqual(most, ALLOWED_BYTES_PER_S)
                # Nothing is sent without demand, once all have confirmed.
                self.assertEqual(self.advance(fleet, 1_000), 0)
                before = self.bytes_of(fleet)
                self.send_demand(fleet, 4_000)
                spent = zip(before, self.bytes_of(fleet), strict=True)
                most_per_s = max(late - early for early, late in spent) / 4
                self.assertLessEqual(most_per_s, ALLOWED_BYTES_PER_S)
                refused = sum(one.refusal is not None for one in fleet.ended)
                self.assertLessEqual(refused, 0.05 * len(fleet.ended))


if __name__ == "__main__":
    unittest.main()
