"""What one daemon does with the tokens of an account's quota."""

import unittest

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.client_accounts import (
    quota_asks,
    quota_tokens,
)
from amaranthpulley.coordination.forwarding.client_accounts.tests import (
    quota_fleet,
    quota_site,
)
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway, peer_messages
from amaranthpulley.state.forwarding.client_accounts import accounts

# vm-1, the daemon itself, has two owners in other regions and is one itself.
OWNERS = {"vm-2": "b1", "vm-3": "c1"}
# With so many daemons in its region, vm-1 is no owner of "acme".
NEAR = {**{f"near-{n}": "a1" for n in range(6)}, **OWNERS}


class TokenRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = quota_site.QuotaSite(NEAR)
        self.assertNotIn("vm-1", [owner for _, owner in self.site.asked()])

    def test_waits_for_the_owner_of_its_own_region(self) -> None:
        key = self.site.request()
        self.assertEqual(len(self.site.asked()), 1)
        message, owner = self.site.asked()[0]
        self.assertEqual(self.site.gateway.members[owner].failure_domain, "a1")
        self.assertEqual((message.account, message.wanted), ("acme", 1))
        self.assertEqual(self.site.site.sends_of(key), [])
        self.site.grant(0, 1)
        self.assertEqual(len(self.site.site.sends_of(key)), 1)

    def test_denied_by_all_owners_is_refused_as_not_run(self) -> None:
        key = self.site.request()
        for index, retry_after_ms in enumerate((300, 90, 200)):
            self.assertIsNone(self.site.refusal(key))
            self.site.grant(index, 0, retry_after_ms)
        refusal = self.site.refusal(key)
        self.assertEqual(refusal.reason, commands.Refusal.OVER_QUOTA)
        self.assertTrue(refusal.not_run)
        # The soonest of the three, spread over half of it.
        self.assertTrue(90 <= refusal.retry_after_ms <= 135, refusal)
        self.assertEqual(len({owner for _, owner in self.site.asked()}), 3)

    def test_denied_account_is_refused_without_asking_until_the_next_token(
        self,
    ) -> None:
        self.site.request()
        for index in range(3):
            self.site.grant(index, 0, 300)
        later = self.site.request()
        self.assertIsNotNone(self.site.refusal(later))
        self.assertEqual(len(self.site.asked()), 3)
        self.site.site.advance(300)
        self.site.request()
        self.assertEqual(len(self.site.asked()), 4)

    def test_lost_datagram_sends_the_request_to_the_next_owner(self) -> None:
        key = self.site.request()
        self.site.site.advance(quota_asks.ANSWER_TIMEOUT_MS)
        first, second = (owner for _, owner in self.site.asked())
        self.assertNotEqual(first, second)
        self.site.grant(1, 1)
        self.assertEqual(len(self.site.site.sends_of(key)), 1)
        lines = self.site.site.logs_of(log_events.QUOTA_OWNER_SILENT)
        self.assertEqual([line["owner"] for line in lines], [first])
        # The silent owner is asked last for a while, then first again.
        self.site.request()
        self.assertNotEqual(self.site.asked()[2][1], first)
        self.site.grant(2, 1)
        self.site.site.advance(quota_asks.SILENCE_MS)
        self.site.request()
        self.assertEqual(self.site.asked()[3][1], first)

    def test_no_owner_answers(self) -> None:
        # A daemon that is cut off from all owners refuses, and never runs it later.
        key = self.site.request()
        self.site.site.advance(quota_tokens.LONGEST_WAIT_MS)
        self.assertEqual(self.site.refusal(key).reason, commands.Refusal.OVER_QUOTA)
        self.site.grant(0, 1)
        self.assertEqual(self.site.site.sends_of(key), [])

    def test_late_loop_reads_the_answer_before_it_gives_up(self) -> None:
        # A small VM may stand still for 100 ms, with the grant in its socket.
        key = self.site.request()
        self.site.site.clock.advance_to(self.site.now_ms + 100)
        self.site.site.feed(events.WakeDue(key))
        self.assertIsNone(self.site.refusal(key))
        self.site.grant(0, 1)
        self.assertEqual(len(self.site.site.sends_of(key)), 1)
        self.assertEqual(self.site.gateway.quotas.silent_until_ms, {})
        late = self.site.request()
        self.site.site.clock.advance_to(self.site.now_ms + 100)
        self.site.site.feed(events.WakeDue(late))
        self.site.site.advance(quota_asks.READING_MS)
        self.assertIsNotNone(self.site.refusal(late))

    def test_late_grant_is_used_by_a_later_request(self) -> None:
        self.site.request()
        self.site.site.advance(quota_tokens.LONGEST_WAIT_MS)
        self.site.grant(0, 1)
        key = self.site.request()
        self.assertEqual(len(self.site.site.sends_of(key)), 1)

    def test_idle_account_leaves_nothing_behind(self) -> None:
        # Otherwise each account that ever asked, and each lost datagram, stays.
        self.site.request()
        self.site.site.advance(quota_tokens.IDLE_MS + 200)
        self.assertEqual(self.site.gateway.quotas.accounts, {})
        self.assertEqual(self.site.gateway.quotas.asked_for, {})
        self.assertEqual(self.site.gateway.quotas.silent_until_ms, {})

    def test_grant_after_the_validity_of_its_tokens_is_worthless(self) -> None:
        # The validity counts from the request, whatever the datagrams took.
        self.site.request()
        self.site.site.advance(quota_asks.VALIDITY_MS)
        self.site.grant(0, 1)
        key = self.site.request()
        self.assertEqual(self.site.site.sends_of(key), [])

    def test_doubled_unknown_and_exaggerated_grants_add_nothing(self) -> None:
        key = self.site.request()
        self.site.grant(0, 5)
        self.site.grant(0, 5)
        self.site.receive(peer_messages.TokenGrant(1, 5, 0), "vm-2")
        self.assertEqual(len(self.site.site.sends_of(key)), 1)
        held = self.site.gateway.quotas.accounts["acme"].held
        self.assertEqual(len(held), 0)

    def test_requests_that_wait_share_one_token_request(self) -> None:
        keys = [self.site.request() for _ in range(3)]
        self.site.grant(0, 1)
        wanted = [message.wanted for message, _ in self.site.asked()]
        self.assertEqual(sum(wanted[1:]), 2)
        self.assertEqual([len(self.site.site.sends_of(key)) for key in keys], [1, 0, 0])

    def test_asks_ahead_for_as_many_as_its_demand_makes_likely(self) -> None:
        answered = 0
        for _ in range(40):
            self.site.request()
            for index in range(answered, len(self.site.asked())):
                self.site.grant(index, self.site.asked()[index][0].wanted)
                answered += 1
            self.site.site.advance(20)
        wanted = max(message.wanted for message, _ in self.site.asked())
        self.assertEqual(wanted, 1 + quota_asks.MAXIMUM_AHEAD)


class GivenBackTokenTest(unittest.TestCase):
    def test_token_of_a_request_that_no_leaf_got_serves_another(self) -> None:
        # The leaf has 50 slots, and this daemon's connections are fewer: some wait.
        site = quota_site.QuotaSite(OWNERS, quota_fleet.account("acme", 90, 90))
        site.confirm()
        site.site.advance(5_000)
        keys = [site.request(deadline_ms=100) for _ in range(30)]
        waiting = [key for key in keys if not site.site.sends_of(key)]
        self.assertTrue(waiting)
        before = len(site.gateway.quotas.accounts["acme"].held)
        site.site.feed(events.ClientLeft(waiting[0]))
        after = len(site.gateway.quotas.accounts["acme"].held)
        self.assertEqual(after - before, 1)

    def test_token_of_a_request_that_a_leaf_got_is_spent(self) -> None:
        # A leaf that rejects a request has got it: it counts against the bound.
        site = quota_site.QuotaSite(OWNERS)
        site.confirm()
        site.site.advance(5_000)
        key = site.request()
        site.site.reply(site.site.sends_of(key)[0], gateway_site.REJECTED)
        site.site.advance(900)
        self.assertIsNotNone(site.refusal(key))
        self.assertEqual(len(site.gateway.quotas.accounts["acme"].held), 0)

    def test_request_refused_on_arrival_gives_its_token_back(self) -> None:
        site = quota_site.QuotaSite(OWNERS)
        site.confirm()
        site.site.advance(5_000)
        site.site.feed(events.LeafDeleted("l1"))
        site.site.advance(3_000)
        key = site.request()
        self.assertEqual(site.refusal(key).reason, commands.Refusal.NO_LEAF)
        self.assertEqual(len(site.gateway.quotas.accounts["acme"].held), 1)


class WaitingRequestTest(unittest.TestCase):
    def setUp(self) -> None:
        self.site = quota_site.QuotaSite(NEAR)

    def test_client_that_leaves_takes_no_token(self) -> None:
        first, second = self.site.request(), self.site.request()
        self.site.site.feed(events.ClientLeft(first))
        self.site.grant(0, 1)
        self.assertEqual(self.site.site.sends_of(first), [])
        self.assertEqual(len(self.site.site.sends_of(second)), 1)
        self.assertEqual(self.site.gateway.quotas.waiting_for, {})

    def test_request_is_refused_by_its_deadline(self) -> None:
        key = self.site.request(deadline_ms=50)
        self.site.site.advance(30)
        self.assertEqual(self.site.refusal(key).reason, commands.Refusal.OVER_QUOTA)

    def test_draining_daemon_answers_what_waits(self) -> None:
        served, refused = self.site.request(), self.site.request()
        self.site.site.feed(events.DrainRequested())
        self.site.grant(0, 1)
        self.assertEqual(len(self.site.site.sends_of(served)), 1)
        self.site.site.advance(quota_tokens.LONGEST_WAIT_MS)
        self.assertTrue(self.site.refusal(refused).not_run)

    def test_quota_removed_while_a_request_waits(self) -> None:
        key = self.site.request()
        unlimited = quota_site.ACME._replace(rate_per_s=0)
        found = quota_site.configuration(unlimited, version=2)
        self.site.site.feed(events.ConfigurationRead(found))
        self.site.site.advance(100)
        self.assertEqual(len(self.site.site.sends_of(key)), 1)

    def test_key_withdrawn_while_a_request_waits(self) -> None:
        # A version must be in force for waiting requests too.
        key = self.site.request()
        found = quota_site.configuration(quota_site.ACME, version=2)
        found = found._replace(
            accounts=accounts.AccountTable({"acme": quota_site.ACME}, {})
        )
        self.site.site.feed(events.ConfigurationRead(found))
        self.site.grant(0, 1)
        self.assertEqual(self.site.refusal(key).reason, commands.Refusal.UNAUTHORIZED)
        self.assertEqual(self.site.site.sends_of(key), [])

    def test_account_over_its_quota_is_logged_once(self) -> None:
        for _ in range(3):
            self.site.request()
            self.site.site.advance(100)
        lines = self.site.site.logs_of(log_events.ACCOUNT_OVER_QUOTA)
        self.assertEqual([line["account"] for line in lines], ["acme"])


class LongWaitTest(unittest.TestCase):
    """A token lapses while its request waits long for a leaf.

    Otherwise a queue that empties at once sends what was granted over seconds.
    """

    def sent_after(self, wait_ms: int) -> bool:
        """Return whether a request that waited for the only place is sent."""
        account = quota_fleet.account("acme", 200, 200)
        site = quota_site.QuotaSite(NEAR, account, slots=1)
        first = site.request()
        site.grant(0, 1)
        waiting = [site.request() for _ in range(3)]
        for index in range(1, len(site.asked())):
            site.grant(index, site.asked()[index][0].wanted)
        waiting = [key for key in waiting if not site.site.sends_of(key)]
        self.assertTrue(waiting)
        site.site.advance(wait_ms)
        site.site.reply(site.site.sends_of(first)[0], gateway_site.answer())
        site.site.advance(60)
        return bool(site.site.sends_of(waiting[0]))

    def test_token_is_good_until_its_lag_ends(self) -> None:
        self.assertTrue(self.sent_after(300))
        self.assertFalse(self.sent_after(600))

    def test_lag_is_paid_by_the_overage_and_a_part_of_the_slack(self) -> None:
        for rate, burst, lag_ms in (
            (18, 18, 827),
            (200, 200, 575),
            (1, 1, quota_asks.LONGEST_LAG_MS),
        ):
            with self.subTest(rate=rate):
                account = quota_fleet.account("acme", rate, burst)
                limits = gateway.Limits()
                found_ms = quota_asks.lag_ms(limits, account)
                self.assertEqual(found_ms, lag_ms)
                window_s = limits.quota_window_ms / 1000
                most = rate * (window_s + (found_ms + 50) / 1000) + burst + 10
                allowed = rate * window_s + burst
                self.assertLessEqual(most, 1.1 * allowed + 20)


class UnlimitedAccountTest(unittest.TestCase):
    def test_no_message_and_no_state(self) -> None:
        unlimited = quota_site.ACME._replace(rate_per_s=0)
        site = quota_site.QuotaSite(NEAR, unlimited)
        key = site.request()
        self.assertEqual(len(site.site.sends_of(key)), 1)
        site.site.advance(1_000)
        self.assertEqual(site.messages(object), [])
        self.assertEqual(site.gateway.quotas.accounts, {})

    def test_anonymous_route_needs_no_token(self) -> None:
        site = quota_site.QuotaSite(NEAR)
        key = site.request(path="/open/1")
        self.assertEqual(len(site.site.sends_of(key)), 1)
        self.assertEqual(site.asked(), [])


if __name__ == "__main__":
    unittest.main()
