"""Merging change tickets, and suspending a configuration that may be outdated.

While the configuration is suspended no target accepts work. It is suspended from the
start, and after a pause of the process, until the store or several peers have
confirmed that nothing is missing.
"""

from collections.abc import Iterable
from typing import Final

from amaranthpulley.coordination import commands
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events
from amaranthpulley.state.control import topology

Commands = list[commands.Command]

REQUIRED_CONFIRMATIONS: Final = 2
PEERS_TO_ASK: Final = 3
PEER_FACTS_TIMEOUT_MS: Final = 1_000
_LOGGED_TICKETS: Final = 10


def merge_tickets(
    daemon: daemon_state.Daemon,
    tickets: Iterable[topology.ChangeTicket],
    now_ms: int,
    complete: bool = True,
) -> Commands:
    """Merge tickets, or parts of them, and log those that have come into force.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    tickets : iterable of ChangeTicket
        In any order.
    now_ms : int
        Reading of the monotonic clock, in milliseconds.
    complete : bool
        False when more parts of the same tickets follow.
    """
    pending = daemon.control.incomplete_tickets
    for ticket in tickets:
        if daemon.configuration.apply(ticket):
            pending.add(ticket.number)
    if not complete:
        return []
    wall_ms = daemon.wall_ms(now_ms)
    numbers = [
        number
        for number in sorted(pending)
        if daemon.configuration.record_in_force(number, wall_ms)
    ]
    pending.clear()
    daemon.counters.add("tickets_in_force_total", len(numbers))
    return [
        commands.log(log_events.TICKET_IN_FORCE, ticket=number)
        for number in numbers[-_LOGGED_TICKETS:]
    ]


def suspend(daemon: daemon_state.Daemon, now_ms: int) -> None:
    """Stop sending work to targets until the configuration is confirmed."""
    daemon.configuration.suspended = True
    daemon.control.store_confirmed = False
    daemon.control.suspended_since_ms = now_ms
    daemon.control.confirmations.clear()


def record_confirmation(
    daemon: daemon_state.Daemon, address: str, fresh: bool, now_ms: int
) -> Commands:
    """Count a peer that has no entry unknown here; resume after enough of them.

    A peer whose own configuration is not confirmed (`fresh` is false) does not count.
    """
    if not daemon.configuration.suspended or not fresh:
        return []
    daemon.control.confirmations.add(address)
    needed = min(REQUIRED_CONFIRMATIONS, daemon.members.peer_count)
    if len(daemon.control.confirmations) < needed:
        return []
    return resume(daemon, "peers", now_ms)


def awaits_peer_facts(daemon: daemon_state.Daemon, now_ms: int) -> bool:
    """Return whether a daemon that has just started still waits for a peer's facts.

    Only the peers know which targets are cold or suspected.
    """
    state = daemon.control
    if state.peer_replied or daemon.members.peer_count == 0:
        return False
    return now_ms - state.suspended_since_ms < PEER_FACTS_TIMEOUT_MS


def record_peer_reply(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Record a peer's reply; resume if the store has confirmed the configuration."""
    daemon.control.peer_replied = True
    return resume(daemon, "store", now_ms) if daemon.control.store_confirmed else []


def record_peer_failure(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Count a failed call to a peer; stop waiting for a reply when all have failed."""
    state = daemon.control
    state.failed_peer_calls += 1
    if state.peer_replied or state.failed_peer_calls < min(
        PEERS_TO_ASK, daemon.members.peer_count
    ):
        return []
    return record_peer_reply(daemon, now_ms)


def resume(daemon: daemon_state.Daemon, source: str, now_ms: int) -> Commands:
    """Let targets accept work again, and log what confirmed the configuration."""
    if not daemon.configuration.suspended:
        return []
    daemon.configuration.suspended = False
    return [
        commands.log(
            log_events.CONFIGURATION_CONFIRMED,
            source=source,
            number=daemon.configuration.highest_number,
            waited_ms=now_ms - daemon.control.suspended_since_ms,
        )
    ]
