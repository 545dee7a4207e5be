"""Confirmation of the configuration after the start and after a pause.

A daemon that was paused cannot know what it missed. A pause is detected from the gap
between two events, before anything else is decided. From then on no target gets work
until the store, or several peers with a confirmed configuration, show that nothing is
missing.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.control import (
    configuration_updates,
    gossip,
    ticket_watch,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events

Random = Callable[[], float]
Commands = list[commands.Command]

# The heartbeat causes an event every second.
PAUSE_THRESHOLD_MS: Final = 2_500
RETRY_INTERVAL_MS: Final = 400
STORE_READ_DELAY_MS: Final = 1_000
EXPECTED_STORE_READERS: Final = 10
# Without the store and the peers, the last known configuration is used after this.
CONFIRMATION_LIMIT_MS: Final = 3_000
# The same limit while a configuration is being read from the store or a peer.
LOADING_LIMIT_MS: Final = 15_000


class RefreshDue(NamedTuple):
    """Purpose of the timer that requests a confirmation again."""

    suspended_since_ms: int


def start(
    daemon: daemon_state.Daemon, event: events.Started, now_ms: int, random: Random
) -> Commands:
    """Start with an unconfirmed configuration."""
    daemon.wall_offset_ms = event.wall_offset_ms
    daemon.control.started = True
    daemon.control.last_event_ms = now_ms
    configuration_updates.suspend(daemon, now_ms)
    return [commands.SetTimer(RefreshDue(now_ms), now_ms + RETRY_INTERVAL_MS)]


def detect_pause(daemon: daemon_state.Daemon, now_ms: int, random: Random) -> Commands:
    """Suspend the configuration when the process was paused for `PAUSE_THRESHOLD_MS`.

    Called with every event.
    """
    last_ms = daemon.control.last_event_ms
    if last_ms is None:
        return []
    daemon.control.last_event_ms = now_ms
    if now_ms - last_ms < PAUSE_THRESHOLD_MS:
        return []
    daemon.counters.add("pauses_total")
    configuration_updates.suspend(daemon, now_ms)
    daemon.control.indirect_probes.clear()
    return [
        commands.log(log_events.PAUSE_NOTICED, paused_ms=now_ms - last_ms),
        commands.SetTimer(RefreshDue(now_ms), now_ms + RETRY_INTERVAL_MS),
        *_request_confirmation(daemon, now_ms, random),
    ]


def handle_vm_list(
    daemon: daemon_state.Daemon, event: events.VmsListed, now_ms: int, random: Random
) -> Commands:
    """Request the first confirmation once the peers are known."""
    first = daemon.configuration.suspended and not daemon.control.confirmation_requested
    return _request_confirmation(daemon, now_ms, random) if first else []


def retry_confirmation(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Request a confirmation again, or resume without one after the limit."""
    since_ms = event.purpose.suspended_since_ms
    state = daemon.control
    if not daemon.configuration.suspended or since_ms != state.suspended_since_ms:
        return []
    is_loading = state.read_in_flight or state.sync_in_flight
    limit_ms = LOADING_LIMIT_MS if is_loading else CONFIRMATION_LIMIT_MS
    if now_ms - since_ms >= limit_ms and daemon.configuration.entries:
        daemon.counters.add("configuration_unconfirmed_total")
        unconfirmed = commands.log(log_events.CONFIGURATION_UNCONFIRMED)
        return [unconfirmed, *configuration_updates.resume(daemon, "nobody", now_ms)]
    return [
        commands.SetTimer(event.purpose, now_ms + RETRY_INTERVAL_MS),
        *_request_confirmation(daemon, now_ms, random),
    ]


def _request_confirmation(
    daemon: daemon_state.Daemon, now_ms: int, random: Random
) -> Commands:
    state = daemon.control
    state.confirmation_requested = True
    drawn = gossip.sample_peers(daemon, configuration_updates.PEERS_TO_ASK, random)
    decided: Commands = [
        gossip.exchange_command(daemon, address, gossip.ExchangeSent(), now_ms)
        for address in drawn
    ]
    if ticket_watch.is_watcher(daemon) or _should_read_store(daemon, now_ms, random):
        decided += ticket_watch.read_head(daemon)
    return decided


def _should_read_store(
    daemon: daemon_state.Daemon, now_ms: int, random: Random
) -> bool:
    """Return whether a daemon that is not a watcher reads the store itself.

    When all daemons start at once, the watchers read the store and the others learn
    from them. After `STORE_READ_DELAY_MS`, about `EXPECTED_STORE_READERS` of the
    others read the store at each retry.
    """
    if now_ms - daemon.control.suspended_since_ms < STORE_READ_DELAY_MS:
        return False
    return random() < EXPECTED_STORE_READERS / (1 + daemon.members.peer_count)


HANDLERS: Final = {
    events.Started: start,
    events.VmsListed: handle_vm_list,
    RefreshDue: retry_confirmation,
}
