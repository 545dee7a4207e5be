"""Connections that are opened before they are needed.

A second send comes late as it is; a new connection would cost it two ways more and the
leaf's own time for it.
"""

from typing import Final

from amaranthpulley.coordination.forwarding import choosing, commands
from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, routes

# Services that are looked at in one tick, so that the work is spread.
SERVICES_AT_A_TIME: Final = 4
# Leaves of a shard that a daemon keeps a connection to.
KEPT_LEAVES: Final = 2
# Leaves may count the connections of a VM that lost power for so long, in milliseconds:
# until they close idle ones.
FORGOTTEN_MS: Final = 7_000


def keeps_connections(
    gateway: gateway_state.Gateway, service: str, now_ms: int
) -> bool:
    """Tell whether connections to a service's leaves may be kept while idle.

    Just after a start, leaves may still count the connections of the last life. Where
    there is no room for both, connections are closed after each answer, so that all
    daemons can take turns.
    """
    configuration = gateway.configuration
    if now_ms - gateway.started_ms >= FORGOTTEN_MS or configuration is None:
        return True
    limit = routes.limits_of(configuration, service).connections
    copies = max(1, len(gateway.directory.of_service(service)))
    kept = choosing.daemon_count(gateway) * KEPT_LEAVES / copies
    return 2 * kept <= limit


def warm(gateway: gateway_state.Gateway, now_ms: int) -> list[commands.Command]:
    """Open connections to the best leaf and one other of some shards."""
    configuration = gateway.configuration
    if configuration is None:
        return []
    shards = _shards(gateway, configuration)
    decided: list[commands.Command] = []
    for _ in range(min(SERVICES_AT_A_TIME, len(shards))):
        gateway.warm_next = (gateway.warm_next + 1) % len(shards)
        service = shards[gateway.warm_next]
        if not keeps_connections(gateway, service, now_ms):
            continue
        for leaf in _wanted(gateway, service):
            if now_ms - leaf.used_ms >= choosing.WARM_MS:
                leaf.used_ms = now_ms
                decided.append(commands.OpenConnection(leaf.entry.address))
    return decided


def _shards(
    gateway: gateway_state.Gateway, configuration: routes.Configuration
) -> list[str]:
    if gateway.warm_version != configuration.version:
        found = {
            shard
            for prefixes in configuration.routes.values()
            for route in prefixes.values()
            for shard in route.shards
        }
        gateway.warm_shards = sorted(found)
        gateway.warm_version = configuration.version
        gateway.warm_next = 0
    return gateway.warm_shards


def _wanted(gateway: gateway_state.Gateway, service: str) -> list[leaves.Leaf]:
    usable = {
        leaf.entry.leaf_id: leaf
        for leaf in gateway.directory.of_service(service)
        if leaf.leaving_since_ms is None
        and not leaf.suspected
        and leaf.entry.failure_domain not in gateway.evacuated
    }
    near = [i for i, leaf in usable.items() if leaf.region == gateway.place.region]
    far = [i for i in usable if i not in near]
    name = gateway.place.name
    # Each daemon ranks the leaves in its own way, which spreads their connections.
    ranked = rendezvous.ranking(near, name) + rendezvous.ranking(far, name)
    return [usable[leaf_id] for leaf_id in ranked[:KEPT_LEAVES]]
