"""Statistics of search answers, checked against the data that the leaves hold."""

import collections
from collections.abc import Iterable
from typing import Final

from amaranthpulley.state import requests
from amaranthpulley.state.searches import keyspace
from amaranthpulley.transport.bench import histogram, sites
from amaranthpulley.transport.emulation import virtual_network

COVERAGE_TOLERANCE: Final = 1e-6
SECOND_MS: Final = 1_000


class SearchCollector:
    """Collects latency, coverage and correctness of the answers in a time span.

    Parameters
    ----------
    shape : Shape
        Sizes and delays of the site.
    begin_ms, end_ms : int
        Searches that were sent outside of this span are excluded.
    deadline_ms : int
        An answer that takes longer is not useful. The delay between the clients and
        the daemons does not count.
    useful_coverage : float
        An answer with less coverage is not useful.
    """

    def __init__(
        self,
        shape: sites.Shape,
        begin_ms: int,
        end_ms: int,
        deadline_ms: int,
        useful_coverage: float = 0.9,
    ) -> None:
        self.begin_ms = begin_ms
        self.end_ms = end_ms
        self.sent = 0
        self.latency_ms = histogram.Histogram()
        self.coverage = histogram.Histogram()
        self.refused = 0
        self.late = 0
        self.mixed_answers = 0
        self.coverage_errors = 0
        self.all_sent = 0
        self.all_runs = 0
        self.cold_runs = 0
        self.sent_by_second: collections.Counter[int] = collections.Counter()
        self.useful_by_second: collections.Counter[int] = collections.Counter()
        self.latency_by_second: dict[int, histogram.Histogram] = {}
        self._round_trip_ms = round(2 * shape.client_ms)
        self._deadline_ms = deadline_ms
        self._useful_coverage = useful_coverage
        self._sent_ms: dict[str, int] = {}
        self._expected_parts = {
            version: _parts_of(shape.shards, version) for version in (0, 1)
        }

    @property
    def unanswered_count(self) -> int:
        """The number of searches without any reply."""
        return len(self._sent_ms)

    @property
    def useful(self) -> int:
        """The number of answers within the deadline with enough coverage."""
        return self.useful_by_second.total()

    def runs_for_each(self, shards: int) -> float:
        """Return the mean number of leaf calls run for each shard of a search.

        The warm-up counts too, so that no search is split by a limit of the span.
        """
        return self.all_runs / (self.all_sent * shards)

    def latency_between(self, begin: int, end: int) -> histogram.Histogram:
        """Return the latency of the answers in the seconds `begin` to `end` - 1."""
        merged = histogram.Histogram()
        for second in range(begin, end):
            if second in self.latency_by_second:
                merged.update(self.latency_by_second[second])
        return merged

    def add_run(self, is_cold: bool) -> None:
        """Count a call that a leaf runs."""
        self.all_runs += 1
        self.cold_runs += is_cold

    def add_sent(self, request_id: str, now_ms: int) -> None:
        """Count a search that a caller sends."""
        self.all_sent += 1
        if self.begin_ms <= now_ms < self.end_ms:
            self.sent += 1
            self._sent_ms[request_id] = now_ms
            self.sent_by_second[now_ms // SECOND_MS] += 1

    def add_answers(self, answers: Iterable[virtual_network.ReceivedAnswer]) -> None:
        """Evaluate answers to the searches of the span."""
        for answered in answers:
            request_id = answered.command.request.request_id
            sent_ms = self._sent_ms.pop(request_id, None)
            if sent_ms is not None:
                self._add_answer(answered, sent_ms)

    def check(self, answer: requests.SearchAnswer) -> None:
        """Compare an answer with the data that the leaves hold for its version."""
        suffix = f" v{answer.version}"
        if not all(row.value.endswith(suffix) for row in answer.rows):
            self.mixed_answers += 1
        found = {row.key for row in answer.rows}
        covered = 0.0
        whole_parts = True
        for share, keys in self._expected_parts[answer.version % 2]:
            if keys <= found:
                covered += share
            elif keys & found:
                whole_parts = False
        coverage_matches = abs(covered - answer.coverage) < COVERAGE_TOLERANCE
        has_duplicates = len(found) != len(answer.rows)
        if has_duplicates or not (whole_parts and coverage_matches):
            self.coverage_errors += 1

    def _add_answer(
        self, answered: virtual_network.ReceivedAnswer, sent_ms: int
    ) -> None:
        outcome = answered.command.outcome
        if not isinstance(outcome, requests.SearchAnswer):
            self.refused += 1
            return
        elapsed_ms = answered.at_ms - sent_ms + self._round_trip_ms
        second = answered.at_ms // SECOND_MS
        self.latency_ms.add(elapsed_ms)
        seconds = self.latency_by_second
        seconds.setdefault(second, histogram.Histogram()).add(elapsed_ms)
        self.coverage.add(outcome.coverage)
        self.check(outcome)
        in_time = elapsed_ms <= self._deadline_ms + self._round_trip_ms
        if not in_time:
            self.late += 1
        elif outcome.coverage >= self._useful_coverage:
            self.useful_by_second[second] += 1


def _parts_of(shards: int, version: int) -> list[tuple[float, frozenset[str]]]:
    parts = []
    for start, end in sites.partition(shards, version):
        keys = [
            key
            for key in sites.keys_of(shards)
            if start <= keyspace.position_of(key) < end
        ]
        share = (end - start) / keyspace.KEY_SPACE_SIZE
        parts.append((share, frozenset(keys)))
    return parts
