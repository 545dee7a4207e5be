"""Claims that let each order run at most once, and the ranges that hold them.

The claims of all orders are distributed over a fixed number of ranges by a digest of
the customer and the idempotency key. In the store a range is a chain of numbered
segments. Only the last segment is open for new claims; the others are sealed and change
only when customer data is erased from them.
"""

import enum
import hashlib
from typing import Final, NamedTuple

from amaranthpulley.state.accounts import journal

RANGE_COUNT: Final = 32
EVICTION_INTERVAL_MS: Final = 60_000


class ClaimStatus(enum.StrEnum):
    """The stored status of a claimed order.

    `NOT_RUN` frees the key: the holder gave the order up and no target ran it.
    `UNKNOWN` is final unless the holder receives the outcome later.
    """

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class Claim(NamedTuple):
    """The stored right to run one order.

    Attributes
    ----------
    key : str
        Digest of the customer and the idempotency key.
    claim_id : str
        Identifies the holder: one daemon's execution of one request for the order.
    fingerprint : str
        Digest of the service, customer and payload; distinguishes a repeat of the order
        from another order under the same key.
    status : ClaimStatus
        The status of the order.
    result : str
        The target's reply when the status is `DONE`.
    claimed_ms : int
        When the claim was made, in milliseconds since the Unix epoch.
    record : JournalRecord
        The order's record with its latest outcome.
    released : tuple of str
        Claim ids that last gave the key up; a late message with one of them is not
        granted the key again.
    """

    key: str
    claim_id: str
    fingerprint: str
    status: ClaimStatus
    result: str
    claimed_ms: int
    record: journal.JournalRecord
    released: tuple[str, ...] = ()


class Operation(NamedTuple):
    """A request to the owner of a claim's range.

    The status `CLAIMED` requests the claim; any other status records the outcome.
    Operations are idempotent.

    Attributes
    ----------
    key, claim_id, fingerprint, status, result, record
        As in `Claim`.
    wait_ms : int
        How long the sender waits; a claim is not written after this time.
    """

    key: str
    claim_id: str
    fingerprint: str
    status: ClaimStatus
    record: journal.JournalRecord
    result: str = ""
    wait_ms: int = 0


class VerdictKind(enum.StrEnum):
    """The result of an operation.

    `GRANTED`: the operation is in the store. `FOUND`: the stored claim has another
    holder or an outcome that this operation does not replace. `FAILED`: the operation
    is certainly not in the store. `UNCERTAIN`: it may be in the store, now or later.
    """

    GRANTED = "granted"
    FOUND = "found"
    FAILED = "failed"
    UNCERTAIN = "uncertain"


class Verdict(NamedTuple):
    """The reply to an operation; for `FOUND` the fields describe the stored claim."""

    kind: VerdictKind
    status: ClaimStatus = ClaimStatus.CLAIMED
    fingerprint: str = ""
    result: str = ""


class Segment(NamedTuple):
    """The stored value of a segment; of two claims for one key the later is valid."""

    sealed: bool
    claims: tuple[Claim, ...]


class PendingOperation(NamedTuple):
    """An operation that waits for its commit.

    Attributes
    ----------
    operation : Operation
        The requested operation.
    call_id : str or None
        The peer's call that waits for the verdict; None for the daemon itself.
    expires_ms : int
        Reading of the monotonic clock after which the sender no longer waits.
    tries : int
        Number of unsuccessful commits that included the operation.
    uncertain : bool
        Whether one of these commits may still take effect.
    """

    operation: Operation
    call_id: str | None
    expires_ms: int
    tries: int = 0
    uncertain: bool = False


class Batch(NamedTuple):
    """Operations committed in one write, with their verdicts and changed claims."""

    pending: tuple[PendingOperation, ...]
    verdicts: tuple[Verdict, ...]
    changed: dict[str, Claim]
    sealed: bool


class ClaimRange:
    """The owner's cached state of one range.

    The state may be stale when another daemon has taken over the range. The write of a
    batch expects the cached revision of the open segment, so it fails in that case.

    Attributes
    ----------
    loaded : bool
        Whether the segments have been read.
    busy : bool
        Whether a store call that reads or writes the range is in flight.
    claims : dict
        The latest claim of each key.
    oldest_number : int
        Number of the first segment that may still exist.
    pruning : bool
        Whether a store call for the oldest segment is in flight.
    open_number, open_revision : int
        The open segment; revision 0 when it does not exist yet.
    open_keys : set of str
        Keys of the claims in the open segment.
    pending : list of PendingOperation
        Operations that wait for a commit.
    batch : Batch or None
        The batch that is being written.
    batch_due_ms : int
        When the first pending operation has waited long enough for others to join it.
    paced_until_ms : int
        Time up to which earlier commits have used the range's share of store writes.
    confirmed_ms : int
        When the cached state last matched the store.
    evicted_before_ms : int
        Claims made before this time have been evicted.
    timer_due_ms : int or None
        When the timer for the next batch is due; None without a timer.
    """

    def __init__(self, index: int) -> None:
        self.index = index
        self.loaded = False
        self.busy = False
        self.claims: dict[str, Claim] = {}
        self.oldest_number = 1
        self.pruning = False
        self.open_number = 1
        self.open_revision = 0
        self.open_keys: set[str] = set()
        self.pending: list[PendingOperation] = []
        self.batch: Batch | None = None
        self.batch_due_ms = 0
        self.paced_until_ms = 0
        self.confirmed_ms = 0
        self.evicted_before_ms = 0
        self.timer_due_ms: int | None = None

    def add_older(self, segment: Segment) -> None:
        """Add the claims of a segment that precedes all loaded segments."""
        for claim in segment.claims:
            self.claims.setdefault(claim.key, claim)

    def add_newest(self, number: int, revision: int, segment: Segment) -> None:
        """Add the claims of the last segment in the chain."""
        self.claims |= {claim.key: claim for claim in segment.claims}
        self.open_number = number
        self.open_revision = revision
        self.open_keys = {claim.key for claim in segment.claims}
        if segment.sealed:
            self.begin_segment(number + 1)

    def begin_segment(self, number: int) -> None:
        """Make a segment that does not exist in the store yet the open one."""
        self.open_number = number
        self.open_revision = 0
        self.open_keys = set()

    def current_claim(self, key: str, oldest_ms: int) -> Claim | None:
        """Return the claim of a key; None when the key is free or its claim too old."""
        claim = self.claims.get(key)
        return claim if claim is not None and claim.claimed_ms >= oldest_ms else None

    def evict_before(self, oldest_ms: int) -> None:
        """Evict the claims that were made before a time since the Unix epoch.

        To bound the cost of the scan, nothing happens until the time has advanced by
        `EVICTION_INTERVAL_MS`.
        """
        if oldest_ms < self.evicted_before_ms + EVICTION_INTERVAL_MS:
            return
        self.evicted_before_ms = oldest_ms
        old = [
            key for key, claim in self.claims.items() if claim.claimed_ms < oldest_ms
        ]
        for key in old:
            del self.claims[key]
        self.open_keys -= set(old)

    def open_claims(self, changed: dict[str, Claim]) -> tuple[Claim, ...]:
        """Return the claims of the open segment with the changed claims applied."""
        kept = {key: self.claims[key] for key in sorted(self.open_keys)}
        return tuple((kept | changed).values())


class RangeTable:
    """The cached ranges for which a daemon has acted as the owner."""

    def __init__(self) -> None:
        self._ranges: dict[int, ClaimRange] = {}

    def of(self, index: int) -> ClaimRange:
        """Return a range; it is created without its segments when not cached."""
        if index not in self._ranges:
            self._ranges[index] = ClaimRange(index)
        return self._ranges[index]

    def evict_idle(self, confirmed_before_ms: int) -> None:
        """Evict the idle ranges that last matched the store before a time."""
        for index, claim_range in list(self._ranges.items()):
            in_use = claim_range.busy or claim_range.pending
            if not in_use and claim_range.confirmed_ms < confirmed_before_ms:
                del self._ranges[index]


def range_of(key: str) -> int:
    """Return the index of the range that holds a claim's key."""
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % RANGE_COUNT
