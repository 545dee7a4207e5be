"""Bringing the operators' change tickets into force."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events, stored_values
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, store

Random = Callable[[], float]
Commands = list[commands.Command]

TICKET_PREFIX: Final = "tickets/"
WATCH_WAIT_MS: Final = 30_000
WATCH_GRACE_MS: Final = 5_000
RETRY_MS: Final = 1_000


class TicketsWatched(NamedTuple):
    """Purpose of the store call that waits for change tickets."""


class WatchAgain(NamedTuple):
    """Purpose of the timer that starts the watch again after a failure."""

    after_revision: int


def ticket_key(number: int) -> str:
    """Return the store key of a ticket; keys sort by number."""
    return f"{TICKET_PREFIX}{number:012d}"


def start(
    daemon: daemon_state.Daemon, event: events.Started, now_ms: int, random: Random
) -> Commands:
    """Watch the tickets from the first one on."""
    daemon.wall_offset_ms = event.wall_offset_ms
    return [_watch(after_revision=0)]


def take_changes(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Merge the changed tickets and watch on."""
    after_revision = event.operation.after_revision
    result = event.result
    if isinstance(result, store.StoreFailed):
        failed = commands.log(log_events.STORE_CALL_FAILED, reason=result.reason)
        again = WatchAgain(after_revision)
        return [failed, commands.SetTimer(again, now_ms + RETRY_MS)]
    decided: Commands = []
    for change in result.changes:
        if change.value is not None:
            ticket = stored_values.decode_ticket(change.value)
            daemon.configuration.apply(ticket)
            decided.append(
                commands.log(log_events.TICKET_IN_FORCE, ticket=ticket.number)
            )
    return [*decided, _watch(result.revision)]


def watch_again(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Watch on after a pause."""
    return [_watch(event.purpose.after_revision)]


def _watch(after_revision: int) -> commands.CallStore:
    operation = store.Watch(TICKET_PREFIX, after_revision, WATCH_WAIT_MS)
    timeout_ms = WATCH_WAIT_MS + WATCH_GRACE_MS
    return commands.CallStore(TicketsWatched(), operation, timeout_ms)


HANDLERS: Final = {
    events.Started: start,
    TicketsWatched: take_changes,
    WatchAgain: watch_again,
}
