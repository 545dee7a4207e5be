"""Tests of the view of live daemons under virtual time."""

import unittest

from amaranthpulley.coordination.control import membership
from amaranthpulley.state.control import members
from amaranthpulley.transport.tests import control_site

DEATH_DETECTION_MS = 10_000


def _addresses(site: control_site.ControlSite, names: list[str]) -> list[str]:
    return [site.vm(name).address for name in names]


class MembershipTest(unittest.TestCase):
    """All daemons converge on the same view, which changes only with the members."""

    def test_views_converge_on_all_daemons(self) -> None:
        for size in (1, 2, 8, 40):
            with self.subTest(size=size):
                site = control_site.ControlSite(size)
                site.run(4_000)
                [view] = site.views()
                self.assertEqual(len(view), size)

    def test_new_daemon_not_listed_at_its_start_is_learnt_from_peers(self) -> None:
        site = control_site.ControlSite(8)
        site.run(4_000)
        site.network.lists_new_vms = False
        site.start("vm-008")
        started = site.state("vm-008")
        self.assertEqual(started.counters.total("vm_list_failures_total"), 0)
        site.network.vms += (
            members.Vm("vm-008", "10.0.0.8:1", "Biratnagar", "Biratnagar"),
        )
        site.run(3_000)
        [view] = site.views()
        self.assertIn("vm-008", view)

    def test_dead_daemon_is_removed_although_it_is_listed(self) -> None:
        site = control_site.ControlSite(8)
        site.run(4_000)
        site.network.crash("vm-003")
        site.run(DEATH_DETECTION_MS)
        [view] = site.views()
        self.assertEqual(len(view), 7)
        self.assertNotIn("vm-003", view)

    def test_leaving_daemon_is_removed_within_2000_ms(self) -> None:
        site = control_site.ControlSite(8)
        site.run(4_000)
        membership.leave(site.state("vm-002"), site.network.now_ms)
        site.run(2_000)
        for state in site.alive():
            if state.identity.name != "vm-002":
                self.assertNotIn("vm-002", [vm.name for vm in state.members.live])

    def test_broken_link_between_two_members_does_not_change_the_view(self) -> None:
        site = control_site.ControlSite(6)
        site.run(4_000)
        before = [state.members.version for state in site.alive()]
        site.partition(_addresses(site, ["vm-000"]), _addresses(site, ["vm-001"]))
        site.run(30_000)
        self.assertEqual([state.members.version for state in site.alive()], before)
        suspected = [
            state.counters.total("members_suspected_total") for state in site.alive()
        ]
        self.assertEqual(sum(suspected), 0)

    def test_slow_links_do_not_change_the_view(self) -> None:
        site = control_site.ControlSite(6)
        site.run(4_000)
        before = [state.members.version for state in site.alive()]
        site.network.delay = lambda sender, receiver: 250
        site.run(30_000)
        self.assertEqual([state.members.version for state in site.alive()], before)

    def test_partitions_merge_again(self) -> None:
        site = control_site.ControlSite(9)
        site.run(4_000)
        near = [f"vm-{number:03d}" for number in range(0, 9, 3)]
        far = [f"vm-{number:03d}" for number in range(9) if number % 3]
        site.partition(_addresses(site, near), _addresses(site, far))
        site.run(20_000)
        self.assertEqual(sorted(len(view) for view in site.views()), [3, 6])
        site.cut_links.clear()
        site.run(30_000)
        [view] = site.views()
        self.assertEqual(len(view), 9)

    def test_resumed_daemon_rejoins_and_declares_no_other_dead(self) -> None:
        site = control_site.ControlSite(6)
        site.run(4_000)
        site.network.pause("vm-001", 60_000)
        site.run(59_000)
        self.assertEqual({len(view) for view in site.views()}, {5})
        site.run(16_000)
        [view] = site.views()
        self.assertEqual(len(view), 6)

    def test_unknown_sender_is_refused_and_counted(self) -> None:
        site = control_site.ControlSite(3)
        site.run(4_000)
        site.network.lists_new_vms = False
        site.start("vm-003")
        site.run(3_000)
        refused = [
            state.counters.total("peer_messages_refused_total", reason="stranger")
            for state in site.alive()
        ]
        self.assertGreater(sum(refused), 0)
        for name in ("vm-000", "vm-001", "vm-002"):
            live = [vm.name for vm in site.state(name).members.live]
            self.assertNotIn("vm-003", live)

    def test_loss_of_a_whole_failure_domain(self) -> None:
        site = control_site.ControlSite(9)
        site.run(4_000)
        for number in range(0, 9, 3):
            site.network.crash(f"vm-{number:03d}")
        site.run(15_000)
        [view] = site.views()
        self.assertEqual(len(view), 6)

    def test_few_keys_move_when_a_member_leaves(self) -> None:
        table = members.MemberTable(members.Vm("vm-0", "10.0.0.0:1", "a", "a"))
        vms = [members.Vm(f"vm-{n}", f"10.0.0.{n}:1", "a", "a") for n in range(8)]
        table.replace(vms)
        keys = [f"key-{number}" for number in range(500)]
        before = {key: table.owner_of(key).name for key in keys}
        table.replace(vms[:-1])
        for key in keys:
            if before[key] != "vm-7":
                self.assertEqual(table.owner_of(key).name, before[key])
            else:
                self.assertNotEqual(table.owner_of(key).name, "vm-7")
