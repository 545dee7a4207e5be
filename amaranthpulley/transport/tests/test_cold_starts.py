"""Tests of targets in a cold start."""

import unittest
from typing import Final

import hypothesis
import hypothesis.strategies as st

from amaranthpulley.coordination.searches import cold_starts
from amaranthpulley.state import daemon, standin_leaf
from amaranthpulley.state.control import facts, topology
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import search_site, test_search_properties

INTERLEAVINGS: Final = 60
RUN_MS: Final = 6_000
COLD: Final = standin_leaf.ColdMode(slots=1, warm_after=10, slowness=4)
_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=INTERLEAVINGS
)


def _site(daemons: int = 3, seed: int = 1) -> search_site.Site:
    site = search_site.Site(
        seed, search_site.SiteSettings(instances=3, daemons=daemons)
    )
    _acquaint(site)
    _spread_facts(site)
    return site


def _acquaint(site: search_site.Site) -> None:
    """Let each daemon have an answer of each leaf, over a connection that stays."""
    for vm in site.network.daemons.values():
        for number, target in enumerate(site.targets):
            vm.state.targets.report(target.name, site.leaf(number).load)
            site.network.targets.connect(vm, target.address)


def _spread_facts(site: search_site.Site, every_ms: int = 500) -> None:
    """Tell every daemon the others' facts, as their exchange does."""
    network = site.network
    live = [
        vm
        for vm in network.daemons.values()
        if vm.alive and vm.paused_until_ms <= network.now_ms
    ]
    for teller in live:
        for fact, left_ms in teller.state.facts.current(network.now_ms):
            for listener in live:
                listener.state.facts.publish(fact, network.now_ms + left_ms)
    network.after(every_ms, lambda: _spread_facts(site, every_ms))


def _load(site: search_site.Site, time_ms: int, every_ms: int = 6) -> None:
    for number in range(time_ms // every_ms):
        site.search(vm=number % site.settings.daemons)
        site.run_for(every_ms)


def _falls(site: search_site.Site) -> int:
    return sum(site.leaf(number).falls for number in range(len(site.targets)))


class ColdStartTest(unittest.TestCase):
    """One daemon feeds a cold target, as much as it bears."""

    def test_restarted_target_warms_up_and_takes_work_of_all(self) -> None:
        site = _site()
        _load(site, 500)
        site.leaf(0).restart(COLD)
        _load(site, 5_000)
        self.assertEqual(_falls(site), 0)
        self.assertIsNone(site.leaf(0).cold)
        for vm in site.network.daemons.values():
            self.assertIsNone(vm.state.targets.of(site.targets[0].name).cold)
        self.assertEqual(search_site.find_violations(site), [])

    def test_plain_restart_would_fall_over(self) -> None:
        # The stand-in does notice too much work: without the lease it falls over.
        site = _site()
        unfed = cold_starts._may_send
        cold_starts._may_send = lambda *rest: True
        self.addCleanup(setattr, cold_starts, "_may_send", unfed)
        ramp = cold_starts.RAMP_FAST_ANSWERS
        cold_starts.RAMP_FAST_ANSWERS = 1
        self.addCleanup(setattr, cold_starts, "RAMP_FAST_ANSWERS", ramp)
        _load(site, 500)
        for number in range(9):
            site.leaf(number).restart(COLD._replace(warm_after=60))
        _load(site, 3_000)
        self.assertGreater(_falls(site), 0)

    def test_whole_failure_domain_returns_cold(self) -> None:
        site = _site()
        _load(site, 500)
        domain = topology.FailureDomain("Pokhara", "Pokhara", in_service=False)
        site.apply(failure_domains=(domain,))
        _load(site, 1_000)
        taken = [t for t in site.targets if t.failure_domain == "Pokhara"]
        for target in taken:
            leaf = site.network.targets.leaves[target.address]
            # The boot id tells nothing: the targets have lost only their caches.
            leaf.cold = COLD
        site.apply(failure_domains=(domain._replace(in_service=True),))
        _load(site, 6_000)
        self.assertEqual(_falls(site), 0)
        for target in taken:
            self.assertIsNone(site.network.targets.leaves[target.address].cold)

    def test_nothing_is_fed_while_the_store_is_down(self) -> None:
        site = _site()
        _load(site, 500)
        site.network.platform.faults = virtual_platform.StoreFaults(down=True)
        site.leaf(0).restart(COLD)
        _load(site, 8_000, every_ms=10)
        self.assertEqual(_falls(site), 0)
        site.network.platform.faults = virtual_platform.StoreFaults()
        _load(site, 6_000, every_ms=10)
        self.assertIsNone(site.leaf(0).cold)
        self.assertEqual(_falls(site), 0)

    def test_paused_feeder_is_replaced(self) -> None:
        site = _site()
        _load(site, 500)
        site.leaf(0).restart(COLD._replace(warm_after=60))
        _load(site, 1_000)
        name = cold_starts.lease_name(site.targets[0].name)
        now_ms = site.network.now_ms
        holders = [
            vm_name
            for vm_name, vm in site.network.daemons.items()
            if vm.state.leases.holds(name, now_ms)
        ]
        self.assertEqual(len(holders), 1)
        site.network.pause(holders[0], 8_000)
        _load(site, 12_000, every_ms=10)
        self.assertEqual(_falls(site), 0)
        self.assertIsNone(site.leaf(0).cold)

    def test_lost_connection_is_suspected_and_cleared(self) -> None:
        site = _site(daemons=1)
        _load(site, 500)
        vm = site.network.daemons["vm-0"]
        site.network.targets.break_connections(site.targets[0].address)
        _load(site, 2_000)
        suspected = vm.state.counters.total("targets_cold_total", suspected="true")
        self.assertEqual(suspected, 1)
        self.assertIsNone(vm.state.targets.of(site.targets[0].name).cold)


class ColdSignTest(unittest.TestCase):
    """What makes a target count as cold."""

    def setUp(self) -> None:
        self.site = _site(daemons=1)
        _load(self.site, 500)
        self.vm = self.site.network.daemons["vm-0"].state
        self.target = self.site.targets[0]

    def _state(self) -> object:
        return self.vm.targets.of(self.target.name)

    def test_signs(self) -> None:
        now_ms = self.site.network.now_ms
        load = self._state().load
        rebooted = load._replace(boot_id="another")
        idle = load._replace(busy_slots=0)
        signs = {
            "boot id": lambda vm: cold_starts.observe_load(
                vm, self.target, rebooted, False, 1, 1
            ),
            "refusal while idle": lambda vm: cold_starts.observe_load(
                vm, self.target, idle, True, 1, 1
            ),
            "latency": lambda vm: [
                cold_starts.observe_answer(vm, self.target, 500, 5, 1)
                for _ in range(cold_starts.SLOW_ANSWERS)
            ],
            "silence": lambda vm: cold_starts.observe_failure(
                vm, self.target.name, True, 1
            ),
            "fact": lambda vm: self._tell(vm, now_ms),
        }
        for name, sign in signs.items():
            with self.subTest(name):
                self._state().cold = None
                sign(self.vm)
                self.assertIsNotNone(self._state().cold)

    def _tell(self, vm: daemon.Daemon, now_ms: int) -> None:
        value = self._state().cold_fact_value + 1_000_000
        kind = facts.FactKind.TARGET_COLD
        fact = facts.Fact(kind, self.target.name, value, cold_starts.COLD)
        vm.facts.publish(fact, now_ms + 60_000)
        cold_starts.apply_facts(vm, now_ms + cold_starts.FACTS_READ_INTERVAL_MS)

    def test_ordinary_refusals_and_stragglers_are_no_signs(self) -> None:
        load = self._state().load._replace(busy_slots=4)
        cold_starts.observe_load(self.vm, self.target, load, True, 1, 1)
        for elapsed_ms in (500, 5, 500, 5, 500, 5):
            cold_starts.observe_answer(self.vm, self.target, elapsed_ms, 5, 1)
        self.assertIsNone(self._state().cold)


class ColdPropertyTest(unittest.TestCase):
    """No cold target gets more than it bears, whatever fails meanwhile."""

    @_SETTINGS
    @hypothesis.given(
        st.integers(0, 1 << 20),
        test_search_properties.any_network_faults,
        st.lists(
            st.tuples(
                st.integers(0, RUN_MS // 2),
                st.sampled_from(["cold", "pause", "store_down", "silence"]),
                st.integers(0, 99),
            ),
            max_size=8,
        ),
    )
    def test_cold_bound(
        self,
        seed: int,
        weather: test_search_properties.NetworkFaults,
        acts: list[tuple[int, str, int]],
    ) -> None:
        site = run(seed, weather, acts)
        self.assertEqual(_falls(site), 0)
        self.assertEqual(search_site.find_violations(site), [])


def run(
    seed: int,
    weather: test_search_properties.NetworkFaults,
    acts: list[tuple[int, str, int]],
) -> search_site.Site:
    """Run a site through restarts, pauses and store outages, under steady load."""
    site = _site(seed=seed)
    test_search_properties.inject_network_faults(site, weather)
    begun_ms = site.network.now_ms
    for at_ms, act, number in acts:
        site.network.at(begun_ms + at_ms, lambda a=act, n=number: _act(site, a, n))
    _load(site, RUN_MS, every_ms=12)
    return site


def _act(site: search_site.Site, act: str, number: int) -> None:
    network = site.network
    if act == "cold":
        mode = COLD._replace(slots=1 + number % 2, warm_after=5 + number % 20)
        site.leaf(number % len(site.targets)).restart(mode)
    elif act == "pause":
        network.pause(f"vm-{number % site.settings.daemons}", 100 + number * 60)
    elif act == "store_down":
        network.platform.faults = virtual_platform.StoreFaults(down=True)
        healthy = virtual_platform.StoreFaults()
        heal = lambda: setattr(network.platform, "faults", healthy)
        network.after(number * 40, heal)
    else:
        leaf = site.leaf(number % len(site.targets))
        leaf.faults = standin_leaf.LeafFaults(lost=True)
        network.after(500, lambda: setattr(leaf, "faults", standin_leaf.LeafFaults()))
