"""Each property of searches is shown to fail when its decision is broken."""

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

TRIES: Final = 40
NETWORK_FAULTS: Final = test_search_properties.NetworkFaults(
    loss=0.05, slow=0.1, duplicates=0.5
)


def _acts(seed: int) -> list[test_search_properties.ScheduledAction]:
    chance = random.Random(seed)
    return [
        test_search_properties.ScheduledAction(
            chance.randrange(test_search_properties.RUN_MS),
            chance.choice(["new_version", "move_ranges", "look_up", "silence_leaf"]),
            chance.randrange(100),
        )
        for _ in range(12)
    ]


def _wrongs() -> list[str]:
    for seed in range(TRIES):
        site = test_search_properties.run(seed, NETWORK_FAULTS, _acts(seed))
        wrongs = search_site.find_violations(site)
        for entry in site.network.answers:
            outcome = entry.command.outcome
            refused = isinstance(outcome, requests.Refusal) and outcome.not_run
            if refused and entry.command.request.request_id in (
                site.network.targets.reached
            ):
                wrongs.append("a false not run")
        if wrongs:
            return wrongs
    return []


@contextlib.contextmanager
def _mixes_versions() -> Iterator[None]:
    """Merge every part, whatever its version."""
    take = search_execution.handle_answer

    def mutated(daemon: object, event: object, *rest: object) -> list:
        request_id = daemon.searches.request_of(event.attempt_id)
        search = daemon.searches.get(request_id) if request_id else None
        if search is not None and search.version is not None:
            part = event.answer._replace(version=search.version)
            event = event._replace(answer=part)
        return take(daemon, event, *rest)

    answered = engine._HANDLERS[events.AttemptAnswered]
    handlers = [mutated if handler is take else handler for handler in answered]
    with mock.patch.dict(engine._HANDLERS, {events.AttemptAnswered: handlers}):
        yield


@contextlib.contextmanager
def _merges_rows_twice() -> Iterator[None]:
    """Take all rows of a part, also of positions that are covered already."""

    def merge(search: searches.Search, part: searches.SearchPart) -> None:
        search.rows.extend(part.rows)
        for key_range in part.ranges:
            search.covered.add(key_range)

    with mock.patch.object(searches.Search, "merge", merge):
        yield


@contextlib.contextmanager
def _counts_shards_for_coverage() -> Iterator[None]:
    """Report the share of the answers instead of the covered share."""

    def coverage(search: searches.Search) -> float:
        asked = max(1, search.attempts_sent)
        return min(1.0, (asked - len(search.attempts)) / asked)

    with mock.patch.object(searches.Search, "coverage", property(coverage)):
        yield


@contextlib.contextmanager
def _forgets_the_map_of_the_version() -> Iterator[None]:
    """Take what a leaf covered as its even share of the key space."""

    def merge(search: searches.Search, part: searches.SearchPart) -> None:
        search.rows.extend(part.rows)
        number = len(search.covered.ranges) % 3
        search.covered.add(keyspace.split_evenly(3)[number])

    with mock.patch.object(searches.Search, "merge", merge):
        yield


@contextlib.contextmanager
def _keeps_rows_over_a_restart() -> Iterator[None]:
    """Begin again at another version with the rows of the old one."""

    def restart(search: searches.Search, version: int) -> None:
        search.version = version
        search.tried = {}
        search.restarts += 1

    with mock.patch.object(searches.Search, "restart", restart):
        yield


@contextlib.contextmanager
def _always_says_not_run() -> Iterator[None]:
    """Refuse every search as one that has not run."""
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
    "counts shards for coverage": _counts_shards_for_coverage,
    "forgets the map of the version": _forgets_the_map_of_the_version,
    "keeps rows over a restart": _keeps_rows_over_a_restart,
    "always says not run": _always_says_not_run,
}


class SearchMutationTest(unittest.TestCase):
    """A broken decision is noticed."""

    def test_unbroken_decisions_have_no_wrongs(self) -> None:
        self.assertEqual(_wrongs(), [])

    def test_each_broken_decision_is_seen(self) -> None:
        for name, mutate in MUTATIONS.items():
            with self.subTest(name), mutate():
                self.assertNotEqual(_wrongs(), [])
