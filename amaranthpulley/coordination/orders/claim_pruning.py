"""Deletion of the expired segments of a claim range.

The owner checks the oldest segments each time it seals one, so that the size of a range
is bounded and an idle range causes no store calls. The last sealed segment is always
kept, so that segment numbers are never reused.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events, store_calls, stored_values
from amaranthpulley.coordination.orders import claim_segments
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import store
from amaranthpulley.state.orders import claims

Random = Callable[[], float]
Commands = list[commands.Command]


class OldestRead(NamedTuple):
    """Purpose of the store call that reads the oldest segment."""

    index: int
    number: int


class OldestDeleted(NamedTuple):
    """Purpose of the store call that deletes the oldest segment."""

    index: int
    number: int


def prune_oldest(
    daemon: daemon_state.Daemon, claim_range: claims.ClaimRange
) -> Commands:
    """Read the oldest segment to check its age, unless it must be kept."""
    if claim_range.pruning or claim_range.oldest_number >= claim_range.open_number - 1:
        return []
    claim_range.pruning = True
    number = claim_range.oldest_number
    key = claim_segments.segment_key(claim_range.index, number)
    purpose = OldestRead(claim_range.index, number)
    return [store_calls.call(daemon, purpose, store.Get(key))]


def delete_if_expired(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Delete the oldest segment if all of its claims and records have expired."""
    index, number = event.purpose
    claim_range = daemon.claims.of(index)
    claim_range.pruning = False
    result = event.result
    if isinstance(result, store.StoreFailed) or claim_range.oldest_number != number:
        return []
    if result.value is None:
        claim_range.oldest_number += 1
        return prune_oldest(daemon, claim_range)
    segment = stored_values.decode_segment(result.value)
    newest_ms = max((claim.claimed_ms for claim in segment.claims), default=0)
    limits = daemon.limits
    kept_ms = max(limits.order_retention_ms, limits.order_record_retention_ms)
    if newest_ms >= daemon.wall_ms(now_ms) - kept_ms:
        return []
    claim_range.pruning = True
    delete = store.Swap(event.operation.key, result.revision, None)
    return [store_calls.call(daemon, OldestDeleted(index, number), delete)]


def continue_pruning(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Check the next segment; after a failure pruning resumes with the next seal."""
    index, number = event.purpose
    claim_range = daemon.claims.of(index)
    claim_range.pruning = False
    if isinstance(event.result, store.StoreFailed):
        return []
    if claim_range.oldest_number == number:
        claim_range.oldest_number += 1
    daemon.counters.add("claim_segments_deleted_total")
    return prune_oldest(daemon, claim_range)


HANDLERS: Final = {OldestRead: delete_if_expired, OldestDeleted: continue_pruning}
