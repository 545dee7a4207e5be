"""Small facts that daemons tell each other, such as a target's restart.

A fact is identified by its kind and subject. Of two values for the same fact the
greater one wins, so that the order of arrival does not matter.
"""

import enum
import heapq
import zlib
from typing import Final, NamedTuple

DIGEST_BUCKETS: Final = 16
# A fact this close to its end is not passed on: the delay of each hop would keep it
# alive for ever.
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
        What it is about.
    subject : str
        Whom it is about, for example the name of a target.
    value : int
        Grows with each newer state of the fact.
    detail : str
        What else there is to say, for example a boot id.
    """

    kind: FactKind
    subject: str
    value: int
    detail: str = ""


class SpreadFact(NamedTuple):
    """A fact on its way to a peer, with the time that it is still valid."""

    fact: Fact
    remaining_ms: int


class _Entry(NamedTuple):
    """A fact with the time until which it counts."""

    fact: Fact
    expires_ms: int
    checksum: int
    bucket: int


_Key = tuple[FactKind, str]


class FactTable:
    """The facts that have not expired; its work does not grow with their number."""

    def __init__(self) -> None:
        self._entries: dict[_Key, _Entry] = {}
        self._news: dict[_Key, None] = {}
        self._buckets: list[dict[_Key, None]] = [{} for _ in range(DIGEST_BUCKETS)]
        self._sums = [0] * DIGEST_BUCKETS
        # Facts that are still passed on, and the heaps of when each one ends to be
        # passed on and to be valid.
        self._spreading: set[_Key] = set()
        self._fading: list[tuple[int, _Key]] = []
        self._expiring: list[tuple[int, _Key]] = []

    @property
    def has_unsent(self) -> bool:
        """Whether there are facts that no peer has been told."""
        return bool(self._news)

    def publish(self, fact: Fact, expires_ms: int) -> bool:
        """Enter a fact, which is then spread; return whether it is news.

        Parameters
        ----------
        fact : Fact
            What is known.
        expires_ms : int
            Reading of the own monotonic clock after which it is forgotten.
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
        heapq.heappush(self._fading, (expires_ms - SPREAD_MARGIN_MS, key))
        heapq.heappush(self._expiring, (expires_ms, key))
        self._news[key] = None
        return True

    def get(self, kind: FactKind, subject: str, now_ms: int) -> Fact | None:
        """Return a fact, or None when it is not known or has expired."""
        entry = self._entries.get((kind, subject))
        return entry.fact if entry is not None and now_ms < entry.expires_ms else None

    def current(self, now_ms: int) -> list[tuple[Fact, int]]:
        """Return the facts with the milliseconds that each one is still valid."""
        self._age(now_ms)
        return [
            (entry.fact, entry.expires_ms - now_ms) for entry in self._entries.values()
        ]

    def pop_unsent(self, now_ms: int, limit: int) -> tuple[SpreadFact, ...]:
        """Return facts that no peer has been told, which now counts as done."""
        taken = [key for key, _ in zip(list(self._news), range(limit), strict=False)]
        for key in taken:
            del self._news[key]
        entries = [self._entries[key] for key in taken if key in self._entries]
        return _spread(entries, now_ms)

    def digest(self, now_ms: int) -> tuple[int, ...]:
        """Return a checksum of the facts in each bucket."""
        self._age(now_ms)
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
            Reading of the own monotonic clock, in milliseconds.
        limit : int
            Largest number of facts.
        draw : float
            From ``[0.0, 1.0)``; where to begin when there are more.
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

    def _age(self, now_ms: int) -> None:
        while self._fading and self._fading[0][0] <= now_ms:
            fades_ms, key = heapq.heappop(self._fading)
            entry = self._entries.get(key)
            if entry is not None and entry.expires_ms - SPREAD_MARGIN_MS == fades_ms:
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
