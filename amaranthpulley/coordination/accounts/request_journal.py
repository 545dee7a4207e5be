"""The journal: records of requests are numbered, sealed and written to the store.

A daemon announces each of its lives in the store, writes batches of consecutive
numbers, and closes the life with its last number. What a dead daemon has not written
is therefore known as a gap.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events, stored_values
from amaranthpulley.coordination.accounts import journal_writes
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, requests
from amaranthpulley.state.accounts import journal

Random = Callable[[], float]
Commands = list[commands.Command]
Request = requests.SearchRequest | requests.OrderRequest

LONGEST_REQUEST_MS: Final = 3_600_000
MAXIMUM_CHUNK_RECORDS: Final = 256
DRAIN_FLUSH_INTERVAL_MS: Final = 50


class FlushDue(NamedTuple):
    """Purpose of the timer that writes what has been recorded."""


def pending_write_count(daemon: daemon_state.Daemon) -> int:
    """Return how many records, with the life's own, are still to be written.

    A drain is over when this is 0.
    """
    own = daemon.journal
    return own.unwritten_records + (0 if own.closed or own.life is None else 1)


def is_full(daemon: daemon_state.Daemon) -> bool:
    """Tell whether the memory for unwritten records is used up."""
    return daemon.journal.size_bytes >= daemon.limits.journal_memory_bytes


def refuses_requests(daemon: daemon_state.Daemon) -> bool:
    """Tell whether new requests are to be refused since no record could be kept."""
    limits = daemon.limits
    if limits.journal_life_first and not daemon.journal.announced:
        return True
    refuse = limits.journal_when_full is journal.OverflowPolicy.REFUSE
    return refuse and is_full(daemon)


def start(
    daemon: daemon_state.Daemon, event: events.Started, now_ms: int, random: Random
) -> Commands:
    """Announce the life and begin to write at intervals."""
    started_ms = now_ms + event.wall_offset_ms
    identity = daemon.identity
    life = journal.Life(
        identity.name, identity.life, started_ms, complete_ms=started_ms
    )
    daemon.journal.life = life
    return [
        *journal_writes.write_life(daemon, life),
        commands.SetTimer(
            FlushDue(), now_ms + journal_writes.flush_interval_ms(daemon)
        ),
    ]


def add_arrival(
    daemon: daemon_state.Daemon,
    event: events.SearchReceived | events.OrderReceived,
    now_ms: int,
    random: Random,
) -> Commands:
    """Remember when a request arrived, before anything is decided about it."""
    daemon.journal.add_arrival(event.request.request_id, daemon.wall_ms(now_ms))
    return []


def append_record(
    daemon: daemon_state.Daemon,
    request: Request,
    outcome: requests.Outcome,
    attempts: int,
    elapsed_ms: int,
) -> Commands:
    """Keep the numbered record of a request that ends.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    request : SearchRequest or OrderRequest
        The request that ends.
    outcome : Outcome
        What the caller gets.
    attempts : int
        How many requests were sent to targets for it.
    elapsed_ms : int
        Time since it arrived, in milliseconds.
    """
    own = daemon.journal
    received_ms = own.pop_arrival(request.request_id, daemon.wall_offset_ms)
    recorded_ms = received_ms + elapsed_ms
    if is_full(daemon) and _may_be_dropped(daemon, outcome):
        _seal(own)
        own.drop(received_ms)
        daemon.counters.add("journal_records_dropped_total")
        return _warn_once(daemon)
    own.append(
        recorded_ms, build_record(daemon, request, outcome, received_ms, attempts)
    )
    daemon.counters.add("journal_records_total")
    if len(own.unsealed) >= MAXIMUM_CHUNK_RECORDS or is_full(daemon):
        _seal(own)
    if own.sealed_bytes >= journal_writes.MAXIMUM_BATCH_BYTES:
        return journal_writes.write_next(daemon, recorded_ms)
    return []


def build_record(
    daemon: daemon_state.Daemon,
    request: Request,
    outcome: requests.Outcome | None,
    received_ms: int,
    attempts: int,
) -> journal.JournalRecord:
    """Return the record of a request; outcome None while it is not known."""
    is_order = isinstance(request, requests.OrderRequest)
    answer = outcome if isinstance(outcome, requests.SearchAnswer) else None
    return journal.JournalRecord(
        request.request_id,
        request.customer,
        request.service,
        "order" if is_order else "search",
        received_ms,
        request.payload if is_order else request.query,
        request.idempotency_key if is_order else request.key or "",
        daemon.identity.name,
        _name_of(outcome),
        answer.version if answer else 0,
        answer.coverage if answer else 0.0,
        attempts,
    )


def flush(
    daemon: daemon_state.Daemon, event: events.Event, now_ms: int, random: Random
) -> Commands:
    """Write what has been recorded, and come again."""
    wall_ms = daemon.wall_ms(now_ms)
    own = daemon.journal
    _seal(own)
    if daemon.draining and daemon.requests_in_progress == 0:
        own.drop_unanswered(wall_ms + 1)
    own.drop_unanswered(wall_ms - LONGEST_REQUEST_MS)
    wait_ms = (
        DRAIN_FLUSH_INTERVAL_MS
        if daemon.draining
        else journal_writes.flush_interval_ms(daemon)
    )
    return [
        *journal_writes.write_next(daemon, wall_ms),
        commands.SetTimer(FlushDue(), now_ms + wait_ms),
    ]


def flush_early(
    daemon: daemon_state.Daemon, event: events.Event, now_ms: int, random: Random
) -> Commands:
    """Write often from now on, since the process is to end."""
    return [commands.SetTimer(FlushDue(), now_ms + DRAIN_FLUSH_INTERVAL_MS)]


def _may_be_dropped(daemon: daemon_state.Daemon, outcome: requests.Outcome) -> bool:
    if daemon.limits.journal_when_full is journal.OverflowPolicy.DROP:
        return True
    # What has run keeps its record: the requests in progress bound how many follow.
    return isinstance(outcome, requests.Refusal) and outcome.not_run


def _name_of(outcome: requests.Outcome | None) -> str:
    if outcome is None:
        return ""
    name = type(outcome).__name__
    if isinstance(outcome, requests.Refusal):
        return f"{name}:{outcome.code.value}" + (":not_run" if outcome.not_run else "")
    return name


def _seal(own: journal.Journal) -> None:
    if not own.unsealed:
        return
    by_customer: dict[str, list[journal.NumberedRecord]] = {}
    for numbered in own.unsealed:
        by_customer.setdefault(numbered.record.customer, []).append(numbered)
    own.seal(
        tuple(
            journal.Segment(customer, len(found), stored_values.compress_records(found))
            for customer, found in sorted(by_customer.items())
        )
    )


def _warn_once(daemon: daemon_state.Daemon) -> Commands:
    if daemon.journal.dropped_count > 1:
        return []
    full = commands.log(
        log_events.JOURNAL_FULL,
        unwritten=daemon.journal.unwritten_records,
        policy=daemon.limits.journal_when_full.value,
    )
    return [full]


HANDLERS: Final = {
    events.Started: start,
    events.SearchReceived: add_arrival,
    events.OrderReceived: add_arrival,
    events.DrainRequested: flush_early,
    FlushDue: flush,
}
