"""The entry point of all decisions about forwarded requests."""

from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination import errors
from amaranthpulley.coordination.forwarding import (
    believing,
    choosing,
    commands,
    events,
    progressing,
    receiving,
    telling,
)
from amaranthpulley.state.forwarding import gateway as gateway_state

Handler = Callable[
    [gateway_state.Gateway, events.Event, int, choosing.Random],
    list[commands.Command],
]

_HANDLERS: Final[dict[type, Handler]] = {
    events.RequestArrived: receiving.receive,
    events.ClientLeft: progressing.leave,
    events.AttemptAnswered: progressing.take_answer,
    events.AttemptFailed: progressing.take_failure,
    events.WakeDue: progressing.wake,
    events.ConfigurationRead: believing.read_configuration,
    events.LeafWritten: believing.write_leaf,
    events.LeafDeleted: believing.delete_leaf,
    events.ItemUnreadable: believing.note_unreadable,
    events.DirectoryListed: believing.read_listing,
    events.EvacuationChanged: believing.change_evacuation,
    events.MemberChanged: believing.change_member,
    events.StoreReached: believing.note_store,
    events.ProbeEnded: believing.end_probe,
    events.SlownessTold: telling.hear,
    events.TickDue: believing.tick,
    events.DrainRequested: believing.request_drain,
}


def step(
    gateway: gateway_state.Gateway,
    event: events.Event,
    now_ms: int,
    random: choosing.Random,
) -> list[commands.Command]:
    """Decide what to do about an event.

    Parameters
    ----------
    gateway : Gateway
        The daemon's tables; changed in place.
    event : Event
        What has happened.
    now_ms : int
        Reading of the daemon's monotonic clock, in milliseconds.
    random : callable
        Returns a number drawn evenly from ``[0.0, 1.0)``.

    Returns
    -------
    list of Command
        What is to be done, in this order.

    Raises
    ------
    UnknownEventError
        When no handler is registered for the event's type.
    """
    handler = _HANDLERS.get(type(event))
    if handler is None:
        raise errors.UnknownEventError(f"no handler for {type(event).__name__}")
    return handler(gateway, event, now_ms, random)
