"""Tests of the pace of leaves that start or recover."""

import unittest
from typing import Final

from amaranthpulley.coordination.forwarding import (
    events,
    leaf_pace,
    leaf_permits,
    leaf_selection,
)
from amaranthpulley.coordination.forwarding.tests import (
    gateway_site,
    pace_replays,
    pace_site,
)
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway, leaves, requests, routes

_COLD_MS: Final = 3_000
# What a leaf's rules allow while it is cold, as the users word them.
_OVERAGE: Final = 1.5
_SLACK: Final = 5
_WINDOW_MS: Final = 1_000


def _entry(leaf_id: str, **changes: object) -> leaves.LeafEntry:
    return gateway_site.entry(leaf_id, "visits", slots=4, **changes)


def _site(
    peers: int = 2, cold_per_s: float = 100.0, has_pace: bool = True
) -> gateway_site.GatewaySite:
    site = gateway_site.GatewaySite(gateway.Limits(pace=has_pace))
    found = gateway_site.configuration(gateway_site.single())
    limits = routes.ServiceLimits("/health", 40, cold_per_s)
    site.begin(
        found._replace(services={"visits": limits}),
        *(_entry(f"peer-{n}") for n in range(peers)),
    )
    return site


class _Case(unittest.TestCase):
    """A daemon with a leaf that has started."""

    def start(self, site: gateway_site.GatewaySite, **changes: object) -> leaves.Leaf:
        site.feed(events.LeafWritten(_entry("young", **{"cold_ms": 1, **changes})))
        site.advance(1)
        leaf = site.gateway.directory.get("young")
        assert leaf is not None
        return leaf

    def hold(self, site: gateway_site.GatewaySite) -> leaf_permits.HoldReason | None:
        leaf = site.gateway.directory.get("young")
        found = leaf_permits.hold_of(
            site.gateway, leaf, gateway_site.single(), site.now_ms
        )
        return None if found is None else found.reason


class BeginTest(_Case):
    """Which leaves have a pace: others must be treated as before."""

    def test_a_new_leaf_has_a_small_share(self) -> None:
        site = _site()
        leaf = self.start(site)
        self.assertEqual(leaf.pace.share, leaf_pace.STARTED_SHARE)
        self.assertEqual(self.hold(site), leaf_permits.HoldReason.PACE)

    def test_leaves_that_were_there_before_the_daemon_have_none(self) -> None:
        site = _site()
        self.assertIsNone(site.gateway.directory.get("peer-0").pace)
        self.assertEqual(site.gateway.paces.by_service, {})

    def test_a_new_entry_of_a_warm_leaf_has_none(self) -> None:
        """Entries lapse while the store is away, and are written again."""
        self.assertIsNone(self.start(_site(), cold_ms=0).pace)

    def test_a_recovered_leaf_of_a_service_without_warm_up_has_none(self) -> None:
        site = _site(cold_per_s=0.0)
        leaf = site.gateway.directory.get("peer-0")
        leaf.suspected = True
        site.feed(events.ProbeEnded("peer-0", True))
        self.assertIsNone(leaf.pace)

    def test_a_cold_entry_states_a_warm_up(self) -> None:
        site = _site(cold_per_s=0.0)
        self.assertIsNotNone(self.start(site, cold_ms=_COLD_MS).pace)

    def test_the_switch_turns_it_off(self) -> None:
        site = _site(has_pace=False)
        self.assertIsNone(self.start(site, cold_ms=_COLD_MS).pace)
        self.assertIsNone(self.hold(_site_with_young(has_pace=False)))

    def test_a_leaf_that_leaves_has_none(self) -> None:
        self.assertIsNone(self.start(_site(), draining=True).pace)

    def test_a_recovered_leaf_has_a_pace(self) -> None:
        site = _site()
        leaf = site.gateway.directory.get("peer-0")
        leaf.suspected = True
        site.feed(events.ProbeEnded("peer-0", True))
        self.assertEqual(leaf.pace.share, leaf_pace.RECOVERED_SHARE)
        lines = site.logs_of(log_events.LEAF_PACE_CHANGED)
        self.assertEqual(lines, [])
        site.advance(200)
        lines = site.logs_of(log_events.LEAF_PACE_CHANGED)
        self.assertEqual([line["cause"] for line in lines], ["recovered"])

    def test_a_leaf_that_returns_again_and_again_gets_less_each_time(self) -> None:
        site = _site()
        shares = []
        for number in range(4):
            leaf = self.start(site, born_ms=number)
            shares.append(leaf.pace.share)
        self.assertEqual(shares, [0.1, 0.05, leaf_pace.LEAST_SHARE, 0.05])
        self.assertEqual(leaf.pace.returns, leaf_pace.MAXIMUM_RETURNS)

    def test_returns_are_forgotten(self) -> None:
        site = _site()
        self.start(site)
        site.advance(leaf_pace.RETURN_VALID_MS + 1)
        self.assertEqual(self.start(site, born_ms=5).pace.returns, 0)


def _site_with_young(**changes: object) -> gateway_site.GatewaySite:
    site = _site(**changes)
    site.feed(events.LeafWritten(_entry("young", cold_ms=1)))
    site.advance(1)
    return site


class OnlyLeafTest(_Case):
    """The only usable leaf of a service must never be left idle by its pace."""

    def test_without_peers(self) -> None:
        self.assertIsNone(self.hold(_site_with_young(peers=0)))

    def test_with_peers_that_cannot_be_used(self) -> None:
        cases = {
            "suspected": lambda leaf, now_ms: setattr(leaf, "suspected", True),
            "lost": lambda leaf, now_ms: setattr(leaf, "lost_ms", now_ms),
            "unreachable": lambda leaf, now_ms: setattr(
                leaf, "unreachable_until_ms", now_ms + 100
            ),
            "leaving": lambda leaf, now_ms: setattr(leaf, "leaving_since_ms", now_ms),
            "cold too": lambda leaf, now_ms: setattr(
                leaf, "cold_until_ms", now_ms + 100
            ),
        }
        for name, change in cases.items():
            with self.subTest(name):
                site = _site_with_young()
                self.assertEqual(self.hold(site), leaf_permits.HoldReason.PACE)
                for number in range(2):
                    peer = site.gateway.directory.get(f"peer-{number}")
                    change(peer, site.now_ms)
                self.assertIsNone(self.hold(site))

    def test_with_paused_peers(self) -> None:
        site = _site_with_young()
        site.request("/visit/1")
        pause = requests.LeafDemands(pause_ms=400)
        for _ in range(2):
            site.reply(site.sent[-1], gateway_site.REJECTED._replace(demands=pause))
        self.assertEqual(site.sent[-1].command.leaf_id, "young")

    def test_a_route_that_allows_only_its_region(self) -> None:
        site = _site(peers=0)
        site.feed(events.LeafWritten(_entry("far")._replace(failure_domain="b1")))
        site.gateway.directory.get("far").pace = None
        leaf = self.start(site)
        near = gateway_site.single(regions=frozenset({"a"}))
        hold = leaf_permits.hold_of(site.gateway, leaf, near, site.now_ms)
        self.assertIsNone(hold)

    def test_a_repeat_that_may_go_to_no_other_leaf(self) -> None:
        """It waited to its deadline for a share that few requests make grow."""
        site = _site_with_young(peers=1)
        site.gateway.directory.get("young").pace.credit = 0.0
        key = site.request("/visit/1")
        site.fail(site.sends_of(key)[0], requests.AttemptEnd.FAILED)
        self.assertEqual(site.sends_of(key)[-1].command.leaf_id, "young")

    def test_busy_peers_let_it_have_one(self) -> None:
        site = _site_with_young()
        for number in range(2):
            peer = site.gateway.directory.get(f"peer-{number}")
            peer.load, peer.load_reported_ms = leaves.Load(4, 3, 4), site.now_ms
        self.assertIsNone(self.hold(site))
        young = site.gateway.directory.get("young")
        young.load, young.load_reported_ms = leaves.Load(4, 0, 4), site.now_ms
        self.assertEqual(self.hold(site), leaf_permits.HoldReason.PACE)


class ShareTest(_Case):
    """How the share follows from the answers."""

    def _answer(
        self, site: gateway_site.GatewaySite, slowness: float, peers: float
    ) -> None:
        for name, value in (("peer-0", peers), ("young", slowness)):
            leaf = site.gateway.directory.get(name)
            leaf_pace.record_time(site.gateway, leaf, value, site.now_ms)

    def _after(self, slowness: float, peers: float, for_ms: int = 2_000) -> float:
        site = _site_with_young()
        leaf = site.gateway.directory.get("young")
        for _ in range(for_ms // 100):
            self._answer(site, slowness, peers)
            site.advance(100)
        return 1.0 if leaf.pace is None else leaf.pace.share

    def test_answers_like_those_of_the_peers_make_it_whole(self) -> None:
        self.assertEqual(self._after(1.0, 1.0), 1.0)

    def test_a_slow_leaf_does_not_grow(self) -> None:
        self.assertEqual(self._after(5.0, 1.0, 9_000), leaf_pace.STARTED_SHARE)

    def test_a_slow_leaf_gets_what_its_time_leaves(self) -> None:
        site = _site_with_young()
        leaf = site.gateway.directory.get("young")
        leaf.pace.share = 0.9
        for _ in range(20):
            self._answer(site, 5.0, 1.0)
        self.assertAlmostEqual(leaf.pace.share, 0.2, delta=0.01)

    def test_a_slowdown_of_all_leaves_is_not_taken_for_a_cold_leaf(self) -> None:
        self.assertEqual(self._after(4.0, 4.0), 1.0)

    def test_a_slow_answer_cuts_it_at_once(self) -> None:
        site = _site_with_young()
        leaf = site.gateway.directory.get("young")
        leaf.pace.share = 0.9
        self._answer(site, 6.0, 1.0)
        self.assertLess(leaf.pace.share, 0.5)

    def test_a_rejection_halves_it_once_for_each_round(self) -> None:
        site = _site_with_young()
        leaf = site.gateway.directory.get("young")
        leaf.pace.share = 0.8
        for _ in range(3):
            leaf_pace.record_outcome(site.gateway, leaf, True, site.now_ms)
        self.assertEqual(leaf.pace.share, 0.4)

    def test_rejections_by_all_leaves_do_not_cut_it(self) -> None:
        site = _site_with_young()
        leaf = site.gateway.directory.get("young")
        leaf.pace.share = 0.8
        for _ in range(5):
            peer = site.gateway.directory.get("peer-0")
            leaf_pace.record_outcome(site.gateway, peer, True, site.now_ms)
            leaf_pace.record_outcome(site.gateway, leaf, True, site.now_ms)
        self.assertEqual(leaf.pace.share, 0.8)

    def test_a_slow_machine_is_not_taken_for_a_cold_leaf(self) -> None:
        """The part of the machine must be left out of the times that are compared."""
        shares = []
        for machine in (None, 4.0):
            site = _site_with_young(peers=1)
            leaf = site.gateway.directory.get("young")
            for _ in range(6):
                leaf.pace.credit = 1.0
                site.gateway.directory.get("peer-0").full_until_ms = site.now_ms + 1
                site.request("/visit/1")
                sent = site.sent[-1]
                self.assertEqual(sent.command.leaf_id, "young")
                site.advance(160)
                load = leaves.Load(0, 0, 4, machine)
                if sent.command.attempt in site.gateway.attempts:
                    site.reply(sent, gateway_site.answer(load=load))
            shares.append(1.0 if leaf.pace is None else leaf.pace.share)
        self.assertLess(shares[0], shares[1])

    def test_without_answers_it_ends_by_itself(self) -> None:
        site = _site_with_young()
        site.advance(8_000)
        self.assertIsNone(site.gateway.directory.get("young").pace)
        self.assertEqual(site.gateway.paces.by_service, {})

    def test_a_returned_leaf_that_answers_well_grows_as_fast_as_any(self) -> None:
        """Leaves are suspected in an overload, too, and are needed soon after it."""
        for answers, is_whole in ((True, True), (False, False)):
            with self.subTest(answers=answers):
                site = _site()
                for number in range(4):
                    leaf = self.start(site, born_ms=number)
                for _ in range(25):
                    if answers:
                        self._answer(site, 1.0, 1.0)
                    site.advance(100)
                self.assertEqual(leaf.pace is None, is_whole)

    def test_a_leaf_that_stays_slow_is_left_to_its_slowness(self) -> None:
        site = _site_with_young()
        leaf = site.gateway.directory.get("young")
        for _ in range(leaf_pace.LONGEST_MS // 100 + 2):
            if leaf.pace is not None:
                self._answer(site, 5.0, 1.0)
            site.advance(100)
        self.assertIsNone(leaf.pace)
        line = site.logs_of(log_events.LEAF_PACE_CHANGED)[-1]
        self.assertEqual(line["pace"], "expired")
        self.assertFalse(leaf.is_proven and leaf.cold_until_ms > site.now_ms)

    def test_a_leaf_that_is_warm_sooner_is_no_longer_taken_for_cold(self) -> None:
        site = _site(cold_per_s=400.0)
        leaf = self.start(site, cold_ms=60_000)
        before = leaf_selection.current_slowness(leaf, site.now_ms)
        for _ in range(30):
            self._answer(site, 1.0, 1.0)
            site.advance(100)
        self.assertIsNone(leaf.pace)
        after = leaf_selection.current_slowness(leaf, site.now_ms)
        self.assertEqual([before, after], [leaf_selection.COLD_SLOWNESS, 1.0])

    def test_a_leaf_that_is_gone_is_forgotten(self) -> None:
        site = _site_with_young()
        site.gateway.directory.remove("young")
        site.advance(200)
        self.assertEqual(site.gateway.paces.by_service, {})


class BoundTest(_Case):
    """A pace must only hold a leaf back, never allow what another hold forbids."""

    def test_every_other_hold_stays(self) -> None:
        site = _site_with_young()
        leaf = site.gateway.directory.get("young")
        leaf.pace.credit = 2.0
        self.assertIsNone(self.hold(site))
        leaf.full_until_ms = site.now_ms + 10
        self.assertEqual(self.hold(site), leaf_permits.HoldReason.FULL)
        leaf.unreachable_until_ms = site.now_ms + 10
        self.assertEqual(self.hold(site), leaf_permits.HoldReason.UNREACHABLE)
        leaf.cold_until_ms = site.now_ms + 10
        self.assertEqual(self.hold(site), leaf_permits.HoldReason.COLD)

    def test_a_cold_leaf_gets_no_more_than_its_stated_rate(self) -> None:
        """What many daemons save in a calm must not all be sent in the burst after."""
        for daemons, per_s in ((3, 20.0), (24, 10.0), (30, 20.0)):
            for has_pace in (False, True):
                with self.subTest(daemons=daemons, per_s=per_s, has_pace=has_pace):
                    site = pace_site.PaceSite(daemons, has_pace, 2, cold_per_s=per_s)
                    leaf = site.start("visits", 2, 9_000)
                    site.advance(2_600, 50.0)
                    site.advance(1_200, 900.0)
                    got = leaf.arrivals
                    most = max(
                        sum(begin_ms <= at_ms < begin_ms + _WINDOW_MS for at_ms in got)
                        for begin_ms in got
                    )
                    self.assertLessEqual(most, per_s * _OVERAGE + _SLACK)
                    self.assertGreater(len(got), per_s / 2)


class ReplayTest(unittest.TestCase):
    """Replays with a pace are no worse than without it, and spare the leaf."""

    def _compare(self, replay: pace_replays.Replay) -> tuple[pace_site.Outcome, ...]:
        # Under load the outcomes of single seeds differ by up to 0.05.
        is_loaded = replay is pace_replays.one_leaf_back_under_load
        seeds = range(1, 9 if is_loaded else 3)
        return tuple(pace_replays.mean(replay, 6, on, seeds) for on in (False, True))

    def test_leaves_that_come_back_cold_reject_fewer(self) -> None:
        for replay in (
            pace_replays.one_leaf_back,
            pace_replays.one_leaf_back_too_early,
            pace_replays.one_leaf_back_under_load,
            pace_replays.failure_domain_back,
        ):
            with self.subTest(replay.__name__):
                without, found = self._compare(replay)
                self.assertLessEqual(found.rejected, without.rejected)
                self.assertGreaterEqual(found.in_time, without.in_time - 0.01)
                self.assertGreater(found.arrived, 0)

    def test_others_are_served_as_before(self) -> None:
        for replay in (
            pace_replays.flapping_leaf,
            pace_replays.power_failure,
            pace_replays.false_health_checks,
        ):
            with self.subTest(replay.__name__):
                without, found = self._compare(replay)
                self.assertGreaterEqual(found.in_time, without.in_time - 0.01)
                self.assertLessEqual(found.rejected, without.rejected + 3)
