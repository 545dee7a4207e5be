"""Leaves of the directory, with the observed state of each."""

from typing import Final, NamedTuple

from amaranthpulley.state.forwarding import backpressure, pace, token_bucket

# A new leaf is assumed to be as fast as the route's mean until it is measured.
INITIAL_SLOWNESS: Final = 1.0
# Removed leaves of which it is kept what they had asked.
MAXIMUM_KEPT: Final = 4_096


# An order for a leaf's version is read so much later than it was written, as a rule.
RECENT_SENDS_MS: Final = 700


class LeafEntry(NamedTuple):
    """Entry of a leaf in the directory.

    Attributes
    ----------
    leaf_id : str
        Identity of this run of the leaf.
    service : str
        The service that it belongs to.
    address : str
        ``IP:port``.
    failure_domain : str
        Failure domain in which it runs.
    slots : int
        Number of requests that it processes concurrently.
    draining : bool
        Whether it is about to stop and should get no new requests.
    cold_ms : int
        Remaining time for which it stays cold.
    born_ms : int
        Unix time of its start, in milliseconds.
    version : str
        Version of its software.
    """

    leaf_id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_ms: int
    born_ms: int
    version: str = ""


class LeafStart(NamedTuple):
    """One start of a leaf's process."""

    leaf_id: str
    service: str
    address: str
    born_ms: int


def start_of(entry: LeafEntry) -> LeafStart:
    """Return the start that an entry is about."""
    return LeafStart(entry.leaf_id, entry.service, entry.address, entry.born_ms)


class Load(NamedTuple):
    """The load that a leaf reported with an answer; invalid figures are None.

    Attributes
    ----------
    running, waiting, slots : int or None
        Requests that it runs, requests that wait there, and its slots.
    slowness : float or None
        Time that work takes on its machine now over the usual time, 1.0; None if it
        did not report it.
    """

    running: int | None
    waiting: int | None
    slots: int | None
    slowness: float | None = None

    @property
    def has_counts(self) -> bool:
        """Whether it tells how many requests the leaf has."""
        return self.running is not None or self.waiting is not None

    @property
    def occupied(self) -> int:
        """Requests that the leaf has, as far as they were told."""
        return (self.running or 0) + (self.waiting or 0)


class Machine(NamedTuple):
    """Slowness of a leaf's machine, as the leaf reported it.

    Attributes
    ----------
    latest, mean : float
        The last figure, and the moving mean of the recent ones.
    reported_ms : int
        Time of the last figure.
    """

    latest: float
    mean: float
    reported_ms: int


class RecentSends(NamedTuple):
    """Sends to a leaf in the last one to two periods of `RECENT_SENDS_MS`."""

    begun_ms: int
    current: int
    previous: int

    def at(self, now_ms: int) -> "RecentSends":
        """Return the counts at a later time."""
        passed_ms = now_ms - self.begun_ms
        if passed_ms < RECENT_SENDS_MS:
            return self
        previous = self.current if passed_ms < 2 * RECENT_SENDS_MS else 0
        return RecentSends(now_ms, 0, previous)


class Leaf:
    """A leaf and this daemon's observations of it.

    Parameters
    ----------
    entry : LeafEntry
        Entry in the directory.
    region : str
        Region of its failure domain.
    now_ms : int
        Time at which it was first seen.
    pressure : Backpressure or None
        What it has asked of this daemon; None when it has not asked for anything.
    """

    def __init__(
        self,
        entry: LeafEntry,
        region: str,
        now_ms: int,
        pressure: backpressure.Backpressure | None = None,
    ) -> None:
        self.entry = entry
        self.start = start_of(entry)
        self.region = region
        self.backpressure = pressure
        # Time at which each running attempt is overdue, by its number, in send order.
        self.overdue_at_ms: dict[int, float] = {}
        self.last_response_ms = now_ms
        self.slowness = INITIAL_SLOWNESS
        self.slowness_updated_ms = now_ms
        # Last use or opening of a connection; 0 if there was none.
        self.connection_used_ms = 0
        self.load: Load | None = None
        self.load_reported_ms = 0
        # None until the leaf reports the slowness of its machine.
        self.machine: Machine | None = None
        self.failure_share = 0.0
        self.failure_share_updated_ms = now_ms
        self.suspected = False
        self.probe_due_ms = self.probe_delay_ms = 0
        self.full_until_ms = self.unreachable_until_ms = 0
        # When its connection was last lost in a request; None if it has answered since.
        self.lost_ms: int | None = None
        self.cold_until_ms = now_ms + entry.cold_ms
        self.cold_tokens = token_bucket.TokenBucket(0.0, now_ms)
        # None unless the leaf has started or recovered a short time ago.
        self.pace: pace.Pace | None = None
        # Whether its answers have shown that it is no longer cold.
        self.is_proven = False
        self.leaving_since_ms: int | None = now_ms if entry.draining else None
        self.deleted_ms: int | None = None
        # Sends since the begin of the current period, and in the one before.
        self.recent_sends = RecentSends(now_ms, 0, 0)

    @property
    def in_flight(self) -> int:
        """Number of running attempts of this daemon."""
        return len(self.overdue_at_ms)

    def first_overdue_at_ms(self) -> float | None:
        """Return the time at which the oldest running attempt is overdue."""
        return next(iter(self.overdue_at_ms.values()), None)


class LeafDirectory:
    """All known leaves, by identity and by service.

    What a removed leaf has asked of this daemon is kept: its entry may return.
    """

    def __init__(self) -> None:
        self._by_id: dict[str, Leaf] = {}
        self._by_service: dict[str, list[Leaf]] = {}
        self._kept: dict[LeafStart, backpressure.Backpressure] = {}

    def get(self, leaf_id: str) -> Leaf | None:
        """Return a leaf by its identity."""
        return self._by_id.get(leaf_id)

    def of_service(self, service: str) -> list[Leaf]:
        """Return the leaves of a service."""
        return self._by_service.get(service, [])

    def all(self) -> list[Leaf]:
        """Return every leaf."""
        return list(self._by_id.values())

    def add(self, leaf: Leaf) -> None:
        """Add a leaf, replacing one with the same identity."""
        self.remove(leaf.entry.leaf_id)
        self._by_id[leaf.entry.leaf_id] = leaf
        self._by_service.setdefault(leaf.entry.service, []).append(leaf)

    def remove(self, leaf_id: str) -> None:
        """Remove a leaf, if it is known."""
        leaf = self._by_id.pop(leaf_id, None)
        if leaf is None:
            return
        self._by_service[leaf.entry.service].remove(leaf)
        if leaf.backpressure is not None:
            self._keep(leaf.start, leaf.backpressure)

    def pressure_of(self, start: LeafStart) -> backpressure.Backpressure | None:
        """Return what a start of a leaf has asked, also if its entry is gone."""
        leaf = self._by_id.get(start.leaf_id)
        if leaf is not None and leaf.start == start:
            return leaf.backpressure
        return self._kept.get(start)

    def set_pressure(
        self, start: LeafStart, pressure: backpressure.Backpressure
    ) -> None:
        """Record what a start of a leaf has asked, also if its entry is gone."""
        leaf = self._by_id.get(start.leaf_id)
        if leaf is not None and leaf.start == start:
            leaf.backpressure = pressure
        else:
            self._keep(start, pressure)

    def _keep(self, start: LeafStart, pressure: backpressure.Backpressure) -> None:
        if not pressure.outlasts_entry:
            return
        if len(self._kept) >= MAXIMUM_KEPT:
            self._kept.pop(next(iter(self._kept)))
        self._kept[start] = pressure

    def take_kept(self, entry: LeafEntry) -> backpressure.Backpressure | None:
        """Return what a removed leaf had asked, if it is still the same start."""
        return self._kept.pop(start_of(entry), None)
