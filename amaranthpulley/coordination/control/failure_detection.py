"""Failure detection: an exchange with one peer in each heartbeat period.

A peer that does not answer is probed through other peers before it is suspected, so
that one bad link between two daemons does not change the membership.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.control import (
    gossip,
    membership,
    peer_messages,
    ticket_watch,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state.control import members

Random = Callable[[], float]
Commands = list[commands.Command]

HEARTBEAT_PERIOD_MS: Final = 1_000
INDIRECT_PROBES: Final = 3
INDIRECT_TIMEOUT_MS: Final = 1_600
# A failure reported later than this is due to a pause of this process.
MAXIMUM_REPLY_AGE_MS: Final = 2 * INDIRECT_TIMEOUT_MS
# Share of the periods in which a dead member is probed too, to notice its return.
DEAD_PROBE_PROBABILITY: Final = 0.2


class HeartbeatDue(NamedTuple):
    """Purpose of the timer that probes the next peer."""


class ProbeSent(NamedTuple):
    """Purpose of the exchange that probes a peer."""

    name: str
    sent_ms: int


class IndirectProbeSent(NamedTuple):
    """Purpose of the call that asks a peer to probe another one."""

    name: str
    sent_ms: int


class ProbeForPeer(NamedTuple):
    """Purpose of the exchange that probes a peer on behalf of another one."""

    call_id: str


def start(
    daemon: daemon_state.Daemon, event: events.Started, now_ms: int, random: Random
) -> Commands:
    """Join the group and start the heartbeat at a random time within a period."""
    first_ms = now_ms + int(random() * HEARTBEAT_PERIOD_MS)
    return [
        *membership.join(daemon, now_ms),
        commands.SetTimer(HeartbeatDue(), first_ms),
    ]


def handle_heartbeat(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Probe the next peer and do the other periodic work."""
    decided: Commands = [
        commands.SetTimer(HeartbeatDue(), now_ms + HEARTBEAT_PERIOD_MS)
    ]
    decided += ticket_watch.ensure_watch(daemon, now_ms)
    decided += membership.declare_suspects_dead(daemon, now_ms)
    if now_ms >= daemon.control.next_list_ms:
        decided += membership.list_vms(daemon, now_ms)
    name = _next_peer(daemon, random)
    if name is not None:
        decided.append(_probe(daemon, name, now_ms))
    if random() < DEAD_PROBE_PROBABILITY:
        decided += _probe_dead_member(daemon, now_ms, random)
    return decided


def handle_probe_reply(
    daemon: daemon_state.Daemon, event: events.PeerReplied, now_ms: int, random: Random
) -> Commands:
    """Merge a peer's reply, or have other peers probe one that did not answer."""
    name, sent_ms = event.purpose
    if not isinstance(event.reply, events.PeerFailure):
        membership.republish_standing(daemon, name, now_ms)
        return gossip.handle_exchange_reply(daemon, event, now_ms, random)
    if event.reply is events.PeerFailure.REJECTED:
        # The peer is alive, but its VM list does not contain this daemon yet.
        return []
    member = daemon.members.get(name)
    if member is None or not member.is_live or now_ms - sent_ms > MAXIMUM_REPLY_AGE_MS:
        return []
    probers = gossip.sample_peers(daemon, INDIRECT_PROBES + 1, random)
    probers = [address for address in probers if address != member.vm.address]
    probers = probers[:INDIRECT_PROBES]
    if not probers:
        return membership.suspect(daemon, name, now_ms)
    daemon.control.indirect_probes[name] = len(probers)
    message = peer_messages.ProbeAsked(daemon.identity.address, member.vm.address)
    purpose = IndirectProbeSent(name, now_ms)
    return [
        commands.CallPeer(purpose, address, message, INDIRECT_TIMEOUT_MS)
        for address in probers
    ]


def handle_indirect_reply(
    daemon: daemon_state.Daemon, event: events.PeerReplied, now_ms: int, random: Random
) -> Commands:
    """Suspect a peer that none of the asked peers has reached."""
    name, sent_ms = event.purpose
    pending = daemon.control.indirect_probes.get(name)
    if pending is None:
        return []
    reached = isinstance(event.reply, peer_messages.Probed) and event.reply.reached
    if reached or pending == 1:
        del daemon.control.indirect_probes[name]
    else:
        daemon.control.indirect_probes[name] = pending - 1
    if reached or pending > 1 or now_ms - sent_ms > MAXIMUM_REPLY_AGE_MS:
        return []
    return membership.suspect(daemon, name, now_ms)


def probe_for_peer(
    daemon: daemon_state.Daemon, event: events.PeerCalled, now_ms: int, random: Random
) -> Commands:
    """Probe a peer on behalf of the one that asks."""
    purpose = ProbeForPeer(event.call_id)
    return [gossip.exchange_command(daemon, event.message.address, purpose, now_ms)]


def report_probe(
    daemon: daemon_state.Daemon, event: events.PeerReplied, now_ms: int, random: Random
) -> Commands:
    """Report to the peer that asked whether the probed one answered."""
    failures = (events.PeerFailure.UNREACHABLE, events.PeerFailure.TIMED_OUT)
    reached = event.reply not in failures
    reply = commands.ReplyPeer(event.purpose.call_id, peer_messages.Probed(reached))
    return [reply, *gossip.handle_exchange_reply(daemon, event, now_ms, random)]


def _probe(daemon: daemon_state.Daemon, name: str, now_ms: int) -> commands.CallPeer:
    address = daemon.members.get(name).vm.address
    return gossip.exchange_command(daemon, address, ProbeSent(name, now_ms), now_ms)


def _next_peer(daemon: daemon_state.Daemon, random: Random) -> str | None:
    """Return the next live peer; each round visits all in a new random order."""
    control = daemon.control
    while True:
        if not control.probe_order:
            control.probe_order = [vm.name for vm in daemon.members.peers]
        if not control.probe_order:
            return None
        order = control.probe_order
        index = int(random() * len(order))
        order[index], order[-1] = order[-1], order[index]
        name = order.pop()
        member = daemon.members.get(name)
        if member is not None and member.is_live:
            return name


def _probe_dead_member(
    daemon: daemon_state.Daemon, now_ms: int, random: Random
) -> Commands:
    dead = daemon.members.with_standing(members.Standing.DEAD)
    if not dead:
        return []
    return [_probe(daemon, dead[int(random() * len(dead))].vm.name, now_ms)]


HANDLERS: Final = {
    events.Started: start,
    HeartbeatDue: handle_heartbeat,
    ProbeSent: handle_probe_reply,
    IndirectProbeSent: handle_indirect_reply,
    ProbeForPeer: report_probe,
    peer_messages.ProbeAsked: probe_for_peer,
}
