"""Records of requests, by which each customer's requests stay accountable.

A daemon numbers its records from 1 in each of its lives. Records are sealed into chunks
with one compressed segment for each customer; consecutive chunks are written to the
store as one batch.
"""

import collections
import enum
from collections.abc import Generator
from typing import Final, NamedTuple

from amaranthpulley.state import store

RECORD_OVERHEAD_BYTES: Final = 600


class JournalRecord(NamedTuple):
    """What is kept of one request.

    Attributes
    ----------
    request_id : str
        Unique identifier of the request.
    customer, service : str
        Whose request it was, and to which service.
    kind : str
        ``"search"`` or ``"order"``.
    received_ms : int
        Time of arrival, in milliseconds since the Unix epoch.
    asked : str
        The query, or the payload of an order.
    key : str
        The key of a look-up or the idempotency key of an order, else empty.
    vm : str
        Name of the VM that received it.
    outcome : str
        Name of the outcome, with the code of a refusal; empty while not known.
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
    """A record with its number in the daemon's life and the time of its end."""

    sequence: int
    recorded_ms: int
    record: JournalRecord


class OverflowPolicy(enum.StrEnum):
    """What happens to requests when the memory for unwritten records is full.

    `REFUSE` takes on no new request; `DROP` serves on and leaves numbered gaps.
    """

    REFUSE = "refuse"
    DROP = "drop"


class LifeStatus(enum.StrEnum):
    """Whether a life may still have unwritten records."""

    OPEN = "open"
    CLOSED = "closed"
    LAPSED = "lapsed"


class Life(NamedTuple):
    """What the store holds of one life of a daemon.

    Attributes
    ----------
    vm, life : str
        Identify the life.
    started_ms : int
        When it began, in milliseconds since the Unix epoch.
    status : LifeStatus
        `CLOSED` by the daemon itself; `LAPSED` by another one after its VM was gone.
    last_sequence : int
        The last number that was given when this value was written.
    complete_ms : int
        Requests received before this time have been numbered and written.
    ended_ms : int
        When it was closed or found to have lapsed; 0 while open.
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

    Attributes
    ----------
    customer : str
        Whose records they are; empty once they have been erased.
    count : int
        Number of records.
    data : bytes
        The compressed records; empty once they have been erased.
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
    first_ms, last_ms : int
        When its first and last record were made.
    oldest_received_ms : int
        Earliest arrival of its requests.
    dropped : int
        How many numbers right before it have no record.
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
        Identify the life.
    previous_bucket_ms : int
        Time bucket of the batch before it; 0 for the first one of the life.
    complete_ms : int
        Requests received before this time are in this batch, in an earlier one, or
        among the numbers that these list as dropped.
    chunks : tuple of Chunk
        In ascending order of their numbers; at least one.
    """

    vm: str
    life: str
    previous_bucket_ms: int
    complete_ms: int
    chunks: tuple[Chunk, ...]


class PendingWrite(NamedTuple):
    """A value that is being written, kept unchanged until the store has it.

    Attributes
    ----------
    key : str
        Where it goes.
    expected_revision : int
        The revision that the key must have.
    value : bytes
        The stored form.
    batch : Batch or None
        The batch that the value holds; None for the life itself.
    life : Life or None
        The life that the value holds; None for a batch.
    """

    key: str
    expected_revision: int
    value: bytes
    batch: Batch | None = None
    life: Life | None = None


class SweepState:
    """What the daemon that erases old records remembers of it.

    Attributes
    ----------
    steps : generator or None
        The sweep that is under way.
    listed_vms : frozenset of str or None
        The VMs on the platform's list; None until it was read.
    unlisted_since_ms : dict
        When each VM with an open life was first missed on the list.
    erased_before_ms : dict
        By customer the time bucket before which its records are erased already.
    claims_erased_before_ms : dict
        The same for the records that came with the claims of orders.
    """

    def __init__(self) -> None:
        self.steps: Generator[store.Operation, store.Result, None] | None = None
        self.listed_vms: frozenset[str] | None = None
        self.unlisted_since_ms: dict[str, int] = {}
        self.erased_before_ms: dict[str, int] = {}
        self.claims_erased_before_ms: dict[str, int] = {}


class Journal:
    """What one daemon has recorded and not yet written."""

    def __init__(self) -> None:
        self.life: Life | None = None
        self.life_revision = 0
        self.last_sequence = 0
        self.last_write_ms = 0
        self.previous_bucket_ms = 0
        self.pending_write: PendingWrite | None = None
        self.unsealed: list[NumberedRecord] = []
        self.sealed: collections.deque[Chunk] = collections.deque()
        self.dropped_count = 0
        self.dropped_since_ms = 0
        self.sweep_state = SweepState()
        self._received: dict[str, int] = {}
        self._fresh_bytes = 0
        self._sealed_bytes = 0
        self._sealed_records = 0

    @property
    def announced(self) -> bool:
        """Whether the store is known to hold the life."""
        return self.life_revision > 0

    @property
    def size_bytes(self) -> int:
        """Estimated memory of the records that are not yet written."""
        return self._fresh_bytes + self._sealed_bytes

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
        """Whether the store holds the life as closed with its last number."""
        life = self.life
        return (
            life is not None
            and life.status is LifeStatus.CLOSED
            and life.last_sequence == self.last_sequence
        )

    def add_arrival(self, request_id: str, received_ms: int) -> None:
        """Note a request that will get a record."""
        self._received[request_id] = received_ms

    def drop_unanswered(self, received_before_ms: int) -> None:
        """Use up a number for each request before a time that never got an answer.

        The fresh records must have been sealed before.
        """
        for request_id, received_ms in list(self._received.items()):
            if received_ms >= received_before_ms:
                return
            del self._received[request_id]
            self.drop(received_ms)

    def pop_arrival(self, request_id: str, default_ms: int) -> int:
        """Return when a request arrived and stop to wait for its record."""
        return self._received.pop(request_id, default_ms)

    def append(self, recorded_ms: int, record: JournalRecord) -> None:
        """Keep a record under the next number."""
        self.last_sequence += 1
        self.unsealed.append(NumberedRecord(self.last_sequence, recorded_ms, record))
        self._fresh_bytes += size_of(record)

    def drop(self, received_ms: int) -> None:
        """Use up a number without keeping the record.

        The fresh records must have been sealed before.
        """
        self.last_sequence += 1
        self.dropped_count += 1
        since_ms = self.dropped_since_ms or received_ms
        self.dropped_since_ms = min(since_ms, received_ms)

    def seal(self, segments: tuple[Segment, ...]) -> None:
        """Replace the fresh records by a chunk with these segments."""
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
        self._fresh_bytes = 0
        self.dropped_count = 0
        self.dropped_since_ms = 0

    def complete_ms(self, now_ms: int, written_chunks: int) -> int:
        """Return the time before which every request is written or listed.

        Parameters
        ----------
        now_ms : int
            The present time, in milliseconds since the Unix epoch.
        chunks_taken : int
            How many sealed chunks count as written.
        """
        times_ms = [now_ms, next(iter(self._received.values()), now_ms)]
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
        """Drop the chunks that the store now holds."""
        for chunk in batch.chunks:
            self.sealed.popleft()
            self._sealed_bytes -= chunk.size_bytes
            self._sealed_records -= chunk.last_sequence - chunk.first_sequence + 1
        self.previous_bucket_ms = bucket_ms
        self.last_write_ms = now_ms
        self.pending_write = None

    def confirm_life(self, life: Life, revision: int, now_ms: int) -> None:
        """Note that the store holds the life."""
        self.life = life
        self.life_revision = revision
        self.last_write_ms = now_ms
        self.pending_write = None


def size_of(record: JournalRecord) -> int:
    """Return the estimated memory of a record, in bytes."""
    return RECORD_OVERHEAD_BYTES + 4 * (len(record.asked) + len(record.key))
