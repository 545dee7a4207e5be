"""The journal: numbered records that account for each customer's requests.

A life lasts from the start of a daemon process to its end. A daemon numbers its records
from 1 in each life, so that a lost record leaves a gap in the numbers. Records are
sealed into chunks with one compressed segment for each customer; consecutive chunks are
written to the store as one batch.
"""

import collections
import enum
from collections.abc import Generator
from typing import Final, NamedTuple

from amaranthpulley.state import store

RECORD_OVERHEAD_BYTES: Final = 600


class JournalRecord(NamedTuple):
    """The record of one request.

    Attributes
    ----------
    request_id, customer, service : str
        The request's unique identifier, the customer that sent it, and the service.
    kind : str
        ``"search"`` or ``"order"``.
    received_ms : int
        Time of arrival, in milliseconds since the Unix epoch.
    asked : str
        The query, or the payload of an order.
    key : str
        The key of a look-up or the idempotency key of an order; otherwise empty.
    vm : str
        Name of the VM that received it.
    outcome : str
        Name of the outcome, with the code of a refusal; empty until it is known.
    version : int
        Index version of the answer; 0 without one.
    coverage : float
        Coverage of the answer, 0.0 to 1.0.
    attempts : int
        Number of requests sent to targets for it.
    """

    request_id: str
    customer: str
    service: str
    kind: str
    received_ms: int
    asked: str
    key: str
    vm: str
    outcome: str = ""
    version: int = 0
    coverage: float = 0.0
    attempts: int = 0


class NumberedRecord(NamedTuple):
    """A record with its number in the life and the time when its request ended."""

    sequence: int
    recorded_ms: int
    record: JournalRecord


class OverflowPolicy(enum.StrEnum):
    """How new requests are handled when the memory for unwritten records is full.

    `REFUSE` refuses them; `DROP` serves them and assigns numbers without records.
    """

    REFUSE = "refuse"
    DROP = "drop"


class LifeStatus(enum.StrEnum):
    """Whether a life may still have unwritten records."""

    OPEN = "open"
    CLOSED = "closed"
    LAPSED = "lapsed"


class Life(NamedTuple):
    """The stored state of one life of a daemon.

    Attributes
    ----------
    vm, life : str
        Name of the VM, and identifier of the life on it.
    started_ms : int
        When it began, in milliseconds since the Unix epoch.
    status : LifeStatus
        `CLOSED` is set by the daemon itself; `LAPSED` by another daemon after the
        platform stopped listing the VM.
    last_sequence : int
        The last number that was assigned when this value was written.
    complete_ms : int
        Requests received before this time have been numbered and written.
    ended_ms : int
        When it was closed or marked as lapsed; 0 while open.
    """

    vm: str
    life: str
    started_ms: int
    status: LifeStatus = LifeStatus.OPEN
    last_sequence: int = 0
    complete_ms: int = 0
    ended_ms: int = 0


class Segment(NamedTuple):
    """The records of one customer in a chunk, compressed.

    `count` is their number. `customer` and `data` are empty once they are erased.
    """

    customer: str
    count: int
    data: bytes


class Chunk(NamedTuple):
    """Records with consecutive numbers.

    Attributes
    ----------
    first_sequence, last_sequence : int
        The numbers that it covers, both inclusive.
    first_recorded_ms, last_recorded_ms : int
        When the requests of its first and last record ended.
    oldest_received_ms : int
        Earliest arrival of its requests.
    dropped_count : int
        How many numbers directly before it have no record.
    dropped_since_ms : int
        Earliest arrival of the requests without a record; 0 when there are none.
    segments : tuple of Segment
        One for each customer, in ascending order of their names.
    """

    first_sequence: int
    last_sequence: int
    first_recorded_ms: int
    last_recorded_ms: int
    oldest_received_ms: int
    dropped_count: int
    dropped_since_ms: int
    segments: tuple[Segment, ...]

    @property
    def size_bytes(self) -> int:
        """The size of the compressed records."""
        return sum(len(segment.data) for segment in self.segments)


class Batch(NamedTuple):
    """Consecutive chunks of one life, written as one value.

    Attributes
    ----------
    vm, life : str
        Name of the VM, and identifier of the life on it.
    previous_bucket_ms : int
        Time bucket of the previous batch; 0 for the first batch of the life.
    complete_ms : int
        Each request received before this time has its record in this batch or an
        earlier one, or a number that one of them counts as dropped.
    chunks : tuple of Chunk
        In ascending order of their numbers; at least one.
    """

    vm: str
    life: str
    previous_bucket_ms: int
    complete_ms: int
    chunks: tuple[Chunk, ...]


class PendingWrite(NamedTuple):
    """A value that is being written, kept unchanged until the store confirms it.

    It is written to the store key only if that has the expected revision. The value
    encodes either `batch` or `life`; the other of the two is None.
    """

    key: str
    expected_revision: int
    value: bytes
    batch: Batch | None = None
    life: Life | None = None


class SweepState:
    """State that a daemon keeps between its sweeps for expired records.

    Attributes
    ----------
    steps : generator or None
        The sweep in progress.
    listed_vms : frozenset of str or None
        The VMs on the platform's list; None until it has been read.
    unlisted_since_ms : dict
        By VM with a stored life, when it was first missing from the list.
    erased_before_ms : dict
        By customer, the time bucket before which its records have been erased.
    claims_erased_before_ms : dict
        By customer, the time before which the records stored with the claims of its
        orders have been erased.
    """

    def __init__(self) -> None:
        self.steps: Generator[store.Operation, store.Result, None] | None = None
        self.listed_vms: frozenset[str] | None = None
        self.unlisted_since_ms: dict[str, int] = {}
        self.erased_before_ms: dict[str, int] = {}
        self.claims_erased_before_ms: dict[str, int] = {}


class Journal:
    """The records that one daemon has not yet written, and the state of its life.

    Attributes
    ----------
    life : Life or None
        The last confirmed state of the life, or the state to announce; None until the
        daemon has started.
    life_revision : int
        Store revision of the life; 0 until the store holds it.
    last_sequence : int
        The last assigned number.
    last_write_ms : int
        When the store last confirmed a write, since the Unix epoch.
    previous_bucket_ms : int
        Time bucket of the last confirmed batch; 0 before the first one.
    pending_write : PendingWrite or None
        The write in progress.
    unsealed : list of NumberedRecord
        Records that are not in a chunk yet.
    sealed : deque of Chunk
        Chunks that the store does not hold yet.
    dropped_count, dropped_since_ms : int
        As in `Chunk`, for the next chunk.
    sweep_state : SweepState
        The state of the daemon's sweeps.
    """

    def __init__(self) -> None:
        self.life: Life | None = None
        self.life_revision = 0
        self.last_sequence = 0
        self.last_write_ms = 0
        # Number of the timer chain that flushes it.
        self.flush_chain = 0
        self.previous_bucket_ms = 0
        self.pending_write: PendingWrite | None = None
        self.unsealed: list[NumberedRecord] = []
        self.sealed: collections.deque[Chunk] = collections.deque()
        self.dropped_count = 0
        self.dropped_since_ms = 0
        self.sweep_state = SweepState()
        self._arrivals: dict[str, int] = {}
        self._unsealed_bytes = 0
        self._sealed_bytes = 0
        self._sealed_records = 0

    @property
    def announced(self) -> bool:
        """Whether the store is known to hold the life."""
        return self.life_revision > 0

    @property
    def size_bytes(self) -> int:
        """Estimated memory of the unwritten records."""
        return self._unsealed_bytes + self._sealed_bytes

    @property
    def sealed_bytes(self) -> int:
        """Size of the sealed chunks."""
        return self._sealed_bytes

    @property
    def unwritten_records(self) -> int:
        """Number of records that the store is not known to hold."""
        return len(self.unsealed) + self._sealed_records

    @property
    def closed(self) -> bool:
        """Whether the store holds the life as closed, with the last assigned number."""
        life = self.life
        return (
            life is not None
            and life.status is LifeStatus.CLOSED
            and life.last_sequence == self.last_sequence
        )

    def add_arrival(self, request_id: str, received_ms: int) -> None:
        """Enter the arrival of a request that will get a record."""
        self._arrivals[request_id] = received_ms

    def drop_unanswered(self, received_before_ms: int) -> None:
        """Assign numbers without records to unanswered requests from before a time.

        All records must have been sealed before.
        """
        for request_id, received_ms in list(self._arrivals.items()):
            if received_ms >= received_before_ms:
                return
            del self._arrivals[request_id]
            self.drop(received_ms)

    def pop_arrival(self, request_id: str, default_ms: int) -> int:
        """Remove a request's arrival and return its time, or the default if unknown."""
        return self._arrivals.pop(request_id, default_ms)

    def append(self, recorded_ms: int, record: JournalRecord) -> None:
        """Add a record under the next number."""
        self.last_sequence += 1
        self.unsealed.append(NumberedRecord(self.last_sequence, recorded_ms, record))
        self._unsealed_bytes += size_of(record)

    def drop(self, received_ms: int) -> None:
        """Assign the next number without keeping a record.

        All records must have been sealed before.
        """
        self.last_sequence += 1
        self.dropped_count += 1
        since_ms = self.dropped_since_ms or received_ms
        self.dropped_since_ms = min(since_ms, received_ms)

    def seal(self, segments: tuple[Segment, ...]) -> None:
        """Replace the unsealed records by a chunk with these segments."""
        first, last = self.unsealed[0], self.unsealed[-1]
        oldest_ms = min(numbered.record.received_ms for numbered in self.unsealed)
        chunk = Chunk(
            first.sequence,
            last.sequence,
            first.recorded_ms,
            last.recorded_ms,
            oldest_ms,
            self.dropped_count,
            self.dropped_since_ms,
            segments,
        )
        self.sealed.append(chunk)
        self._sealed_bytes += chunk.size_bytes
        self._sealed_records += len(self.unsealed)
        self.unsealed = []
        self._unsealed_bytes = 0
        self.dropped_count = 0
        self.dropped_since_ms = 0

    def complete_ms(self, now_ms: int, written_chunks: int) -> int:
        """Return the time before which each request is written or counted as dropped.

        Parameters
        ----------
        now_ms : int
            The current time, in milliseconds since the Unix epoch.
        written_chunks : int
            How many of the first sealed chunks to count as written.
        """
        times_ms = [now_ms, next(iter(self._arrivals.values()), now_ms)]
        if self.dropped_since_ms:
            times_ms.append(self.dropped_since_ms)
        for index, chunk in enumerate(self.sealed):
            if index >= written_chunks:
                times_ms.append(chunk.oldest_received_ms)
                if chunk.dropped_since_ms:
                    times_ms.append(chunk.dropped_since_ms)
        times_ms += [numbered.record.received_ms for numbered in self.unsealed]
        return min(times_ms)

    def confirm_batch(self, batch: Batch, bucket_ms: int, now_ms: int) -> None:
        """Remove the chunks of a batch that the store now holds."""
        for chunk in batch.chunks:
            self.sealed.popleft()
            self._sealed_bytes -= chunk.size_bytes
            self._sealed_records -= chunk.last_sequence - chunk.first_sequence + 1
        self.previous_bucket_ms = bucket_ms
        self.last_write_ms = now_ms
        self.pending_write = None

    def confirm_life(self, life: Life, revision: int, now_ms: int) -> None:
        """Enter the state of the life that the store now holds."""
        self.life = life
        self.life_revision = revision
        self.last_write_ms = now_ms
        self.pending_write = None


def size_of(record: JournalRecord) -> int:
    """Return the estimated memory of a record, in bytes, at 4 bytes a character."""
    return RECORD_OVERHEAD_BYTES + 4 * (len(record.asked) + len(record.key))
