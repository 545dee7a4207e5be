"""Named leases: at most one daemon acts under a name at a time.

A named lease is a key attached to the daemon's one store lease, so that a single call
renews all of them. A claim is a compare-and-swap of a key that must not exist; a claim
whose reply was lost is read back. The holder counts the time of the store lease from
before it sent the call and stops `MARGIN_MS` before the end, which allows for clocks
that run at different speeds.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import (
    commands,
    events,
    store_calls,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, store
from amaranthpulley.state.control import leases

Random = Callable[[], float]
Commands = list[commands.Command]

LEASE_PREFIX: Final = "leases/"
TTL_MS: Final = 5_000
MARGIN_MS: Final = 500
RENEWAL_MS: Final = 1_500
TICK_MS: Final = 500


class LeaseTick(NamedTuple):
    """Purpose of the timer that renews the store lease and retries claims."""


class StoreLeaseExtended(NamedTuple):
    """Purpose of the call that grants or renews the store lease."""

    store_lease_id: str
    sent_ms: int


class LeaseClaimed(NamedTuple):
    """Purpose of the call that claims a named lease."""

    name: str
    store_lease_id: str


class LeaseRead(NamedTuple):
    """Purpose of the call that reads a claim back."""

    name: str
    store_lease_id: str


class LeaseReleased(NamedTuple):
    """Purpose of the call that deletes a claim."""

    name: str


class AllReleased(NamedTuple):
    """Purpose of the call that revokes the store lease."""


def acquire(daemon: daemon_state.Daemon, name: str, now_ms: int) -> Commands:
    """Claim a lease, and claim it again after a loss, until `release` is called.

    `daemon.leases.holds` returns whether it is held.
    """
    table = daemon.leases
    claim = table.claims.get(name)
    if claim is not None and claim.wanted:
        return []
    known = claim or leases.LeaseClaim()
    table.claims[name] = known._replace(wanted=True)
    return [*_advance(daemon, name, now_ms), *_schedule_tick(daemon, now_ms)]


def release(daemon: daemon_state.Daemon, name: str, now_ms: int) -> Commands:
    """Release a lease; `holds` returns False at once."""
    claim = daemon.leases.claims.get(name)
    if claim is None:
        return []
    daemon.leases.claims[name] = claim._replace(wanted=False)
    return _advance(daemon, name, now_ms)


def release_all(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    """Release all leases with one call, which revokes the store lease."""
    table = daemon.leases
    table.claims.clear()
    lease_id = table.store_lease_id
    table.lapse()
    if lease_id is None:
        return []
    table.call_in_flight = True
    return [store_calls.call(daemon, AllReleased(), store.RevokeLease(lease_id))]


def handle_tick(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Renew the store lease and retry the claims of leases that are not held."""
    table = daemon.leases
    table.tick_pending = False
    if not table.claims:
        return []
    decided: Commands = []
    if table.store_lease_id is not None and now_ms >= table.next_renewal_ms:
        renewal = store.RenewLease(table.store_lease_id)
        decided += _extend(daemon, table.store_lease_id, renewal, now_ms)
    for name in list(table.claims):
        decided += _advance(daemon, name, now_ms)
    return [*decided, *_schedule_tick(daemon, now_ms)]


def handle_extension_reply(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Record the new end of the store lease, or that it has lapsed."""
    table, purpose = daemon.leases, event.purpose
    table.call_in_flight = False
    if isinstance(event.result, store.StoreFailed):
        return [_log_failure(event.result)]
    if event.result.held:
        end_ms = purpose.sent_ms + TTL_MS - MARGIN_MS
        table.extend(purpose.store_lease_id, end_ms)
    elif table.store_lease_id == purpose.store_lease_id:
        daemon.counters.add("leases_lapsed_total")
        table.lapse()
    return [
        command
        for name in list(table.claims)
        for command in _advance(daemon, name, now_ms)
    ]


def handle_claim_reply(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Record whether a claim took effect; read the key back if that is unknown."""
    name, result = event.purpose.name, event.result
    claim = daemon.leases.claims.get(name)
    if claim is None or claim.phase is not leases.Phase.CLAIMING:
        return []
    if isinstance(result, store.StoreFailed):
        uncertain = claim.uncertain or result.unknown
        claim = claim._replace(uncertain=uncertain)
        return [_log_failure(result), *_read_back(daemon, event, claim)]
    if not result.succeeded:
        return _read_back(daemon, event, claim)
    return _record_held(daemon, event, result.revision, now_ms)


def handle_read_reply(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Recognise this daemon's own claim by the value of the key."""
    name, result = event.purpose.name, event.result
    claim = daemon.leases.claims.get(name)
    if claim is None or claim.phase is not leases.Phase.READING:
        return []
    if isinstance(result, store.StoreFailed):
        daemon.leases.claims[name] = claim._replace(phase=leases.Phase.IDLE)
        return [_log_failure(result)]
    if result.value == _token(daemon, event.purpose.store_lease_id):
        return _record_held(daemon, event, result.revision, now_ms)
    # A claim still in flight either finds the key taken or takes effect under the
    # current store lease, so `uncertain` stays set until a claim has definitely
    # succeeded or failed.
    daemon.leases.claims[name] = claim._replace(phase=leases.Phase.IDLE)
    return []


def handle_release_reply(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Reset a lease whose key is certainly deleted; otherwise retry the deletion."""
    name, result = event.purpose.name, event.result
    claim = daemon.leases.claims.get(name)
    if claim is None or claim.phase is not leases.Phase.RELEASING:
        return []
    if isinstance(result, store.StoreFailed):
        # The deletion may still take effect, so the key is not claimed before that.
        daemon.leases.claims[name] = claim._replace(uncertain=True)
        return [_log_failure(result)]
    daemon.leases.claims[name] = leases.LeaseClaim(wanted=claim.wanted)
    return _advance(daemon, name, now_ms)


def handle_revocation_reply(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Finish the revocation; if it failed, the store lease lapses by itself."""
    daemon.leases.call_in_flight = False
    return []


def _advance(daemon: daemon_state.Daemon, name: str, now_ms: int) -> Commands:
    table = daemon.leases
    claim = table.claims[name]
    if _needs_deletion(claim):
        table.claims[name] = claim._replace(
            phase=leases.Phase.RELEASING, uncertain=False
        )
        delete = store.Swap(LEASE_PREFIX + name, claim.revision, None)
        return [store_calls.call(daemon, LeaseReleased(name), delete)]
    if claim.phase is not leases.Phase.IDLE:
        return []
    if not claim.wanted and not claim.uncertain:
        del table.claims[name]
        return []
    lease_id = table.store_lease_id
    if lease_id is None or now_ms >= table.valid_until_ms:
        return _grant(daemon, now_ms)
    if not claim.wanted:
        table.claims[name] = claim._replace(phase=leases.Phase.READING)
        read = store.Get(LEASE_PREFIX + name)
        return [store_calls.call(daemon, LeaseRead(name, lease_id), read)]
    table.claims[name] = claim._replace(phase=leases.Phase.CLAIMING)
    swap = store.Swap(LEASE_PREFIX + name, 0, _token(daemon, lease_id), lease_id)
    return [store_calls.call(daemon, LeaseClaimed(name, lease_id), swap)]


def _grant(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    # Each grant has a new identifier, so that a late grant of an old one is not used.
    if daemon.leases.store_lease_id is not None:
        return []
    lease_id = daemon.next_id("lease")
    return _extend(daemon, lease_id, store.GrantLease(lease_id, TTL_MS), now_ms)


def _extend(
    daemon: daemon_state.Daemon,
    lease_id: str,
    operation: store.Operation,
    now_ms: int,
) -> Commands:
    if daemon.leases.call_in_flight:
        return []
    daemon.leases.call_in_flight = True
    daemon.leases.next_renewal_ms = now_ms + RENEWAL_MS
    return [store_calls.call(daemon, StoreLeaseExtended(lease_id, now_ms), operation)]


def _record_held(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    revision: int,
    now_ms: int,
) -> Commands:
    table, purpose = daemon.leases, event.purpose
    claim = table.claims[purpose.name]
    if purpose.store_lease_id != table.store_lease_id:
        # The store lease has lapsed since the call was sent, and the key with it.
        table.claims[purpose.name] = claim._replace(phase=leases.Phase.IDLE)
        return []
    table.claims[purpose.name] = leases.LeaseClaim(
        leases.Phase.HELD, claim.wanted, uncertain=False, revision=revision
    )
    held = commands.log(log_events.LEASE_HELD, lease=purpose.name)
    return [held, *_advance(daemon, purpose.name, now_ms)]


def _needs_deletion(claim: leases.LeaseClaim) -> bool:
    if claim.phase is leases.Phase.RELEASING:
        return claim.uncertain
    return claim.phase is leases.Phase.HELD and not claim.wanted


def _read_back(
    daemon: daemon_state.Daemon, event: events.StoreReplied, claim: leases.LeaseClaim
) -> Commands:
    # The key may hold an earlier claim of this daemon whose reply was lost.
    name, lease_id = event.purpose.name, event.purpose.store_lease_id
    daemon.leases.claims[name] = claim._replace(phase=leases.Phase.READING)
    return [
        store_calls.call(
            daemon, LeaseRead(name, lease_id), store.Get(LEASE_PREFIX + name)
        )
    ]


def _token(daemon: daemon_state.Daemon, lease_id: str) -> bytes:
    return f"{daemon.identity.name} {lease_id}".encode()


def _schedule_tick(daemon: daemon_state.Daemon, now_ms: int) -> Commands:
    if daemon.leases.tick_pending:
        return []
    daemon.leases.tick_pending = True
    return [commands.SetTimer(LeaseTick(), now_ms + TICK_MS)]


def _log_failure(result: store.StoreFailed) -> commands.Log:
    return commands.log(log_events.STORE_CALL_FAILED, reason=result.reason)


HANDLERS: Final = {
    LeaseTick: handle_tick,
    StoreLeaseExtended: handle_extension_reply,
    LeaseClaimed: handle_claim_reply,
    LeaseRead: handle_read_reply,
    LeaseReleased: handle_release_reply,
    AllReleased: handle_revocation_reply,
}
