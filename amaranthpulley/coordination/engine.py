"""The single entry point of all decisions.

A front end (the daemon's transport, a test under virtual time, another protocol) calls
`step` for each event and executes the commands that it returns:

>>> commands = step(daemon, event, now_ms, random)  # doctest: +SKIP

Handlers are looked up by the type of the event. For a timer or a reply it is the type
of its purpose, which was set with the command that requested it; for a peer's call it
is the type of the message.
"""

from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination import commands, errors, events, tracing
from amaranthpulley.coordination.accounts import (
    journal_retention,
    journal_writes,
    request_journal,
)
from amaranthpulley.coordination.control import (
    configuration_refresh,
    drain,
    failure_detection,
    gossip,
    membership,
    named_leases,
    ticket_watch,
)
from amaranthpulley.coordination.orders import (
    claim_commit,
    claim_pruning,
    claim_segments,
    claim_submission,
    order_lifecycle,
)
from amaranthpulley.coordination.searches import (
    cold_starts,
    crash_attribution,
    search_execution,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import lateness

Random = Callable[[], float]
Handler = Callable[
    [daemon_state.Daemon, events.Event, int, Random], list[commands.Command]
]

_MODULES: Final = (
    crash_attribution,
    journal_writes,
    request_journal,
    journal_retention,
    tracing,
    search_execution,
    cold_starts,
    order_lifecycle,
    claim_submission,
    claim_commit,
    claim_pruning,
    claim_segments,
    configuration_refresh,
    membership,
    gossip,
    failure_detection,
    ticket_watch,
    named_leases,
    drain,
)


def _collect_handlers() -> dict[type, list[Handler]]:
    handlers: dict[type, list[Handler]] = {}
    for module in _MODULES:
        for kind, handler in module.HANDLERS.items():
            handlers.setdefault(kind, []).append(handler)
    return handlers


_HANDLERS: Final = _collect_handlers()


def step(
    daemon: daemon_state.Daemon, event: events.Event, now_ms: int, random: Random
) -> list[commands.Command]:
    """Update the state for an event and return the resulting commands.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables; changed in place.
    event : Event
        The event to handle.
    now_ms : int
        Reading of the daemon's monotonic clock, in milliseconds.
    random : callable
        Returns a uniformly distributed number in ``[0.0, 1.0)``.

    Returns
    -------
    list of Command
        The commands to execute, in order.
    """
    if isinstance(event, events.TimerDue) and event.due_ms is not None:
        late_ms = now_ms - event.due_ms
        daemon.lateness.record(late_ms, now_ms)
        daemon.counters.add("timers_total", late_ms=lateness.bucket_label(late_ms))
    decided = configuration_refresh.detect_pause(daemon, now_ms, random)
    if isinstance(event, events.PeerCalled):
        refused = membership.reject_unlisted_sender(daemon, event, now_ms)
        if refused is not None:
            return decided + refused
    for handler in _handlers_of(event):
        decided += handler(daemon, event, now_ms, random)
    crash_attribution.record_sent(daemon, decided, now_ms)
    return decided + gossip.schedule_push(daemon, now_ms)


def _handlers_of(event: events.Event) -> list[Handler]:
    subject = _subject_of(event)
    handlers = _HANDLERS.get(type(subject))
    if handlers is None:
        raise errors.UnknownEventError(
            f"no handler for {type(subject).__name__}: register one in the HANDLERS of "
            "the module that defines the decision"
        )
    return handlers


def _subject_of(event: events.Event) -> tuple:
    if isinstance(event, events.TimerDue | events.StoreReplied | events.PeerReplied):
        return event.purpose
    if isinstance(event, events.PeerCalled):
        return event.message
    return event
