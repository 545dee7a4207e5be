"""Decides whether an arriving request can be served, and when a refused one may return.

Load pattern: a service whose leaves are lost or full for longer than the clients wait.
Requests that would wait to their deadline for nothing are refused on arrival, as not
run and with the time until there is room. In a burst of gathered requests, those that
would miss their objective wait behind those that can meet theirs.

Refused clients would all return together. Their times are spread, more urgent routes
first, and are never later than a client would honour.
"""

import math
from collections.abc import Sequence
from typing import Final

from amaranthpulley.coordination.forwarding import (
    connection_shares,
    leaf_permits,
    leaf_selection,
)
from amaranthpulley.coordination.forwarding.overload import fair_queue
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, requests, routes

# A gathered request is deferred if its coverage is expected after this share of its
# objective. With 0.8, a burst of 2.6 times the usual rate had 0.53 of its requests in
# time, with 1.0 it had 0.64.
TIMELY_SHARE: Final = 1.0
# Bounds of the time after which a refused client may return.
SHORTEST_RETURN_MS: Final = 30
LONGEST_RETURN_MS: Final = 1_000
# Each lower rank returns later by this time.
RANK_STEP_MS: Final = 20
# Clients that are refused for the same reason return within this share of the time.
SPREAD_SHARE: Final = 0.5
# Clients honour a time of up to a third of what they have left; the rest is for the
# answer's way to them.
HONOURED_SHARE: Final = 0.3
# Fraction of the golden ratio: its multiples spread evenly, however many there are.
_GOLDEN_FRACTION: Final = 0.618_034


def has_enough_leaves(
    gateway: gateway_state.Gateway,
    route: routes.Route,
    services: Sequence[str],
    left_ms: float,
    now_ms: int,
) -> bool:
    """Return whether enough services have a leaf that can answer a request in time."""
    latest_ms = now_ms + left_ms - leaf_selection.fastest_answer_ms(gateway, route)
    available_count = 0
    for service in services:
        available_count += any(
            leaf_permits.may_get_by(gateway, leaf, route, now_ms, latest_ms)
            for leaf in gateway.directory.of_service(service)
        )
    return available_count > 0 and available_count >= route.minimum_coverage * len(
        services
    )


def expected_answer_ms(
    gateway: gateway_state.Gateway,
    route: routes.Route,
    service: str,
    now_ms: int,
    account: str = "",
    late_before_ms: float = -math.inf,
) -> float:
    """Return the time until a new request of a route would be answered by a service.

    Parameters
    ----------
    account : str
        Name of its client account; empty without one.
    late_before_ms : float
        Calls of requests that arrived before this time do not go first.
    """
    usable = [
        leaf
        for leaf in gateway.directory.of_service(service)
        if leaf_permits.may_wait_for(gateway, leaf, route, now_ms)
    ]
    if not usable:
        return float(route.timeout_ms)
    ahead = fair_queue.count_ahead(
        gateway.waiting, service, route.rank, account, late_before_ms
    )
    mean_ms = gateway.latency_of(route).mean_ms
    per_ms = sum(_throughput_per_ms(gateway, leaf, mean_ms) for leaf in usable)
    soonest_ms = min(
        _held_for_ms(gateway, leaf, route, now_ms)
        + leaf_selection.answer_time_ms(gateway, leaf, route, now_ms)
        for leaf in usable
    )
    return ahead / per_ms + soonest_ms


def gathered_answer_ms(
    gateway: gateway_state.Gateway,
    route: routes.Route,
    services: Sequence[str],
    now_ms: int,
    account: str = "",
    only_timely: bool = False,
) -> float:
    """Return the time until a new gathered request would have its coverage.

    This is the time of the slowest of the shards that the coverage needs, without the
    slower ones that it can do without. It is 0 while enough shards have no waiting
    calls. Only one shard is looked at, the one that the numbers of waiting calls for
    each leaf single out, since the estimate is made for every request of a burst.
    """
    counts = gateway.waiting.counts_of(services)
    needed = math.ceil(route.minimum_coverage * len(services))
    spared = len(services) - max(1, needed)
    if len(counts) <= spared:
        return 0.0
    by_queue = sorted(
        (count / max(1, len(gateway.directory.of_service(service))), service)
        for count, service in counts
    )
    _, slowest = by_queue[len(by_queue) - spared - 1]
    late_before_ms = -math.inf
    if only_timely:
        late_before_ms = now_ms + gateway.latency_of(route).mean_ms - route.objective_ms
    return expected_answer_ms(gateway, route, slowest, now_ms, account, late_before_ms)


def must_defer(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    services: Sequence[str],
    now_ms: int,
) -> bool:
    """Return whether an accepted gathered request would miss its objective anyway.

    Its calls then wait behind those that can meet theirs. Otherwise all requests of a
    burst would get some of their parts in time and few all that their coverage needs.
    """
    route = request.route
    if not route.shards:
        return False
    account = fair_queue.account_of(request)
    wait_ms = gathered_answer_ms(gateway, route, services, now_ms, account, True)
    return wait_ms > TIMELY_SHARE * route.objective_ms


def return_after_ms(rank: int, room_ms: float, left_ms: int, key: int) -> int:
    """Return the time after which a refused client may come back.

    Parameters
    ----------
    rank : int
        Priority of the route; 0 is the most urgent.
    room_ms : float
        Expected time until there is room.
    left_ms : int
        Time that the client has left.
    key : int
        Number of the request; successive numbers are spread.
    """
    base_ms = min(LONGEST_RETURN_MS, max(SHORTEST_RETURN_MS, room_ms))
    spread_share = spread(key) * SPREAD_SHARE
    wanted_ms = base_ms * (1.0 + spread_share) + rank * RANK_STEP_MS
    return max(1, int(min(wanted_ms, HONOURED_SHARE * left_ms)))


def spread(key: int) -> float:
    """Return a number from 0 to 1 for a request; those of successive keys differ."""
    return key * _GOLDEN_FRACTION % 1.0


def longest_return_ms(left_ms: int) -> float:
    """Return the longest time that clients honour, before it is spread."""
    return HONOURED_SHARE * left_ms / (1.0 + SPREAD_SHARE)


def next_leaf_ms(
    gateway: gateway_state.Gateway,
    route: routes.Route,
    services: Sequence[str],
    now_ms: int,
) -> float:
    """Return the time until a service without a usable leaf may have one again."""
    found: list[int] = []
    for service in services:
        for leaf in gateway.directory.of_service(service):
            if leaf.suspected:
                found.append(leaf.probe_due_ms - now_ms)
            found.append(_held_for_ms(gateway, leaf, route, now_ms))
    return float(min((after_ms for after_ms in found if after_ms > 0), default=0))


def _throughput_per_ms(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, mean_ms: float
) -> float:
    """Return the requests that a leaf runs for this daemon in a millisecond."""
    concurrency = connection_shares.maximum_concurrency(gateway, leaf)
    places = max(1, min(leaf.entry.slots, concurrency))
    per_ms = leaf_permits.allowed_per_s(gateway, leaf) / 1000
    return min(places / mean_ms, per_ms)


def _held_for_ms(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    now_ms: int,
) -> int:
    hold = leaf_permits.hold_of(gateway, leaf, route, now_ms)
    if hold is None or hold.until_ms is None:
        return 0
    return max(0, hold.until_ms - now_ms)
