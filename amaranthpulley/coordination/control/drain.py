"""Leaving without cutting a request.

First the daemon is unready and tells its peers that it leaves, while it still takes
requests: the balancer needs the grace to notice. Then it refuses new requests, which
have not run, ends those in progress, gives its leases back, and waits for the journal.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.accounts import request_journal
from amaranthpulley.coordination.control import membership, named_leases
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events

Random = Callable[[], float]
Commands = list[commands.Command]

CHECK_INTERVAL_MS: Final = 50


class GracePeriodEnded(NamedTuple):
    """Purpose of the timer after which new requests are refused."""


class DrainCheck(NamedTuple):
    """Purpose of the timer that looks whether all is done."""


def begin(
    daemon: daemon_state.Daemon,
    event: events.DrainRequested,
    now_ms: int,
    random: Random,
) -> Commands:
    """Become unready and tell the peers; go on taking requests for the grace."""
    if daemon.leaving:
        return []
    daemon.leaving = True
    daemon.control.drain_end_ms = now_ms + daemon.limits.drain_limit_ms
    membership.leave(daemon, now_ms)
    grace_ms = daemon.limits.drain_grace_ms
    started = commands.log(log_events.DRAIN_STARTED, grace_ms=grace_ms)
    if grace_ms == 0:
        return [started, *refuse_requests(daemon, event, now_ms, random)]
    return [started, commands.SetTimer(GracePeriodEnded(), now_ms + grace_ms)]


def stop(
    daemon: daemon_state.Daemon,
    event: events.StopRequested,
    now_ms: int,
    random: Random,
) -> Commands:
    """End the process at once and say what is left."""
    return _cut_short(daemon)


def refuse_requests(
    daemon: daemon_state.Daemon, event: events.Event, now_ms: int, random: Random
) -> Commands:
    """Refuse new requests from now on."""
    daemon.draining = True
    return [
        *request_journal.flush_early(daemon, event, now_ms, random),
        *check_progress(daemon, event, now_ms, random),
    ]


def check_progress(
    daemon: daemon_state.Daemon, event: events.Event, now_ms: int, random: Random
) -> Commands:
    """End the process once nothing is in progress, or when the limit is over."""
    if now_ms >= daemon.control.drain_end_ms:
        return _cut_short(daemon)
    again = commands.SetTimer(DrainCheck(), now_ms + CHECK_INTERVAL_MS)
    if daemon.requests_in_progress > 0 or daemon.orders.unsettled > 0:
        return [again]
    if not daemon.closed_to_callers:
        # The journal ends its life only when no further request can come.
        daemon.closed_to_callers = True
        return [commands.StopListening(), again]
    handed_over = named_leases.release_all(daemon, now_ms)
    if handed_over or daemon.leases.call_in_flight or daemon.facts.has_unsent:
        return [*handed_over, again]
    if request_journal.pending_write_count(daemon) > 0:
        return [again]
    return [commands.log(log_events.DAEMON_STOPPED), commands.Exit(0)]


def _cut_short(daemon: daemon_state.Daemon) -> Commands:
    left = commands.log(
        log_events.DRAIN_CUT_SHORT,
        requests=daemon.requests_in_progress,
        records=request_journal.pending_write_count(daemon),
    )
    return [left, commands.Exit(1)]


HANDLERS: Final = {
    events.DrainRequested: begin,
    events.StopRequested: stop,
    GracePeriodEnded: refuse_requests,
    DrainCheck: check_progress,
}
