"""Tests of the dissemination of tickets and facts, under virtual time."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.state.control import facts
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import control_site

DOMAINS = control_site.DOMAINS
IN_FORCE_BOUND_MS = 5_000
FAULTS = virtual_platform.StoreFaults

ACTIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "ticket",
                "crash",
                "start",
                "pause",
                "cut",
                "down",
                "slow",
                "lossy",
                "store_up",
            ]
        ),
        strategies.integers(0, 15),
        strategies.integers(50, 6_000),
    ),
    max_size=10,
)


def _configured_site(size: int, seed: int = 1) -> control_site.ControlSite:
    site = control_site.ControlSite(size, seed)
    site.apply(control_site.first_ticket())
    site.run(control_site.WARM_UP_MS)
    return site


class ActionRunner:
    """Performs the random actions of a property test on a site."""

    def __init__(self, site: control_site.ControlSite, size: int) -> None:
        self.site = site
        self.names = [f"vm-{number:03d}" for number in range(size)]
        self.number = 1

    def perform(self, action: str, index: int, wait_ms: int) -> None:
        """Perform one action, then advance the virtual time."""
        network = self.site.network
        name = self.names[index % len(self.names)]
        match action:
            case "ticket":
                self.ticket(index)
            case "crash":
                network.crash(name)
            case "start":
                if not network.daemons[name].alive:
                    self.site.start(name)
            case "pause":
                network.pause(name, wait_ms * 10)
            case "cut":
                self.cut_links(index)
            case "down":
                network.platform.faults = FAULTS(down=True)
            case "slow":
                network.platform.faults = FAULTS(delay_ms=wait_ms // 5)
            case "lossy":
                network.platform.faults = FAULTS(lost_reply_share=0.5)
            case "store_up":
                network.platform.faults = FAULTS()
        self.site.run(wait_ms)

    def ticket(self, index: int) -> None:
        """Apply a ticket that takes a failure domain out of service, or back."""
        self.number += 1
        in_service = self.number % 2 == 0
        name = DOMAINS[index % len(DOMAINS)]
        self.site.apply(control_site.domain_ticket(self.number, name, in_service))

    def cut_links(self, index: int) -> None:
        """Partition one region from the others and from the store."""
        inside = [
            vm.address for vm in self.site.network.vms if self._is_in_domain(vm, index)
        ]
        outside = [
            vm.address
            for vm in self.site.network.vms
            if not self._is_in_domain(vm, index)
        ]
        self.site.partition(inside, [*outside, virtual_platform.STORE_ADDRESS])

    def heal(self) -> None:
        """End all faults and start the daemons that are down."""
        self.site.network.platform.faults = FAULTS()
        self.site.cut_links.clear()
        for name in self.names:
            daemon = self.site.network.daemons[name]
            daemon.paused_until_ms = min(
                daemon.paused_until_ms, self.site.network.now_ms + 1
            )
            if not daemon.alive:
                self.site.start(name)

    def _is_in_domain(self, vm: object, index: int) -> bool:
        return vm.failure_domain == DOMAINS[index % len(DOMAINS)]


class DisseminationTest(unittest.TestCase):
    """An accepted ticket comes into force everywhere in time and never reverts."""

    def _assert_in_force(self, site: control_site.ControlSite, number: int) -> None:
        site.run(IN_FORCE_BOUND_MS)
        self.assertTrue(site.verdicts[number].status.is_accepted, site.verdicts[number])
        self.assertEqual(site.daemons_without(number), [])
        self.assertEqual(site.reverted, [])

    def test_accepted_ticket_is_in_force_everywhere(self) -> None:
        for size in (1, 3, 8, 40):
            with self.subTest(size=size):
                site = _configured_site(size)
                site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
                self._assert_in_force(site, 2)

    def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        calls = []
        for size in (8, 40):
            site = _configured_site(size)
            before = site.configuration_calls
            site.run(20_000)
            calls.append(site.configuration_calls - before)
        self.assertLessEqual(calls[1], calls[0] * 1.2)

    def test_store_down_right_after_the_acceptance(self) -> None:
        site = _configured_site(8)
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        while 2 not in site.verdicts:
            site.network.run_until(site.network.now_ms + 1)
        site.network.platform.faults = FAULTS(down=True)
        self._assert_in_force(site, 2)

    def test_accepted_while_no_daemon_reaches_the_store(self) -> None:
        site = _configured_site(8)
        addresses = [vm.address for vm in site.network.vms]
        site.partition(addresses, [virtual_platform.STORE_ADDRESS])
        site.run(6_000)
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        site.run(500)
        self._assert_in_force(site, 2)

    def test_watches_lost_without_notice(self) -> None:
        site = _configured_site(8)
        site.network.platform.drop_watches()
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        self._assert_in_force(site, 2)

    def test_new_daemon_is_configured_by_peers_while_the_store_is_down(self) -> None:
        site = _configured_site(8)
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        site.run(IN_FORCE_BOUND_MS)
        site.network.platform.faults = FAULTS(down=True)
        site.network.crash("vm-004")
        site.run(1_000)
        site.start("vm-004")
        site.run(3_000)
        state = site.state("vm-004")
        self.assertEqual(state.configuration.highest_number, 2)
        self.assertFalse(state.configuration.suspended)

    def test_rolling_replacement_while_the_store_is_down(self) -> None:
        site = _configured_site(6)
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        site.run(IN_FORCE_BOUND_MS)
        site.network.platform.faults = FAULTS(down=True)
        for number in range(6):
            site.network.crash(f"vm-{number:03d}")
            site.start(f"vm-{number + 6:03d}")
            site.run(4_000)
        self.assertEqual(site.daemons_without(2), [])
        self.assertEqual(len(site.alive()), 6)

    def test_simultaneous_start_makes_few_store_calls(self) -> None:
        site = control_site.ControlSite(40)
        site.apply(control_site.first_ticket())
        site.run(300)
        for number in range(40):
            site.network.crash(f"vm-{number:03d}")
            site.start(f"vm-{number:03d}")
        before = site.configuration_calls
        site.run(3_000)
        self.assertTrue(all(state.ready for state in site.alive()))
        self.assertLess(site.configuration_calls - before, 60)

    def test_partitioned_region_catches_up_after_the_partition(self) -> None:
        site = _configured_site(9)
        runner = ActionRunner(site, 9)
        runner.cut_links(0)
        site.run(20_000)
        site.apply(control_site.domain_ticket(2, DOMAINS[1], False))
        site.run(20_000)
        self.assertEqual(len(site.daemons_without(2)), 3)
        site.cut_links.clear()
        site.run(IN_FORCE_BOUND_MS)
        self.assertEqual(site.daemons_without(2), [])

    def test_resumed_daemon_does_not_route_by_its_old_configuration(self) -> None:
        site = _configured_site(8)
        site.network.pause("vm-003", 60_000)
        others = [vm.address for vm in site.network.vms if vm.name != "vm-003"]
        site.partition(["10.0.0.3:1"], [*others, virtual_platform.STORE_ADDRESS])
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        site.run(59_990)
        site.cut_links.clear()
        state = site.state("vm-003")
        target = state.configuration.target("leaf-0-0")
        accepts = []
        end_ms = site.network.now_ms + 2_000
        while site.network.now_ms < end_ms:
            site.network.run_until(site.network.now_ms + 1)
            if site.network.daemons["vm-003"].paused_until_ms < site.network.now_ms:
                accepts.append(state.configuration.accepts_work(target))
        self.assertNotIn(True, accepts)
        self.assertFalse(state.configuration.suspended)

    def test_facts_reach_all_daemons_within_2500_ms(self) -> None:
        site = _configured_site(40)
        first = site.alive()[0]
        fact = facts.Fact(facts.FactKind.TARGET_COLD, "leaf-0-0", 1, "boot-2")
        first.facts.publish(fact, site.network.now_ms + 60_000)
        site.run(2_500)
        known = [
            state.facts.get(fact.kind, fact.subject, site.network.now_ms)
            for state in site.alive()
        ]
        self.assertEqual(known, [fact] * 40)

    def test_facts_expire(self) -> None:
        site = _configured_site(8)
        fact = facts.Fact(facts.FactKind.TARGET_COLD, "leaf-0-0", 1)
        site.alive()[0].facts.publish(fact, site.network.now_ms + 10_000)
        site.run(12_000)
        for state in site.alive():
            kinds = {
                known.kind for known, _ in state.facts.current(site.network.now_ms)
            }
            self.assertNotIn(fact.kind, kinds)

    @hypothesis.settings(max_examples=25, **control_site.HYPOTHESIS_SETTINGS)
    @hypothesis.given(ACTIONS, strategies.integers(3, 16), strategies.integers(0, 99))
    def test_in_force_within_the_bound_and_never_reverts(
        self, actions: list, size: int, seed: int
    ) -> None:
        site = _configured_site(size, seed)
        runner = ActionRunner(site, size)
        for action in actions:
            runner.perform(*action)
        runner.heal()
        site.run(IN_FORCE_BOUND_MS)
        accepted = [n for n, v in site.verdicts.items() if v.status.is_accepted]
        self.assertEqual(site.daemons_without(max(accepted)), [])
        runner.ticket(0)
        self._assert_in_force(site, runner.number)
        checksums = {state.configuration.checksum for state in site.alive()}
        self.assertEqual(len(checksums), 1)
