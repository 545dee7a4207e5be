"""What a daemon that restarts may grant at once, and how long accounts wait then."""

import unittest

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.client_accounts import quota_owners
from amaranthpulley.coordination.forwarding.client_accounts.tests import (
    quota_fleet,
    quota_site,
    test_quota_service,
)
from amaranthpulley.state.forwarding import gateway, peer_messages
from amaranthpulley.state.forwarding.client_accounts import quotas

OTHERS = {"vm-2": "b1", "vm-3": "c1"}
RATE = 30


class ContinuedRightTest(unittest.TestCase):
    """A process that continues a right that nobody counts is an owner too many."""

    def setUp(self) -> None:
        self.site = quota_site.QuotaSite(
            OTHERS, quota_fleet.account("acme", RATE, RATE)
        )
        self.gateway = self.site.gateway
        # Nothing has been registered by this process.
        self.gateway.registered_until_ms = None
        self.site.site.others.clear()

    def find_registration(self, grants: bool = True) -> None:
        own = self.gateway.members["vm-1"]._replace(grants=grants)
        self.site.site.feed(events.MemberChanged("vm-1", own))

    def register(self, replaced: bool = False) -> None:
        until_ms = self.site.now_ms + 30_000
        self.site.site.feed(events.Registered(until_ms, replaced))

    def may_grant(self) -> bool:
        return quota_owners.may_grant(self.gateway, self.site.now_ms)

    def test_renewed_registration_with_the_right_grants_at_once(self) -> None:
        self.find_registration()
        self.assertFalse(self.may_grant())
        self.register()
        self.assertTrue(self.may_grant())
        self.site.site.advance(500)
        self.assertEqual(self.site.messages(peer_messages.MembershipQuery), [])

    def test_other_registrations_need_a_claim(self) -> None:
        cases = {
            "it had ended and was written again": (True, True),
            "the claim of its previous process was not confirmed": (False, False),
        }
        for cause, (grants, replaced) in cases.items():
            with self.subTest(cause):
                self.setUp()
                self.find_registration(grants)
                self.register(replaced)
                self.assertFalse(self.may_grant())
                # The next renewal changes nothing.
                self.register()
                self.assertFalse(self.may_grant())
                self.site.site.advance(100)
                asked = self.site.messages(peer_messages.MembershipQuery)
                self.assertEqual({name for _, name in asked}, set(OTHERS))

    def test_right_that_is_found_after_the_first_renewal_needs_a_claim(self) -> None:
        # It may have been written under a registration that this process did not see.
        self.find_registration(grants=False)
        self.register()
        self.find_registration()
        self.register()
        self.assertFalse(self.may_grant())

    def test_right_ends_with_the_registration_and_by_draining(self) -> None:
        self.find_registration()
        self.register()
        self.site.site.clock.advance_to(self.site.now_ms + 30_000)
        self.assertFalse(self.may_grant())
        self.register()
        self.assertFalse(self.may_grant())
        self.setUp()
        self.find_registration()
        self.register()
        self.site.site.feed(events.DrainRequested())
        self.assertFalse(self.may_grant())

    def test_starts_with_what_came_in_while_the_process_started(self) -> None:
        # The previous process may have granted the whole part just before its end.
        self.find_registration()
        self.register()
        request = peer_messages.TokenRequest(1, "acme", 50)
        self.site.receive(request, "vm-2")
        granted = self.site.messages(peer_messages.TokenGrant)[-1][0].granted
        self.assertEqual(granted, RATE / 3 * quotas.RESTART_MS / 1000)

    def test_confirmed_claim_is_written_into_the_registration_once(self) -> None:
        self.register()
        self.site.confirm()
        self.site.site.advance(500)
        self.register()
        found = [c for c in self.site.site.others if type(c) is commands.PublishGrants]
        self.assertEqual(len(found), 1)

    def test_claim_about_a_registration_that_was_replaced_begins_again(self) -> None:
        # Daemons that confirmed it may see the end of the former registration.
        self.register()
        self.site.site.advance(100)
        number = self.gateway.quotas.claim
        self.register(replaced=True)
        self.site.site.advance(100)
        self.assertNotIn(self.gateway.quotas.claim, (None, number))


class MemberRightTest(unittest.TestCase):
    def test_change_of_the_right_alone_keeps_what_depends_on_the_daemons(self) -> None:
        # Each daemon of a fleet writes it within a second of the start of all.
        site = quota_site.QuotaSite(OTHERS)
        account = quota_fleet.account("acme", 5, 5)
        owners = quota_owners.owners_of(site.gateway, account)
        cases = (({"grants": True}, True), ({"failure_domain": "a1"}, False))
        for change, kept in cases:
            member = site.gateway.members["vm-2"]._replace(**change)
            site.gateway.set_member("vm-2", member)
            self.assertEqual(site.gateway.members["vm-2"], member)
            self.assertEqual(owners in site.gateway.quotas.owners.values(), kept)

    def test_right_is_not_part_of_what_a_process_registers(self) -> None:
        self.assertFalse(gateway.Member("a1", "vm-1:1").grants)


class RestartOfAllTest(unittest.TestCase):
    """Accounts wait for 2 s with claims alone, or for 27 s if a VM stays away."""

    def restart(self, rate: float, away: str) -> tuple[quota_fleet.QuotaFleet, int]:
        """Return a fleet whose daemons begin to start, and a daemon that takes part."""
        account = quota_fleet.account("acme", rate, rate)
        fleet = quota_fleet.QuotaFleet(71, (account,))
        for number in range(71):
            fleet.start(number)
        fleet.advance(20_000)
        names = [daemon.name for daemon in fleet.daemons]
        owners = [names.index(owner) for owner in fleet.owners(account)]
        others = [number for number in range(71) if number not in owners]
        test_quota_service.replay(fleet, test_quota_service.USUAL, 3_000, others[0])
        gone = {"": -1, "owner": owners[1], "other": others[-1]}[away]
        for number in range(71):
            fleet.stop(number)
        for number in range(71):
            if number != gone:
                fleet.start(number)
        return fleet, others[0]

    def test_usual_demand_is_served_soon(self) -> None:
        for rate in (5, 10, 18):
            for away in ("", "owner", "other"):
                with self.subTest(rate=rate, away=away):
                    fleet, asked = self.restart(rate, away)
                    began_ms = fleet.now_ms
                    usual = test_quota_service.USUAL
                    ended = test_quota_service.replay(fleet, usual, 20_000, asked)
                    served = [one.ended_ms for one in ended if one.refusal is None]
                    self.assertLess(min(served) - began_ms, 1_000)
                    refused = len(ended) - len(served)
                    self.assertLessEqual(refused, max(2, 0.05 * len(ended)))
                    most = fleet.most_in_a_window("acme")
                    self.assertLessEqual(most, fleet.allowed(fleet.accounts[0]))


if __name__ == "__main__":
    unittest.main()
