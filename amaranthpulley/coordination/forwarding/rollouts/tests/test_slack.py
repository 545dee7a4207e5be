"""Tests of how the daemons divide the slack, and of the sum of what they send."""

import random
import unittest

from amaranthpulley.coordination.forwarding import events
from amaranthpulley.coordination.forwarding.rollouts import exposure, rollout_events
from amaranthpulley.coordination.forwarding.rollouts.tests import exposure_site
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state import store
from amaranthpulley.state.forwarding import rollouts

LIMITS = exposure_site.LIMITS


class SlackTest(unittest.TestCase):
    """Parts of the slack that add up to more than the slack."""

    def _part(self, site: exposure_site.Site) -> float:
        now_ms = site.site.now_ms
        return exposure.slack_part(site.site.gateway, site.rollout(), now_ms)

    def test_it_is_divided_by_the_registered_daemons(self) -> None:
        site = exposure_site.Site(members=10)
        site.order()
        self.assertEqual(self._part(site), 5.0)

    def test_what_lapsed_daemons_had_is_not_given_again(self) -> None:
        site = exposure_site.Site(members=10)
        site.order()
        self.assertEqual(self._part(site), 5.0)
        site.set_members(2)
        self.assertEqual(self._part(site), 5.0)

    def test_the_daemons_that_the_decider_knew_count(self) -> None:
        site = exposure_site.Site(members=2)
        site.order()
        site.step(rollouts.Phase.GROWING, daemons=25)
        self.assertEqual(self._part(site), 2.0)

    def test_a_lapsed_daemon_has_none(self) -> None:
        site = exposure_site.Site(members=10)
        site.order()
        site.site.feed(events.Registered(site.site.now_ms + 100))
        site.site.advance(200)
        self.assertEqual(self._part(site), 0.0)

    def test_a_daemon_that_started_after_the_order_has_none(self) -> None:
        # Its previous life may have spent it.
        site = exposure_site.Site(members=10)
        site.site.gateway.listed = False
        site.order()
        self.assertEqual(self._part(site), 0.0)

    def test_the_parts_of_all_daemons_are_the_slack(self) -> None:
        for members in (1, 6, 24, 50, 77, 120):
            with self.subTest(members=members):
                parts = []
                for number in range(members):
                    site = exposure_site.Site(members, f"vm-{number + 1}")
                    site.order()
                    site.step(rollouts.Phase.GROWING, daemons=members)
                    parts.append(self._part(site))
                self.assertEqual(sum(parts), LIMITS.exposure_slack)
                self.assertLessEqual(max(parts) - min(parts), 1)

    def test_a_daemon_that_sees_fewer_daemons_has_the_smallest_part(self) -> None:
        # Several that see only themselves would all take the first position.
        site = exposure_site.Site(members=1)
        site.order()
        site.step(rollouts.Phase.GROWING, daemons=77)
        self.assertEqual(self._part(site), 0)

    def test_a_daemon_that_registers_after_the_first_step_has_none(self) -> None:
        site = exposure_site.Site(members=3, name="vm-5")
        site.order()
        site.step(rollouts.Phase.GROWING, daemons=3)
        site.set_members(5)
        self.assertEqual(self._part(site), 0)

    def test_one_that_lapses_before_the_first_step_costs_the_others_nothing(
        self,
    ) -> None:
        # Nothing has been spent yet; all others would have the smallest part, 0.
        parts = []
        for number in range(76):
            site = exposure_site.Site(77, f"vm-{number + 1}")
            site.order()
            self._part(site)
            site.set_members(76)
            site.step(rollouts.Phase.GROWING, daemons=76)
            parts.append(self._part(site))
        self.assertEqual(sum(parts), LIMITS.exposure_slack)

    def test_what_was_divided_does_not_change_with_the_daemons(self) -> None:
        site = exposure_site.Site(members=77, name="vm-2")
        site.order()
        site.step(rollouts.Phase.GROWING, daemons=77)
        part = self._part(site)
        for members in (70, 80, 76):
            with self.subTest(members=members):
                site.set_members(members)
                site.step(rollouts.Phase.GROWING, daemons=77)
                self.assertEqual(self._part(site), part)

    def test_a_store_that_comes_back_from_a_copy_gives_no_second_part(self) -> None:
        # It lists the same order with a revision of another era.
        site = exposure_site.Site()
        site.order()
        site.step(rollouts.Phase.GROWING, share=0.1)
        site.serve(100)
        found = site.rollout()
        before = (found.sent, found.requests, found.deadline_ms)
        self.assertGreater(found.sent, 0)
        order = rollouts.Order("v2", exposure_site.DURATION_MS)
        revision = store.revision_in(1, exposure_site.ORDER_REVISION)
        site.site.feed(rollout_events.RolloutOrdered("visits", order, revision))
        self.assertEqual((found.sent, found.requests, found.deadline_ms), before)
        self.assertEqual(found.order_revision, revision)


class FleetExposureTest(unittest.TestCase):
    """Daemons that are each within their part, and together above the bound."""

    def test_the_sum_of_all_sends_is_within_it_at_every_moment(self) -> None:
        members = 77
        # Equal; a tenth of the daemons with nine tenths of the requests; one alone; and
        # requests that come first where the whole parts of the slack are.
        weights = {
            "equal": [1.0] * members,
            "skewed": [81.0 if n % 10 == 0 else 1.0 for n in range(members)],
            "one": [1_000.0] + [1.0] * (members - 1),
            "falling": [1.0 / (n + 1) for n in range(members)],
        }
        for name, weight in weights.items():
            with self.subTest(traffic=name):
                got, _ = self._play(weight, members)
                self.assertGreater(got, LIMITS.exposure_slack // 2)

    def _play(self, weights: list[float], members: int) -> tuple[int, float]:
        chance = random.Random(1)
        sites = [exposure_site.Site(members, f"vm-{n + 1}") for n in range(members)]
        for site in sites:
            site.order()
            full_at_ms = site.site.now_ms
            site.step(
                rollouts.Phase.GROWING,
                share=0.1,
                daemons=members,
                full_at_ms=full_at_ms,
            )
        got, allowed = 0, 0.0
        for site in chance.choices(sites, weights, k=1_200):
            before = site.rollout()
            sent, reached = before.sent, before.requests
            key = site.site.request("/visit/1")
            got += site.rollout().sent - sent
            # The request itself counts only once it has been answered.
            self.assertLessEqual(got, allowed + LIMITS.exposure_slack + 1e-6)
            for one in site.site.sends_of(key):
                site.site.reply(one, gateway_site.answer())
            allowed += LIMITS.exposure_share * (site.rollout().requests - reached)
        return got, allowed
