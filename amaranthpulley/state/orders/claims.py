"""Claims that let each order run at most once, and the ranges that they are kept in.

The claims of all orders are spread over a fixed number of ranges by the digest of the
customer and the idempotency key. In the store a range is a chain of numbered segments.
Only the last one is open; the others are sealed and never change again.
"""

import enum
import hashlib
from typing import Final, NamedTuple

from amaranthpulley.state.accounts import journal

RANGE_COUNT: Final = 32
EVICTION_INTERVAL_MS: Final = 60_000


class ClaimStatus(enum.StrEnum):
    """How far a claimed order has come.

    `NOT_RUN` frees the key: its holder has given the order up before any target ran
    it. `UNKNOWN` is final unless the holder still learns the outcome.
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
        Identifies the holder: one try of one daemon to run the order.
    fingerprint : str
        Digest of the service and payload; tells a repeat from another order.
    status : ClaimStatus
        How far the order has come.
    result : str
        The target's reply when the status is done.
    claimed_ms : int
        When the claim was made, in milliseconds since the Unix epoch.
    record : JournalRecord
        The order's record with its latest outcome.
    released : tuple of str
        The last holders that gave the key up; a late message of theirs claims
        nothing.
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
    """What a daemon asks of the owner of a claim's range.

    The status `CLAIMED` asks for the claim, any other one records the outcome.
    Repeating an operation has no further effect.

    Attributes
    ----------
    key, claim_id, fingerprint, status, result, record
        As in `Claim`.
    wait_ms : int
        How long the sender waits; a claim is not written after that.
    """

    key: str
    claim_id: str
    fingerprint: str
    status: ClaimStatus
    record: journal.JournalRecord
    result: str = ""
    wait_ms: int = 0


class VerdictKind(enum.StrEnum):
    """What became of an operation.

    `GRANTED`: the operation is in the store. `FOUND`: the key belongs to another
    holder, or this one has released it. `FAILED`: certainly not in the store.
    `UNCERTAIN`: it may be in the store, now or later.
    """

    GRANTED = "granted"
    FOUND = "found"
    FAILED = "failed"
    UNCERTAIN = "uncertain"


class Verdict(NamedTuple):
    """The reply to an operation; the other fields describe the claim that stands."""

    kind: VerdictKind
    status: ClaimStatus = ClaimStatus.CLAIMED
    fingerprint: str = ""
    result: str = ""


class Segment(NamedTuple):
    """The stored value of one segment; of two claims for a key the later one counts."""

    sealed: bool
    claims: tuple[Claim, ...]


class PendingOperation(NamedTuple):
    """An operation that waits for its commit.

    Attributes
    ----------
    operation : Operation
        What is asked.
    call_id : str or None
        The peer's call that waits for the verdict; None for the daemon itself.
    expires_ms : int
        Reading of the own clock after which the sender has given up.
    tries : int
        Number of commits that carried it without success.
    uncertain : bool
        Whether one of them may still take effect.
    """

    operation: Operation
    call_id: str | None
    expires_ms: int
    tries: int = 0
    uncertain: bool = False


class Batch(NamedTuple):
    """Operations in one write: the claims that change, and the verdicts to give."""

    pending: tuple[PendingOperation, ...]
    verdicts: tuple[Verdict, ...]
    changed: dict[str, Claim]
    sealed: bool


class ClaimRange:
    """One range as its owner knows it.

    The knowledge may be out of date when another daemon has taken the range over. The
    write of a batch expects the known revision of the open segment, so that it fails
    in that case.

    Attributes
    ----------
    loaded, busy : bool
        Whether the segments have been read, and whether a store call is on its way.
    oldest_number : int
        The first segment that may still exist.
    pruning : bool
        Whether a store call about the oldest segment is on its way.
    open_number, open_revision : int
        The open segment; revision 0 when it does not exist yet.
    gathered_ms, paced_ms : int
        When the first operation has waited for others long enough, and the time up to
        which the commits so far use the range's share of the store's writes.
    confirmed_ms : int
        When the knowledge was last in step with the store.
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
        """Enter a segment that comes before all that are known."""
        for claim in segment.claims:
            self.claims.setdefault(claim.key, claim)

    def add_newest(self, number: int, revision: int, segment: Segment) -> None:
        """Enter the last segment of the chain."""
        self.claims |= {claim.key: claim for claim in segment.claims}
        self.open_number = number
        self.open_revision = revision
        self.open_keys = {claim.key for claim in segment.claims}
        if segment.sealed:
            self.begin_segment(number + 1)

    def begin_segment(self, number: int) -> None:
        """Take a segment that does not exist yet as the open one."""
        self.open_number = number
        self.open_revision = 0
        self.open_keys = set()

    def current_claim(self, key: str, oldest_ms: int) -> Claim | None:
        """Return the claim of a key, None when it is free or its claim is too old."""
        claim = self.claims.get(key)
        return claim if claim is not None and claim.claimed_ms >= oldest_ms else None

    def evict_before(self, oldest_ms: int) -> None:
        """Drop the claims that were made before a time since the Unix epoch."""
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
        """Return the claims of the open segment with some of them changed."""
        kept = {key: self.claims[key] for key in sorted(self.open_keys)}
        return tuple((kept | changed).values())


class RangeTable:
    """The ranges that a daemon has had to do with as their owner."""

    def __init__(self) -> None:
        self._ranges: dict[int, ClaimRange] = {}

    def of(self, index: int) -> ClaimRange:
        """Return a range, one that is not loaded when it was never used."""
        if index not in self._ranges:
            self._ranges[index] = ClaimRange(index)
        return self._ranges[index]

    def evict_idle(self, confirmed_before_ms: int) -> None:
        """Drop the ranges that were last in step with the store before a time."""
        for index, held in list(self._ranges.items()):
            in_use = held.busy or held.pending
            if not in_use and held.confirmed_ms < confirmed_before_ms:
                del self._ranges[index]


def range_of(key: str) -> int:
    """Return the index of the range that a claim's key belongs to."""
    digest = hashlib.blake2b(key.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % RANGE_COUNT
