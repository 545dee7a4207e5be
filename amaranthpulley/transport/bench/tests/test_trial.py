"""Tests of trials, index partitions and the search collector."""

import unittest

from amaranthpulley.state import requests
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport.bench import search_collector, sites, trial, workload

SHAPE = sites.DISPATCH._replace(instances=3)


def _plan(**changes: object) -> trial.Plan:
    plan = trial.Plan(SHAPE, sites.FULL, workload.constant(60), seconds=2)
    return plan._replace(**changes)


def _rows(seed: int) -> tuple:
    measured = trial.Trial(_plan(), seed).run()
    quantiles = [measured.latency_ms.quantile(q / 10) for q in range(1, 11)]
    return measured.sent, measured.all_runs, quantiles


class TrialTest(unittest.TestCase):
    def test_same_seed_gives_the_same_rows(self) -> None:
        self.assertEqual(_rows(seed=3), _rows(seed=3))

    def test_other_seed_gives_other_rows(self) -> None:
        self.assertNotEqual(_rows(seed=3), _rows(seed=4))

    def test_answers_are_correct_without_faults(self) -> None:
        measured = trial.Trial(_plan(), seed=1).run()
        self.assertGreater(measured.useful, 0)
        self.assertEqual(measured.mixed_answers, 0)
        self.assertEqual(measured.coverage_errors, 0)
        self.assertEqual(measured.unanswered_count, 0)


class PartitionTest(unittest.TestCase):
    def test_each_part_of_each_version_holds_keys(self) -> None:
        for shards in (3, 81):
            positions = [keyspace.position_of(key) for key in sites.keys_of(shards)]
            for version in (1, 2):
                for start, end in sites.partition(shards, version):
                    held = sum(start <= position < end for position in positions)
                    self.assertGreaterEqual(held, sites.MINIMUM_KEYS_PER_PART)


class CollectorTest(unittest.TestCase):
    def _collector(self) -> search_collector.SearchCollector:
        return search_collector.SearchCollector(SHAPE, 0, 1_000, deadline_ms=400)

    def _answer(self, **changes: object) -> requests.SearchAnswer:
        rows = tuple(requests.Row(0, key, f"{key} v1") for key in sites.keys_of(3))
        return requests.SearchAnswer(rows, 1, 1.0, 3)._replace(**changes)

    def test_wrong_answers_are_found(self) -> None:
        whole = self._answer()
        other = whole.rows[0]._replace(value=f"{whole.rows[0].key} v2")
        table = {
            "whole": (whole, 0, 0),
            "mixed": (whole._replace(rows=(other, *whole.rows[1:])), 1, 0),
            "row missing": (whole._replace(rows=whole.rows[1:]), 0, 1),
            "row twice": (whole._replace(rows=(*whole.rows, whole.rows[0])), 0, 1),
            "coverage too low": (whole._replace(coverage=2 / 3), 0, 1),
        }
        for name, (answer, mixed, errors) in table.items():
            with self.subTest(name):
                collector = self._collector()
                collector.check(answer)
                self.assertEqual(collector.mixed_answers, mixed)
                self.assertEqual(collector.coverage_errors, errors)
