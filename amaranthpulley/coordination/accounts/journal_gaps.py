"""Detection of gaps: requests in a time window whose journal records are missing.

The gaps of each life are found from its numbered batches, read in the order of their
keys. Each gap states the time range in which the missing requests may have arrived.
"""

import enum
import itertools
from collections.abc import Iterable
from typing import NamedTuple

from amaranthpulley.coordination.accounts import journal_writes, request_journal
from amaranthpulley.state.accounts import journal


class Window(NamedTuple):
    """A half-open interval of arrival times, in milliseconds since the Unix epoch."""

    from_ms: int
    to_ms: int

    @property
    def first_bucket_ms(self) -> int:
        """The first time bucket that may hold a record of the window."""
        from_ms = self.from_ms - journal_writes.BUCKET_MS
        return max(0, journal_writes.bucket_of(from_ms))

    @property
    def last_bucket_ms(self) -> int:
        """The last time bucket that may hold a record of the window."""
        to_ms = self.to_ms + request_journal.LONGEST_REQUEST_MS
        return journal_writes.bucket_of(to_ms)

    def contains(self, received_ms: int) -> bool:
        """Return whether a time lies in the window."""
        return self.from_ms <= received_ms < self.to_ms


class GapReason(enum.StrEnum):
    """Why records are missing.

    `DROPPED`: the journal's memory was full, or the request was never answered.
    `MISSING`: a batch that was written is not in the store. `UNWRITTEN`: the daemon
    ended before it wrote the records. `OPEN`: the daemon is still running, or its end
    is not recorded. `EXPIRED`: erased after the retention period.
    """

    DROPPED = "dropped"
    MISSING = "missing"
    UNWRITTEN = "unwritten"
    OPEN = "open"
    EXPIRED = "expired"


class Gap(NamedTuple):
    """Requests without a record.

    Attributes
    ----------
    vm, life : str
        Name of the VM, and identifier of the life on it; empty for expired records.
    first_sequence, last_sequence : int or None
        The numbers of the records; None where a number is not known.
    since_ms, until_ms : int or None
        Earliest and latest possible arrival, both inclusive, in milliseconds since the
        Unix epoch; None for an open end.
    reason : GapReason
        Why the records are missing.
    """

    vm: str
    life: str
    first_sequence: int | None
    last_sequence: int | None
    since_ms: int
    until_ms: int | None
    reason: GapReason

    def overlaps(self, window: Window) -> bool:
        """Return whether a missing request may have arrived in the window."""
        ends_before = self.until_ms is not None and self.until_ms < window.from_ms
        return self.since_ms < window.to_ms and not ends_before


class GapDetector:
    """Finds the gaps of one life from its batches, added in the order of their keys.

    Parameters
    ----------
    vm, life : str
        Name of the VM, and identifier of the life on it.
    window : Window
        The arrival times of interest.
    kept_from_ms : int
        The time bucket before which batches have been erased.
    """

    def __init__(
        self, vm: str, life: str, window: Window, kept_from_ms: int = 0
    ) -> None:
        self._gaps: list[Gap] = []
        self._vm = vm
        self._life = life
        self._window = window
        self._listed_from_ms = max(window.first_bucket_ms, kept_from_ms)
        self._last_sequence: int | None = None
        self._complete_ms = 0

    def add_batch(self, batch: journal.Batch) -> list[journal.Chunk]:
        """Add a batch and return those of its chunks that no earlier batch covered."""
        chunks = [
            chunk
            for chunk in batch.chunks
            if chunk.last_sequence > (self._last_sequence or 0)
        ]
        if not chunks:
            return []
        self._add_gap_before(batch, chunks[0])
        for chunk in chunks:
            if chunk.dropped_count:
                self._add(
                    chunk.first_sequence - chunk.dropped_count,
                    chunk.first_sequence - 1,
                    chunk.dropped_since_ms,
                    chunk.first_recorded_ms,
                    GapReason.DROPPED,
                )
        self._last_sequence = chunks[-1].last_sequence
        self._complete_ms = batch.complete_ms
        return chunks

    def finish(self, life: journal.Life, successor_ms: int | None) -> list[Gap]:
        """Return all gaps of the life that overlap the window.

        Parameters
        ----------
        life : Life
            The stored state of the life.
        successor_ms : int or None
            When the next life on the same VM began; None without one.
        """
        if life.status is journal.LifeStatus.CLOSED:
            self._add_gap_before_close(life)
        else:
            self._add_gap_after_last_write(life, successor_ms)
        return [gap for gap in self._gaps if gap.overlaps(self._window)]

    def _add_gap_before(self, batch: journal.Batch, chunk: journal.Chunk) -> None:
        before = chunk.first_sequence - chunk.dropped_count - 1
        if self._last_sequence is None:
            if batch.previous_bucket_ms < self._listed_from_ms or before == 0:
                return
            since_ms = batch.previous_bucket_ms - request_journal.LONGEST_REQUEST_MS
            self._add(
                None, before, since_ms, chunk.first_recorded_ms, GapReason.MISSING
            )
        elif before > self._last_sequence:
            first = self._last_sequence + 1
            since_ms = self._complete_ms
            self._add(
                first, before, since_ms, chunk.first_recorded_ms, GapReason.MISSING
            )

    def _add_gap_after_last_write(
        self, life: journal.Life, successor_ms: int | None
    ) -> None:
        ends_ms = [life.ended_ms] if life.ended_ms else []
        ends_ms += [] if successor_ms is None else [successor_ms]
        until_ms = min(ends_ms, default=None)
        reason = GapReason.OPEN if until_ms is None else GapReason.UNWRITTEN
        first = (self._last_sequence or life.last_sequence) + 1
        since_ms = max(self._complete_ms, life.complete_ms)
        self._add(first, None, since_ms, until_ms, reason)

    def _add_gap_before_close(self, life: journal.Life) -> None:
        if life.complete_ms < life.ended_ms:
            first = (self._last_sequence or life.last_sequence) + 1
            self._add(
                min(first, life.last_sequence),
                life.last_sequence,
                life.complete_ms,
                life.ended_ms,
                GapReason.DROPPED,
            )
            return
        seen = self._last_sequence
        listed = journal_writes.bucket_of(life.ended_ms) <= self._window.last_bucket_ms
        if seen is not None and listed and life.last_sequence > seen:
            self._add(
                seen + 1,
                life.last_sequence,
                self._complete_ms,
                life.ended_ms,
                GapReason.MISSING,
            )

    def _add(
        self,
        first_sequence: int | None,
        last_sequence: int | None,
        since_ms: int,
        until_ms: int | None,
        reason: GapReason,
    ) -> None:
        self._gaps.append(
            Gap(
                self._vm,
                self._life,
                first_sequence,
                last_sequence,
                since_ms,
                until_ms,
                reason,
            )
        )


def expired_gaps(horizon_ms: int, window: Window) -> list[Gap]:
    """Return the gap left by the erasure of expired records, if it overlaps a window.

    Parameters
    ----------
    horizon_ms : int
        The time bucket before which batches have been erased.
    window : Window
        The arrival times of interest.
    """
    gap = Gap("", "", None, None, 0, horizon_ms - 1, GapReason.EXPIRED)
    return [gap] if horizon_ms > 0 and gap.overlaps(window) else []


def successor_start_times(lives: Iterable[journal.Life]) -> dict[tuple[str, str], int]:
    """Return, by VM and life, when the next life on the same VM began."""
    by_vm: dict[str, list[journal.Life]] = {}
    for life in lives:
        by_vm.setdefault(life.vm, []).append(life)
    found = {}
    for same_vm in by_vm.values():
        ordered = sorted(same_vm, key=lambda life: (life.started_ms, life.life))
        for earlier, later in itertools.pairwise(ordered):
            found[earlier.vm, earlier.life] = later.started_ms
    return found


def life_overlaps(life: journal.Life, window: Window) -> bool:
    """Return whether a life may have received requests of the window."""
    ended_before = 0 < life.ended_ms < window.from_ms
    return life.started_ms < window.to_ms and not ended_before
