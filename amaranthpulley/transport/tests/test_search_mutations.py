"""Mutation tests: a broken search decision must violate a property of searches."""

import contextlib
import random
import unittest
from collections.abc import Iterator
from typing import Final
from unittest import mock

from amaranthpulley.coordination import engine, events
from amaranthpulley.coordination.searches import search_execution
from amaranthpulley.state import requests
from amaranthpulley.state.searches import keyspace, searches
from amaranthpulley.transport.tests import search_site, test_search_properties

SEED_COUNT: Final = 40
NETWORK_FAULTS: Final = test_search_properties.NetworkFaults(
    loss=0.05, slow=0.1, duplicate_share=0.5
)


def _random_actions(seed: int) -> list[test_search_properties.ScheduledAction]:
    chance = random.Random(seed)
    return [
        test_search_properties.ScheduledAction(
            chance.randrange(test_search_properties.RUN_MS),
            chance.choice(["new_version", "move_ranges", "look_up", "silence_leaf"]),
            chance.randrange(100),
        )
        for _ in range(12)
    ]


def _find_violations() -> list[str]:
    for seed in range(SEED_COUNT):
        site = test_search_properties.run(seed, NETWORK_FAULTS, _random_actions(seed))
        violations = search_site.find_violations(site)
        for entry in site.network.answers:
            outcome = entry.command.outcome
            refused = isinstance(outcome, requests.Refusal) and outcome.not_run
            if refused and entry.command.request.request_id in (
                site.network.targets.started_requests
            ):
                violations.append("refused as not run, but reached a target")
        if violations:
            return violations
    return []


@contextlib.contextmanager
def _mixes_versions() -> Iterator[None]:
    """Merge every part regardless of its version."""
    handle_answer = search_execution.handle_answer

    def mutated(daemon: object, event: object, *rest: object) -> list:
        request_id = daemon.searches.request_of(event.attempt_id)
        search = daemon.searches.get(request_id) if request_id else None
        if search is not None and search.version is not None:
            part = event.answer._replace(version=search.version)
            event = event._replace(answer=part)
        return handle_answer(daemon, event, *rest)

    answered = engine._HANDLERS[events.AttemptAnswered]
    handlers = [
        mutated if handler is handle_answer else handler for handler in answered
    ]
    with mock.patch.dict(engine._HANDLERS, {events.AttemptAnswered: handlers}):
        yield


@contextlib.contextmanager
def _merges_rows_twice() -> Iterator[None]:
    """Merge all rows of a part, including those of covered positions."""

    def merge(search: searches.Search, part: searches.SearchPart) -> None:
        search.rows.extend(part.rows)
        for key_range in part.ranges:
            search.covered.add(key_range)

    with mock.patch.object(searches.Search, "merge", merge):
        yield


@contextlib.contextmanager
def _counts_attempts_for_coverage() -> Iterator[None]:
    """Report the share of answered attempts instead of the covered key space."""

    def coverage(search: searches.Search) -> float:
        sent_count = max(1, search.attempts_sent)
        return min(1.0, (sent_count - len(search.attempts)) / sent_count)

    with mock.patch.object(searches.Search, "coverage", property(coverage)):
        yield


@contextlib.contextmanager
def _ignores_the_partition_map() -> Iterator[None]:
    """Count an even share of the key space as covered by each leaf."""

    def merge(search: searches.Search, part: searches.SearchPart) -> None:
        search.rows.extend(part.rows)
        number = len(search.covered.ranges) % 3
        search.covered.add(keyspace.split_evenly(3)[number])

    with mock.patch.object(searches.Search, "merge", merge):
        yield


@contextlib.contextmanager
def _keeps_rows_over_a_restart() -> Iterator[None]:
    """Restart at another version and keep the rows of the old one."""

    def restart(search: searches.Search, version: int) -> None:
        search.version = version
        search.tried = {}
        search.restarts += 1

    with mock.patch.object(searches.Search, "restart", restart):
        yield


@contextlib.contextmanager
def _always_reports_not_run() -> Iterator[None]:
    """Report every refused search as not run."""
    outcome_of = search_execution._outcome_of

    def mutated(search: searches.Search) -> requests.Outcome:
        outcome = outcome_of(search)
        if isinstance(outcome, requests.Refusal):
            return outcome._replace(not_run=True)
        return outcome

    with mock.patch.object(search_execution, "_outcome_of", mutated):
        yield


MUTATIONS: Final = {
    "mixes versions": _mixes_versions,
    "merges rows twice": _merges_rows_twice,
    "counts attempts for coverage": _counts_attempts_for_coverage,
    "ignores the partition map": _ignores_the_partition_map,
    "keeps rows over a restart": _keeps_rows_over_a_restart,
    "always reports not run": _always_reports_not_run,
}


class SearchMutationTest(unittest.TestCase):
    """The checks of searches detect each broken decision."""

    def test_original_decisions_have_no_violations(self) -> None:
        self.assertEqual(_find_violations(), [])

    def test_each_broken_decision_is_detected(self) -> None:
        for name, mutate in MUTATIONS.items():
            with self.subTest(name), mutate():
                self.assertNotEqual(_find_violations(), [])
