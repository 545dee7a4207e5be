"""Tests of drained daemons and of domains and targets taken out of service."""

import unittest

import hypothesis
from hypothesis import strategies

from amaranthpulley.coordination.control import named_leases
from amaranthpulley.state import requests
from amaranthpulley.state.control import topology
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import control_site

DOMAINS = control_site.DOMAINS
IN_FORCE_BOUND_MS = 5_000
GRACE_MS = 500
FAULTS = virtual_platform.StoreFaults


def _site(
    size: int, seed: int = 1
) -> tuple[control_site.ControlSite, control_site.LoadGenerator]:
    site = control_site.ControlSite(size, seed, GRACE_MS)
    site.apply(control_site.first_ticket())
    load = control_site.LoadGenerator(site)
    site.run(control_site.WARM_UP_MS)
    return site, load


class DrainingTest(unittest.TestCase):
    """A graceful shutdown loses no request and hands the duties over."""

    def _assert_all_answered(self, load: control_site.LoadGenerator) -> None:
        load.site.run(3_000)
        outcomes = load.outcomes()
        self.assertEqual(set(outcomes), set(load.sent))
        for request_id, outcome in outcomes.items():
            self.assertIsInstance(outcome, requests.SearchAnswer, load.sent[request_id])

    def test_rolling_replacement_loses_no_request(self) -> None:
        site, load = _site(6)
        for number in range(6):
            site.drain(f"vm-{number:03d}")
            load.run(1_500)
            site.start(f"vm-{number + 6:03d}")
            load.run(1_500)
        load.run(3_000)
        codes = [site.network.daemons[f"vm-{n:03d}"].exit_code for n in range(6)]
        self.assertEqual(codes, [0] * 6)
        self._assert_all_answered(load)
        self.assertGreater(len(load.sent), 400)

    def test_daemon_is_unready_before_it_refuses_requests(self) -> None:
        site, load = _site(2)
        site.drain("vm-000")
        self.assertFalse(site.state("vm-000").ready)
        load.search("vm-000")
        site.run(GRACE_MS - 3)
        load.search("vm-000")
        site.run(4)
        load.search("vm-000")
        site.run(1_000)
        load.search("vm-000")
        site.run(1_000)
        # The last search has no outcome, as the daemon no longer listens.
        first, refused, in_progress = load.outcomes().values()
        self.assertIsInstance(first, requests.SearchAnswer)
        self.assertIs(refused.code, requests.RefusalCode.SHUTTING_DOWN)
        self.assertTrue(refused.not_run)
        self.assertIsInstance(in_progress, requests.SearchAnswer)

    def test_duties_are_free_for_another_daemon_at_once(self) -> None:
        site, _ = _site(4)
        state = site.state("vm-001")
        for command in named_leases.acquire(state, "duty", site.network.now_ms):
            site.network.carry_out(site.network.daemons["vm-001"], command)
        site.run(1_000)
        self.assertTrue(state.leases.holds("duty", site.network.now_ms))
        site.drain("vm-001")
        site.run(GRACE_MS + 500)
        other = site.state("vm-002")
        for command in named_leases.acquire(other, "duty", site.network.now_ms):
            site.network.carry_out(site.network.daemons["vm-002"], command)
        site.run(500)
        self.assertTrue(other.leases.holds("duty", site.network.now_ms))
        self.assertNotIn("vm-001", {name for view in site.views() for name in view})

    def test_store_down_delays_the_exit_up_to_the_limit(self) -> None:
        site, load = _site(2)
        load.search("vm-000")
        site.run(1_000)
        site.network.platform.faults = FAULTS(down=True)
        site.drain("vm-000")
        site.run(site.limits.drain_limit_ms - 500, 1_000)
        self.assertIsNone(site.network.daemons["vm-000"].exit_code)
        site.run(1_000)
        self.assertEqual(site.network.daemons["vm-000"].exit_code, 1)


class NewWorkTest(unittest.TestCase):
    """Targets taken out of service get no new work after the bound, from any daemon."""

    def _assert_no_work(
        self,
        load: control_site.LoadGenerator,
        names: set[str],
        from_ms: int,
        to_ms: int,
    ) -> None:
        late = [
            (at_ms, daemon, target.name)
            for at_ms, daemon, target in load.attempts
            if target.name in names and from_ms + IN_FORCE_BOUND_MS <= at_ms < to_ms
        ]
        self.assertEqual(late, [])

    def test_domain_taken_out_of_service_and_back(self) -> None:
        site, load = _site(6)
        load.run(1_000)
        site.apply(control_site.domain_ticket(2, DOMAINS[1], False))
        load.run(10_000)
        out_ms, back_ms = site.accepted_ms[2], site.network.now_ms
        self._assert_no_work(load, {"leaf-1-0", "leaf-1-1"}, out_ms, back_ms)
        site.apply(control_site.domain_ticket(3, DOMAINS[1], True))
        load.run(6_000)
        names = {target.name for at_ms, _, target in load.attempts if at_ms > back_ms}
        self.assertIn("leaf-1-0", names)

    def test_target_marked_as_leaving(self) -> None:
        site, load = _site(4)
        leaf = next(t for t in control_site.first_ticket().targets)
        leaving = leaf._replace(status=topology.TargetStatus.LEAVING)
        site.apply(topology.ChangeTicket(2, targets=(leaving,)))
        load.run(10_000)
        self._assert_no_work(load, {leaf.name}, site.accepted_ms[2], 10**9)

    @hypothesis.settings(max_examples=15, **control_site.HYPOTHESIS_SETTINGS)
    @hypothesis.given(
        strategies.integers(3, 10),
        strategies.integers(0, 99),
        strategies.lists(
            strategies.tuples(
                strategies.sampled_from(["pause", "crash", "start", "drain", "down"]),
                strategies.integers(0, 9),
                strategies.integers(100, 4_000),
            ),
            max_size=6,
        ),
    )
    def test_no_new_work_after_the_bound(
        self, size: int, seed: int, actions: list
    ) -> None:
        site, load = _site(size, seed)
        load.run(500)
        site.apply(control_site.domain_ticket(2, DOMAINS[1], False))
        site.run(1_000)
        self.assertTrue(site.verdicts[2].status.is_accepted)
        for action, index, wait_ms in actions:
            self._perform(site, action, f"vm-{index % size:03d}", wait_ms)
            load.run(wait_ms, interval_ms=100)
            for name, daemon in site.network.daemons.items():
                if daemon.alive:
                    load.search(name)
        load.run(6_000, interval_ms=200)
        names = {"leaf-1-0", "leaf-1-1"}
        self._assert_no_work(load, names, site.accepted_ms[2], 10**9)

    def _perform(
        self, site: control_site.ControlSite, action: str, name: str, wait_ms: int
    ) -> None:
        daemon = site.network.daemons[name]
        match action:
            case "pause":
                site.network.pause(name, wait_ms * 4)
            case "crash":
                site.network.crash(name)
            case "start":
                if not daemon.alive:
                    site.start(name)
            case "drain":
                site.drain(name)
            case "down":
                site.network.platform.faults = FAULTS(down=True)
