"""Searches in progress and their attempts."""

import enum
from typing import NamedTuple

from amaranthpulley.state import requests
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import keyspace


class SearchPart(NamedTuple):
    """The answer of one leaf.

    Attributes
    ----------
    version : int
        Index version that the rows were read from.
    ranges : tuple of KeyRange
        Parts of the key space that the leaf searched.
    rows : tuple of Row
        Results within these ranges.
    """

    version: int
    ranges: tuple[keyspace.KeyRange, ...]
    rows: tuple[requests.Row, ...]


class AttemptKind(enum.StrEnum):
    """Why an attempt was sent."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class Attempt(NamedTuple):
    """One request sent to a target."""

    attempt_id: str
    request_id: str
    shard: str
    target: topology.Target
    sent_ms: int
    kind: AttemptKind = AttemptKind.FIRST


class Snapshot(NamedTuple):
    """The merged rows of one index version, with the share of the request covered."""

    version: int
    rows: tuple[requests.Row, ...]
    coverage: float


class Search:
    """One search in progress.

    Parameters
    ----------
    request : SearchRequest
        The caller's request.
    service : Service
        The service's settings when the request arrived.
    started_ms, deadline_ms : int
        Readings of the monotonic clock in milliseconds.
    hard_deadline_ms : int
        The latest time for the answer; later than the deadline only for a service
        whose time gives way to coverage.

    Attributes
    ----------
    version : int or None
        The pinned index version; None until it is known.
    requested_range : KeyRange
        The whole key space, or the position of the key of a look-up.
    tried : dict of str to set of str
        Names of the replicas already queried, by shard.
    retries : dict of str to int
        Number of backoffs so far, by shard.
    waiting : set of str
        Shards queried after a backoff, or once a replica has free capacity.
    hedges : dict of str to int
        Hedges sent, by shard.
    hedge_at_ms : dict of str to int
        Time of the next check for a hedge, by shard; set by the first check that finds
        the attempt late.
    has_started : bool
        False while the search waits in the queue.
    restarts : int
        How often the search was restarted at another version.
    may_have_run : bool
        True once an attempt that ended may have run on its target.
    """

    def __init__(
        self,
        request: requests.SearchRequest,
        service: topology.Service,
        started_ms: int,
        deadline_ms: int,
        hard_deadline_ms: int,
    ) -> None:
        self.request = request
        self.service = service
        self.started_ms = started_ms
        self.deadline_ms = deadline_ms
        self.hard_deadline_ms = hard_deadline_ms
        self.version: int | None = None
        self.requested_range = keyspace.WHOLE_KEY_SPACE
        if request.key is not None:
            position = keyspace.position_of(request.key)
            self.requested_range = keyspace.KeyRange(position, position + 1)
        self.covered = keyspace.RangeSet()
        self.rows: list[requests.Row] = []
        self.attempts: dict[str, Attempt] = {}
        self.attempts_sent = 0
        self.tried: dict[str, set[str]] = {}
        self.retries: dict[str, int] = {}
        self.waiting: set[str] = set()
        self.hedges: dict[str, int] = {}
        self.hedge_at_ms: dict[str, int] = {}
        self.has_started = False
        self.restarts = 0
        self.may_have_run = False
        self._best: Snapshot | None = None

    @property
    def missing(self) -> list[keyspace.KeyRange]:
        """The requested ranges that no merged part covers yet."""
        return self.covered.missing_from(self.requested_range)

    @property
    def complete(self) -> bool:
        """Whether the whole requested range is covered."""
        if self.requested_range is keyspace.WHOLE_KEY_SPACE:
            return self.covered.size == keyspace.KEY_SPACE_SIZE
        return self.requested_range.start in self.covered

    @property
    def coverage(self) -> float:
        """The covered share of the requested range, from 0.0 to 1.0."""
        if self.requested_range is keyspace.WHOLE_KEY_SPACE:
            return self.covered.share
        return float(self.requested_range.start in self.covered)

    @property
    def best(self) -> Snapshot | None:
        """The snapshot with the highest coverage; None when nothing was merged."""
        current = self._current()
        if current is None or self._best is None:
            return current or self._best
        return max(current, self._best, key=lambda snapshot: snapshot.coverage)

    def merge(self, part: SearchPart) -> None:
        """Add a part of the pinned version, without rows at covered positions."""
        for key_range in part.ranges:
            uncovered = keyspace.RangeSet(self.covered.missing_from(key_range))
            self.rows.extend(row for row in part.rows if row.position in uncovered)
            self.covered.add(key_range)

    def restart(self, version: int) -> None:
        """Start over at another version, with the best snapshot as a fallback."""
        self._best = self.best
        self.version = version
        self.covered = keyspace.RangeSet()
        self.rows = []
        self.tried = {}
        self.waiting = set()
        self.hedges = {}
        self.hedge_at_ms = {}
        self.restarts += 1

    def _current(self) -> Snapshot | None:
        coverage = self.coverage
        if self.version is None or coverage == 0.0:
            return None
        start, end = self.requested_range
        rows = sorted(row for row in self.rows if start <= row.position < end)
        return Snapshot(self.version, tuple(rows), coverage)


class SearchTable:
    """Searches in progress by request and by attempt."""

    def __init__(self) -> None:
        self._searches: dict[str, Search] = {}
        self._requests_by_attempt: dict[str, str] = {}
        self._given_up: dict[str, Attempt] = {}

    def __len__(self) -> int:
        return len(self._searches)

    def add(self, search: Search) -> None:
        """Add a search."""
        self._searches[search.request.request_id] = search

    def get(self, request_id: str) -> Search | None:
        """Return a search, or None when it has ended."""
        return self._searches.get(request_id)

    def add_attempt(self, search: Search, attempt: Attempt) -> None:
        """Add an attempt that is being sent."""
        search.attempts[attempt.attempt_id] = attempt
        search.attempts_sent += 1
        search.tried.setdefault(attempt.shard, set()).add(attempt.target.name)
        self._requests_by_attempt[attempt.attempt_id] = search.request.request_id

    def request_of(self, attempt_id: str) -> str | None:
        """Return the request of an attempt in flight, or None when it has ended."""
        return self._requests_by_attempt.get(attempt_id)

    def end_attempt(self, attempt_id: str) -> tuple[Search, Attempt] | None:
        """Remove an attempt; None when it has ended or serves no search."""
        request_id = self._requests_by_attempt.pop(attempt_id, None)
        search = self._searches.get(request_id) if request_id else None
        if search is None:
            return None
        return search, search.attempts.pop(attempt_id)

    def give_up(self, attempt_id: str) -> None:
        """End an attempt for its search, although its target may still run it."""
        ended = self.end_attempt(attempt_id)
        if ended is not None:
            self._given_up[attempt_id] = ended[1]

    def end_given_up(self, attempt_id: str) -> Attempt | None:
        """Remove an attempt that was given up; None when there is no such attempt."""
        return self._given_up.pop(attempt_id, None)

    def remove(self, search: Search) -> None:
        """Remove a search, all of whose attempts have ended."""
        del self._searches[search.request.request_id]
