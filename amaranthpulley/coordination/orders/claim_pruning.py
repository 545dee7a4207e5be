"""Deletion of the segments of a claim range whose records need not be kept any more.

The owner looks at the oldest segments whenever it has sealed one, so that a range does
not grow for ever and a quiet one costs nothing. The last sealed segment always stays:
the numbers of a range's segments never begin again.
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
    """Read the oldest segment unless it must stay anyway."""
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
    """Delete the oldest segment when all of its records are old enough."""
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
    """Go on with the next segment; after a failure the next seal looks again."""
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
