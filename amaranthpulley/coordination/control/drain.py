"""Graceful shutdown without interrupting a request.

The daemon first turns unready and announces to its peers that it leaves. It accepts
requests for a grace period, because the load balancer takes time to notice. It then
refuses new requests before any part of them has run, finishes those in progress,
releases its leases, and waits until the journal is written.
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
    """Purpose of the timer that checks whether the drain is complete."""


def begin(
    daemon: daemon_state.Daemon,
    event: events.DrainRequested,
    now_ms: int,
    random: Random,
) -> Commands:
    """Turn unready and announce it; accept requests until the grace period ends."""
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
    """End the process at once and log what is unfinished."""
    return _abort(daemon)


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
    """End the process once nothing is in progress, or when the time limit is up."""
    if now_ms >= daemon.control.drain_end_ms:
        return _abort(daemon)
    next_check = commands.SetTimer(DrainCheck(), now_ms + CHECK_INTERVAL_MS)
    if daemon.requests_in_progress > 0 or daemon.orders.unsettled > 0:
        return [next_check]
    if not daemon.closed_to_callers:
        # The journal closes this daemon's life only when no request can arrive.
        daemon.closed_to_callers = True
        return [commands.StopListening(), next_check]
    released = named_leases.release_all(daemon, now_ms)
    if released or daemon.leases.call_in_flight or daemon.facts.has_unsent:
        return [*released, next_check]
    if request_journal.pending_write_count(daemon) > 0:
        return [next_check]
    return [commands.log(log_events.DAEMON_STOPPED), commands.Exit(0)]


def _abort(daemon: daemon_state.Daemon) -> Commands:
    unfinished = commands.log(
        log_events.DRAIN_CUT_SHORT,
        requests=daemon.requests_in_progress,
        records=request_journal.pending_write_count(daemon),
    )
    return [unfinished, commands.Exit(1)]


HANDLERS: Final = {
    events.DrainRequested: begin,
    events.StopRequested: stop,
    GracePeriodEnded: refuse_requests,
    DrainCheck: check_progress,
}
