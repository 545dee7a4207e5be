"""Tests of roll-outs by many daemons under virtual time."""

import unittest

from amaranthpulley.coordination.forwarding.rollouts.tests import faults, rollout_fleet
from amaranthpulley.state.forwarding import rollouts

DURATION_MS = 45_000
# Daemons, and requests a second of all of them.
FLEETS = ((6, 120.0), (77, 160.0))
BAD = {
    "all answers at once": faults.bad_from(0, 1.0),
    "a third at once": faults.bad_from(0, 0.33),
    "half slow at once": faults.bad_from(0, 0.5, faults.SLOW),
    "a third from 16 s on": faults.bad_from(16_000, 0.33),
    "half slow from 24 s on": faults.bad_from(24_000, 0.5, faults.SLOW),
    "half under load": faults.bad_under_load(60.0, 0.5),
    "slow under load": faults.bad_under_load(60.0, 0.7, faults.SLOW),
    "one route of two": faults.bad_on_route("/other/1", 0.5),
}


class RolloutCase(unittest.TestCase):
    """What holds whatever happens."""

    def assert_rules(self, fleet: rollout_fleet.RolloutFleet, bad: bool) -> None:
        """Check the exposure, the reversal and the end."""
        self.assertIsNotNone(fleet.end, "neither completed nor reverted")
        ended_ms, phase, reason = fleet.end
        if bad:
            got, allowed = fleet.exposure()
            self.assertLessEqual(got, allowed)
            self.assertEqual(phase, rollouts.Phase.REVERTED, reason)
        self.assertEqual(fleet.late_sends(), 0)
        self.assertEqual(fleet.sends_to_old_after_end(), 0)
        self.assertLess(ended_ms, fleet.order_ms + fleet.duration_ms)

    def play(
        self,
        count: int,
        per_s: float,
        fault: faults.Fault,
        seed: int = 1,
        duration_ms: int = DURATION_MS,
    ) -> rollout_fleet.RolloutFleet:
        """Play an order to its end and a little longer."""
        fleet = rollout_fleet.RolloutFleet(count, per_s, fault, seed)
        fleet.begin(duration_ms)
        fleet.advance_to_end()
        return fleet


class BadVersionTest(RolloutCase):
    """A bad version that is completed, or gets more than its bound."""

    def test_it_is_reverted_within_its_exposure(self) -> None:
        for count, per_s in FLEETS:
            for name, fault in BAD.items():
                with self.subTest(daemons=count, bad=name):
                    self.assert_rules(self.play(count, per_s, fault), bad=True)

    def test_it_is_reverted_whatever_the_chance(self) -> None:
        for seed in range(2, 8):
            with self.subTest(seed=seed):
                fleet = self.play(6, 80.0, faults.bad_from(0, 0.2), seed)
                self.assert_rules(fleet, bad=True)

    def test_it_is_bounded_when_its_leaves_were_used_before_the_order(self) -> None:
        for seed in (1, 2, 3):
            for share in (0.05, 0.3):
                with self.subTest(seed=seed, share=share):
                    fault = faults.bad_from(0, share)
                    fleet = rollout_fleet.RolloutFleet(6, 120.0, fault, seed)
                    fleet.advance(5_000)
                    fleet.order(DURATION_MS)
                    fleet.advance_to_end()
                    moved = any(p is rollouts.Phase.MOVING for _, p, _ in fleet.status)
                    got, allowed = fleet.exposure()
                    self.assertTrue(moved or got <= allowed, (got, allowed))
                    self.assertTrue(share < 0.3 or not moved)

    def test_one_that_turns_bad_while_the_service_moves_is_reverted(self) -> None:
        # The exposure can't be bounded here: the version has been judged good.
        fleet = self.play(6, 120.0, faults.bad_from(31_000, 0.3))
        self.assertEqual(fleet.end[1], rollouts.Phase.REVERTED)
        self.assertEqual(fleet.late_sends(), 0)


class GoodVersionTest(RolloutCase):
    """A good version that is reverted, or completed before all have moved."""

    def test_it_is_completed_after_all_have_moved(self) -> None:
        for count, per_s in FLEETS:
            for seed in (1, 2, 3)[: 3 if count < 10 else 1]:
                with self.subTest(daemons=count, seed=seed):
                    fleet = self.play(count, per_s, faults.good, seed)
                    self.assert_rules(fleet, bad=False)
                    self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED)
                    moved_ms = next(
                        at_ms
                        for at_ms, phase, _ in fleet.status
                        if phase is rollouts.Phase.MOVING
                    )
                    least_ms = rollout_fleet.LIMITS.configuration_ms
                    self.assertGreaterEqual(fleet.end[0] - moved_ms, least_ms)

    def test_it_is_completed_within_short_and_long_orders(self) -> None:
        for duration_ms in (25_000, 60_000, 120_000):
            with self.subTest(duration_ms=duration_ms):
                fleet = self.play(6, 100.0, faults.good, 1, duration_ms)
                self.assert_rules(fleet, bad=False)
                self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED)

    def test_failures_that_the_old_leaves_have_too_are_no_reason(self) -> None:
        # One answer of a hundred fails, within what is tolerated.
        fleet = self.play(6, 120.0, faults.bad_from(0, 0.01))
        self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED)

    def test_without_enough_evidence_it_is_reverted_in_time(self) -> None:
        fleet = self.play(6, 0.5, faults.good)
        self.assert_rules(fleet, bad=False)
        self.assertEqual(fleet.end[1], rollouts.Phase.REVERTED)

    def test_an_order_that_is_too_short_to_judge_is_reverted(self) -> None:
        fleet = self.play(6, 100.0, faults.good, 1, 12_000)
        self.assert_rules(fleet, bad=False)
        self.assertEqual(fleet.end[1], rollouts.Phase.REVERTED)


class ManyDaemonsTest(RolloutCase):
    """Daemons that each see a request every 8 s, so that no judgement is reached."""

    def _play(self, fault: faults.Fault, seed: int) -> rollout_fleet.RolloutFleet:
        return self.play(77, 10.0, fault, seed, duration_ms=40_000)

    def test_a_good_version_is_completed(self) -> None:
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                fleet = self._play(faults.good, seed)
                self.assert_rules(fleet, bad=False)
                self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED, fleet.end)

    def test_a_version_with_failures_is_reverted(self) -> None:
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                fleet = self._play(faults.bad_from(0, 0.3), seed)
                self.assert_rules(fleet, bad=True)
                # Not only for want of evidence.
                self.assertIn("failures", fleet.end[2])


class LostDeciderTest(RolloutCase):
    """A roll-out that stands still, or ends twice, when its decider fails."""

    def _play(
        self, fault: faults.Fault, break_it: str, at_ms: int, for_ms: int
    ) -> rollout_fleet.RolloutFleet:
        fleet = rollout_fleet.RolloutFleet(6, 120.0, fault)
        fleet.begin(DURATION_MS)
        fleet.advance(at_ms)
        leader = fleet.leader()
        if break_it == "kill":
            fleet.kill(leader)
        elif break_it == "pause":
            fleet.paused.add(leader)
        else:
            fleet.cut_off.add(leader)
        fleet.advance(for_ms)
        fleet.paused.clear()
        fleet.cut_off.clear()
        fleet.advance(DURATION_MS - at_ms - for_ms)
        return fleet

    def test_a_good_version_is_completed_by_another(self) -> None:
        for break_it in ("kill", "pause", "cut off"):
            for at_ms in (100, 9_000, 27_000, 31_000):
                with self.subTest(broken=break_it, at_ms=at_ms):
                    fleet = self._play(faults.good, break_it, at_ms, 8_000)
                    self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED)
                    self.assertLess(fleet.end[0], fleet.order_ms + DURATION_MS)
                    finals = [
                        p for _, p, _ in fleet.status if p in rollouts.FINAL_PHASES
                    ]
                    self.assertEqual(len(finals), 1)

    def test_another_takes_over_among_many(self) -> None:
        fleet = rollout_fleet.RolloutFleet(77, 160.0, faults.good)
        fleet.begin(DURATION_MS)
        fleet.advance(20_000)
        fleet.kill(fleet.leader())
        fleet.advance_to_end()
        self.assert_rules(fleet, bad=False)
        self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED)

    def test_a_bad_version_is_reverted_by_another(self) -> None:
        for break_it in ("kill", "pause", "cut off"):
            with self.subTest(broken=break_it):
                fault = faults.bad_from(16_000, 0.4)
                fleet = self._play(fault, break_it, 15_500, 10_000)
                got, allowed = fleet.exposure()
                self.assertLessEqual(got, allowed)
                self.assertEqual(fleet.end[1], rollouts.Phase.REVERTED)


class LostStoreTest(RolloutCase):
    """A store that is away, or answers no write, halfway."""

    def _play(
        self, fault: faults.Fault, at_ms: int, for_ms: int
    ) -> rollout_fleet.RolloutFleet:
        fleet = rollout_fleet.RolloutFleet(6, 120.0, fault)
        fleet.begin(DURATION_MS)
        fleet.advance(at_ms)
        fleet.store_down = True
        fleet.advance(for_ms)
        fleet.store_down = False
        fleet.advance(max(0, DURATION_MS - at_ms - for_ms) + 3_000)
        return fleet

    def test_a_roll_out_ends_in_time_after_the_store_is_back(self) -> None:
        for at_ms in (3_000, 14_000, 28_000):
            with self.subTest(at_ms=at_ms):
                fleet = self._play(faults.good, at_ms, 8_000)
                self.assert_rules(fleet, bad=False)

    def test_a_short_outage_costs_a_good_version_nothing(self) -> None:
        fleet = self._play(faults.good, 9_000, 5_000)
        self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED)

    def test_a_bad_version_gets_nothing_although_no_step_is_written(self) -> None:
        fleet = self._play(faults.bad_from(15_000, 0.5), 14_500, 25_000)
        self.assert_rules(fleet, bad=True)

    def test_a_bad_version_gets_nothing_from_many_daemons_either(self) -> None:
        fleet = rollout_fleet.RolloutFleet(77, 160.0, faults.bad_from(20_500, 0.7))
        fleet.begin(DURATION_MS)
        fleet.advance(20_000)
        fleet.store_down = True
        fleet.advance(10_000)
        self.assertGreater(len(fleet.bad_times()), 0)
        last_ms = max(a.at_ms for a in fleet.arrivals if a.version == "v2")
        self.assertLess(last_ms, fleet.now_ms - 2_000)
        fleet.store_down = False
        fleet.advance_to_end()
        self.assert_rules(fleet, bad=True)

    def test_past_the_deadline_it_is_reverted_at_the_return(self) -> None:
        for at_ms in (10_000, 31_500):
            with self.subTest(at_ms=at_ms):
                fleet = self._play(faults.good, at_ms, DURATION_MS)
                self.assertEqual(fleet.end[1], rollouts.Phase.REVERTED)

    def test_writes_that_happen_without_an_answer_take_effect_once(self) -> None:
        for late_ms in (0, 700, 4_000):
            for name, fault in (("good", faults.good), *list(BAD.items())[::3]):
                with self.subTest(late_ms=late_ms, version=name):
                    fleet = rollout_fleet.RolloutFleet(6, 120.0, fault)
                    fleet.loses_answers, fleet.late_write_ms = True, late_ms
                    fleet.begin(DURATION_MS)
                    fleet.advance_to_end()
                    self.assert_rules(fleet, bad=fault is not faults.good)
                    finals = [
                        p for _, p, _ in fleet.status if p in rollouts.FINAL_PHASES
                    ]
                    self.assertEqual(len(finals), 1)


class ChangingFleetTest(RolloutCase):
    """Daemons that restart, lapse or have wrong clocks, and spend what is spent."""

    def test_daemons_that_restart_stay_within_the_exposure(self) -> None:
        fleet = rollout_fleet.RolloutFleet(6, 60.0, faults.bad_from(0, 0.04))
        fleet.begin(DURATION_MS)
        for number in (0, 1, 2, 3, 4, 5, 0, 1):
            fleet.advance(3_000)
            fleet.restart(number)
        fleet.advance(DURATION_MS - 24_000)
        got, allowed = fleet.exposure()
        moved = any(phase is rollouts.Phase.MOVING for _, phase, _ in fleet.status)
        self.assertTrue(moved or got <= allowed, (got, allowed))
        self.assertIsNotNone(fleet.end)

    def test_a_wrong_wall_clock_neither_delays_the_end_nor_reverts(self) -> None:
        for offset_ms in (-3_600_000, -10_000, 10_000, 3_600_000):
            for turn in range(2):
                with self.subTest(offset_ms=offset_ms, turn=turn):
                    fleet = rollout_fleet.RolloutFleet(6, 60.0, faults.good)
                    number = (fleet.leader() + turn) % 6
                    table = fleet.sites[number].gateway.rollouts
                    table.wall_offset_ms = offset_ms
                    fleet.begin(DURATION_MS)
                    fleet.advance_to_end()
                    self.assert_rules(fleet, bad=False)
                    self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED)

    def test_a_step_of_the_wall_clock_changes_nothing(self) -> None:
        for offset_ms in (-3_600_000, 3_600_000):
            with self.subTest(offset_ms=offset_ms):
                fleet = rollout_fleet.RolloutFleet(6, 60.0, faults.good)
                fleet.begin(DURATION_MS)
                fleet.advance(15_000)
                leader = fleet.sites[fleet.leader()]
                leader.gateway.rollouts.wall_offset_ms = offset_ms
                fleet.advance_to_end()
                self.assert_rules(fleet, bad=False)
                self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED)


class OrderTest(RolloutCase):
    """Orders that come at an odd time or name an odd version."""

    def test_a_second_order_replaces_the_first_and_bars_its_version(self) -> None:
        fleet = rollout_fleet.RolloutFleet(6, 120.0, faults.good)
        fleet.begin(DURATION_MS)
        fleet.advance(10_000)
        fleet.order(30_000, "v3")
        fleet.advance(1_500)
        begin = len(fleet.arrivals)
        fleet.advance(30_000)
        self.assertEqual(fleet.end[1], rollouts.Phase.REVERTED)
        versions = {arrival.version for arrival in fleet.arrivals[begin:]}
        self.assertEqual(versions, {rollout_fleet.OLD})

    def test_the_same_order_again_after_a_reversal_starts_anew(self) -> None:
        fleet = self.play(6, 120.0, faults.bad_from(0, 1.0))
        fleet.fault = faults.good
        fleet.order(DURATION_MS)
        fleet.advance(DURATION_MS)
        self.assertEqual(fleet.end[1], rollouts.Phase.COMPLETED)

    def test_an_unknown_version_is_reverted_in_time(self) -> None:
        fleet = rollout_fleet.RolloutFleet(6, 60.0, faults.good)
        fleet.order(DURATION_MS, "v9")
        fleet.advance(DURATION_MS)
        self.assert_rules(fleet, bad=False)
        self.assertEqual(fleet.end[1], rollouts.Phase.REVERTED)

    def test_without_an_order_versions_are_used_alike(self) -> None:
        fleet = rollout_fleet.RolloutFleet(6, 60.0, faults.good)
        fleet.advance(10_000)
        new = sum(arrival.version == "v2" for arrival in fleet.arrivals)
        # Daemons prefer leaves to which a connection is open.
        self.assertGreater(new, 0.1 * len(fleet.arrivals))
        self.assertEqual(fleet.status, [])
