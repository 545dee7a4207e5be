"""Tests of what an ordered version gets of a daemon."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import commands, events, leaf_permits
from amaranthpulley.coordination.forwarding.rollouts import exposure, rollout_events
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import (
    delegations,
    gateway,
    leaves,
    requests,
    rollouts,
)

SHARD = gateway_site.SHARDS[0]
LIMITS = gateway.Limits()
ORDER_REVISION = 11
DURATION_MS = 60_000


def _step(phase: rollouts.Phase, number: int = 1, **changes: object) -> rollouts.Step:
    usual = rollouts.Step(
        ORDER_REVISION, "v2", number, phase, 0.06, 0, 10_000_000, 2, (), "test"
    )
    return usual._replace(**changes)


class Site:
    """A daemon with two leaves of each version for a service and for a shard."""

    def __init__(self, members: int = 2, name: str = "vm-1") -> None:
        self.site = gateway_site.GatewaySite(LIMITS, name)
        found = gateway_site.configuration(gateway_site.route(), gateway_site.single())
        self.entries = [
            gateway_site.entry(
                f"{service}-{version}-{n}", service, slots=50, version=version
            )
            for service in (*gateway_site.SHARDS, "visits")
            for version in ("v1", "v2")
            for n in (1, 2)
        ]
        self.site.begin(found, *self.entries)
        self.set_members(members)
        self.revision = ORDER_REVISION

    def set_members(self, count: int) -> None:
        """Register so many daemons, and no others."""
        for name in list(self.site.gateway.members):
            self.site.feed(events.MemberChanged(name, None))
        for number in range(count):
            member = gateway.Member("a1", f"vm-{number + 1}:1")
            self.site.feed(events.MemberChanged(f"vm-{number + 1}", member))

    def order(self, service: str = "visits", target: str = "v2") -> None:
        """Feed an order."""
        order = rollouts.Order(target, DURATION_MS)
        self.site.feed(rollout_events.RolloutOrdered(service, order, self.revision))

    def step(
        self, phase: rollouts.Phase, service: str = "visits", **changes: object
    ) -> None:
        """Feed a step."""
        self.revision += 1
        number = self.revision - ORDER_REVISION
        step = _step(phase, number, **changes)
        self.site.feed(rollout_events.RolloutStepRead(service, step, self.revision))

    def may_get(self, leaf_id: str) -> bool:
        """Return whether a leaf may get a request now."""
        site = self.site
        leaf = site.gateway.directory.get(leaf_id)
        route = gateway_site.single()
        return leaf_permits.hold_of(site.gateway, leaf, route, site.now_ms) is None

    def rollout(self, service: str = "visits") -> rollouts.Rollout:
        """Return the daemon's view of a roll-out."""
        return self.site.gateway.rollouts.of_service(service)

    def serve(self, count: int, path: str = "/visit/1") -> None:
        """Send requests that are all answered."""
        for _ in range(count):
            key = self.site.request(path)
            for sent in self.site.sends_of(key):
                self.site.reply(sent, gateway_site.answer())
            self.site.advance(2)

    def leaf(self, leaf_id: str) -> leaves.LeafEntry:
        """Return the entry of a leaf."""
        return next(entry for entry in self.entries if entry.leaf_id == leaf_id)


class ExposureTest(unittest.TestCase):
    """A version that was not judged good gets more than its bound."""

    def setUp(self) -> None:
        self.site = Site()

    def _versions(self) -> tuple[bool, bool]:
        return self.site.may_get("visits-v1-1"), self.site.may_get("visits-v2-1")

    def test_without_an_order_all_versions_are_used(self) -> None:
        self.assertEqual(self._versions(), (True, True))

    def test_each_phase_holds_what_it_should(self) -> None:
        self.site.order()
        self.assertEqual(self._versions(), (True, False), "no step yet")
        for phase, expected in (
            (rollouts.Phase.GROWING, (True, False)),
            (rollouts.Phase.MOVING, (False, True)),
            (rollouts.Phase.COMPLETED, (False, True)),
        ):
            with self.subTest(phase):
                self.site.step(phase)
                self.assertEqual(self._versions(), expected)

    def test_a_reverted_version_gets_nothing(self) -> None:
        self.site.order()
        self.site.step(rollouts.Phase.MOVING)
        self.site.step(rollouts.Phase.REVERTED)
        self.assertEqual(self._versions(), (True, False))

    def test_a_deleted_order_holds_nothing(self) -> None:
        self.site.order()
        self.site.step(rollouts.Phase.REVERTED)
        self.site.site.feed(rollout_events.RolloutOrdered("visits", None, 90))
        self.assertEqual(self._versions(), (True, True))

    def test_after_the_deadline_it_gets_nothing_without_news(self) -> None:
        self.site.order()
        self.site.step(rollouts.Phase.GROWING, share=0.1)
        self.site.serve(200)
        self.site.site.advance(DURATION_MS)
        sent = self.site.rollout().sent
        self.assertGreater(sent, 0)
        self.site.serve(200)
        self.assertEqual(self.site.rollout().sent, sent)

    def test_another_service_is_not_touched(self) -> None:
        self.site.order(service="others")
        self.site.step(rollouts.Phase.REVERTED, service="others")
        self.assertEqual(self._versions(), (True, True))

    def test_a_leaf_that_changes_its_version_under_its_id_is_held_by_it(self) -> None:
        self.site.order()
        self.site.step(rollouts.Phase.REVERTED)
        entry = self.site.leaf("visits-v1-1")._replace(version="v2")
        self.site.site.feed(events.LeafWritten(entry))
        self.assertEqual(self._versions(), (False, False))
        entry = self.site.leaf("visits-v2-1")._replace(version="v1")
        self.site.site.feed(events.LeafWritten(entry))
        self.assertEqual(self._versions(), (False, True))

    def test_old_leaves_serve_when_the_service_has_no_new_ones(self) -> None:
        self.site.order()
        self.site.step(rollouts.Phase.MOVING)
        for number in (1, 2):
            self.site.site.feed(events.LeafDeleted(f"visits-v2-{number}"))
        self.assertTrue(self.site.may_get("visits-v1-1"))

    def test_a_barred_version_serves_when_there_is_no_other_old_one(self) -> None:
        self.site.order()
        self.site.step(rollouts.Phase.REVERTED)
        self.site.revision = ORDER_REVISION + 50
        self.site.order(target="v3")
        self.assertEqual(self._versions(), (True, False))
        for number in (1, 2):
            self.site.site.feed(events.LeafDeleted(f"visits-v1-{number}"))
        self.assertTrue(self.site.may_get("visits-v2-1"))

    def test_a_shard_of_a_sharded_route_is_held_and_counted(self) -> None:
        self.site.order(service=SHARD)
        self.site.step(rollouts.Phase.GROWING, service=SHARD, share=0.1)
        self.site.serve(100, "/wide/1")
        rollout = self.site.rollout(SHARD)
        self.assertEqual(rollout.requests, 100)
        self.assertEqual(rollout.total.new.answers, rollout.sent)
        self.assertGreater(rollout.sent, 5)

    def test_requests_of_other_daemons_are_counted_where_they_run(self) -> None:
        self.site.order(service=SHARD)
        self.site.step(rollouts.Phase.MOVING, service=SHARD)
        origin = delegations.Origin(1, 0)
        incoming = requests.IncomingRequest(
            1_000, "r", gateway_site.HOST, "/wide/1", (1,), 500, origin
        )
        self.site.site.feed(events.RequestArrived(incoming))
        sent = {
            sent.command.leaf_id
            for sent in self.site.site.sends_of(1_000)
            if sent.command.leaf_id.startswith(SHARD)
        }
        self.assertTrue(sent <= {f"{SHARD}-v2-1", f"{SHARD}-v2-2"}, sent)

    def test_no_connections_are_opened_to_leaves_that_get_nothing(self) -> None:
        self.site.order(service=SHARD)
        self.site.step(rollouts.Phase.REVERTED, service=SHARD)
        begin = len(self.site.site.others)
        self.site.site.advance(10_000)
        opened = {
            command.address
            for command in self.site.site.others[begin:]
            if isinstance(command, commands.OpenConnection)
        }
        self.assertTrue(opened)
        self.assertFalse(opened & {f"{SHARD}-v2-1:1", f"{SHARD}-v2-2:1"})


class SlackTest(unittest.TestCase):
    """Parts of the slack that add up to more than the slack."""

    def _part(self, site: Site) -> float:
        now_ms = site.site.now_ms
        return exposure.slack_part(site.site.gateway, site.rollout(), now_ms)

    def test_it_is_divided_by_the_registered_daemons(self) -> None:
        site = Site(members=10)
        site.order()
        self.assertEqual(self._part(site), 5.0)

    def test_what_lapsed_daemons_had_is_not_given_again(self) -> None:
        site = Site(members=10)
        site.order()
        self.assertEqual(self._part(site), 5.0)
        site.set_members(2)
        self.assertEqual(self._part(site), 5.0)

    def test_the_daemons_that_the_decider_knew_count(self) -> None:
        site = Site(members=2)
        site.order()
        site.step(rollouts.Phase.GROWING, daemons=25)
        self.assertEqual(self._part(site), 2.0)

    def test_a_lapsed_daemon_has_none(self) -> None:
        site = Site(members=10)
        site.order()
        site.site.feed(events.Registered(site.site.now_ms + 100))
        site.site.advance(200)
        self.assertEqual(self._part(site), 0.0)

    def test_a_daemon_that_started_after_the_order_has_none(self) -> None:
        # Its previous life may have spent it.
        site = Site(members=10)
        site.site.gateway.listed = False
        site.order()
        self.assertEqual(self._part(site), 0.0)


class ExposurePropertiesTest(unittest.TestCase):
    """Retries and hedges, at times of full load too, that exceed the bound."""

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=60
    )
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(("good", "fail", "late", "reject", "lost")),
                strategies.sampled_from(("/visit/1", "/wide/1")),
                strategies.booleans(),
            ),
            min_size=20,
            max_size=120,
        ),
        strategies.integers(1, 77),
    )
    def test_no_prefix_of_the_sends_exceeds_it(
        self, plays: list[tuple[str, str, bool]], members: int
    ) -> None:
        site = Site(members)
        for service in ("visits", SHARD):
            site.order(service)
            site.step(
                rollouts.Phase.GROWING,
                service=service,
                share=0.1,
                full_at_ms=site.site.now_ms + 300,
            )
        slack = LIMITS.exposure_slack / max(members, 2)
        for how, path, waits in plays:
            key = site.site.request(path)
            self._answer(site, key, how)
            site.site.advance(60 if waits else 3)
            self._answer(site, key, "good")
            for service in ("visits", SHARD):
                rollout = site.rollout(service)
                allowed = LIMITS.exposure_share * rollout.requests + slack
                self.assertLessEqual(rollout.sent, allowed)
                leaf_ids = {f"{service}-v2-1", f"{service}-v2-2"}
                sent = sum(s.command.leaf_id in leaf_ids for s in site.site.sent)
                self.assertEqual(rollout.sent, sent)

    def _answer(self, site: Site, key: int, how: str) -> None:
        for sent in site.site.sends_of(key):
            if sent.command.attempt not in site.site.gateway.attempts:
                continue
            if how == "good":
                site.site.reply(sent, gateway_site.answer())
            elif how == "fail":
                site.site.reply(sent, gateway_site.answer(500))
            elif how == "reject":
                site.site.reply(sent, gateway_site.REJECTED)
            elif how == "lost":
                site.site.fail(sent, requests.AttemptEnd.LOST)
