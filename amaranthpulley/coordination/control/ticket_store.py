"""Writing change tickets to the store and reading them back.

Each function is a generator that yields store operations and is sent their results,
so that the command line and a test under virtual time run the same decisions.

A ticket is validated against the whole configuration at one revision of the head and
accepted by a compare-and-swap of the head at that revision. Concurrent tickets are
thereby put in an order, and the second is validated against the first. After a swap
whose reply was lost, the loop reads the head again and either finds its own ticket or
swaps once more; at most one of the swaps takes effect.
"""

import enum
from collections.abc import Callable, Generator
from typing import Any, Final, NamedTuple

from amaranthpulley.coordination import errors, stored_values
from amaranthpulley.coordination.control import ticket_rules
from amaranthpulley.state import store
from amaranthpulley.state.control import configuration, tickets, topology

MAXIMUM_TICKET_BYTES: Final = 256 * 1024
MAXIMUM_TAIL_BYTES: Final = 384 * 1024
MAXIMUM_TAIL_TICKETS: Final = 32
MAXIMUM_USED_NUMBERS: Final = 1_000
ENTRIES_PER_CHUNK: Final = 1_500
MAXIMUM_ATTEMPTS: Final = 8

Steps = Generator[store.Operation, store.Result, Any]
Call = Callable[[store.Operation], store.Result]


class ApplyStatus(enum.StrEnum):
    """How a run of ``ticket apply`` ended."""

    ACCEPTED = "accepted"
    ALREADY_ACCEPTED = "already_accepted"
    INVALID = "invalid"
    NUMBER_USED = "number_used"
    NUMBER_TOO_OLD = "number_too_old"
    SUPERSEDED = "superseded"
    STORE_UNAVAILABLE = "store_unavailable"
    CONTENDED = "contended"
    UNKNOWN = "unknown"

    @property
    def is_accepted(self) -> bool:
        """Whether the ticket is in the store for certain."""
        return self in (ApplyStatus.ACCEPTED, ApplyStatus.ALREADY_ACCEPTED)


class ApplyResult(NamedTuple):
    """How a run ended, with the message for the operator."""

    status: ApplyStatus
    message: str


class Stored(NamedTuple):
    """What the store holds: the head, its revision and the merged configuration."""

    head: tickets.Head
    revision: int
    configuration: configuration.Configuration


def run(steps: Steps, call: Call) -> Any:
    """Drive a generator of this module with a function that calls the store."""
    try:
        operation = next(steps)
        while True:
            operation = steps.send(call(operation))
    except StopIteration as stop:
        return stop.value


def apply(ticket: topology.ChangeTicket, apply_id: str, wall_ms: int) -> Steps:
    """Write a ticket to the store; returns an `ApplyResult`.

    Parameters
    ----------
    ticket : ChangeTicket
        The ticket to write.
    apply_id : str
        Unique for each run of the command.
    wall_ms : int
        Milliseconds since the Unix epoch.
    """
    if (size := _size_of(ticket)) > MAXIMUM_TICKET_BYTES:
        text = f"the ticket has {size} bytes, over the limit of {MAXIMUM_TICKET_BYTES}"
        return ApplyResult(ApplyStatus.INVALID, f"{text}; split it - at `$`")
    accepted = tickets.AcceptedTicket(
        ticket, apply_id, stored_values.digest_of(ticket), wall_ms
    )
    in_doubt = False
    for _ in range(MAXIMUM_ATTEMPTS):
        stored = yield from read()
        if isinstance(stored, store.StoreFailed):
            return _store_unavailable(stored, in_doubt)
        early_result = _early_result(stored, accepted)
        if early_result is not None:
            return early_result
        head = yield from _next_head(stored, accepted)
        if isinstance(head, store.StoreFailed):
            return _store_unavailable(head, in_doubt)
        value = stored_values.encode_head(head)
        result = yield store.Swap(tickets.HEAD_KEY, stored.revision, value)
        if isinstance(result, store.StoreFailed):
            if not result.unknown and not in_doubt:
                return _store_unavailable(result, in_doubt)
            in_doubt = True
        elif result.succeeded:
            return ApplyResult(
                ApplyStatus.ACCEPTED, _acceptance_message(stored, ticket)
            )
    return _out_of_attempts(in_doubt)


def read() -> Steps:
    """Read all accepted tickets; returns `Stored` or `StoreFailed`."""
    result = yield store.Get(tickets.HEAD_KEY)
    if isinstance(result, store.StoreFailed):
        return result
    head = tickets.Head()
    if result.value is not None:
        try:
            head = stored_values.decode_head(result.value)
        except errors.CorruptStoreValueError as error:
            return store.StoreFailed(str(error), unknown=False)
    merged = configuration.Configuration()
    for index in range(head.chunk_count):
        key = tickets.chunk_key(index, head.chunk_count)
        chunk = yield store.Get(key)
        if isinstance(chunk, store.StoreFailed):
            return chunk
        for part in stored_values.decode_tickets(chunk.value) if chunk.value else ():
            merged.apply(part)
    for accepted in head.tail:
        merged.apply(accepted.ticket)
    return Stored(head, result.revision, merged)


def find(head: tickets.Head, number: int) -> tickets.UsedNumber | None:
    """Return the record of an accepted number, or None."""
    for accepted in head.tail:
        if accepted.ticket.number == number:
            return tickets.UsedNumber(number, accepted.digest, accepted.apply_id)
    return next((used for used in head.used if used.number == number), None)


def _early_result(
    stored: Stored, accepted: tickets.AcceptedTicket
) -> ApplyResult | None:
    number = accepted.ticket.number
    used = find(stored.head, number)
    if used is not None:
        if used.apply_id == accepted.apply_id:
            return ApplyResult(ApplyStatus.ACCEPTED, f"ticket {number} is accepted")
        if used.digest == accepted.digest:
            text = f"ticket {number} was accepted before with the same content"
            return ApplyResult(ApplyStatus.ALREADY_ACCEPTED, text)
        text = f"number {number} is used with other content; take a higher one"
        return ApplyResult(ApplyStatus.NUMBER_USED, text)
    violation = ticket_rules.first_violation(stored.configuration, accepted.ticket)
    if violation is not None:
        return ApplyResult(ApplyStatus.INVALID, violation)
    if number <= stored.head.highest_closed_number:
        text = (
            f"numbers up to {stored.head.highest_closed_number} are closed; "
            "take a higher one"
        )
        return ApplyResult(ApplyStatus.NUMBER_TOO_OLD, text)
    superseded = ticket_rules.superseded(stored.configuration, accepted.ticket)
    if len(superseded) == len(configuration.entries_of(accepted.ticket)):
        text = "a higher number has set all that the ticket touches; take a higher one"
        return ApplyResult(ApplyStatus.SUPERSEDED, text)
    return None


def _acceptance_message(stored: Stored, ticket: topology.ChangeTicket) -> str:
    superseded = ticket_rules.superseded(stored.configuration, ticket)
    text = f"ticket {ticket.number} is accepted"
    if not superseded:
        return text
    names = ", ".join(f"{scope.kind} {scope.name}" for scope in superseded)
    return f"{text}; a higher number keeps its state of {names}"


def _next_head(stored: Stored, accepted: tickets.AcceptedTicket) -> Steps:
    """Return the head with the ticket; fold the tail into chunks if it is full."""
    head = stored.head
    grown = head._replace(sequence=head.sequence + 1, tail=(*head.tail, accepted))
    size = sum(_size_of(one.ticket) for one in grown.tail)
    if len(grown.tail) <= MAXIMUM_TAIL_TICKETS and size <= MAXIMUM_TAIL_BYTES:
        return grown
    chunk_count = _chunk_count(stored)
    failure = yield from _fold(stored, chunk_count)
    if failure is not None:
        return failure
    used = (
        *head.used,
        *(
            tickets.UsedNumber(one.ticket.number, one.digest, one.apply_id)
            for one in head.tail
        ),
    )
    closed = used[: max(0, len(used) - MAXIMUM_USED_NUMBERS)]
    return tickets.Head(
        sequence=head.sequence + 1,
        tail=(accepted,),
        used=used[len(closed) :],
        highest_closed_number=max(
            (head.highest_closed_number, *(one.number for one in closed))
        ),
        chunk_count=chunk_count,
    )


def _size_of(ticket: topology.ChangeTicket) -> int:
    return len(stored_values.encode_tickets((ticket,)))


def _chunk_count(stored: Stored) -> int:
    count = max(1, stored.head.chunk_count)
    while count * ENTRIES_PER_CHUNK < len(stored.configuration.entries):
        count *= 2
    return count


def _fold(stored: Stored, chunk_count: int) -> Steps:
    """Merge the tail into the chunks; this is idempotent."""
    entries = stored.configuration.entries
    if chunk_count == stored.head.chunk_count:
        touched = {
            configuration.scope_of(entry)
            for accepted in stored.head.tail
            for entry in configuration.entries_of(accepted.ticket)
        }
    else:
        touched = set(entries)
    chunks: dict[int, list[configuration.NumberedEntry]] = {}
    for scope in sorted(touched):
        index = configuration.bucket_of(scope, chunk_count)
        chunks.setdefault(index, []).append(entries[scope])
    for index, found in sorted(chunks.items()):
        key = tickets.chunk_key(index, chunk_count)
        failure = yield from _merge_chunk(key, found)
        if failure is not None:
            return failure
    return None


def _merge_chunk(key: str, entries: list[configuration.NumberedEntry]) -> Steps:
    failure: store.StoreFailed | None = None
    for _ in range(MAXIMUM_ATTEMPTS):
        present = yield store.Get(key)
        if isinstance(present, store.StoreFailed):
            return present
        merged = configuration.Configuration()
        for part in stored_values.decode_tickets(present.value or b"\x90"):
            merged.apply(part)
        if not merged.merge(entries):
            return None
        value = stored_values.encode_tickets(
            configuration.as_tickets(merged.entries.values())
        )
        result = yield store.Swap(key, present.revision, value)
        if isinstance(result, store.StoreFailed):
            failure = result
        elif result.succeeded:
            return None
    return failure or store.StoreFailed("a chunk is contended", unknown=False)


def _store_unavailable(failed: store.StoreFailed, in_doubt: bool) -> ApplyResult:
    if in_doubt:
        return _out_of_attempts(in_doubt)
    text = f"the store gave no answer ({failed.reason}); nothing is in force of it"
    return ApplyResult(ApplyStatus.STORE_UNAVAILABLE, text)


def _out_of_attempts(in_doubt: bool) -> ApplyResult:
    if in_doubt:
        text = (
            "the store did not say whether the ticket was taken; run the same command "
            "again, which is safe"
        )
        return ApplyResult(ApplyStatus.UNKNOWN, text)
    return ApplyResult(
        ApplyStatus.CONTENDED, "other tickets came first each time; try again"
    )
