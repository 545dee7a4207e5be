"""Tests of the slowness of machines that leaves report."""

import unittest

from amaranthpulley.coordination.forwarding import (
    events,
    leaf_selection,
    machine_slowness,
)
from amaranthpulley.coordination.forwarding.tests import gateway_site
from amaranthpulley.state.forwarding import leaves

WORK_MS = 40


def _load(slowness: float | None, running: int = 0) -> leaves.Load:
    return leaves.Load(running, 0, 2, slowness)


def _leaf() -> leaves.Leaf:
    return leaves.Leaf(gateway_site.entry("l", "visits"), "a", 0)


class MachineSlownessTest(unittest.TestCase):
    """An old figure about a machine that changes many times a second is believed."""

    def test_a_figure_decays_to_the_mean_and_the_mean_to_the_usual_value(self) -> None:
        leaf = _leaf()
        for now_ms in range(0, 6_000, 100):
            machine_slowness.record(leaf, _load(2.0), now_ms)
        machine_slowness.record(leaf, _load(5.0), 6_000)
        mean = machine_slowness.mean_of(leaf, 6_000)
        # Below 2.45, the mean without the decay between the figures.
        self.assertAlmostEqual(mean, 2.33, delta=0.05)
        self.assertEqual(machine_slowness.current(leaf, 6_000), 5.0)
        half = machine_slowness.current(leaf, 6_100)
        self.assertTrue(3.5 < half < 4.0)
        settled = machine_slowness.current(leaf, 6_600)
        self.assertEqual(settled, machine_slowness.mean_of(leaf, 6_600))
        self.assertAlmostEqual(machine_slowness.current(leaf, 30_000), 1.0, delta=0.01)

    def test_no_figure_is_the_usual_value(self) -> None:
        leaf = _leaf()
        self.assertEqual(machine_slowness.record(leaf, None, 0), 1.0)
        self.assertEqual(machine_slowness.record(leaf, _load(None), 0), 1.0)
        self.assertEqual(machine_slowness.current(leaf, 0), 1.0)

    def test_a_missing_figure_does_not_renew_the_last_one(self) -> None:
        leaf = _leaf()
        machine_slowness.record(leaf, _load(3.0), 0)
        machine_slowness.record(leaf, _load(None), 1_000)
        self.assertEqual(leaf.machine.reported_ms, 0)

    def test_implausible_figures_are_clipped(self) -> None:
        for told, expected in ((9_999.0, 10.0), (0.01, 0.25)):
            leaf = _leaf()
            self.assertEqual(machine_slowness.record(leaf, _load(told), 0), expected)

    def test_a_health_check_never_makes_a_leaf_better(self) -> None:
        leaf = _leaf()
        machine_slowness.record(leaf, _load(3.0, running=4), 0)
        machine_slowness.record_of_probe(leaf, _load(0.5, running=0), 10)
        self.assertEqual(leaf.load.running, 4)
        self.assertGreater(machine_slowness.current(leaf, 10), 2.5)
        machine_slowness.record_of_probe(leaf, _load(6.0, running=5), 20)
        self.assertEqual(leaf.load.running, 5)
        self.assertEqual(machine_slowness.current(leaf, 20), 6.0)


class ReportedMachineTest(unittest.TestCase):
    """The machine's part is left out, or is counted twice, in the choice of a leaf."""

    def setUp(self) -> None:
        self.site = gateway_site.GatewaySite()
        self.route = gateway_site.single(objective_ms=400)
        found = gateway_site.configuration(self.route)
        entries = [gateway_site.entry(f"l{n}", "visits") for n in range(2)]
        self.site.begin(found, *entries)
        for _ in range(40):
            self._answer(WORK_MS, None)

    def _answer(self, after_ms: int, slowness: float | None) -> str:
        key = self.site.request("/visit/1")
        sent = self.site.sends_of(key)[0]
        self.site.advance(after_ms)
        self.site.reply(sent, gateway_site.answer(load=_load(slowness)))
        return sent.command.leaf_id

    def _expected_ms(self, leaf: leaves.Leaf) -> float:
        return leaf_selection.answer_time_ms(
            self.site.gateway, leaf, self.route, self.site.now_ms
        )

    def test_the_next_request_avoids_a_leaf_whose_machine_is_slow(self) -> None:
        slow = self._answer(WORK_MS, 3.0)
        self.assertNotEqual(self._answer(WORK_MS, None), slow)

    def test_learned_slowness_is_free_of_the_machine(self) -> None:
        slow = self._answer(3 * WORK_MS, 3.0)
        leaf = self.site.gateway.directory.get(slow)
        self.assertAlmostEqual(leaf.slowness, 1.0, delta=0.1)
        self.assertAlmostEqual(self._expected_ms(leaf) / WORK_MS, 3.0, delta=0.4)

    def test_a_leaf_that_is_slow_on_an_idle_machine_is_learned_as_before(self) -> None:
        slow = self._answer(3 * WORK_MS, 1.0)
        leaf = self.site.gateway.directory.get(slow)
        self.assertGreater(leaf.slowness, 1.2)

    def test_health_checks_report_it_too(self) -> None:
        self.site.feed(events.ProbeEnded("l0", True, load=_load(4.0)))
        self.assertEqual(self._answer(WORK_MS, None), "l1")
