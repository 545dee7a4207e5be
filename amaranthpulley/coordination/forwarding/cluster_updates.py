"""Applies changes of the configuration, the leaves, the daemons and evacuations."""

from typing import Final

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import (
    commands,
    connection_warmup,
    delegates,
    events,
    leaf_demands,
    leaf_health,
    leaf_pace,
    leaf_permits,
    leaf_selection,
    machine_slowness,
    request_completion,
    request_progress,
    tracing,
)
from amaranthpulley.coordination.forwarding.client_accounts import (
    quota_claims,
    quota_owners,
    quota_waits,
    version_changes,
)
from amaranthpulley.coordination.forwarding.overload import waiting
from amaranthpulley.coordination.forwarding.rollouts import exposure, progress
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, routes, token_bucket

# Entries that lapsed during an outage of the store are back within two seconds. Until
# then a leaf with a deleted entry counts as leaving.
DELETED_GRACE_MS: Final = 2_200
# Share of the grace period after which a draining daemon has answered every request.
# The process ends a little later, so that the answers reach their clients.
ANSWERED_GRACE_SHARE: Final = 0.85


def apply_configuration(
    gateway: gateway_state.Gateway,
    event: events.ConfigurationRead,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Put a newer configuration in force and ignore an older one."""
    current = gateway.configuration
    known = current.version if current is not None else -1
    if event.configuration.version <= known:
        return []
    quota_owners.settle_changed(gateway, event.configuration.accounts, now_ms)
    gateway.configuration = event.configuration
    gateway.sharded_services = routes.sharded_services(event.configuration)
    gateway.connection_plans.clear()
    return [
        common.log(
            log_events.CONFIGURATION_IN_FORCE,
            version=event.configuration.version,
            previous=known,
        ),
        *version_changes.apply(gateway, event.configuration, now_ms),
    ]


def update_leaf(
    gateway: gateway_state.Gateway,
    event: events.LeafWritten,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Add a leaf, or update a known one from its entry."""
    entry = event.entry
    leaf = gateway.directory.get(entry.leaf_id)
    if leaf is None or leaf.start != leaves.start_of(entry):
        region = gateway.place.regions.get(entry.failure_domain, "")
        pressure = gateway.directory.take_kept(entry)
        added = leaves.Leaf(entry, region, now_ms, pressure)
        phase = delegates.phase_of(gateway, entry.leaf_id)
        added.cold_tokens = token_bucket.TokenBucket(phase, now_ms)
        gateway.directory.add(added)
        leaf_pace.begin_start(gateway, added, now_ms)
        gateway.connection_plans.pop(entry.service, None)
        standing = "draining" if entry.draining else "known"
        return [tracing.leaf_line(added, standing, 0)]
    if leaf.deleted_ms is not None:
        leaf.deleted_ms = None
        gateway.connection_plans.pop(entry.service, None)
    was_leaving = leaf.leaving_since_ms is not None
    leaf.entry = entry
    leaf.cold_until_ms = now_ms + entry.cold_ms
    if not entry.draining:
        leaf.leaving_since_ms = None
    elif not was_leaving:
        leaf.leaving_since_ms = now_ms
    if entry.draining == was_leaving:
        return []
    standing = "draining" if entry.draining else "known"
    return [tracing.leaf_line(leaf, standing, 0)]


def mark_leaf_deleted(
    gateway: gateway_state.Gateway,
    event: events.LeafDeleted,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Mark a leaf whose entry was deleted as leaving."""
    leaf = gateway.directory.get(event.leaf_id)
    if leaf is None or leaf.deleted_ms is not None:
        return []
    leaf.deleted_ms = now_ms
    gateway.connection_plans.pop(leaf.entry.service, None)
    if leaf.leaving_since_ms is None:
        leaf.leaving_since_ms = now_ms
    return [tracing.leaf_line(leaf, "entry_gone", 0)]


def report_unreadable_item(
    gateway: gateway_state.Gateway,
    event: events.ItemUnreadable,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Log an unreadable item and treat its leaf, if any, as deleted."""
    line = common.log(
        log_events.STORE_ITEM_UNREADABLE, key=event.key, reason=event.reason
    )
    if event.leaf_id is None:
        return [line]
    gone = events.LeafDeleted(event.leaf_id)
    return [line, *mark_leaf_deleted(gateway, gone, now_ms, random)]


def handle_listing(
    gateway: gateway_state.Gateway,
    event: events.DirectoryListed,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Start accepting requests after the first complete listing."""
    if gateway.listed:
        return []
    gateway.listed = True
    known = len(gateway.directory.all())
    return [common.log(log_events.DIRECTORY_LISTED, leaves=known)]


def update_evacuation(
    gateway: gateway_state.Gateway,
    event: events.EvacuationChanged,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Evacuate a failure domain, or end its evacuation."""
    gateway.connection_plans.clear()
    if event.evacuated:
        gateway.evacuated.add(event.failure_domain)
    else:
        gateway.evacuated.discard(event.failure_domain)
    return [
        common.log(
            log_events.FAILURE_DOMAIN_OUT,
            failure_domain=event.failure_domain,
            out=event.evacuated,
        )
    ]


def update_member(
    gateway: gateway_state.Gateway,
    event: events.MemberChanged,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Add or remove a daemon that shares connections and budgets."""
    quota_owners.settle(gateway, now_ms)
    gateway.set_member(event.name, event.member)
    quota_owners.note_member(gateway, event.name, event.member, now_ms)
    return []


def record_registration(
    gateway: gateway_state.Gateway,
    event: events.Registered,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Record until when the other daemons count this one."""
    decided = quota_claims.note_registration(gateway, event, now_ms)
    gateway.registered_until_ms = event.until_ms
    return decided


def log_store_state(
    gateway: gateway_state.Gateway,
    event: events.StoreReached,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Log that the store was lost or regained; known entries stay in use."""
    if event.reachable:
        return [common.log(log_events.STORE_REGAINED, reason=event.reason)]
    return [common.log(log_events.STORE_LOST, reason=event.reason)]


def log_restored_store(
    gateway: gateway_state.Gateway,
    event: events.StoreRestored,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Log that the store has come back from a copy."""
    return [common.log(log_events.STORE_RESTORED, **event._asdict())]


def log_failed_read(
    gateway: gateway_state.Gateway,
    event: events.StoreReadFailed,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Log a failed listing or watch with its duration and the pause after it."""
    return [
        common.log(
            log_events.STORE_READ_FAILED,
            reason=event.reason,
            waited_ms=event.waited_ms,
            pause_ms=event.pause_ms,
        )
    ]


def log_failed_loss_write(
    gateway: gateway_state.Gateway,
    event: events.LossWriteFailed,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Log a failed write of losses with its duration and the pause after it."""
    return [common.log(log_events.LOSS_WRITE_FAILED, **event._asdict())]


def handle_probe_end(
    gateway: gateway_state.Gateway,
    event: events.ProbeEnded,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Use a suspected leaf again, schedule its next health check, or remove it."""
    leaf = gateway.directory.get(event.leaf_id)
    if leaf is None:
        return []
    if event.replaced:
        return leaf_health.remove_replaced(gateway, event.leaf_id)
    decided = leaf_demands.apply(gateway, leaf.start, event.demands, False, now_ms)
    leaf_health.record_probe(gateway, leaf, event.healthy, now_ms)
    machine_slowness.record_of_probe(leaf, event.load, now_ms)
    if event.healthy:
        decided.append(tracing.leaf_line(leaf, "healthy", 0))
    return decided


def tick(
    gateway: gateway_state.Gateway,
    event: events.TickDue,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Do the periodic work on leaves, attempts and connections."""
    decided: list[commands.Command] = []
    gateway.losses.discard_ended(now_ms)
    if event.wall_ms is not None:
        gateway.rollouts.wall_offset_ms = event.wall_ms - now_ms
    for leaf in gateway.directory.all():
        if leaf.deleted_ms is not None:
            if now_ms - leaf.deleted_ms >= DELETED_GRACE_MS:
                gateway.directory.remove(leaf.entry.leaf_id)
                decided.append(tracing.leaf_line(leaf, "forgotten", 0))
        elif not leaf_permits.may_probe(leaf, now_ms):
            continue
        elif leaf.suspected and now_ms >= leaf.probe_due_ms:
            if exposure.is_barred(gateway, leaf, now_ms):
                continue
            decided += _probe(gateway, leaf, now_ms)
    if gateway.paces.by_service:
        decided += leaf_pace.grow(gateway, now_ms)
    decided += request_progress.sweep_attempts(gateway, now_ms)
    decided += progress.tick(gateway, now_ms)
    decided += waiting.send_all(gateway, now_ms, random)
    decided += quota_waits.tick(gateway, now_ms, random)
    return decided + connection_warmup.open_connections(gateway, now_ms)


def start_drain(
    gateway: gateway_state.Gateway,
    event: events.DrainRequested,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Start draining; the daemon is no longer ready.

    Requests that would outlast the process are answered before it ends.
    """
    grace_ms = gateway.limits.grace_ms
    decided = [common.log(log_events.DRAIN_STARTED, grace_ms=grace_ms)]
    if gateway.draining_since_ms is not None:
        return decided
    gateway.draining_since_ms = now_ms
    gateway.drain_end_ms = now_ms + int(ANSWERED_GRACE_SHARE * grace_ms)
    for request in list(gateway.requests.values()):
        request.give_up_ms = min(request.give_up_ms, gateway.drain_end_ms)
        decided += request_completion.answer_if_due(gateway, request, now_ms)
    return decided


def is_ready(gateway: gateway_state.Gateway) -> bool:
    """Return whether the daemon should get new connections."""
    return (
        gateway.configuration is not None
        and gateway.listed
        and gateway.draining_since_ms is None
    )


def _probe(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int
) -> list[commands.Command]:
    configuration = gateway.configuration
    if configuration is None:
        return []
    service = configuration.services.get(leaf.entry.service)
    if service is None:
        return []
    # Delays the next check until the result of this one has set its time.
    leaf.probe_due_ms = now_ms + leaf_health.MAXIMUM_PROBE_DELAY_MS
    gateway.counters.add("forward_probes_total")
    return [
        commands.ProbeLeaf(leaf.entry.leaf_id, leaf.entry.address, service.health_path)
    ]
