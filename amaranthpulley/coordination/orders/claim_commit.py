"""Group commit of claim operations by the owner of their range.

Each batch is one compare-and-swap of the range's open segment. It succeeds only if the
owner has read all earlier writes, so that a former or paused owner cannot grant a key
twice. When the reply to a batch is lost, the segment is read back and the batch is
decided again: operations are idempotent, so those that took effect are granted without
another write.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events, store_calls, stored_values
from amaranthpulley.coordination.orders import (
    claim_pruning,
    claim_rules,
    claim_segments,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, store
from amaranthpulley.state.orders import claims

Random = Callable[[], float]
Commands = list[commands.Command]

BATCH_DELAY_MS: Final = 3
# A range may commit this many batches in a burst, then one in each interval.
COMMIT_BURST: Final = 4
COMMIT_INTERVAL_MS: Final = 150
REFRESH_INTERVAL_MS: Final = 60_000
# Cached claims without a final outcome are read again after this time.
UNSETTLED_MAXIMUM_AGE_MS: Final = 200
IDLE_RANGE_TIMEOUT_MS: Final = 600_000
SEAL_THRESHOLD_BYTES: Final = 64 * 1024
MAXIMUM_BATCH_BYTES: Final = 512 * 1024
OPERATION_OVERHEAD_BYTES: Final = 512
MAXIMUM_TRIES: Final = 5

_Kind = claims.VerdictKind
_UNSETTLED: Final = (claims.ClaimStatus.CLAIMED, claims.ClaimStatus.UNKNOWN)


class BatchWritten(NamedTuple):
    """Purpose of the store call that writes a batch."""

    index: int


class CommitDue(NamedTuple):
    """Purpose of the timer that starts the next batch."""

    index: int


class VerdictReady(NamedTuple):
    """Purpose of the timer that delivers a verdict to the daemon itself."""

    operation: claims.Operation
    verdict: claims.Verdict


def enqueue(
    daemon: daemon_state.Daemon,
    operation: claims.Operation,
    call_id: str | None,
    now_ms: int,
) -> Commands:
    """Add an operation to its range's queue and commit a batch when one is due.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    operation : Operation
        The requested operation.
    call_id : str or None
        The peer's call that waits for the verdict; None for the daemon itself.
    now_ms : int
        Reading of the monotonic clock, in milliseconds.
    """
    daemon.claims.evict_idle(now_ms - IDLE_RANGE_TIMEOUT_MS)
    claim_range = daemon.claims.of(claims.range_of(operation.key))
    if not claim_range.pending:
        claim_range.batch_due_ms = now_ms + BATCH_DELAY_MS
    pending = claims.PendingOperation(operation, call_id, now_ms + operation.wait_ms)
    claim_range.pending.append(pending)
    daemon.counters.add("claim_operations_total", status=operation.status.value)
    return _advance(daemon, claim_range, now_ms)


def commit_when_due(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Commit the next batch of a range."""
    claim_range = daemon.claims.of(event.purpose.index)
    claim_range.timer_due_ms = None
    return _advance(daemon, claim_range, now_ms)


def handle_batch_result(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Deliver the verdicts of a written batch, or decide the batch again."""
    claim_range = daemon.claims.of(event.purpose.index)
    result = event.result
    if isinstance(result, store.Swapped) and result.succeeded:
        return _finish_batch(daemon, claim_range, result.revision, now_ms)
    failed = isinstance(result, store.StoreFailed)
    if failed and not result.unknown:
        _requeue(claim_range, uncertain=False)
        return [
            commands.log(log_events.STORE_CALL_FAILED, reason=result.reason),
            *fail_pending(claim_range, now_ms),
        ]
    _requeue(claim_range, uncertain=failed)
    reason = "lost_reply" if failed else "fenced"
    daemon.counters.add("claim_batches_repeated_total", reason=reason)
    repeated = commands.log(
        log_events.CLAIM_BATCH_REPEATED, range=claim_range.index, reason=reason
    )
    return [repeated, *claim_segments.refresh(daemon, claim_range)]


def resume_range(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Continue with the queue after the segments of a range have been read."""
    claim_range = daemon.claims.of(event.purpose.index)
    return _advance(daemon, claim_range, now_ms)


def fail_range(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Fail the pending operations of a range whose segments cannot be read."""
    return fail_pending(daemon.claims.of(event.purpose.index), now_ms)


def fail_pending(claim_range: claims.ClaimRange, now_ms: int) -> Commands:
    """Fail all pending operations; those that may have been written are `UNCERTAIN`."""
    pending, claim_range.pending = claim_range.pending, []
    return [_reply(entry, _failure_verdict(entry), now_ms) for entry in pending]


def _advance(
    daemon: daemon_state.Daemon, claim_range: claims.ClaimRange, now_ms: int
) -> Commands:
    if claim_range.busy or not claim_range.pending:
        return []
    if not claim_range.loaded:
        return claim_segments.load(daemon, claim_range)
    if now_ms - claim_range.confirmed_ms > REFRESH_INTERVAL_MS:
        return claim_segments.refresh(daemon, claim_range)
    burst_ms = (COMMIT_BURST - 1) * COMMIT_INTERVAL_MS
    due_ms = max(claim_range.batch_due_ms, claim_range.paced_until_ms - burst_ms)
    if now_ms < due_ms:
        if claim_range.timer_due_ms is not None:
            return []
        claim_range.timer_due_ms = due_ms
        return [commands.SetTimer(CommitDue(claim_range.index), due_ms)]
    return _commit(daemon, claim_range, now_ms)


def _commit(
    daemon: daemon_state.Daemon, claim_range: claims.ClaimRange, now_ms: int
) -> Commands:
    wall_ms = daemon.wall_ms(now_ms)
    oldest_ms = wall_ms - daemon.limits.order_retention_ms
    claim_range.evict_before(oldest_ms)
    refused = _fail_exhausted(claim_range, now_ms)
    batch_operations = _pop_batch(claim_range)
    changed: dict[str, claims.Claim] = {}
    verdicts = []
    for entry in batch_operations:
        key = entry.operation.key
        claim = changed.get(key) or claim_range.current_claim(key, oldest_ms)
        decision = claim_rules.decide(claim, entry.operation, wall_ms)
        verdicts.append(decision.verdict)
        if decision.changed is not None:
            changed[key] = decision.changed
    if not changed:
        if _must_refresh(claim_range, batch_operations, verdicts, now_ms):
            claim_range.pending = batch_operations + claim_range.pending
            return [*refused, *claim_segments.refresh(daemon, claim_range)]
        pairs = zip(batch_operations, verdicts, strict=True)
        replies = [_reply(entry, verdict, now_ms) for entry, verdict in pairs]
        return [*refused, *replies, *_advance(daemon, claim_range, now_ms)]
    value, sealed = _encode(claim_range, changed)
    claim_range.batch = claims.Batch(
        tuple(batch_operations), tuple(verdicts), changed, sealed
    )
    claim_range.busy = True
    claim_range.paced_until_ms = (
        max(claim_range.paced_until_ms, now_ms) + COMMIT_INTERVAL_MS
    )
    daemon.counters.add("claim_commits_total")
    key = claim_segments.segment_key(claim_range.index, claim_range.open_number)
    swap = store.Swap(key, claim_range.open_revision, value)
    write = store_calls.call(daemon, BatchWritten(claim_range.index), swap)
    return [*refused, write]


def _must_refresh(
    claim_range: claims.ClaimRange,
    batch_operations: list[claims.PendingOperation],
    verdicts: list[claims.Verdict],
    now_ms: int,
) -> bool:
    # The cached claims may be stale: another daemon may have owned the range since.
    age_ms = now_ms - claim_range.confirmed_ms
    for entry, verdict in zip(batch_operations, verdicts, strict=True):
        if verdict.kind is not _Kind.FOUND:
            continue
        # A verdict from a stale claim would drop the outcome, and without a write
        # nothing would reveal that the claim is stale.
        if entry.operation.status is not claims.ClaimStatus.CLAIMED and age_ms > 0:
            return True
        if verdict.status in _UNSETTLED and age_ms > UNSETTLED_MAXIMUM_AGE_MS:
            return True
    return False


def _encode(
    claim_range: claims.ClaimRange, changed: dict[str, claims.Claim]
) -> tuple[bytes, bool]:
    segment = claims.Segment(False, claim_range.open_claims(changed))
    value = stored_values.encode_segment(segment)
    if len(value) <= SEAL_THRESHOLD_BYTES:
        return value, False
    return stored_values.encode_segment(segment._replace(sealed=True)), True


def _fail_exhausted(claim_range: claims.ClaimRange, now_ms: int) -> Commands:
    exhausted = [entry for entry in claim_range.pending if _is_exhausted(entry, now_ms)]
    claim_range.pending = [
        entry for entry in claim_range.pending if not _is_exhausted(entry, now_ms)
    ]
    return [_reply(entry, _failure_verdict(entry), now_ms) for entry in exhausted]


def _is_exhausted(entry: claims.PendingOperation, now_ms: int) -> bool:
    # A claim whose sender no longer waits would only block the key for others.
    is_claim = entry.operation.status is claims.ClaimStatus.CLAIMED
    expired = is_claim and entry.expires_ms <= now_ms
    return expired or entry.tries >= MAXIMUM_TRIES


def _pop_batch(claim_range: claims.ClaimRange) -> list[claims.PendingOperation]:
    size = 0
    batch_operations = []
    while claim_range.pending and size < MAXIMUM_BATCH_BYTES:
        entry = claim_range.pending.pop(0)
        operation = entry.operation
        texts = (operation.record.asked, operation.result)
        size += OPERATION_OVERHEAD_BYTES + sum(len(text.encode()) for text in texts)
        batch_operations.append(entry)
    return batch_operations


def _finish_batch(
    daemon: daemon_state.Daemon,
    claim_range: claims.ClaimRange,
    revision: int,
    now_ms: int,
) -> Commands:
    batch = claim_range.batch
    claim_range.batch = None
    claim_range.busy = False
    claim_range.confirmed_ms = now_ms
    claim_range.claims |= batch.changed
    claim_range.open_keys |= set(batch.changed)
    claim_range.open_revision = revision
    if batch.sealed:
        claim_range.begin_segment(claim_range.open_number + 1)
    pairs = zip(batch.pending, batch.verdicts, strict=True)
    replies = [_reply(entry, verdict, now_ms) for entry, verdict in pairs]
    pruned = claim_pruning.prune_oldest(daemon, claim_range) if batch.sealed else []
    return [*replies, *pruned, *_advance(daemon, claim_range, now_ms)]


def _requeue(claim_range: claims.ClaimRange, uncertain: bool) -> None:
    batch = claim_range.batch
    claim_range.batch = None
    claim_range.busy = False
    again = [
        entry._replace(tries=entry.tries + 1, uncertain=entry.uncertain or uncertain)
        for entry in batch.pending
    ]
    claim_range.pending = again + claim_range.pending


def _failure_verdict(entry: claims.PendingOperation) -> claims.Verdict:
    return claims.Verdict(_Kind.UNCERTAIN if entry.uncertain else _Kind.FAILED)


def _reply(
    entry: claims.PendingOperation, verdict: claims.Verdict, now_ms: int
) -> commands.Command:
    if entry.call_id is not None:
        return commands.ReplyPeer(entry.call_id, verdict)
    return commands.SetTimer(VerdictReady(entry.operation, verdict), now_ms)


HANDLERS: Final = {
    BatchWritten: handle_batch_result,
    CommitDue: commit_when_due,
    claim_segments.RangeReady: resume_range,
    claim_segments.RangeUnreadable: fail_range,
}
