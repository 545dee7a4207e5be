"""Reading change tickets from the store, by a few daemons on behalf of all.

In each failure domain `WATCHERS_PER_DOMAIN` live daemons watch the head. They are
chosen from the membership, so that another daemon takes over when one leaves. The
number of store calls depends on the number of failure domains, not of daemons.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import (
    commands,
    errors,
    events,
    store_calls,
    stored_values,
)
from amaranthpulley.coordination.control import configuration_updates
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, rendezvous, store
from amaranthpulley.state.control import control_state, tickets

Random = Callable[[], float]
Commands = list[commands.Command]

WATCHERS_PER_DOMAIN: Final = 2
# A watch whose reply is lost is given up after the wait and the grace.
WATCH_WAIT_MS: Final = 2_000
WATCH_GRACE_MS: Final = 500
CONCURRENT_CHUNK_READS: Final = 4


class HeadRead(NamedTuple):
    """Purpose of the store call that reads the head."""


class HeadWatched(NamedTuple):
    """Purpose of the store call that waits for a change of the head."""


class ChunkRead(NamedTuple):
    """Purpose of the store call that reads a chunk of the head's entries."""

    index: int
    chunk_count: int
    position: control_state.HeadPosition


def is_watcher(daemon: daemon_state.Daemon) -> bool:
    """Return whether this daemon watches the store for its failure domain."""
    state = daemon.control
    if state.watcher_version != daemon.members.version:
        state.watcher_version = daemon.members.version
        own = daemon.identity
        same_domain = [
            vm.name
            for vm in daemon.members.live
            if vm.failure_domain == own.failure_domain
        ]
        watchers = rendezvous.ranking(same_domain, f"watch/{own.failure_domain}")[
            :WATCHERS_PER_DOMAIN
        ]
        state.is_watcher = own.name in watchers
    return state.is_watcher


def ensure_watch(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Watch the head if this daemon is a watcher and has no call in flight."""
    state = daemon.control
    if state.watch_in_flight or state.read_in_flight or not is_watcher(daemon):
        return []
    if not state.position.revision:
        return read_head(daemon)
    state.watch_in_flight = True
    watch = store.Watch(tickets.HEAD_KEY, state.position.revision, WATCH_WAIT_MS)
    timeout_ms = WATCH_WAIT_MS + WATCH_GRACE_MS
    return [commands.CallStore(HeadWatched(), watch, timeout_ms)]


def read_head(daemon: daemon_state.Daemon) -> Commands:
    """Read the head, and then the chunks if they hold tickets not known here."""
    if daemon.control.read_in_flight:
        return []
    daemon.control.read_in_flight = True
    return [store_calls.call(daemon, HeadRead(), store.Get(tickets.HEAD_KEY))]


def handle_head(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Merge the head that was read."""
    daemon.control.read_in_flight = False
    result = event.result
    if isinstance(result, store.StoreFailed):
        return [_log_failure(daemon, result)]
    # A store without tickets is watched from its first revision on.
    revision = max(result.revision, 1)
    return [
        *_merge_head(daemon, result.value, revision, now_ms),
        *ensure_watch(daemon, now_ms),
    ]


def handle_watch_reply(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Merge the changed head and continue the watch."""
    daemon.control.watch_in_flight = False
    result = event.result
    if isinstance(result, store.StoreFailed):
        # The heartbeat starts the next watch, so that a store that is down gets one
        # call per heartbeat period from each watcher.
        return [_log_failure(daemon, result)]
    decided: Commands = []
    for change in result.changes:
        if change.key == tickets.HEAD_KEY:
            decided += _merge_head(daemon, change.value, change.revision, now_ms)
    if result.revision < event.operation.after_revision:
        # The store has lost writes, so its revisions have restarted.
        return [*decided, *read_head(daemon)]
    return [*decided, *ensure_watch(daemon, now_ms)]


def handle_chunk(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Merge a chunk and request the next one."""
    state = daemon.control
    index, chunk_count, position = event.purpose
    result = event.result
    if index not in state.chunks_left:
        return []
    if isinstance(result, store.StoreFailed):
        state.chunks_left.clear()
        state.read_in_flight = False
        return [_log_failure(daemon, result)]
    state.chunks_left.discard(index)
    last = not state.chunks_left
    entries = stored_values.decode_tickets(result.value) if result.value else ()
    decided = configuration_updates.merge_tickets(
        daemon, entries, now_ms, complete=last
    )
    following = index + CONCURRENT_CHUNK_READS
    if following < chunk_count:
        decided += [_read_chunk(daemon, following, chunk_count, position)]
    if last:
        state.read_in_flight = False
        decided += _advance_position(daemon, position, now_ms)
        decided += ensure_watch(daemon, now_ms)
    return decided


def _merge_head(
    daemon: daemon_state.Daemon, value: bytes | None, revision: int, now_ms: int
) -> Commands:
    state = daemon.control
    try:
        head = stored_values.decode_head(value) if value else tickets.Head()
    except errors.CorruptStoreValueError as error:
        return [commands.log(log_events.STORE_VALUE_CORRUPT, reason=str(error))]
    if head.sequence < state.position.sequence:
        daemon.counters.add("store_stale_reads_total")
        return []
    tail = [accepted.ticket for accepted in head.tail]
    decided = configuration_updates.merge_tickets(daemon, tail, now_ms)
    position = control_state.HeadPosition(head.sequence, revision)
    if head.folded <= state.position.sequence:
        return [*decided, *_advance_position(daemon, position, now_ms)]
    if state.chunks_left:
        return decided
    state.read_in_flight = True
    state.chunks_left = set(range(head.chunk_count))
    first = range(min(CONCURRENT_CHUNK_READS, head.chunk_count))
    return decided + [
        _read_chunk(daemon, index, head.chunk_count, position) for index in first
    ]


def _advance_position(
    daemon: daemon_state.Daemon, position: control_state.HeadPosition, now_ms: int
) -> Commands:
    daemon.control.position = position
    if configuration_updates.awaits_peer_facts(daemon, now_ms):
        daemon.control.store_confirmed = True
        return []
    return configuration_updates.resume(daemon, "store", now_ms)


def _read_chunk(
    daemon: daemon_state.Daemon,
    index: int,
    chunk_count: int,
    position: control_state.HeadPosition,
) -> commands.CallStore:
    get = store.Get(tickets.chunk_key(index, chunk_count))
    return store_calls.call(daemon, ChunkRead(index, chunk_count, position), get)


def _log_failure(
    daemon: daemon_state.Daemon, result: store.StoreFailed
) -> commands.Log:
    daemon.counters.add("store_calls_failed_total", use="configuration")
    return commands.log(log_events.STORE_CALL_FAILED, reason=result.reason)


HANDLERS: Final = {
    HeadRead: handle_head,
    HeadWatched: handle_watch_reply,
    ChunkRead: handle_chunk,
}
