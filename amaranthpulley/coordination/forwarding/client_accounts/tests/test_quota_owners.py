"""Who owns a quota, when an owner may grant, and what it grants."""

import itertools
import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import events, store_watchers
from amaranthpulley.coordination.forwarding.client_accounts import quota_owners
from amaranthpulley.coordination.forwarding.client_accounts.tests import (
    quota_fleet,
    quota_site,
)
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway, peer_messages

OTHERS = {"vm-2": "b1", "vm-3": "c1"}


def gateway_with(members: dict[str, str], regions: dict[str, str]) -> gateway.Gateway:
    place = gateway.Place("vm-1", "a1", "a", regions)
    found = gateway.Gateway(place, gateway.Limits(), 0)
    for name, domain in members.items():
        found.set_member(name, gateway.Member(domain, f"{name}:1"))
    return found


class OwnerChoiceTest(unittest.TestCase):
    def test_owners_are_in_different_regions_or_failure_domains(self) -> None:
        # Otherwise the loss of a region or a domain takes all owners of a quota.
        one_region = dict.fromkeys(quota_fleet.DOMAINS, "a")
        cases = (
            (quota_fleet.DOMAINS, lambda domain: quota_fleet.DOMAINS[domain]),
            (one_region, lambda domain: domain),
        )
        domains = sorted(quota_fleet.DOMAINS)
        members = {f"vm-{n}": domains[n % 6] for n in range(24)}
        for regions, group_of in cases:
            found = gateway_with(members, regions)
            for number in range(40):
                account = quota_fleet.account(f"account-{number}", 5, 5)
                owners = quota_owners.owners_of(found, account)
                groups = {group_of(members[owner]) for owner in owners}
                self.assertEqual(len(groups), 3, owners)

    def test_small_buckets_have_fewer_owners(self) -> None:
        found = gateway_with({f"vm-{n}": "a1" for n in range(6)}, {"a1": "a"})
        found.limits = found.limits._replace(quota_slack=0.0)
        for burst, count in ((0.5, 1), (1, 1), (2.5, 2), (9, 3)):
            account = quota_fleet.account("acme", 1, burst)
            self.assertEqual(len(quota_owners.owners_of(found, account)), count)

    @hypothesis.settings(
        max_examples=200, derandomize=True, deadline=None, database=None
    )
    @hypothesis.given(
        members=strategies.dictionaries(
            strategies.integers(0, 60).map("vm-{}".format),
            strategies.sampled_from(sorted(quota_fleet.DOMAINS)),
            min_size=1,
            max_size=25,
        ),
        data=strategies.data(),
    )
    def test_an_owner_among_many_is_one_among_any_part_of_them(
        self, members: dict[str, str], data: strategies.DataObject
    ) -> None:
        # The bound rests on this: daemons that grant and know of each other, each with
        # more in its view, are never more than three for an account.
        part = data.draw(strategies.sets(strategies.sampled_from(sorted(members))))
        regions = data.draw(
            strategies.sampled_from(
                (
                    quota_fleet.DOMAINS,
                    dict.fromkeys(quota_fleet.DOMAINS, "a"),
                    {name: name[0] if name < "c" else "b" for name in ("a1", "a2")}
                    | dict.fromkeys(("b1", "b2", "c1", "c2"), "b"),
                )
            )
        )
        account = quota_fleet.account("acme", 5, 5)
        among_all = quota_owners.owners_of(gateway_with(members, regions), account)
        fewer = {name: members[name] for name in part}
        among_part = quota_owners.owners_of(gateway_with(fewer, regions), account)
        self.assertLessEqual(set(among_all) & part, set(among_part))


class ClaimTest(unittest.TestCase):
    """A daemon that grants before all count it is an owner too many."""

    def setUp(self) -> None:
        self.site = quota_site.QuotaSite(OTHERS)

    def may_grant(self) -> bool:
        return quota_owners.may_grant(self.site.gateway, self.site.now_ms)

    def queries(self) -> list[tuple[peer_messages.MembershipQuery, str]]:
        return self.site.messages(peer_messages.MembershipQuery)

    def confirm(self, name: str) -> None:
        number = self.queries()[-1][0].number
        confirmation = peer_messages.MembershipConfirmation(number, name)
        self.site.receive(confirmation, name)

    def test_grants_when_all_have_confirmed(self) -> None:
        self.site.site.advance(100)
        self.assertEqual({owner for _, owner in self.queries()}, {"vm-2", "vm-3"})
        self.confirm("vm-2")
        self.assertFalse(self.may_grant())
        self.confirm("vm-3")
        self.assertTrue(self.may_grant())
        lines = self.site.site.logs_of(log_events.QUOTA_CLAIM_CONFIRMED)
        self.assertEqual([line["silent"] for line in lines], [0])

    def test_lost_queries_are_sent_again(self) -> None:
        self.site.site.advance(1_000)
        self.assertGreater(len(self.queries()), 10)

    def test_daemon_whose_registration_ends_need_not_confirm(self) -> None:
        self.site.site.advance(100)
        self.confirm("vm-2")
        self.site.site.feed(events.MemberChanged("vm-3", None))
        self.site.site.advance(100)
        self.assertTrue(self.may_grant())

    def test_silent_daemon_holds_it_up_for_the_life_of_a_registration(self) -> None:
        longest_ms = (
            store_watchers.REGISTRATION_LIFETIME_MS
            + self.site.gateway.limits.configuration_ms
        )
        self.site.site.advance(20_000)
        self.site.site.feed(events.Registered(self.site.now_ms + 30_000))
        self.site.site.advance(longest_ms - 20_000)
        self.assertFalse(self.may_grant())
        self.site.site.advance(200)
        self.assertTrue(self.may_grant())

    def test_ends(self) -> None:
        own = self.site.gateway.members["vm-1"]
        causes = {
            "it is missing in the store": [
                events.MemberChanged("vm-1", None),
                events.MemberChanged("vm-1", own),
            ],
            "it is renewed after it had ended": [events.Registered(10**9)],
        }
        for cause, found in causes.items():
            with self.subTest(cause):
                self.site = quota_site.QuotaSite(OTHERS)
                self.site.confirm()
                self.assertTrue(self.may_grant())
                if len(found) == 1:
                    # Paused for longer than the registration lasts.
                    self.site.site.clock.advance_to(self.site.now_ms + 31_000)
                for event in found:
                    self.site.site.feed(event)
                self.assertFalse(self.may_grant())
                old = self.queries()[-1][0].number
                self.site.site.advance(100)
                self.assertNotEqual(self.queries()[-1][0].number, old)

    def test_registration_that_ended_or_is_draining_grants_nothing(self) -> None:
        self.site.confirm()
        self.site.site.feed(events.DrainRequested())
        self.assertFalse(self.may_grant())
        self.site = quota_site.QuotaSite(OTHERS)
        self.site.confirm()
        self.site.site.clock.advance_to(self.site.now_ms + 30_000)
        self.assertFalse(self.may_grant())

    def test_found_registration_of_the_previous_process_is_not_enough(self) -> None:
        # It may end at any moment until this process has renewed it.
        self.site.gateway.registered_until_ms = None
        self.site.site.advance(500)
        self.assertEqual(self.queries(), [])

    def test_only_a_daemon_that_counts_the_sender_confirms(self) -> None:
        for name, sender in (("vm-9", "vm-9"), ("vm-2", "vm-3")):
            self.site.receive(peer_messages.MembershipQuery(5, name), sender)
        found = self.site.messages(peer_messages.MembershipConfirmation)
        self.assertEqual(found, [])
        self.site.receive(peer_messages.MembershipQuery(5, "vm-2"), "vm-2")
        found = self.site.messages(peer_messages.MembershipConfirmation)
        answer = peer_messages.MembershipConfirmation(5, "vm-1")
        self.assertEqual(found, [(answer, "vm-2")])

    def test_nothing_is_sent_without_quotas(self) -> None:
        unlimited = quota_site.ACME._replace(rate_per_s=0)
        site = quota_site.QuotaSite(OTHERS, unlimited)
        site.site.advance(1_000)
        self.assertEqual(site.messages(object), [])


class GrantTest(unittest.TestCase):
    def setUp(self) -> None:
        # A third of 30 a second, and of a burst of 30 and half of the slack.
        self.account = quota_fleet.account("acme", 30, 30)
        self.site = quota_site.QuotaSite(OTHERS, self.account)
        self.numbers = itertools.count(1)

    def ask(self, wanted: int, number: int | None = None) -> peer_messages.TokenGrant:
        number = number or next(self.numbers)
        request = peer_messages.TokenRequest(number, "acme", wanted)
        self.site.receive(request, "vm-2")
        return self.site.messages(peer_messages.TokenGrant)[-1][0]

    def test_starts_empty_and_fills_to_its_part(self) -> None:
        # A former owner, or its own previous process, may have granted it all.
        self.site.confirm()
        self.site.site.advance(100)
        self.assertLessEqual(self.ask(50).granted, 3)
        self.site.site.advance(20_000)
        self.assertEqual(self.ask(50).granted, 13)

    def test_denial_says_when_there_is_a_token(self) -> None:
        self.site.confirm()
        self.site.site.advance(5_000)
        self.ask(13)
        denied = self.ask(1)
        self.assertEqual(denied.granted, 0)
        self.assertTrue(50 <= denied.retry_after_ms <= 100, denied)
        self.site.site.advance(denied.retry_after_ms)
        self.assertEqual(self.ask(1).granted, 1)

    def test_doubled_request_is_granted_once(self) -> None:
        self.site.confirm()
        self.site.site.advance(5_000)
        self.assertEqual(self.ask(5, number=77), self.ask(5, number=77))
        self.assertEqual(self.ask(50).granted, 8)

    def test_denies_while_it_may_not_grant(self) -> None:
        self.assertEqual(self.ask(1).granted, 0)
        self.site.confirm()
        self.site.site.advance(1_000)
        self.site.receive(peer_messages.TokenRequest(900, "unknown", 1), "vm-2")
        last = self.site.messages(peer_messages.TokenGrant)[-1][0]
        self.assertEqual((last.number, last.granted), (900, 0))
        self.assertEqual(self.ask(-5).granted, 0)
        self.site.site.feed(events.DrainRequested())
        self.assertEqual(self.ask(1).granted, 0)

    def test_part_that_went_to_another_daemon_starts_empty_when_it_is_back(
        self,
    ) -> None:
        self.site.confirm()
        self.site.site.advance(5_000)
        self.ask(1)
        joined = self.displacing_member()
        self.site.site.feed(events.MemberChanged(*joined))
        self.assertEqual(self.ask(1).granted, 0)
        self.site.site.advance(5_000)
        self.site.site.feed(events.MemberChanged(joined[0], None))
        self.assertEqual(self.ask(50).granted, 0)

    def displacing_member(self) -> tuple[str, gateway.Member]:
        """Return a daemon of this region that would take the account over."""
        for number in range(100):
            name = f"joined-{number}"
            member = gateway.Member("a1", f"{name}:1")
            self.site.gateway.set_member(name, member)
            owners = quota_owners.owners_of(self.site.gateway, self.account)
            self.site.gateway.set_member(name, None)
            if "vm-1" not in owners:
                return name, member
        raise AssertionError("no daemon displaces this one")

    def test_lower_and_higher_limit_count_from_their_version(self) -> None:
        self.site.confirm()
        self.site.site.advance(20_000)
        lower = quota_fleet.account("acme", 3, 0)
        found = quota_site.configuration(lower, version=2)
        self.site.site.feed(events.ConfigurationRead(found))
        # A third of half of the slack; nothing is left of the higher limit.
        self.assertEqual(self.ask(50).granted, 3)
        found = quota_site.configuration(self.account, version=3)
        self.site.site.advance(1_000)
        self.site.site.feed(events.ConfigurationRead(found))
        # One token came in that second, at the lower rate.
        self.assertEqual(self.ask(50).granted, 1)

    def test_unused_part_is_full_after_another_version_of_other_accounts(self) -> None:
        # Otherwise each change of the operators would empty the quotas.
        self.site.confirm()
        self.site.site.advance(20_000)
        found = quota_site.configuration(self.account, version=2)
        self.site.site.feed(events.ConfigurationRead(found))
        self.assertEqual(self.ask(50).granted, 13)

    def test_numbers_of_two_processes_differ(self) -> None:
        # A grant to the previous process, or one repeated for its number, must not be
        # taken for the new one's.
        first = gateway_with({}, {}).quotas
        place = gateway.Place("vm-1", "a1", "a", {})
        second = gateway.Gateway(place, gateway.Limits(), 1).quotas
        numbers = {first.next_number() for _ in range(60_000)}
        self.assertNotIn(second.next_number(), numbers)


if __name__ == "__main__":
    unittest.main()
