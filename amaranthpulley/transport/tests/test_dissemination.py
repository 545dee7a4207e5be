"""Tests of how tickets and facts reach all daemons, under virtual time."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.state.control import facts
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import control_site

DOMAINS = control_site.DOMAINS
BOUND_MS = 5_000
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
                "well",
            ]
        ),
        strategies.integers(0, 15),
        strategies.integers(50, 6_000),
    ),
    max_size=10,
)


def _warm(size: int, seed: int = 1) -> control_site.ControlSite:
    site = control_site.ControlSite(size, seed)
    site.apply(control_site.first_ticket())
    site.run(control_site.WARM_UP_MS)
    return site


class Interference:
    """Carries out the actions of a property on a site."""

    def __init__(self, site: control_site.ControlSite, size: int) -> None:
        self.site = site
        self.names = [f"vm-{number:03d}" for number in range(size)]
        self.number = 1

    def do(self, action: str, place: int, wait_ms: int) -> None:
        """Carry out one action and let time pass."""
        network = self.site.network
        name = self.names[place % len(self.names)]
        match action:
            case "ticket":
                self.ticket(place)
            case "crash":
                network.crash(name)
            case "start":
                if not network.daemons[name].alive:
                    self.site.start(name)
            case "pause":
                network.pause(name, wait_ms * 10)
            case "cut":
                self.cut(place)
            case "down":
                network.platform.faults = FAULTS(down=True)
            case "slow":
                network.platform.faults = FAULTS(delay_ms=wait_ms // 5)
            case "lossy":
                network.platform.faults = FAULTS(lost_replies=0.5)
            case "well":
                network.platform.faults = FAULTS()
        self.site.run(wait_ms)

    def ticket(self, place: int) -> None:
        """Take a failure domain out or back."""
        self.number += 1
        in_service = self.number % 2 == 0
        name = DOMAINS[place % len(DOMAINS)]
        self.site.apply(control_site.domain_ticket(self.number, name, in_service))

    def cut(self, place: int) -> None:
        """Cut one region off from the others and from the store."""
        inside = [vm.address for vm in self.site.network.vms if self._is_in(vm, place)]
        outside = [
            vm.address for vm in self.site.network.vms if not self._is_in(vm, place)
        ]
        self.site.separate(inside, [*outside, virtual_platform.STORE_ADDRESS])

    def heal(self) -> None:
        """End all faults and start what is dead."""
        self.site.network.platform.faults = FAULTS()
        self.site.cut.clear()
        for name in self.names:
            daemon = self.site.network.daemons[name]
            daemon.paused_until_ms = min(
                daemon.paused_until_ms, self.site.network.now_ms + 1
            )
            if not daemon.alive:
                self.site.start(name)

    def _is_in(self, vm: object, place: int) -> bool:
        return vm.failure_domain == DOMAINS[place % len(DOMAINS)]


class DisseminationTest(unittest.TestCase):
    """An accepted ticket is in force everywhere within the bound, for good."""

    def _assert_in_force(self, site: control_site.ControlSite, number: int) -> None:
        site.run(BOUND_MS)
        self.assertTrue(site.verdicts[number].status.is_accepted, site.verdicts[number])
        self.assertEqual(site.lacking(number), [])
        self.assertEqual(site.reverted, [])

    def test_accepted_ticket_is_in_force_everywhere(self) -> None:
        for size in (1, 3, 8, 40):
            with self.subTest(size=size):
                site = _warm(size)
                site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
                self._assert_in_force(site, 2)

    def test_store_calls_do_not_grow_with_the_fleet(self) -> None:
        calls = []
        for size in (8, 40):
            site = _warm(size)
            before = site.configuration_calls
            site.run(20_000)
            calls.append(site.configuration_calls - before)
        self.assertLessEqual(calls[1], calls[0] * 1.2)

    def test_store_down_right_after_the_acceptance(self) -> None:
        site = _warm(8)
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        while 2 not in site.verdicts:
            site.network.run_until(site.network.now_ms + 1)
        site.network.platform.faults = FAULTS(down=True)
        self._assert_in_force(site, 2)

    def test_accepted_while_no_daemon_reaches_the_store(self) -> None:
        site = _warm(8)
        addresses = [vm.address for vm in site.network.vms]
        site.separate(addresses, [virtual_platform.STORE_ADDRESS])
        site.run(6_000)
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        site.run(500)
        self._assert_in_force(site, 2)

    def test_watch_lost_in_silence(self) -> None:
        site = _warm(8)
        site.network.platform.forget_watches()
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        self._assert_in_force(site, 2)

    def test_fresh_daemon_while_the_store_is_down_learns_from_peers(self) -> None:
        site = _warm(8)
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        site.run(BOUND_MS)
        site.network.platform.faults = FAULTS(down=True)
        site.network.crash("vm-004")
        site.run(1_000)
        site.start("vm-004")
        site.run(3_000)
        state = site.state("vm-004")
        self.assertEqual(state.configuration.highest_number, 2)
        self.assertFalse(state.configuration.suspended)

    def test_all_replaced_one_after_another_with_the_store_down(self) -> None:
        site = _warm(6)
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        site.run(BOUND_MS)
        site.network.platform.faults = FAULTS(down=True)
        for number in range(6):
            site.network.crash(f"vm-{number:03d}")
            site.start(f"vm-{number + 6:03d}")
            site.run(4_000)
        self.assertEqual(site.lacking(2), [])
        self.assertEqual(len(site.alive()), 6)

    def test_all_start_at_once_and_few_read_the_store(self) -> None:
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

    def test_region_cut_off_learns_after_the_cut(self) -> None:
        site = _warm(9)
        interference = Interference(site, 9)
        interference.cut(0)
        site.run(20_000)
        site.apply(control_site.domain_ticket(2, DOMAINS[1], False))
        site.run(20_000)
        self.assertEqual(len(site.lacking(2)), 3)
        site.cut.clear()
        site.run(BOUND_MS)
        self.assertEqual(site.lacking(2), [])

    def test_paused_daemon_does_not_route_by_its_old_view(self) -> None:
        site = _warm(8)
        site.network.pause("vm-003", 60_000)
        others = [vm.address for vm in site.network.vms if vm.name != "vm-003"]
        site.separate(["10.0.0.3:1"], [*others, virtual_platform.STORE_ADDRESS])
        site.apply(control_site.domain_ticket(2, DOMAINS[0], False))
        site.run(59_990)
        site.cut.clear()
        state = site.state("vm-003")
        target = state.configuration.target("leaf-0-0")
        takes = []
        end_ms = site.network.now_ms + 2_000
        while site.network.now_ms < end_ms:
            site.network.run_until(site.network.now_ms + 1)
            if site.network.daemons["vm-003"].paused_until_ms < site.network.now_ms:
                takes.append(state.configuration.accepts_work(target))
        self.assertNotIn(True, takes)
        self.assertFalse(state.configuration.suspended)

    def test_facts_reach_all_in_about_a_second(self) -> None:
        site = _warm(40)
        first = site.alive()[0]
        fact = facts.Fact(facts.FactKind.TARGET_COLD, "leaf-0-0", 1, "boot-2")
        first.facts.publish(fact, site.network.now_ms + 60_000)
        site.run(2_500)
        known = [
            state.facts.get(fact.kind, fact.subject, site.network.now_ms)
            for state in site.alive()
        ]
        self.assertEqual(known, [fact] * 40)

    def test_facts_end(self) -> None:
        site = _warm(8)
        fact = facts.Fact(facts.FactKind.TARGET_COLD, "leaf-0-0", 1)
        site.alive()[0].facts.publish(fact, site.network.now_ms + 10_000)
        site.run(12_000)
        for state in site.alive():
            kinds = {
                known.kind for known, _ in state.facts.current(site.network.now_ms)
            }
            self.assertNotIn(fact.kind, kinds)

    @hypothesis.settings(max_examples=25, **control_site.SETTINGS)
    @hypothesis.given(ACTIONS, strategies.integers(3, 16), strategies.integers(0, 99))
    def test_in_force_within_the_bound_and_never_reverts(
        self, actions: list, size: int, seed: int
    ) -> None:
        site = _warm(size, seed)
        interference = Interference(site, size)
        for action in actions:
            interference.do(*action)
        interference.heal()
        site.run(BOUND_MS)
        accepted = [n for n, v in site.verdicts.items() if v.status.is_accepted]
        self.assertEqual(site.lacking(max(accepted)), [])
        interference.ticket(0)
        self._assert_in_force(site, interference.number)
        checksums = {state.configuration.checksum for state in site.alive()}
        self.assertEqual(len(checksums), 1)
