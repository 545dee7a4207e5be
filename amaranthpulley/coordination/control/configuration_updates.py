"""Bringing the operators' change tickets into force, and knowing when the view is old.

While the configuration is suspended no target takes work. It is suspended from the
start and after a pause until the store or several peers have confirmed it.
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
    """Merge tickets, or parts of them, and log those that are in force now.

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
    """Give no target new work until the configuration is confirmed."""
    daemon.configuration.suspended = True
    daemon.control.store_confirmed = False
    daemon.control.suspended_since_ms = now_ms
    daemon.control.confirmations.clear()


def record_confirmation(
    daemon: daemon_state.Daemon, address: str, fresh: bool, now_ms: int
) -> Commands:
    """Count a peer whose configuration holds nothing that this daemon lacks."""
    if not daemon.configuration.suspended or not fresh:
        return []
    daemon.control.confirmations.add(address)
    needed = min(REQUIRED_CONFIRMATIONS, daemon.members.peer_count)
    if len(daemon.control.confirmations) < needed:
        return []
    return resume(daemon, "peers", now_ms)


def awaits_peer_facts(daemon: daemon_state.Daemon, now_ms: int) -> bool:
    """Tell whether a daemon that has just started should hear a peer first.

    Only the peers know which targets are cold or suspected.
    """
    state = daemon.control
    if state.peer_replied or daemon.members.peer_count == 0:
        return False
    return now_ms - state.suspended_since_ms < PEER_FACTS_TIMEOUT_MS


def record_peer_reply(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Go on with what the store has confirmed, now that a peer has been heard."""
    daemon.control.peer_replied = True
    return resume(daemon, "store", now_ms) if daemon.control.store_confirmed else []


def record_peer_failure(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Count a call that failed; when all have, there is nobody to hear."""
    state = daemon.control
    state.failed_peer_calls += 1
    if state.peer_replied or state.failed_peer_calls < min(
        PEERS_TO_ASK, daemon.members.peer_count
    ):
        return []
    return record_peer_reply(daemon, now_ms)


def resume(daemon: daemon_state.Daemon, source: str, now_ms: int) -> Commands:
    """Let targets take work again."""
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
