"""Leaving without cutting a request."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events, journaling
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events

Random = Callable[[], float]
Commands = list[commands.Command]

CHECK_INTERVAL_MS: Final = 50


class DrainCheck(NamedTuple):
    """Purpose of the timer that looks whether all requests are answered."""


def begin(
    daemon: daemon_state.Daemon,
    event: events.DrainRequested,
    now_ms: int,
    random: Random,
) -> Commands:
    """Refuse new requests from now on and wait for those in progress."""
    daemon.draining = True
    return check(daemon, event, now_ms, random)


def check(
    daemon: daemon_state.Daemon, event: events.Event, now_ms: int, random: Random
) -> Commands:
    """End the process once nothing is in progress."""
    if daemon.requests_in_progress > 0 or journaling.pending(daemon) > 0:
        return [commands.SetTimer(DrainCheck(), now_ms + CHECK_INTERVAL_MS)]
    return [commands.log(log_events.DAEMON_STOPPED), commands.Exit(0)]


HANDLERS: Final = {events.DrainRequested: begin, DrainCheck: check}
