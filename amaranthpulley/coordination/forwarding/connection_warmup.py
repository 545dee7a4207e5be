"""Opens connections to leaves before they are needed.

A hedge is sent late in a request. Opening a connection first would add a round trip and
the time that the leaf takes to accept it.
"""

from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    connection_shares,
    delegates,
    leaf_permits,
    leaf_selection,
)
from amaranthpulley.coordination.forwarding.rollouts import exposure
from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, routes

# Limits the work of one tick.
SERVICES_PER_TICK: Final = 4
# Leaves of a shard to which a daemon keeps a connection, where its share allows it.
CONNECTED_LEAVES_PER_SHARD: Final = 2
# Leaves count the connections of a VM that lost power until they close idle ones, at
# most after this time.
STALE_CONNECTIONS_MS: Final = 7_000


def may_keep_connections(
    gateway: gateway_state.Gateway, service: str, now_ms: int
) -> bool:
    """Return whether connections to a service's leaves may be kept while idle.

    Just after a restart, leaves may still count the connections of the previous
    process. Where the limit does not cover both, connections are closed after each
    answer, so that all daemons can take turns.
    """
    configuration = gateway.configuration
    if now_ms - gateway.started_ms >= STALE_CONNECTIONS_MS or configuration is None:
        return True
    limit = routes.limits_of(configuration, service).connections
    leaf_count = max(1, len(gateway.directory.of_service(service)))
    daemons = delegates.daemon_count(gateway)
    if service in gateway.sharded_services and gateway.members:
        daemons = len(delegates.fleet_of(gateway).runners)
    return 2 * daemons * CONNECTED_LEAVES_PER_SHARD / leaf_count <= limit


def may_keep_connection(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int
) -> bool:
    """Return whether the connection of the leaf's latest attempt may stay open."""
    if leaf.in_flight > connection_shares.kept_connections(gateway, leaf):
        return False
    return may_keep_connections(gateway, leaf.entry.service, now_ms)


def open_connections(
    gateway: gateway_state.Gateway, now_ms: int
) -> list[commands.Command]:
    """Open missing connections to the preferred leaves of the next few shards."""
    shards = gateway.sharded_services
    decided: list[commands.Command] = []
    for _ in range(min(SERVICES_PER_TICK, len(shards))):
        gateway.warmup_index = (gateway.warmup_index + 1) % len(shards)
        service = shards[gateway.warmup_index]
        if not may_keep_connections(gateway, service, now_ms):
            continue
        for leaf in _preferred_leaves(gateway, service, now_ms):
            if now_ms - leaf.connection_used_ms >= leaf_selection.CONNECTION_REUSE_MS:
                leaf.connection_used_ms = now_ms
                decided.append(commands.OpenConnection(leaf.entry.address))
    return decided


def _preferred_leaves(
    gateway: gateway_state.Gateway, service: str, now_ms: int
) -> list[leaves.Leaf]:
    usable = {
        leaf.entry.leaf_id: leaf
        for leaf in gateway.directory.of_service(service)
        if leaf_permits.leaving_since_ms(leaf) is None
        and not leaf.suspected
        and leaf.entry.failure_domain not in gateway.evacuated
        and not exposure.is_barred(gateway, leaf, now_ms)
        and connection_shares.kept_connections(gateway, leaf)
    }
    near = [i for i, leaf in usable.items() if leaf.region == gateway.place.region]
    far = [i for i in usable if i not in near]
    name = gateway.place.name
    # The ranking depends on the daemon, which spreads connections over the leaves.
    ranked = rendezvous.ranking(near, name) + rendezvous.ranking(far, name)
    return [usable[leaf_id] for leaf_id in ranked[:CONNECTED_LEAVES_PER_SHARD]]
