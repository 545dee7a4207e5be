"""Facts that daemons spread by gossip, such as a target's restart.

A fact is identified by its kind and subject. Of two values for the same fact the
greater one wins, so that the order of arrival does not matter.
"""

import enum
import heapq
import zlib
from typing import Final, NamedTuple

DIGEST_BUCKETS: Final = 16
# A fact that expires this soon is not forwarded: receivers count the remaining time
# from its arrival, so that the delay of each hop would keep it alive forever.
SPREAD_MARGIN_MS: Final = 2_000


class FactKind(enum.StrEnum):
    """What a fact is about."""

    TARGET_COLD = "target_cold"
    TARGET_SUSPECTED = "target_suspected"
    CRASH_COUNT = "crash_count"
    MEMBER = "member"


class Fact(NamedTuple):
    """One fact.

    Attributes
    ----------
    kind : FactKind
        What the fact is about.
    subject : str
        What the fact applies to, for example the name of a target.
    value : int
        Increases with each newer state of the fact.
    detail : str
        Additional data, for example a boot id.
    """

    kind: FactKind
    subject: str
    value: int
    detail: str = ""


class SpreadFact(NamedTuple):
    """A fact as it is sent to a peer, with its remaining time to live."""

    fact: Fact
    remaining_ms: int


class _Entry(NamedTuple):
    """A fact with its expiry time and its place in the digest."""

    fact: Fact
    expires_ms: int
    checksum: int
    bucket: int


_Key = tuple[FactKind, str]


class FactTable:
    """The facts that have not expired.

    The cost of a publication or a digest does not grow with the number of facts.
    """

    def __init__(self) -> None:
        self._entries: dict[_Key, _Entry] = {}
        self._unsent: dict[_Key, None] = {}
        self._buckets: list[dict[_Key, None]] = [{} for _ in range(DIGEST_BUCKETS)]
        self._sums = [0] * DIGEST_BUCKETS
        # The facts that are still forwarded, and heaps of the times at which facts
        # stop being forwarded and expire.
        self._spreading: set[_Key] = set()
        self._forward_ends: list[tuple[int, _Key]] = []
        self._expiring: list[tuple[int, _Key]] = []

    @property
    def has_unsent(self) -> bool:
        """Whether there are facts that were not sent to a peer."""
        return bool(self._unsent)

    def publish(self, fact: Fact, expires_ms: int) -> bool:
        """Record a fact to be spread; return False if it or a newer one is known.

        Parameters
        ----------
        fact : Fact
            The fact.
        expires_ms : int
            Reading of this daemon's monotonic clock at which it expires.
        """
        key = fact.kind, fact.subject
        known = self._entries.get(key)
        if known is not None and known.fact.value >= fact.value:
            return False
        self._stop_spreading(key)
        entry = _entry_of(fact, expires_ms)
        self._entries[key] = entry
        self._buckets[entry.bucket][key] = None
        self._sums[entry.bucket] ^= entry.checksum
        self._spreading.add(key)
        heapq.heappush(self._forward_ends, (expires_ms - SPREAD_MARGIN_MS, key))
        heapq.heappush(self._expiring, (expires_ms, key))
        self._unsent[key] = None
        return True

    def get(self, kind: FactKind, subject: str, now_ms: int) -> Fact | None:
        """Return a fact, or None when it is not known or has expired."""
        entry = self._entries.get((kind, subject))
        return entry.fact if entry is not None and now_ms < entry.expires_ms else None

    def current(self, now_ms: int) -> list[tuple[Fact, int]]:
        """Return the facts, each with its remaining time to live in milliseconds."""
        self._expire(now_ms)
        return [
            (entry.fact, entry.expires_ms - now_ms) for entry in self._entries.values()
        ]

    def pop_unsent(self, now_ms: int, limit: int) -> tuple[SpreadFact, ...]:
        """Return facts that were not sent to a peer, and count them as sent."""
        taken = [key for key, _ in zip(list(self._unsent), range(limit), strict=False)]
        for key in taken:
            del self._unsent[key]
        entries = [self._entries[key] for key in taken if key in self._entries]
        return _spread(entries, now_ms)

    def digest(self, now_ms: int) -> tuple[int, ...]:
        """Return the checksum of each bucket, over the facts still forwarded."""
        self._expire(now_ms)
        return tuple(self._sums)

    def differing(
        self, digest: tuple[int, ...], now_ms: int, limit: int, draw: float
    ) -> tuple[SpreadFact, ...]:
        """Return facts of the buckets in which a peer's digest differs.

        Parameters
        ----------
        digest : tuple of int
            The peer's digest.
        now_ms : int
            Reading of this daemon's monotonic clock, in milliseconds.
        limit : int
            Largest number of facts.
        draw : float
            From ``[0.0, 1.0)``; where to start when there are more than `limit`.
        """
        own = self.digest(now_ms)
        if own == digest:
            return ()
        entries = [
            self._entries[key]
            for index, keys in enumerate(self._buckets)
            if own[index] != digest[index]
            for key in keys
        ]
        first = int(draw * len(entries)) if len(entries) > limit else 0
        return _spread((entries[first:] + entries[:first])[:limit], now_ms)

    def _expire(self, now_ms: int) -> None:
        while self._forward_ends and self._forward_ends[0][0] <= now_ms:
            forward_end_ms, key = heapq.heappop(self._forward_ends)
            entry = self._entries.get(key)
            if (
                entry is not None
                and entry.expires_ms - SPREAD_MARGIN_MS == forward_end_ms
            ):
                self._stop_spreading(key)
        while self._expiring and self._expiring[0][0] <= now_ms:
            expires_ms, key = heapq.heappop(self._expiring)
            entry = self._entries.get(key)
            if entry is not None and entry.expires_ms == expires_ms:
                del self._entries[key]
                del self._buckets[entry.bucket][key]

    def _stop_spreading(self, key: _Key) -> None:
        if key in self._spreading:
            entry = self._entries[key]
            self._sums[entry.bucket] ^= entry.checksum
            self._spreading.discard(key)


def _entry_of(fact: Fact, expires_ms: int) -> _Entry:
    name = f"{fact.kind.value}\n{fact.subject}"
    checksum = zlib.crc32(f"{name}\n{fact.value}".encode())
    bucket = zlib.crc32(name.encode()) % DIGEST_BUCKETS
    return _Entry(fact, expires_ms, checksum, bucket)


def _spread(entries: list[_Entry], now_ms: int) -> tuple[SpreadFact, ...]:
    return tuple(
        SpreadFact(entry.fact, entry.expires_ms - now_ms)
        for entry in entries
        if entry.expires_ms - now_ms > SPREAD_MARGIN_MS
    )
