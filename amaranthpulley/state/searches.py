"""Searches in progress and the attempts that were sent for them."""

from typing import NamedTuple

from amaranthpulley.state import keyspace, requests, topology


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


class Attempt(NamedTuple):
    """One request sent to a target."""

    attempt_id: str
    request_id: str
    shard: str
    target: topology.Target
    sent_ms: int


class Search:
    """One search in progress.

    Parameters
    ----------
    request : SearchRequest
        What the caller asked for.
    service : Service
        The service's settings when the search began.
    started_ms, deadline_ms : int
        Readings of the monotonic clock in milliseconds.
    version : int or None
        The pinned index version; None until the first answer.
    """

    def __init__(
        self,
        request: requests.SearchRequest,
        service: topology.Service,
        started_ms: int,
        deadline_ms: int,
        version: int | None,
    ) -> None:
        self.request = request
        self.service = service
        self.started_ms = started_ms
        self.deadline_ms = deadline_ms
        self.version = version
        self.covered = keyspace.RangeSet()
        self.rows: list[requests.Row] = []
        self.attempts: dict[str, Attempt] = {}
        self.attempts_sent = 0
        self.tried: dict[str, set[str]] = {}

    @property
    def asked_ranges(self) -> list[keyspace.KeyRange]:
        """The part of the key space that the caller asked for."""
        if self.request.key is None:
            return [keyspace.WHOLE_KEY_SPACE]
        position = keyspace.position_of(self.request.key)
        return [keyspace.KeyRange(position, position + 1)]

    @property
    def missing(self) -> list[keyspace.KeyRange]:
        """The asked ranges that no merged part covers yet."""
        return [
            gap
            for asked in self.asked_ranges
            for gap in self.covered.missing_from(asked)
        ]

    @property
    def coverage(self) -> float:
        """The covered share of what was asked, from 0.0 to 1.0."""
        asked = sum(end - start for start, end in self.asked_ranges)
        missing = sum(end - start for start, end in self.missing)
        return (asked - missing) / asked

    def merge(self, part: SearchPart) -> None:
        """Add a part of the pinned version; positions already covered stay as is."""
        for key_range in part.ranges:
            fresh = keyspace.RangeSet(self.covered.missing_from(key_range))
            rows = [row for row in part.rows if row.position in fresh]
            self.rows.extend(rows)
            self.covered.add(key_range)

    def restart(self, version: int | None) -> None:
        """Drop what was merged and begin again at another index version."""
        self.version = version
        self.covered = keyspace.RangeSet()
        self.rows = []
        self.tried = {}


class SearchTable:
    """Searches in progress by request and by attempt."""

    def __init__(self) -> None:
        self._searches: dict[str, Search] = {}
        self._requests_by_attempt: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._searches)

    def add(self, search: Search) -> None:
        """Enter a search."""
        self._searches[search.request.request_id] = search

    def get(self, request_id: str) -> Search | None:
        """Return a search, or None when it has ended."""
        return self._searches.get(request_id)

    def add_attempt(self, search: Search, attempt: Attempt) -> None:
        """Enter an attempt that is being sent."""
        search.attempts[attempt.attempt_id] = attempt
        search.attempts_sent += 1
        search.tried.setdefault(attempt.shard, set()).add(attempt.target.name)
        self._requests_by_attempt[attempt.attempt_id] = search.request.request_id

    def request_of(self, attempt_id: str) -> str | None:
        """Return the request of a running attempt, or None when it is over."""
        return self._requests_by_attempt.get(attempt_id)

    def end_attempt(self, attempt_id: str) -> tuple[Search, Attempt] | None:
        """Take an attempt out; None when it was already over or is not a search's."""
        request_id = self._requests_by_attempt.pop(attempt_id, None)
        search = self._searches.get(request_id) if request_id else None
        if search is None:
            return None
        return search, search.attempts.pop(attempt_id)

    def remove(self, search: Search) -> list[Attempt]:
        """End a search and return the attempts that were still in flight."""
        del self._searches[search.request.request_id]
        for attempt_id in search.attempts:
            del self._requests_by_attempt[attempt_id]
        return list(search.attempts.values())
