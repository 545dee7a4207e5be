"""Divides the connections that a leaf accepts among the daemons.

Load pattern: more daemons than a leaf accepts connections. A leaf resets connections
beyond its limit, which costs the request a round trip and a retry, so connections may
stay open only within each daemon's share.

The daemons that run requests of the service regularly share them, those in the leaf's
own region with the larger part. A share of at least one connection is rounded down.
Smaller shares are sampled: a daemon places a fixed grid of whole numbers, shifted by a
hash of its name and the service, over the sum of its shares of the service's leaves,
and may keep a connection to each leaf on which a number falls. Over all daemons each
leaf gets its sum, and a daemon needs no other one's state. Connections beyond the share
are opened on demand and closed after the answer.
"""

import math
from typing import Final, NamedTuple

from amaranthpulley.coordination.forwarding import delegates
from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, routes

# Share of a leaf's connections for the daemons of its own region.
NEAR_CONNECTION_SHARE: Final = 0.6
# Share of all connections that may stay open; the rest is for those opened on demand
# and for daemons that start or stop.
USABLE_CONNECTION_SHARE: Final = 0.9
# Concurrent requests that a daemon may send to a leaf although its share is smaller.
MINIMUM_CONCURRENCY: Final = 2
# Requests beyond a leaf's slots, so that a freed slot is taken without a round trip.
QUEUED_AT_LEAF: Final = 1


class _Users(NamedTuple):
    """Numbers of the daemons that share the connections of a service."""

    total: int
    near: int


def kept_connections(gateway: gateway_state.Gateway, leaf: leaves.Leaf) -> int:
    """Return the number of connections to a leaf that this daemon may keep open."""
    service = leaf.entry.service
    plan = gateway.connection_plans.get(service)
    if plan is None:
        plan = gateway.connection_plans[service] = _create_plan(gateway, service)
    return plan.get(leaf.entry.leaf_id, 0)


def maximum_concurrency(gateway: gateway_state.Gateway, leaf: leaves.Leaf) -> int:
    """Return the number of requests that this daemon may send to a leaf at once.

    Those beyond the leaf's slots wait there in the order of their arrival, so most of
    them wait here, in the order of their ranks.
    """
    share = max(MINIMUM_CONCURRENCY, kept_connections(gateway, leaf))
    return min(share, leaf.entry.slots + QUEUED_AT_LEAF)


def _create_plan(gateway: gateway_state.Gateway, service: str) -> dict[str, int]:
    configuration = gateway.configuration
    is_sharded = service in gateway.sharded_services
    if configuration is None or (is_sharded and not delegates.runs_searches(gateway)):
        return {}
    limit = routes.limits_of(configuration, service).connections
    own_region = gateway.place.region
    usable = [
        leaf
        for leaf in gateway.directory.of_service(service)
        if leaf.deleted_ms is None
        and leaf.entry.failure_domain not in gateway.evacuated
    ]
    usable.sort(key=lambda leaf: (leaf.region != own_region, leaf.entry.leaf_id))
    offset = rendezvous.fraction_of(gateway.place.name, service)
    plan: dict[str, int] = {}
    for leaf in usable:
        users = _users(gateway, is_sharded, leaf.region)
        share = limit * _share_of(users, leaf.region == own_region)
        if share >= 1.0:
            plan[leaf.entry.leaf_id] = int(share)
        else:
            plan[leaf.entry.leaf_id] = math.floor(offset + share) - math.floor(offset)
            offset += share
    return plan


def _users(gateway: gateway_state.Gateway, is_sharded: bool, region: str) -> _Users:
    fleet = delegates.fleet_of(gateway)
    if is_sharded and fleet.delegates:
        return _Users(len(fleet.runners), fleet.runners_by_region.get(region, 0))
    return _Users(
        delegates.daemon_count(gateway), fleet.daemons_by_region.get(region, 0)
    )


def _share_of(users: _Users, near: bool) -> float:
    """Return one daemon's share of the connections to a leaf."""
    if users.near in (0, users.total):
        return USABLE_CONNECTION_SHARE / users.total
    if near:
        return USABLE_CONNECTION_SHARE * NEAR_CONNECTION_SHARE / users.near
    far_share = USABLE_CONNECTION_SHARE * (1 - NEAR_CONNECTION_SHARE)
    return far_share / (users.total - users.near)
