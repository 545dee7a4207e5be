"""Gossip between peers: pushes new state and reconciles differences by checksum.

New facts and configured entries are pushed to `FANOUT` random peers, each of which
forwards what it did not know. The periodic exchange finds what the pushes missed by
comparing checksums. The work of a daemon does not grow with the number of daemons.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.control import (
    configuration_updates,
    membership,
    peer_messages,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state.control import configuration, facts, topology

Random = Callable[[], float]
Commands = list[commands.Command]

FANOUT: Final = 4
PUSH_DELAY_MS: Final = 50
EXCHANGE_TIMEOUT_MS: Final = 700
MAXIMUM_FACTS: Final = 64
MAXIMUM_PUSHED_ENTRIES: Final = 100
MAXIMUM_SYNCED_ENTRIES: Final = 1_000


class PushDue(NamedTuple):
    """Purpose of the timer that pushes new facts and entries."""


class ExchangeSent(NamedTuple):
    """Purpose of an exchange that carries new state or requests a confirmation."""


class SyncSent(NamedTuple):
    """Purpose of the call that requests the entries that differ from a peer's."""


def exchange_command(
    daemon: daemon_state.Daemon,
    address: str,
    purpose: tuple,
    now_ms: int,
    spread: tuple[facts.SpreadFact, ...] = (),
    tickets: tuple[topology.ChangeTicket, ...] = (),
) -> commands.CallPeer:
    """Return the command that starts an exchange with a peer."""
    message = peer_messages.Exchange(
        daemon.identity.address,
        spread,
        tickets,
        daemon.facts.digest(now_ms),
        daemon.configuration.checksum,
        not daemon.configuration.suspended,
    )
    return commands.CallPeer(purpose, address, message, EXCHANGE_TIMEOUT_MS)


def sample_peers(daemon: daemon_state.Daemon, count: int, random: Random) -> list[str]:
    """Return the addresses of at most `count` live peers, chosen at random."""
    table = daemon.members
    if table.peer_count <= count:
        return [vm.address for vm in table.peers]
    drawn: dict[int, None] = {}
    while len(drawn) < count:
        drawn[int(random() * table.peer_count)] = None
    return [table.peer_at(index).address for index in drawn]


def schedule_push(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Set the push timer if there is something to push and the timer is not set."""
    has_unsent = daemon.facts.has_unsent or daemon.configuration.has_unsent
    if daemon.control.push_pending or not has_unsent or not daemon.control.started:
        return []
    daemon.control.push_pending = True
    return [commands.SetTimer(PushDue(), now_ms + PUSH_DELAY_MS)]


def push(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Push new facts and entries to `FANOUT` peers."""
    daemon.control.push_pending = False
    return push_now(daemon, now_ms, random)


def push_now(daemon: daemon_state.Daemon, now_ms: int, random: Random) -> Commands:
    """Push new facts and entries without waiting for more of them."""
    spread = daemon.facts.pop_unsent(now_ms, MAXIMUM_FACTS)
    entries = daemon.configuration.pop_unsent()
    # Peers fetch a larger set themselves when their checksums differ.
    is_small = len(entries) <= MAXIMUM_PUSHED_ENTRIES
    tickets = configuration.as_tickets(entries) if is_small else ()
    return [
        exchange_command(daemon, address, ExchangeSent(), now_ms, spread, tickets)
        for address in sample_peers(daemon, FANOUT, random)
    ]


def handle_exchange(
    daemon: daemon_state.Daemon, event: events.PeerCalled, now_ms: int, random: Random
) -> Commands:
    """Merge a peer's facts and entries, and reply with the facts that it lacks."""
    message = event.message
    decided = _merge_facts(daemon, message.facts, now_ms)
    decided += configuration_updates.merge_tickets(daemon, message.tickets, now_ms)
    digest = message.facts_digest
    reply = peer_messages.Exchanged(
        daemon.facts.differing(digest, now_ms, MAXIMUM_FACTS, random()),
        daemon.facts.digest(now_ms),
        daemon.configuration.checksum,
        not daemon.configuration.suspended,
    )
    decided.append(commands.ReplyPeer(event.call_id, reply))
    if message.checksum != daemon.configuration.checksum:
        decided += request_sync(daemon, message.sender)
    return decided


def handle_exchange_reply(
    daemon: daemon_state.Daemon, event: events.PeerReplied, now_ms: int, random: Random
) -> Commands:
    """Merge a peer's reply, and send the facts that the peer lacks."""
    reply = event.reply
    if isinstance(reply, events.PeerFailure):
        daemon.counters.add("peer_calls_failed_total", failure=reply.value)
        return configuration_updates.record_peer_failure(daemon, now_ms)
    decided = _merge_facts(daemon, reply.facts, now_ms)
    decided += configuration_updates.record_peer_reply(daemon, now_ms)
    missing = daemon.facts.differing(
        reply.facts_digest, now_ms, MAXIMUM_FACTS, random()
    )
    sent = {spread.fact for spread in reply.facts}
    missing = tuple(spread for spread in missing if spread.fact not in sent)
    if missing:
        decided.append(
            exchange_command(daemon, event.address, ExchangeSent(), now_ms, missing)
        )
    if reply.checksum != daemon.configuration.checksum:
        return decided + request_sync(daemon, event.address)
    return decided + configuration_updates.record_confirmation(
        daemon, event.address, reply.fresh, now_ms
    )


def request_sync(daemon: daemon_state.Daemon, address: str) -> Commands:
    """Request the configured entries that differ, from one peer at a time."""
    if daemon.control.sync_in_flight:
        return []
    daemon.control.sync_in_flight = True
    checksums = daemon.configuration.bucket_checksums
    message = peer_messages.SyncAsked(daemon.identity.address, checksums)
    return [commands.CallPeer(SyncSent(), address, message, EXCHANGE_TIMEOUT_MS)]


def handle_sync_request(
    daemon: daemon_state.Daemon, event: events.PeerCalled, now_ms: int, random: Random
) -> Commands:
    """Reply with the configured entries that differ from the peer's."""
    entries, complete = daemon.configuration.differing(
        event.message.checksums, MAXIMUM_SYNCED_ENTRIES
    )
    reply = peer_messages.Synced(
        configuration.as_tickets(entries),
        complete,
        not daemon.configuration.suspended,
    )
    return [commands.ReplyPeer(event.call_id, reply)]


def handle_sync_reply(
    daemon: daemon_state.Daemon, event: events.PeerReplied, now_ms: int, random: Random
) -> Commands:
    """Merge the entries that a peer sent and request the rest."""
    daemon.control.sync_in_flight = False
    reply = event.reply
    if isinstance(reply, events.PeerFailure):
        daemon.counters.add("peer_calls_failed_total", failure=reply.value)
        return []
    decided = configuration_updates.merge_tickets(
        daemon, reply.tickets, now_ms, reply.complete
    )
    if not reply.complete:
        return decided + request_sync(daemon, event.address)
    return decided + configuration_updates.record_confirmation(
        daemon, event.address, reply.fresh, now_ms
    )


def handle_ticket(
    daemon: daemon_state.Daemon, event: events.PeerCalled, now_ms: int, random: Random
) -> Commands:
    """Merge an accepted ticket that an operator's command hands over.

    The store may become unavailable before a watch has seen the ticket; the ticket
    then spreads from this daemon.
    """
    decided = configuration_updates.merge_tickets(
        daemon, (event.message.ticket,), now_ms
    )
    taken = peer_messages.TicketTaken(daemon.identity.name)
    return [*decided, commands.ReplyPeer(event.call_id, taken)]


def _merge_facts(
    daemon: daemon_state.Daemon, received: tuple[facts.SpreadFact, ...], now_ms: int
) -> Commands:
    decided: Commands = []
    for fact, remaining_ms in received:
        if not daemon.facts.publish(fact, now_ms + remaining_ms):
            continue
        if fact.kind is facts.FactKind.MEMBER:
            decided += membership.apply_fact(daemon, fact, now_ms)
    return decided


HANDLERS: Final = {
    PushDue: push,
    ExchangeSent: handle_exchange_reply,
    SyncSent: handle_sync_reply,
    peer_messages.Exchange: handle_exchange,
    peer_messages.SyncAsked: handle_sync_request,
    peer_messages.TicketHandedOver: handle_ticket,
}
