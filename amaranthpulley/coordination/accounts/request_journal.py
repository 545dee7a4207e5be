"""The journal of requests: records are numbered, sealed and written to the store.

A life is one run of a daemon's process. The daemon announces it in the store, writes
batches of consecutively numbered records, and closes the life with its last number.
Records that a crashed daemon has not written therefore show as a gap.
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

# A request without an answer after this time gets a number without a record.
LONGEST_REQUEST_MS: Final = 3_600_000
MAXIMUM_CHUNK_RECORDS: Final = 256
DRAIN_FLUSH_INTERVAL_MS: Final = 50


class FlushDue(NamedTuple):
    """Purpose of the timer that writes the unwritten records.

    Attributes
    ----------
    chain : int
        Timers of an earlier chain than the journal's do nothing.
    """

    chain: int = 0


def pending_write_count(daemon: daemon_state.Daemon) -> int:
    """Return the number of unwritten records, plus one until the life is closed.

    A drain is complete when this is 0.
    """
    own_journal = daemon.journal
    return own_journal.unwritten_records + (
        0 if own_journal.closed or own_journal.life is None else 1
    )


def is_full(daemon: daemon_state.Daemon) -> bool:
    """Return whether the memory for unwritten records is full."""
    return daemon.journal.size_bytes >= daemon.limits.journal_memory_bytes


def refuses_requests(daemon: daemon_state.Daemon) -> bool:
    """Return whether new requests are refused because no record could be kept."""
    limits = daemon.limits
    if limits.journal_life_first and not daemon.journal.announced:
        return True
    refuse = limits.journal_when_full is journal.OverflowPolicy.REFUSE
    return refuse and is_full(daemon)


def announce_life(
    daemon: daemon_state.Daemon, event: events.Started, now_ms: int, random: Random
) -> Commands:
    """Announce the life in the store and set the timer of the first flush."""
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
    """Remember when a request arrived, before any other decision about it."""
    daemon.journal.add_arrival(event.request.request_id, daemon.wall_ms(now_ms))
    return []


def append_record(
    daemon: daemon_state.Daemon,
    request: Request,
    outcome: requests.Outcome,
    attempts: int,
    elapsed_ms: int,
) -> Commands:
    """Append the record of a request that ends, or drop it when the memory is full.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    request : SearchRequest or OrderRequest
        The request that ends.
    outcome : Outcome
        The answer to the caller.
    attempts : int
        Number of requests sent to targets for it.
    elapsed_ms : int
        Time since its arrival, in milliseconds.
    """
    own_journal = daemon.journal
    received_ms = own_journal.pop_arrival(request.request_id, daemon.wall_offset_ms)
    recorded_ms = received_ms + elapsed_ms
    if is_full(daemon) and _may_be_dropped(daemon, outcome):
        _seal(own_journal)
        own_journal.drop(received_ms)
        daemon.counters.add("journal_records_dropped_total")
        return _warn_once(daemon)
    own_journal.append(
        recorded_ms, build_record(daemon, request, outcome, received_ms, attempts)
    )
    daemon.counters.add("journal_records_total")
    if len(own_journal.unsealed) >= MAXIMUM_CHUNK_RECORDS or is_full(daemon):
        _seal(own_journal)
    if own_journal.sealed_bytes >= journal_writes.MAXIMUM_BATCH_BYTES:
        return journal_writes.write_next(daemon, recorded_ms)
    return []


def build_record(
    daemon: daemon_state.Daemon,
    request: Request,
    outcome: requests.Outcome | None,
    received_ms: int,
    attempts: int,
) -> journal.JournalRecord:
    """Return the record of a request; the outcome is None until it is known."""
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
        _outcome_name(outcome),
        answer.version if answer else 0,
        answer.coverage if answer else 0.0,
        attempts,
    )


def flush(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Seal and write the unwritten records, and set the timer of the next flush."""
    wall_ms = daemon.wall_ms(now_ms)
    own_journal = daemon.journal
    if event.purpose.chain != own_journal.flush_chain:
        return []
    _seal(own_journal)
    if daemon.draining and daemon.requests_in_progress == 0:
        own_journal.drop_unanswered(wall_ms + 1)
    own_journal.drop_unanswered(wall_ms - LONGEST_REQUEST_MS)
    wait_ms = (
        DRAIN_FLUSH_INTERVAL_MS
        if daemon.draining
        else journal_writes.flush_interval_ms(daemon)
    )
    return [
        *journal_writes.write_next(daemon, wall_ms),
        commands.SetTimer(event.purpose, now_ms + wait_ms),
    ]


def flush_early(
    daemon: daemon_state.Daemon, event: events.Event, now_ms: int, random: Random
) -> Commands:
    """Flush soon, and then at short intervals, because the process is draining."""
    daemon.journal.flush_chain += 1
    due = FlushDue(daemon.journal.flush_chain)
    return [commands.SetTimer(due, now_ms + DRAIN_FLUSH_INTERVAL_MS)]


def _may_be_dropped(daemon: daemon_state.Daemon, outcome: requests.Outcome) -> bool:
    if daemon.limits.journal_when_full is journal.OverflowPolicy.DROP:
        return True
    # A request that may have run keeps its record even when the memory is full; the
    # limit on requests in progress bounds the excess.
    return isinstance(outcome, requests.Refusal) and outcome.not_run


def _outcome_name(outcome: requests.Outcome | None) -> str:
    if outcome is None:
        return ""
    name = type(outcome).__name__
    if isinstance(outcome, requests.Refusal):
        return f"{name}:{outcome.code.value}" + (":not_run" if outcome.not_run else "")
    return name


def _seal(own_journal: journal.Journal) -> None:
    if not own_journal.unsealed:
        return
    by_customer: dict[str, list[journal.NumberedRecord]] = {}
    for numbered in own_journal.unsealed:
        by_customer.setdefault(numbered.record.customer, []).append(numbered)
    own_journal.seal(
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
    events.Started: announce_life,
    events.SearchReceived: add_arrival,
    events.OrderReceived: add_arrival,
    events.DrainRequested: flush_early,
    FlushDue: flush,
}
