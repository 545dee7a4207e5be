"""Reads of a claim range's segments from the store.

A range is loaded from its newest segment back to the first one whose claims are all
older than the retention of keys. A sealed newest segment has no successor to read: the
first write to the successor expects that it does not exist.
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
from amaranthpulley.state.orders import claims

Random = Callable[[], float]
Commands = list[commands.Command]

PREFIX: Final = "claims/"
LIST_LIMIT: Final = 1_000


class RangeListed(NamedTuple):
    """Purpose of the store call that lists the segments of a range."""

    index: int


class SegmentLoaded(NamedTuple):
    """Purpose of the store call that loads a segment, newest first.

    `newest` marks the last segment of the chain.
    """

    index: int
    number: int
    newest: bool


class SegmentRefreshed(NamedTuple):
    """Purpose of the store call that reads the open segment again."""

    index: int
    number: int


class RangeReady(NamedTuple):
    """Purpose of the timer that signals that a range has been read."""

    index: int


class RangeUnreadable(NamedTuple):
    """Purpose of the timer that signals that a range cannot be read."""

    index: int


def segment_key(index: int, number: int) -> str:
    """Return the store key of a segment; keys sort by number."""
    return f"{PREFIX}{index:04d}/{number:08d}"


def load(daemon: daemon_state.Daemon, claim_range: claims.ClaimRange) -> Commands:
    """Discard the cached claims of a range and read all its segments."""
    claim_range.busy = True
    claim_range.claims = {}
    claim_range.begin_segment(1)
    return [_list(daemon, claim_range.index, after="")]


def refresh(daemon: daemon_state.Daemon, claim_range: claims.ClaimRange) -> Commands:
    """Read the segments of a range that were written since it was last read."""
    claim_range.busy = True
    return [_read_open(daemon, claim_range)]


def handle_listing(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Read the newest segment of a listed range."""
    claim_range = daemon.claims.of(event.purpose.index)
    result = event.result
    if isinstance(result, store.StoreFailed):
        return _fail_read(claim_range, result, now_ms)
    if result.keys and not event.operation.after:
        claim_range.oldest_number = _number_of(result.keys[0])
    if len(result.keys) == LIST_LIMIT:
        return [_list(daemon, claim_range.index, after=result.keys[-1])]
    # An empty page follows a full one, whose last key is then the newest.
    last_key = result.keys[-1] if result.keys else event.operation.after
    if not last_key:
        return _finish_read(claim_range, now_ms)
    return [_read_segment(daemon, claim_range.index, _number_of(last_key), newest=True)]


def handle_loaded_segment(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Add a segment, and read the previous one unless all its keys have expired."""
    purpose = event.purpose
    claim_range = daemon.claims.of(purpose.index)
    result = event.result
    if isinstance(result, store.StoreFailed):
        return _fail_read(claim_range, result, now_ms)
    if result.value is None:
        return _finish_read(claim_range, now_ms)
    segment = stored_values.decode_segment(result.value)
    if purpose.newest:
        claim_range.add_newest(purpose.number, result.revision, segment)
    else:
        claim_range.add_older(segment)
    newest_ms = max((claim.claimed_ms for claim in segment.claims), default=0)
    oldest_kept_ms = daemon.wall_ms(now_ms) - daemon.limits.order_retention_ms
    if purpose.number == 1 or newest_ms < oldest_kept_ms:
        return _finish_read(claim_range, now_ms)
    return [_read_segment(daemon, purpose.index, purpose.number - 1, newest=False)]


def handle_refreshed_segment(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Replace the cached open segment, and read the next one if it is sealed."""
    claim_range = daemon.claims.of(event.purpose.index)
    result = event.result
    if isinstance(result, store.StoreFailed):
        return _fail_read(claim_range, result, now_ms)
    if result.value is None:
        if claim_range.open_revision > 0:
            return load(daemon, claim_range)
        return _finish_read(claim_range, now_ms)
    number = claim_range.open_number
    segment = stored_values.decode_segment(result.value)
    claim_range.add_newest(number, result.revision, segment)
    if segment.sealed:
        return [_read_open(daemon, claim_range)]
    return _finish_read(claim_range, now_ms)


def _finish_read(claim_range: claims.ClaimRange, now_ms: int) -> Commands:
    claim_range.busy = False
    claim_range.loaded = True
    claim_range.confirmed_ms = now_ms
    return [commands.SetTimer(RangeReady(claim_range.index), now_ms)]


def _fail_read(
    claim_range: claims.ClaimRange, failed: store.StoreFailed, now_ms: int
) -> Commands:
    claim_range.busy = False
    return [
        commands.log(log_events.STORE_CALL_FAILED, reason=failed.reason),
        commands.SetTimer(RangeUnreadable(claim_range.index), now_ms),
    ]


def _list(daemon: daemon_state.Daemon, index: int, after: str) -> commands.CallStore:
    operation = store.ListKeys(f"{PREFIX}{index:04d}/", after, LIST_LIMIT)
    return store_calls.call(daemon, RangeListed(index), operation)


def _read_segment(
    daemon: daemon_state.Daemon, index: int, number: int, newest: bool
) -> commands.CallStore:
    purpose = SegmentLoaded(index, number, newest)
    return store_calls.call(daemon, purpose, store.Get(segment_key(index, number)))


def _read_open(
    daemon: daemon_state.Daemon, claim_range: claims.ClaimRange
) -> commands.CallStore:
    index, number = claim_range.index, claim_range.open_number
    key = segment_key(index, number)
    return store_calls.call(daemon, SegmentRefreshed(index, number), store.Get(key))


def _number_of(key: str) -> int:
    return int(key.rpartition("/")[2])


HANDLERS: Final = {
    RangeListed: handle_listing,
    SegmentLoaded: handle_loaded_segment,
    SegmentRefreshed: handle_refreshed_segment,
}
