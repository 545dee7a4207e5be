"""Tests of what an ordered version gets of a daemon."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.forwarding import commands, events
from amaranthpulley.coordination.forwarding.rollouts import rollout_events
from amaranthpulley.coordination.forwarding.rollouts.tests import exposure_site
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import delegations, requests, rollouts

SHARD = gateway_site.SHARDS[0]


class ExposureTest(unittest.TestCase):
    """A version that was not judged good gets more than its bound."""

    def setUp(self) -> None:
        self.site = exposure_site.Site()

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
                # So many daemons that this one has no part of the slack.
                self.site.step(phase, daemons=2 * exposure_site.LIMITS.exposure_slack)
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
        self.site.site.advance(exposure_site.DURATION_MS)
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
        self.site.revision = exposure_site.ORDER_REVISION + 50
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
        site = exposure_site.Site(members)
        for service in ("visits", SHARD):
            site.order(service)
            site.step(
                rollouts.Phase.GROWING,
                service=service,
                share=0.1,
                full_at_ms=site.site.now_ms + 300,
            )
        slack = exposure_site.LIMITS.exposure_slack / max(members, 2)
        for how, path, waits in plays:
            key = site.site.request(path)
            self._answer(site, key, how)
            site.site.advance(60 if waits else 3)
            self._answer(site, key, "good")
            for service in ("visits", SHARD):
                rollout = site.rollout(service)
                allowed = exposure_site.LIMITS.exposure_share * rollout.requests + slack
                self.assertLessEqual(rollout.sent, allowed)
                leaf_ids = {f"{service}-v2-1", f"{service}-v2-2"}
                sent = sum(s.command.leaf_id in leaf_ids for s in site.site.sent)
                self.assertEqual(rollout.sent, sent)

    def _answer(self, site: exposure_site.Site, key: int, how: str) -> None:
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
