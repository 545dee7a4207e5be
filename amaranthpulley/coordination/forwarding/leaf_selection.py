"""Which leaf gets a request: the one that is expected to answer first.

The expected time is the way to the leaf, its usual time for the route, and what waits
there already. A leaf that is silent past the time of its oldest attempt counts as
paused, so that the next requests go elsewhere without being sent twice.
"""

import math
from collections.abc import Callable
from typing import Final

from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, requests, routes

# Way to another region and back before it is measured: a guess between near regions.
DEFAULT_EXTRA_ROUND_TRIP_MS: Final = 30.0
# Deviations past the mean after which an answer is late: some 98% come sooner.
LATE_DEVIATIONS: Final = 4.0
# Part of the objective for the way to the client and the daemon's own wake-ups, in
# milliseconds.
CLIENT_MARGIN_MS: Final = 15.0
# Added to it for the daemon's own wake-ups and the network, in milliseconds.
LATE_MARGIN_MS: Final = 4.0
# A leaf that has answered anything within this time is not paused.
RECENT_ANSWER_MS: Final = 12
# Shortest time that a pause is expected to go on, in milliseconds.
MINIMUM_PAUSE_MS: Final = 60.0
# A connection that was used within this time is still open: leaves keep them for four
# seconds at least. In milliseconds.
CONNECTION_REUSE_MS: Final = 3_000
# Time for all services to be looked at again, in milliseconds.
WARMUP_ROUND_MS: Final = 1_500
# What a leaf takes to accept a connection, in milliseconds: the users' 6 ms.
CONNECTION_OPEN_MS: Final = 6.0
# How fast a leaf that has got no requests counts as usual again, in milliseconds.
SLOWNESS_DECAY_MS: Final = 4_000.0
# How fast a leaf's failures are forgotten while it gets no requests, in milliseconds.
FAILURE_DECAY_MS: Final = 5_000.0
# A smaller share of failures than this makes no difference.
MINIMUM_FAILURE_SHARE: Final = 0.02
# A load report older than this says nothing, in milliseconds.
LOAD_REPORT_VALID_MS: Final = 100
# Work of a cold leaf in relation to a warm one, until it is measured.
COLD_SLOWNESS: Final = 1.6
# Part of the allowed time after which a leaving leaf gets nothing more.
LEAVING_SHARE: Final = 0.6
# Connections of a leaf that the daemons of its own region share.
NEAR_CONNECTION_SHARE: Final = 0.6
# All connections that are used; the rest is left for daemons that come and go.
USABLE_CONNECTION_SHARE: Final = 0.9
# Daemons assumed until the store has told how many there are: the users' largest site.
DEFAULT_DAEMON_COUNT: Final = 8

# How often one leaf may run the same request: a lost answer is asked for once more.
MAXIMUM_RUNS_PER_LEAF: Final = 2

RandomSource = Callable[[], float]


def current_slowness(leaf: leaves.Leaf, now_ms: int) -> float:
    """Return how many usual times a leaf takes, forgetting what is old."""
    slowness = leaf.slowness
    if slowness != 1.0:
        passed_ms = now_ms - leaf.slowness_updated_ms
        slowness = 1.0 + (slowness - 1.0) * math.exp(-passed_ms / SLOWNESS_DECAY_MS)
    if now_ms < leaf.cold_until_ms:
        return max(slowness, COLD_SLOWNESS)
    return slowness


def current_failure_share(leaf: leaves.Leaf, now_ms: int) -> float:
    """Return which share of its requests a leaf fails or rejects, as of late."""
    share = leaf.failure_share
    if share < MINIMUM_FAILURE_SHARE:
        return 0.0
    passed_ms = now_ms - leaf.failure_share_updated_ms
    return share * math.exp(-passed_ms / FAILURE_DECAY_MS)


def extra_round_trip_ms(gateway: gateway_state.Gateway, leaf: leaves.Leaf) -> float:
    """Return the time to a leaf and back beyond that to the nearest leaves."""
    near = leaf.region == gateway.place.region
    default_ms = 0.0 if near else DEFAULT_EXTRA_ROUND_TRIP_MS
    return gateway.distances.extra_ms(leaf.entry.failure_domain, default_ms)


def late_after_ms(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
) -> float:
    """Return how long after its sending an attempt is late.

    That is when it takes unusually long, or when a second leaf in another region could
    only just answer within the objective.
    """
    usual = gateway.latency_of(route)
    work_ms = usual.mean_ms + LATE_DEVIATIONS * usual.deviation_ms
    unusual_ms = extra_round_trip_ms(gateway, leaf) + work_ms + LATE_MARGIN_MS
    second_ms = gateway.distances.farthest_ms(DEFAULT_EXTRA_ROUND_TRIP_MS) + work_ms
    useful_ms = route.objective_ms - CLIENT_MARGIN_MS - second_ms
    return min(unusual_ms, max(useful_ms, 1.5 * usual.mean_ms))


def is_paused(leaf: leaves.Leaf, now_ms: int) -> bool:
    """Tell whether the oldest attempt is overdue and nothing else is answered."""
    overdue_at_ms = leaf.first_overdue_at_ms()
    return (
        overdue_at_ms is not None
        and overdue_at_ms <= now_ms
        and now_ms - leaf.last_response_ms >= RECENT_ANSWER_MS
    )


def expected_answer_ms(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    now_ms: int,
) -> float:
    """Return the time after which a leaf is expected to answer a new request."""
    work_ms = gateway.latency_of(route).mean_ms * current_slowness(leaf, now_ms)
    slots = max(1, leaf.entry.slots)
    ahead = leaf.in_flight
    if leaf.load is not None and now_ms - leaf.load_reported_ms < LOAD_REPORT_VALID_MS:
        ahead = max(ahead, leaf.load.running + leaf.load.waiting)
    distance_ms = extra_round_trip_ms(gateway, leaf)
    total_ms = distance_ms + work_ms
    if ahead >= slots:
        total_ms += work_ms * (ahead - slots + 1) / slots
    if now_ms - leaf.connection_used_ms > CONNECTION_REUSE_MS + WARMUP_ROUND_MS:
        total_ms += distance_ms + CONNECTION_OPEN_MS
    if is_paused(leaf, now_ms):
        total_ms += max(MINIMUM_PAUSE_MS, float(now_ms - leaf.last_response_ms))
    return total_ms + current_failure_share(leaf, now_ms) * route.objective_ms


def daemon_count(gateway: gateway_state.Gateway) -> int:
    """Return how many daemons share what is shared."""
    return len(gateway.members) or DEFAULT_DAEMON_COUNT


def connection_share(gateway: gateway_state.Gateway, leaf: leaves.Leaf) -> int:
    """Return how many connections to a leaf this daemon may use."""
    key = leaf.entry.service, leaf.region
    share = gateway.connection_shares.get(key)
    if share is None:
        share = gateway.connection_shares[key] = _connection_share(gateway, leaf)
    return share


def _connection_share(gateway: gateway_state.Gateway, leaf: leaves.Leaf) -> int:
    configuration = gateway.configuration
    if configuration is None:
        return 1
    limit = routes.limits_of(configuration, leaf.entry.service).connections
    regions = gateway.place.regions
    daemons = daemon_count(gateway)
    near = sum(
        1
        for member in gateway.members.values()
        if regions.get(member.failure_domain) == leaf.region
    )
    if near == 0 or near == daemons:
        share = USABLE_CONNECTION_SHARE / daemons
    elif leaf.region == gateway.place.region:
        share = USABLE_CONNECTION_SHARE * NEAR_CONNECTION_SHARE / near
    else:
        share = USABLE_CONNECTION_SHARE * (1 - NEAR_CONNECTION_SHARE) / (daemons - near)
    return max(1, int(limit * share))


def choose_leaf(
    gateway: gateway_state.Gateway,
    call: requests.ShardCall,
    route: routes.Route,
    now_ms: int,
    random: RandomSource,
) -> leaves.Leaf | None:
    """Return the best leaf for the next send; None when all are busy or gone."""
    best: tuple[int, float] | None = None
    chosen: leaves.Leaf | None = None
    for leaf in gateway.directory.of_service(call.service):
        if (
            not may_send_to(call, route, leaf.entry.leaf_id)
            or leaf.full_until_ms > now_ms
            or not is_eligible(gateway, leaf, route, now_ms)
            or leaf.in_flight >= connection_share(gateway, leaf)
        ):
            continue
        # A draw among equals, so that daemons do not all choose the same leaf.
        expected = expected_answer_ms(gateway, leaf, route, now_ms) + random()
        rank = (_standing(leaf), expected)
        if best is None or rank < best:
            best, chosen = rank, leaf
    return chosen


def may_send_to(call: requests.ShardCall, route: routes.Route, leaf_id: str) -> bool:
    """Tell whether a leaf may get a shard's request as far as earlier sends go.

    Once as many leaves as the route allows may have run the request, only these are
    left for a repeat.
    """
    if len(call.runs) < route.maximum_leaves:
        return leaf_id not in call.tried
    return may_rerun_on(call, leaf_id)


def may_rerun_on(call: requests.ShardCall, leaf_id: str) -> bool:
    """Tell whether a leaf that may have run a request may get it once more."""
    if not 0 < call.runs.get(leaf_id, 0) < MAXIMUM_RUNS_PER_LEAF:
        return False
    return all(attempt.leaf_id != leaf_id for attempt in call.attempts.values())


def is_eligible(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    now_ms: int,
) -> bool:
    """Tell whether a leaf may get requests of a route at all."""
    if route.regions and leaf.region not in route.regions:
        return False
    if leaf.entry.failure_domain in gateway.evacuated:
        return False
    since_ms = leaf.leaving_since_ms
    if since_ms is not None:
        if now_ms - since_ms > gateway.limits.drain_ms * LEAVING_SHARE:
            return False
    return now_ms >= leaf.cold_until_ms or _cold_may_take(gateway, leaf, now_ms)


def _standing(leaf: leaves.Leaf) -> int:
    if leaf.suspected:
        return 2
    return 0 if leaf.leaving_since_ms is None else 1


def _cold_may_take(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int
) -> bool:
    configuration = gateway.configuration
    if configuration is None:
        return False
    rate = routes.limits_of(configuration, leaf.entry.service).cold_requests_per_second
    if rate <= 0.0:
        return True
    daemons = daemon_count(gateway)
    passed_s = (now_ms - leaf.cold_tokens_refilled_ms) / 1000
    most = max(1.0, gateway.limits.cold_slack / daemons)
    leaf.cold_tokens = min(most, leaf.cold_tokens + passed_s * rate / daemons)
    leaf.cold_tokens_refilled_ms = now_ms
    return leaf.cold_tokens >= 1.0
