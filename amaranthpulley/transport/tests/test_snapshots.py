"""Tests of index versions, coverage and the deadline policy of searches."""

import unittest

from amaranthpulley.coordination.searches import snapshots
from amaranthpulley.state import requests, standin_leaf
from amaranthpulley.state.control import topology
from amaranthpulley.transport.tests import search_site

_COVERAGE_GIVES_WAY = topology.Service(
    search_site.SERVICE,
    topology.ServiceKind.SEARCH,
    deadline_ms=200,
    hard_deadline_ms=1_000,
    minimum_coverage=0.9,
)
_TIME_GIVES_WAY = _COVERAGE_GIVES_WAY._replace(give_way=topology.GiveWay.TIME)


def _load_version(
    site: search_site.Site, number: int, version: int, shift: int
) -> None:
    shards = site.settings.shards
    ranges = search_site.cells_of_shard(number % shards, shards, shift)
    site.leaf(number).hold(version, ranges, search_site.KEYS)


class SnapshotTest(unittest.TestCase):
    """Each answer is of one index version, read with its partition map."""

    def setUp(self) -> None:
        self.site = search_site.Site(1, search_site.SiteSettings())
        self.site.search()
        self.site.run_for(100)

    def test_rows_of_an_answer_are_of_one_version(self) -> None:
        for number in range(6):
            _load_version(self.site, number, version=2, shift=3)
        first = self.site.search()
        self.site.run_for(1_000)
        second = self.site.search()
        self.site.run_for(1_000)
        self.assertEqual(search_site.find_violations(self.site), [])
        self.assertEqual(self.site.outcome(first).version, 1)
        self.assertEqual(self.site.outcome(second).version, 2)

    def test_dropped_version_restarts_the_whole_search(self) -> None:
        request_id = self.site.search()
        for number in range(6):
            _load_version(self.site, number, version=2, shift=3)
            self.site.leaf(number).drop(1)
        self.site.run_for(1_000)
        outcome = self.site.outcome(request_id)
        self.assertEqual((outcome.version, outcome.coverage), (2, 1.0))
        self.assertEqual(search_site.find_violations(self.site), [])

    def test_version_gone_at_one_replica_is_found_at_another(self) -> None:
        for number in range(3):
            _load_version(self.site, number, version=2, shift=0)
            self.site.leaf(number).drop(1)
        request_id = self.site.search()
        self.site.run_for(1_000)
        self.assertEqual(self.site.outcome(request_id).coverage, 1.0)

    def test_restarts_are_bounded(self) -> None:
        version = 1

        def roll_all() -> None:
            nonlocal version
            version += 1
            for number in range(6):
                _load_version(self.site, number, version, shift=version)
                self.site.leaf(number).drop(version - 1)
            if version < 60:
                self.site.network.after(4, roll_all)

        roll_all()
        self.site.search()
        self.site.run_for(2_000)
        self.assertEqual(search_site.find_violations(self.site), [])
        [vm] = self.site.network.daemons.values()
        restarts = vm.state.counters.total(
            "search_restarts_total", service=search_site.SERVICE
        )
        self.assertLessEqual(restarts, snapshots.MAXIMUM_RESTARTS)

    def test_moved_ranges_are_queried_by_range(self) -> None:
        # Version 1 is repartitioned while the daemon still has its old partition map.
        for number in range(6):
            _load_version(self.site, number, version=1, shift=number % 3)
        request_id = self.site.search()
        key = self.site.search(search_site.KEYS[0])
        self.site.run_for(1_000)
        self.assertEqual(search_site.find_violations(self.site), [])
        self.assertGreater(self.site.outcome(request_id).coverage, 0.5)
        self.assertEqual(self.site.outcome(key).coverage, 1.0)

    def test_version_held_by_few_replicas_is_not_pinned(self) -> None:
        site = search_site.Site(1, search_site.SiteSettings(instances=4))
        for number in range(3):
            _load_version(site, number, version=2, shift=0)
        for _ in range(20):
            site.search()
            site.run_for(50)
        [vm] = site.network.daemons.values()
        pinned = snapshots.pin_version(
            vm.state, search_site.SERVICE, site.network.now_ms
        )
        self.assertEqual(pinned, 1)

    def test_lookup_queries_only_the_shard_that_holds_the_key(self) -> None:
        request_id = self.site.search(search_site.KEYS[0])
        self.site.run_for(1_000)
        outcome = self.site.outcome(request_id)
        self.assertEqual((outcome.coverage, outcome.attempts), (1.0, 1))


class DeadlineTest(unittest.TestCase):
    """Whether coverage or time gives way when a shard does not answer in time."""

    def _site(self, service: topology.Service) -> search_site.Site:
        settings = search_site.SiteSettings(service=service)
        site = search_site.Site(1, settings)
        site.search()
        site.run_for(100)
        for number in (0, 3):
            site.leaf(number).faults = standin_leaf.LeafFaults(lost=True)
        return site

    def _elapsed_ms(self, site: search_site.Site) -> int:
        return site.network.answers[-1].command.elapsed_ms

    def test_coverage_gives_way_at_the_deadline(self) -> None:
        site = self._site(_COVERAGE_GIVES_WAY)
        request_id = site.search()
        site.run_for(2_000)
        self.assertAlmostEqual(site.outcome(request_id).coverage, 2 / 3)
        self.assertLessEqual(self._elapsed_ms(site), 200)

    def test_time_gives_way_until_the_leaf_returns(self) -> None:
        site = self._site(_TIME_GIVES_WAY)
        request_id = site.search()
        site.run_for(400)
        for number in (0, 3):
            site.leaf(number).faults = standin_leaf.LeafFaults()
        site.run_for(2_000)
        self.assertEqual(site.outcome(request_id).coverage, 1.0)
        self.assertGreater(self._elapsed_ms(site), 200)

    def test_too_little_coverage_is_refused_and_may_have_run(self) -> None:
        site = self._site(_TIME_GIVES_WAY)
        request_id = site.search()
        site.run_for(2_000)
        outcome = site.outcome(request_id)
        self.assertIs(outcome.code, requests.RefusalCode.INSUFFICIENT_COVERAGE)
        self.assertFalse(outcome.not_run)
        self.assertEqual(self._elapsed_ms(site), 1_000)

    def test_enough_coverage_does_not_wait_past_the_deadline(self) -> None:
        site = self._site(_TIME_GIVES_WAY._replace(minimum_coverage=0.6))
        request_id = site.search()
        site.run_for(2_000)
        self.assertAlmostEqual(site.outcome(request_id).coverage, 2 / 3)
        self.assertLessEqual(self._elapsed_ms(site), 200)

    def test_callers_deadline_overrides_the_hard_deadline(self) -> None:
        site = self._site(_TIME_GIVES_WAY)
        site.search(deadline_ms=120)
        site.run_for(2_000)
        self.assertEqual(self._elapsed_ms(site), 120)

    def test_not_run_only_when_no_leaf_was_reached(self) -> None:
        cases = {"gone": True, "silent": False}
        for name, not_run in cases.items():
            with self.subTest(name):
                site = self._site(_COVERAGE_GIVES_WAY)
                for number in range(6):
                    faults = standin_leaf.LeafFaults(lost=True)
                    site.leaf(number).faults = faults
                if not_run:
                    site.network.targets.leaves.clear()
                request_id = site.search()
                site.run_for(2_000)
                outcome = site.outcome(request_id)
                self.assertIs(outcome.code, requests.RefusalCode.NO_TARGET)
                self.assertIs(outcome.not_run, not_run)
