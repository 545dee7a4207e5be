"""Tests of the detection and ramp-up of targets in a cold start."""

import unittest
from typing import Final

import hypothesis
import hypothesis.strategies as st

from amaranthpulley.coordination.searches import cold_starts, leaseless_probes
from amaranthpulley.state import daemon, requests, standin_leaf
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
    _connect_daemons(site)
    _spread_facts(site)
    return site


def _connect_daemons(site: search_site.Site) -> None:
    """Give each daemon a load report of each leaf and an open connection to it."""
    for vm in site.network.daemons.values():
        for number, target in enumerate(site.targets):
            vm.state.targets.report(target.name, site.leaf(number).load)
            site.network.targets.connect(vm, target.address)


def _spread_facts(site: search_site.Site, every_ms: int = 500) -> None:
    """Copy the running daemons' facts to each other at an interval, as gossip does."""
    network = site.network
    live = [
        vm
        for vm in network.daemons.values()
        if vm.alive and vm.paused_until_ms <= network.now_ms
    ]
    for sender in live:
        for fact, left_ms in sender.state.facts.current(network.now_ms):
            for receiver in live:
                receiver.state.facts.publish(fact, network.now_ms + left_ms)
    network.after(every_ms, lambda: _spread_facts(site, every_ms))


def _send_searches(site: search_site.Site, time_ms: int, every_ms: int = 6) -> None:
    for number in range(time_ms // every_ms):
        site.search(vm=number % site.settings.daemons)
        site.run_for(every_ms)


def _crash_count(site: search_site.Site) -> int:
    return sum(site.leaf(number).falls for number in range(len(site.targets)))


class ColdStartTest(unittest.TestCase):
    """One daemon at a time sends to a cold target, within its capacity."""

    def test_restarted_target_warms_up_and_serves_all_daemons(self) -> None:
        site = _site()
        _send_searches(site, 500)
        site.leaf(0).restart(COLD)
        _send_searches(site, 5_000)
        self.assertEqual(_crash_count(site), 0)
        self.assertIsNone(site.leaf(0).cold)
        for vm in site.network.daemons.values():
            self.assertIsNone(vm.state.targets.of(site.targets[0].name).cold)
        self.assertEqual(search_site.find_violations(site), [])

    def test_restarted_target_crashes_without_the_lease(self) -> None:
        # Checks the stand-in: without the lease and the ramp-up, the load crashes it.
        site = _site()
        may_send = cold_starts._may_send
        cold_starts._may_send = lambda *rest: True
        self.addCleanup(setattr, cold_starts, "_may_send", may_send)
        ramp = cold_starts.RAMP_FAST_ANSWERS
        cold_starts.RAMP_FAST_ANSWERS = 1
        self.addCleanup(setattr, cold_starts, "RAMP_FAST_ANSWERS", ramp)
        _send_searches(site, 500)
        for number in range(9):
            site.leaf(number).restart(COLD._replace(warm_after=60))
        _send_searches(site, 3_000)
        self.assertGreater(_crash_count(site), 0)

    def test_whole_failure_domain_returns_cold(self) -> None:
        site = _site()
        _send_searches(site, 500)
        domain = topology.FailureDomain("Pokhara", "Pokhara", in_service=False)
        site.apply(failure_domains=(domain,))
        _send_searches(site, 1_000)
        returned = [t for t in site.targets if t.failure_domain == "Pokhara"]
        for target in returned:
            leaf = site.network.targets.leaves[target.address]
            # The boot id stays the same: the targets have lost only their caches.
            leaf.cold = COLD
        site.apply(failure_domains=(domain._replace(in_service=True),))
        _send_searches(site, 6_000)
        self.assertEqual(_crash_count(site), 0)
        for target in returned:
            self.assertIsNone(site.network.targets.leaves[target.address].cold)

    def test_cold_target_survives_a_store_outage(self) -> None:
        site = _site()
        _send_searches(site, 500)
        site.network.platform.faults = virtual_platform.StoreFaults(down=True)
        site.leaf(0).restart(COLD)
        _send_searches(site, 8_000, every_ms=10)
        self.assertEqual(_crash_count(site), 0)
        site.network.platform.faults = virtual_platform.StoreFaults()
        _send_searches(site, 6_000, every_ms=10)
        self.assertIsNone(site.leaf(0).cold)
        self.assertEqual(_crash_count(site), 0)

    def test_paused_lease_holder_is_replaced(self) -> None:
        site = _site()
        _send_searches(site, 500)
        site.leaf(0).restart(COLD._replace(warm_after=60))
        _send_searches(site, 1_000)
        name = leaseless_probes.lease_name(site.targets[0].name)
        now_ms = site.network.now_ms
        holders = [
            vm_name
            for vm_name, vm in site.network.daemons.items()
            if vm.state.leases.holds(name, now_ms)
        ]
        self.assertEqual(len(holders), 1)
        site.network.pause(holders[0], 8_000)
        _send_searches(site, 12_000, every_ms=10)
        self.assertEqual(_crash_count(site), 0)
        self.assertIsNone(site.leaf(0).cold)

    def test_lost_connection_is_suspected_and_cleared(self) -> None:
        site = _site(daemons=1)
        _send_searches(site, 500)
        vm = site.network.daemons["vm-0"]
        site.network.targets.break_connections(site.targets[0].address)
        _send_searches(site, 2_000)
        suspected = vm.state.counters.total("targets_cold_total", suspected="true")
        self.assertEqual(suspected, 1)
        self.assertIsNone(vm.state.targets.of(site.targets[0].name).cold)


class LastReplicaTest(unittest.TestCase):
    """Searches of a shard whose only replica is suspected of a restart."""

    def _suspect_all(self, store_down: bool) -> search_site.Site:
        settings = search_site.SiteSettings(instances=1, daemons=3)
        site = search_site.Site(1, settings)
        _connect_daemons(site)
        if store_down:
            site.network.platform.faults = virtual_platform.StoreFaults(down=True)
        vm = site.network.daemons["vm-2"].state
        for target in site.targets:
            cold_starts.mark_cold(vm, target.name, True, site.network.now_ms)
        return site

    def test_search_is_served_whole_with_and_without_the_store(self) -> None:
        for store_down in (False, True):
            with self.subTest(store_down=store_down):
                site = self._suspect_all(store_down)
                request_id = site.search(vm=2, deadline_ms=1_000)
                site.run_for(1_500)
                outcome = site.outcome(request_id)
                self.assertIsInstance(outcome, requests.SearchAnswer, outcome)
                self.assertEqual(outcome.coverage, 1.0)

    def test_lost_replica_gets_one_attempt_without_a_lease(self) -> None:
        site = self._suspect_all(store_down=True)
        leaf = site.leaf(0)
        leaf.faults = standin_leaf.LeafFaults(lost=True)
        for _ in range(5):
            site.search(vm=2, deadline_ms=900)
            site.run_for(1_000)
        state = site.network.daemons["vm-2"].state.targets.of(site.targets[0].name)
        self.assertEqual(state.cold.failures, 1)


class IdleHolderTest(unittest.TestCase):
    """A daemon without searches that holds the leases of suspected targets."""

    def test_a_daemon_that_has_just_started_serves_nevertheless(self) -> None:
        for holder in range(3):
            with self.subTest(holder=holder):
                settings = search_site.SiteSettings(instances=1, daemons=4)
                site = search_site.Site(1, settings)
                _connect_daemons(site)
                _spread_facts(site)
                for number in range(len(site.targets)):
                    site.leaf(number).faults = standin_leaf.LeafFaults(lost=True)
                site.search(vm=holder, deadline_ms=1_000)
                site.run_for(2_000)
                for number in range(len(site.targets)):
                    site.leaf(number).faults = standin_leaf.LeafFaults()
                site.start_daemon("vm-3", "b")
                site.run_for(1_000)
                for _ in range(10):
                    request_id = site.search(vm=3, deadline_ms=1_000)
                    site.run_for(1_050)
                outcome = site.outcome(request_id)
                self.assertIsInstance(outcome, requests.SearchAnswer, outcome)
                self.assertEqual(outcome.coverage, 1.0)


class ColdDetectionTest(unittest.TestCase):
    """The signs by which a daemon detects a cold start."""

    def setUp(self) -> None:
        self.site = _site(daemons=1)
        _send_searches(self.site, 500)
        self.vm = self.site.network.daemons["vm-0"].state
        self.target = self.site.targets[0]

    def _state(self) -> object:
        return self.vm.targets.of(self.target.name)

    def test_each_sign_marks_the_target_cold(self) -> None:
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
            "fact": lambda vm: self._publish_cold_fact(vm, now_ms),
        }
        for name, sign in signs.items():
            with self.subTest(name):
                self._state().cold = None
                sign(self.vm)
                self.assertIsNotNone(self._state().cold)

    def _publish_cold_fact(self, vm: daemon.Daemon, now_ms: int) -> None:
        value = self._state().cold_fact_value + 1_000_000
        kind = facts.FactKind.TARGET_COLD
        fact = facts.Fact(kind, self.target.name, value, cold_starts.COLD)
        vm.facts.publish(fact, now_ms + 60_000)
        cold_starts.apply_facts(vm, now_ms + cold_starts.FACTS_READ_INTERVAL_MS)

    def test_a_pause_of_the_daemon_itself_is_no_sign(self) -> None:
        now_ms = self.site.network.now_ms
        self.vm.configuration.suspended = True
        cold_starts.mark_returned(self.vm, self.site.targets, now_ms)
        self.vm.configuration.suspended = False
        cold_starts.mark_returned(self.vm, self.site.targets, now_ms + 1_000)
        for target in self.site.targets:
            self.assertIsNone(self.vm.targets.of(target.name).cold)

    def test_a_return_to_service_during_a_pause_is_a_sign(self) -> None:
        now_ms = self.site.network.now_ms
        leaving = topology.TargetStatus.LEAVING
        out = [target._replace(status=leaving) for target in self.site.targets]
        cold_starts.mark_returned(self.vm, out, now_ms)
        self.vm.configuration.suspended = True
        cold_starts.mark_returned(self.vm, self.site.targets, now_ms + 1_000)
        self.vm.configuration.suspended = False
        cold_starts.mark_returned(self.vm, self.site.targets, now_ms + 2_000)
        self.assertIsNotNone(self._state().cold)

    def test_ordinary_refusals_and_stragglers_are_no_signs(self) -> None:
        load = self._state().load._replace(busy_slots=4)
        cold_starts.observe_load(self.vm, self.target, load, True, 1, 1)
        for elapsed_ms in (500, 5, 500, 5, 500, 5):
            cold_starts.observe_answer(self.vm, self.target, elapsed_ms, 5, 1)
        self.assertIsNone(self._state().cold)


class ColdPropertyTest(unittest.TestCase):
    """No cold target gets more load than its capacity, under any faults."""

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
    def test_no_cold_target_is_overloaded(
        self,
        seed: int,
        network_faults: test_search_properties.NetworkFaults,
        actions: list[tuple[int, str, int]],
    ) -> None:
        site = run(seed, network_faults, actions)
        self.assertEqual(_crash_count(site), 0)
        self.assertEqual(search_site.find_violations(site), [])


def run(
    seed: int,
    network_faults: test_search_properties.NetworkFaults,
    actions: list[tuple[int, str, int]],
) -> search_site.Site:
    """Run a site through cold starts, pauses and outages, under steady load."""
    site = _site(seed=seed)
    test_search_properties.inject_network_faults(site, network_faults)
    start_ms = site.network.now_ms
    for at_ms, action, number in actions:
        site.network.at(
            start_ms + at_ms, lambda a=action, n=number: _perform(site, a, n)
        )
    _send_searches(site, RUN_MS, every_ms=12)
    return site


def _perform(site: search_site.Site, action: str, number: int) -> None:
    network = site.network
    if action == "cold":
        mode = COLD._replace(slots=1 + number % 2, warm_after=5 + number % 20)
        site.leaf(number % len(site.targets)).restart(mode)
    elif action == "pause":
        network.pause(f"vm-{number % site.settings.daemons}", 100 + number * 60)
    elif action == "store_down":
        network.platform.faults = virtual_platform.StoreFaults(down=True)
        healthy = virtual_platform.StoreFaults()
        heal = lambda: setattr(network.platform, "faults", healthy)
        network.after(number * 40, heal)
    else:
        leaf = site.leaf(number % len(site.targets))
        leaf.faults = standin_leaf.LeafFaults(lost=True)
        network.after(500, lambda: setattr(leaf, "faults", standin_leaf.LeafFaults()))
