"""Tests of the limits on connections, slots and queued searches."""

import collections
import unittest

import hypothesis
import hypothesis.strategies as st

from amaranthpulley.coordination.searches import concurrency_limits
from amaranthpulley.state import daemon, requests, standin_leaf
from amaranthpulley.state.control import members, topology
from amaranthpulley.transport.tests import search_site

_SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, database=None, max_examples=15
)


def _vms(count: int) -> list[members.Vm]:
    return [members.Vm(f"vm-{n}", f"10.0.0.1:{n}", "a", "a") for n in range(count)]


def _daemon(
    vm: members.Vm, vms: list[members.Vm], instances: int, connections: int
) -> daemon.Daemon:
    identity = daemon.Identity(vm.name, vm.address, "a", "a", "1")
    built = daemon.Daemon(identity, daemon.Limits())
    built.members.replace(vms)
    built.configuration.apply(
        topology.ChangeTicket(
            1,
            (topology.Service("stock", topology.ServiceKind.SEARCH),),
            targets=tuple(
                topology.Target(
                    f"t-{instance}-{shard}",
                    "stock",
                    instance,
                    f"s{shard}",
                    "a",
                    "a:1",
                    connections=connections,
                )
                for instance in range(instances)
                for shard in range(2)
            ),
        )
    )
    concurrency_limits.refresh_view(built, "stock", 0)
    return built


class ConnectionTest(unittest.TestCase):
    """The daemons share the connections to each target."""

    @_SETTINGS
    @hypothesis.given(st.integers(1, 40), st.integers(1, 20), st.integers(10, 40))
    def test_every_daemon_reaches_every_shard(
        self, daemons: int, instances: int, connections: int
    ) -> None:
        vms = _vms(daemons)
        for vm in vms:
            built = _daemon(vm, vms, instances, connections)
            view = built.services.of("stock").view
            self.assertEqual(set(view.names), {"s0", "s1"})
            self.assertTrue(all(view.names.values()))

    def test_daemons_of_a_small_fleet_use_every_target(self) -> None:
        cases = {(8, 10, 25): 3, (6, 15, 25): 4, (8, 10, 35): 4}
        for (daemons, instances, connections), share in cases.items():
            with self.subTest(daemons=daemons, connections=connections):
                vms = _vms(daemons)
                built = _daemon(vms[0], vms, instances, connections)
                view = built.services.of("stock").view
                self.assertEqual(len(view.names["s0"]), instances)
                target = built.configuration.target("t-0-0")
                self.assertEqual(
                    concurrency_limits.connection_share(target, view.users), share
                )

    def test_many_daemons_share_the_connections(self) -> None:
        connections = 35
        vms = _vms(300)
        users: collections.Counter[str] = collections.Counter()
        for vm in vms:
            built = _daemon(vm, vms, 40, connections)
            view = built.services.of("stock").view
            target = built.configuration.target("t-0-0")
            share = concurrency_limits.connection_share(target, view.users)
            users.update(dict.fromkeys(view.names["s0"], share))
        self.assertLessEqual(max(users.values()), connections)

    def test_added_daemon_does_not_move_the_others(self) -> None:
        before, after = _vms(300), _vms(301)
        moved = 0
        for vm in before[:30]:
            names = [
                _daemon(vm, vms, 40, 35).services.of("stock").view.names["s0"]
                for vms in (before, after)
            ]
            moved += names[0] != names[1]
        self.assertEqual(moved, 0)

    def test_concurrent_attempts_stay_within_the_connections(self) -> None:
        settings = search_site.SiteSettings(daemons=4, slots=50, connections=8)
        site = search_site.Site(1, settings)
        peaks: collections.Counter[str] = collections.Counter()
        send = site.network.targets.send

        def send_and_count(vm: object, command: object) -> None:
            send(vm, command)
            name = command.target.name
            in_flight = sum(
                vm.state.targets.of(name).in_flight
                for vm in site.network.daemons.values()
            )
            peaks[name] = max(peaks[name], in_flight)

        site.network.targets.send = send_and_count
        for number in range(400):
            site.search(vm=number % 4)
            site.run_for(1)
        site.run_for(2_000)
        self.assertLessEqual(max(peaks.values()), 8)


class SlotTest(unittest.TestCase):
    """A daemon estimates the free slots of a target from refusals and answers."""

    def test_refusals_become_rare_at_a_target_with_fewer_slots(self) -> None:
        site = search_site.Site(1, search_site.SiteSettings(instances=1, slots=8))
        for number in range(3):
            site.leaf(number).slots = 2
        for _ in range(500):
            site.search()
            site.search()
            site.run_for(12)
        site.run_for(1_000)
        [vm] = site.network.daemons.values()
        refused = vm.state.counters.total(
            "attempts_refused_total", service=search_site.SERVICE
        )
        sent = vm.state.counters.total(
            "attempts_total", service=search_site.SERVICE, kind="first"
        )
        self.assertLess(refused, 0.25 * sent)
        self.assertEqual(search_site.find_violations(site), [])

    def test_limit_grows_when_slots_become_free(self) -> None:
        site = search_site.Site(1, search_site.SiteSettings(instances=1, slots=4))
        leaf = site.leaf(0)
        leaf.slots = 1
        for _ in range(100):
            site.search()
            site.run_for(3)
        leaf.slots = 4
        for _ in range(300):
            site.search()
            site.run_for(3)
        site.run_for(500)
        [vm] = site.network.daemons.values()
        state = vm.state.targets.of(site.targets[0].name)
        self.assertIsNone(state.cold)
        self.assertGreaterEqual(state.slots, 2)


class QueueTest(unittest.TestCase):
    """The queue of searches that have not started, under overload."""

    def _overload(self, searches: int, every_ms: int) -> search_site.Site:
        settings = search_site.SiteSettings(daemons=2, slots=2)
        site = search_site.Site(1, settings)
        for number in range(searches):
            site.search(vm=number % 2)
            if number % 4 == 0:
                site.run_for(every_ms)
        site.run_for(3_000)
        return site

    def test_shed_searches_have_not_run(self) -> None:
        site = self._overload(2_000, every_ms=2)
        refused = [
            entry.command
            for entry in site.network.answers
            if isinstance(entry.command.outcome, requests.Refusal)
        ]
        self.assertGreater(len(refused), 200)
        for command in refused:
            self.assertIs(command.outcome.code, requests.RefusalCode.OVERLOADED)
            self.assertTrue(command.outcome.not_run)
            started_requests = site.network.targets.started_requests
            self.assertNotIn(command.request.request_id, started_requests)

    def test_slots_stay_in_use_under_overload(self) -> None:
        site = self._overload(2_000, every_ms=2)
        answered = [
            entry.command.elapsed_ms
            for entry in site.network.answers
            if isinstance(entry.command.outcome, requests.SearchAnswer)
            and entry.command.outcome.coverage == 1.0
        ]
        # In the second of the overload, two instances with two slots each can answer
        # 800 searches of 5 ms.
        self.assertGreater(len(answered), 400)
        self.assertLessEqual(max(answered), 200)

    def test_latency_recovers_after_the_overload(self) -> None:
        site = self._overload(2_000, every_ms=2)
        first = len(site.network.answers)
        for number in range(50):
            site.search(vm=number % 2)
            site.run_for(20)
        elapsed_ms = [a.command.elapsed_ms for a in site.network.answers[first:]]
        self.assertEqual(len(elapsed_ms), 50)
        self.assertLess(max(elapsed_ms), 30)

    def test_queue_is_bounded(self) -> None:
        site = search_site.Site(1, search_site.SiteSettings(slots=1))
        for _ in range(900):
            site.search()
        [vm] = site.network.daemons.values()
        queue = vm.state.services.of(search_site.SERVICE).queue
        self.assertLessEqual(len(queue), vm.state.limits.maximum_queued_searches)
        site.run_for(2_000)
        self.assertEqual(len(site.network.answers), 900)
        self.assertEqual(len(queue), 0)

    def test_silent_shard_does_not_make_the_others_queue(self) -> None:
        site = search_site.Site(1, search_site.SiteSettings(slots=2))
        for _ in range(20):
            site.search()
            site.run_for(20)
        for number in (0, 3):
            site.leaf(number).faults = standin_leaf.LeafFaults(lost=True)
        first = len(site.network.answers)
        for _ in range(50):
            site.search()
            site.run_for(20)
        site.run_for(1_000)
        outcomes = [a.command.outcome for a in site.network.answers[first:]]
        self.assertEqual(len(outcomes), 50)
        self.assertTrue(all(outcome.coverage > 0.6 for outcome in outcomes))
