"""Writes of the journal to the store, one value at a time.

A value is kept unchanged until the store confirms it, so a write whose reply was lost
can be repeated safely.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import (
    commands,
    events,
    store_calls,
    stored_values,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, store
from amaranthpulley.state.accounts import journal

Random = Callable[[], float]
Commands = list[commands.Command]

LIFE_PREFIX: Final = "journal/lives/"
BATCH_PREFIX: Final = "journal/batches/"
BUCKET_MS: Final = 600_000
MAXIMUM_BATCH_BYTES: Final = 900_000
MINIMUM_RETRY_DELAY_MS: Final = 1_000
CHECKPOINT_INTERVAL_MS: Final = 60_000
# Limit for the journals of all daemons, out of several hundred store writes a second.
FLEET_WRITES_PER_SECOND: Final = 100


class WriteRetryDue(NamedTuple):
    """Purpose of the timer that repeats the pending write."""


class JournalWritten(NamedTuple):
    """Purpose of the store call that writes a batch or the life."""


class LifeRead(NamedTuple):
    """Purpose of the store call that reads the life back."""


def life_key(vm: str, life: str) -> str:
    """Return the store key of a life."""
    return f"{LIFE_PREFIX}{vm}/{life}"


def bucket_of(time_ms: int) -> int:
    """Return the start of the time bucket that contains a time, in milliseconds."""
    return time_ms - time_ms % BUCKET_MS


def batch_key(batch: journal.Batch) -> str:
    """Return the store key of a batch; keys sort by time bucket."""
    first, last = batch.chunks[0], batch.chunks[-1]
    bucket_ms = bucket_of(first.first_recorded_ms)
    numbers = f"{first.first_sequence:012d}-{last.last_sequence:012d}"
    return f"{BATCH_PREFIX}{bucket_ms:014d}/{batch.vm}/{batch.life}/{numbers}"


def flush_interval_ms(daemon: daemon_state.Daemon) -> int:
    """Return the time between two writes, which grows with the number of daemons."""
    fleet_ms = len(daemon.members.live) * 1_000 // FLEET_WRITES_PER_SECOND
    return max(daemon.limits.journal_flush_ms, fleet_ms)


def write_next(daemon: daemon_state.Daemon, wall_ms: int) -> Commands:
    """Write the next batch or state of the life, if one is due.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    wall_ms : int
        The current time, in milliseconds since the Unix epoch.
    """
    own_journal = daemon.journal
    if own_journal.pending_write is not None:
        return []
    if own_journal.sealed and own_journal.announced:
        return _write_batch(daemon, wall_ms)
    if not own_journal.announced:
        return write_life(daemon, own_journal.life)
    drained = daemon.closed_to_callers and daemon.requests_in_progress == 0
    if drained and not own_journal.closed:
        return write_life(
            daemon, _current_life(daemon, wall_ms, journal.LifeStatus.CLOSED)
        )
    interval_ms = max(CHECKPOINT_INTERVAL_MS, flush_interval_ms(daemon))
    if not daemon.draining and wall_ms - own_journal.last_write_ms >= interval_ms:
        return write_life(
            daemon, _current_life(daemon, wall_ms, journal.LifeStatus.OPEN)
        )
    return []


def write_life(daemon: daemon_state.Daemon, life: journal.Life) -> Commands:
    """Write a state of the life."""
    own_journal = daemon.journal
    own_journal.pending_write = journal.PendingWrite(
        life_key(life.vm, life.life),
        own_journal.life_revision,
        stored_values.encode_life(life),
        life=life,
    )
    return _send_pending_write(daemon)


def confirm_write(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Confirm a successful write; after a failure schedule it again."""
    own_journal = daemon.journal
    write, result = own_journal.pending_write, event.result
    wall_ms = daemon.wall_ms(now_ms)
    if isinstance(result, store.StoreFailed):
        return [_log_failure(daemon, result), _schedule_retry(daemon, now_ms, random)]
    if write.batch is not None:
        # A key that already exists holds the same value: the key contains the life
        # and the numbers, and a write is repeated unchanged.
        own_journal.confirm_batch(
            write.batch, bucket_of(write.batch.chunks[0].first_recorded_ms), wall_ms
        )
        return [*_log_batch(daemon, write), *write_next(daemon, wall_ms)]
    if result.succeeded:
        return _confirm_life(daemon, write.life, result.revision, wall_ms)
    return [store_calls.call(daemon, LifeRead(), store.Get(write.key))]


def resolve_life_write(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Confirm a life write whose reply was lost, or replace another daemon's value."""
    own_journal = daemon.journal
    write, result = own_journal.pending_write, event.result
    if isinstance(result, store.StoreFailed):
        return [_log_failure(daemon, result), _schedule_retry(daemon, now_ms, random)]
    if result.value == write.value:
        wall_ms = daemon.wall_ms(now_ms)
        return _confirm_life(daemon, write.life, result.revision, wall_ms)
    # Another daemon has marked this life as lapsed; the current value replaces that.
    own_journal.pending_write = write._replace(expected_revision=result.revision)
    reopened = commands.log(log_events.JOURNAL_LIFE_REOPENED, life=daemon.identity.life)
    return [reopened, *_send_pending_write(daemon)]


def repeat_write(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Repeat the pending write."""
    return (
        _send_pending_write(daemon) if daemon.journal.pending_write is not None else []
    )


def _current_life(
    daemon: daemon_state.Daemon, wall_ms: int, status: journal.LifeStatus
) -> journal.Life:
    own_journal = daemon.journal
    return own_journal.life._replace(
        status=status,
        last_sequence=own_journal.last_sequence,
        complete_ms=own_journal.complete_ms(wall_ms, written_chunks=0),
        ended_ms=wall_ms if status is journal.LifeStatus.CLOSED else 0,
    )


def _write_batch(daemon: daemon_state.Daemon, wall_ms: int) -> Commands:
    own_journal = daemon.journal
    bucket_ms = bucket_of(own_journal.sealed[0].first_recorded_ms)
    chunks: list[journal.Chunk] = []
    size_bytes = 0
    for chunk in own_journal.sealed:
        size_bytes += chunk.size_bytes
        if chunks and (
            size_bytes > MAXIMUM_BATCH_BYTES
            or bucket_of(chunk.first_recorded_ms) != bucket_ms
        ):
            break
        chunks.append(chunk)
    batch = journal.Batch(
        daemon.identity.name,
        daemon.identity.life,
        own_journal.previous_bucket_ms,
        own_journal.complete_ms(wall_ms, len(chunks)),
        tuple(chunks),
    )
    value = stored_values.encode_batch(batch)
    own_journal.pending_write = journal.PendingWrite(
        batch_key(batch), 0, value, batch=batch
    )
    return _send_pending_write(daemon)


def _send_pending_write(daemon: daemon_state.Daemon) -> Commands:
    write = daemon.journal.pending_write
    swap = store.Swap(write.key, write.expected_revision, write.value)
    return [store_calls.call(daemon, JournalWritten(), swap)]


def _confirm_life(
    daemon: daemon_state.Daemon, life: journal.Life, revision: int, wall_ms: int
) -> Commands:
    first = not daemon.journal.announced
    daemon.journal.confirm_life(life, revision, wall_ms)
    logged: Commands = []
    if first:
        event = log_events.JOURNAL_LIFE_ANNOUNCED
        logged = [commands.log(event, life=life.life)]
    if life.status is journal.LifeStatus.CLOSED:
        event = log_events.JOURNAL_LIFE_CLOSED
        logged = [commands.log(event, last=life.last_sequence)]
    return [*logged, *write_next(daemon, wall_ms)]


def _log_batch(daemon: daemon_state.Daemon, write: journal.PendingWrite) -> Commands:
    daemon.counters.add("journal_batches_written_total")
    daemon.counters.add("journal_bytes_written_total", len(write.value))
    written = commands.log(
        log_events.JOURNAL_BATCH_WRITTEN,
        first=write.batch.chunks[0].first_sequence,
        last=write.batch.chunks[-1].last_sequence,
        size_bytes=len(write.value),
    )
    return [written]


def _log_failure(
    daemon: daemon_state.Daemon, result: store.StoreFailed
) -> commands.Log:
    daemon.counters.add("journal_write_failures_total")
    return commands.log(
        log_events.JOURNAL_WRITE_FAILED,
        reason=result.reason,
        unwritten=daemon.journal.unwritten_records,
    )


def _schedule_retry(
    daemon: daemon_state.Daemon, now_ms: int, random: Random
) -> commands.SetTimer:
    # Random within an interval, so that the daemons of a fleet do not retry together.
    wait_ms = MINIMUM_RETRY_DELAY_MS + int(random() * flush_interval_ms(daemon))
    return commands.SetTimer(WriteRetryDue(), now_ms + wait_ms)


HANDLERS: Final = {
    WriteRetryDue: repeat_write,
    JournalWritten: confirm_write,
    LifeRead: resolve_life_write,
}
