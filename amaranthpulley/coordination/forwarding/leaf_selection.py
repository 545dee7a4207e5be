"""Selects the leaf for a request: the one that is expected to answer first.

The expected time adds up the network round trip, the mean time of the route, scaled by
the slowness of the leaf and of its machine, and the requests already queued at the
leaf. A leaf whose oldest attempt is overdue and that has
answered nothing since counts as stalled. New requests then go to other leaves and need
no hedge.
"""

import math
from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination.forwarding import (
    leaf_pace,
    leaf_permits,
    machine_slowness,
)
from amaranthpulley.coordination.forwarding.rollouts import exposure
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, requests, routes

# Round trip to another region before it is measured; suits neighbouring regions.
DEFAULT_EXTRA_ROUND_TRIP_MS: Final = 30.0
# An answer is late after the mean plus so many mean deviations. About 98% come sooner
# than the upper bound, which holds while hedges are scarce, and 90% than the lower one,
# which holds while the budget for them is hardly used.
MINIMUM_LATE_DEVIATIONS: Final = 2.0
MAXIMUM_LATE_DEVIATIONS: Final = 4.0
# Part of the objective reserved for the client's network and event loop delays.
CLIENT_MARGIN_MS: Final = 15.0
# Allowance for network jitter and event loop delays before an attempt is late.
LATE_MARGIN_MS: Final = 4.0
# A leaf that has answered anything within this time is not stalled.
RECENT_ANSWER_MS: Final = 12
# Lower bound for the expected rest of a stall.
MINIMUM_STALL_MS: Final = 60.0
# A connection that was used within this time is still open: leaves keep idle
# connections for at least four seconds.
CONNECTION_REUSE_MS: Final = 3_000
# Time in which `connection_warmup` visits every service once.
WARMUP_ROUND_MS: Final = 1_500
# Time that a leaf takes to accept a connection; the users state 6 ms.
CONNECTION_OPEN_MS: Final = 6.0
# Time constant with which slowness decays to 1 while a leaf answers no requests.
SLOWNESS_DECAY_MS: Final = 4_000.0
# Time constant with which the failure share decays while a leaf gets no requests.
FAILURE_DECAY_MS: Final = 5_000.0
# Smaller failure shares are ignored.
MINIMUM_FAILURE_SHARE: Final = 0.02
# Older load reports are ignored.
LOAD_REPORT_VALID_MS: Final = 100
# Slowness assumed for a cold leaf until it is measured.
COLD_SLOWNESS: Final = 1.6
# A leaf may run a request a second time when its first answer was lost.
MAXIMUM_RUNS_PER_LEAF: Final = 2

# A lost connection tells nothing about a leaf after this time.
LOST_VALID_MS: Final = 3_000

RandomSource = Callable[[], float]


def current_slowness(leaf: leaves.Leaf, now_ms: int) -> float:
    """Return the ratio of a leaf's time to the route's mean, decayed to now."""
    slowness = leaf.slowness
    if slowness != 1.0:
        passed_ms = now_ms - leaf.slowness_updated_ms
        slowness = 1.0 + (slowness - 1.0) * math.exp(-passed_ms / SLOWNESS_DECAY_MS)
    if now_ms < leaf.cold_until_ms and not leaf.is_proven:
        return max(slowness, COLD_SLOWNESS)
    return slowness


def current_failure_share(leaf: leaves.Leaf, now_ms: int) -> float:
    """Return the share of requests that a leaf fails or rejects, decayed to now."""
    share = leaf.failure_share
    if share < MINIMUM_FAILURE_SHARE:
        return 0.0
    passed_ms = now_ms - leaf.failure_share_updated_ms
    return share * math.exp(-passed_ms / FAILURE_DECAY_MS)


def extra_round_trip_ms(gateway: gateway_state.Gateway, leaf: leaves.Leaf) -> float:
    """Return the round trip to a leaf beyond that to the nearest failure domain."""
    near = leaf.region == gateway.place.region
    default_ms = 0.0 if near else DEFAULT_EXTRA_ROUND_TRIP_MS
    return gateway.distances.extra_ms(leaf.entry.failure_domain, default_ms)


def late_after_ms(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    scarcity: float = 1.0,
    now_ms: int = 0,
) -> float:
    """Return the time after its send at which an attempt is late.

    This is the earlier of two times: when the attempt takes unusually long, and the
    last moment at which a second leaf in another region can still answer within the
    objective, though not before 1.5 times the route's mean. A leaf whose machine is
    slow, as it reports, takes longer without being late.

    Parameters
    ----------
    scarcity : float
        Spent part of the budget for hedges, from 0 to 1.
    """
    latency = gateway.latency_of(route)
    deviation_range = MAXIMUM_LATE_DEVIATIONS - MINIMUM_LATE_DEVIATIONS
    deviations = MINIMUM_LATE_DEVIATIONS + scarcity * deviation_range
    work_ms = latency.mean_ms + deviations * latency.deviation_ms
    usual_ms = work_ms
    if leaf.machine is not None:
        usual_ms *= max(1.0, machine_slowness.current(leaf, now_ms))
    outlier_ms = extra_round_trip_ms(gateway, leaf) + usual_ms + LATE_MARGIN_MS
    hedge_ms = gateway.distances.farthest_ms(DEFAULT_EXTRA_ROUND_TRIP_MS) + work_ms
    last_hedge_ms = route.objective_ms - CLIENT_MARGIN_MS - hedge_ms
    return min(outlier_ms, max(last_hedge_ms, 1.5 * latency.mean_ms))


def is_stalled(leaf: leaves.Leaf, now_ms: int) -> bool:
    """Return whether a leaf's oldest attempt is overdue and no answer came lately."""
    overdue_at_ms = leaf.first_overdue_at_ms()
    return (
        overdue_at_ms is not None
        and overdue_at_ms <= now_ms
        and now_ms - leaf.last_response_ms >= RECENT_ANSWER_MS
    )


def is_sound(leaf: leaves.Leaf, now_ms: int) -> bool:
    """Return whether nothing speaks against a leaf's being up."""
    if leaf.suspected:
        return False
    return leaf.lost_ms is None or now_ms - leaf.lost_ms > LOST_VALID_MS


def expected_answer_ms(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    now_ms: int,
) -> float:
    """Return the time that a leaf is expected to take for a new request.

    A failing leaf costs its failure share of the objective on top.
    """
    mean_ms = gateway.latency_of(route).mean_ms
    return _expected_answer_ms(gateway, leaf, mean_ms, route.objective_ms, now_ms)


def _expected_answer_ms(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    mean_ms: float,
    objective_ms: int,
    now_ms: int,
) -> float:
    total_ms = _answer_time_ms(gateway, leaf, mean_ms, now_ms)
    if leaf.overdue_at_ms and is_stalled(leaf, now_ms):
        total_ms += max(MINIMUM_STALL_MS, float(now_ms - leaf.last_response_ms))
    if leaf.failure_share < MINIMUM_FAILURE_SHARE:
        return total_ms
    return total_ms + current_failure_share(leaf, now_ms) * objective_ms


def answer_time_ms(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    now_ms: int,
) -> float:
    """Return the time that a leaf takes for a request unless it fails or pauses."""
    mean_ms = gateway.latency_of(route).mean_ms
    return _answer_time_ms(gateway, leaf, mean_ms, now_ms)


def _answer_time_ms(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, mean_ms: float, now_ms: int
) -> float:
    work_ms = mean_ms * current_slowness(leaf, now_ms)
    if leaf.machine is not None:
        work_ms *= machine_slowness.current(leaf, now_ms)
    slots = max(1, leaf.entry.slots)
    occupied = leaf.in_flight
    if leaf.load is not None and now_ms - leaf.load_reported_ms < LOAD_REPORT_VALID_MS:
        occupied = max(occupied, leaf.load.occupied)
    round_trip_ms = extra_round_trip_ms(gateway, leaf)
    total_ms = round_trip_ms + work_ms
    if occupied >= slots:
        total_ms += work_ms * (occupied - slots + 1) / slots
    if now_ms - leaf.connection_used_ms > CONNECTION_REUSE_MS + WARMUP_ROUND_MS:
        total_ms += round_trip_ms + CONNECTION_OPEN_MS
    return total_ms


def hedge_delay_ms(
    gateway: gateway_state.Gateway,
    call: requests.ShardCall,
    route: routes.Route,
    other: leaves.Leaf,
    now_ms: int,
) -> float:
    """Return for how long a hedge to another leaf is of no use; 0 if it is now."""
    if is_stalled(other, now_ms) or other.suspected:
        return 1.0
    rest_ms = _rest_ms(gateway, call, route, now_ms)
    if rest_ms <= answer_time_ms(gateway, other, route, now_ms):
        return rest_ms
    return 0.0


def _rest_ms(
    gateway: gateway_state.Gateway,
    call: requests.ShardCall,
    route: routes.Route,
    now_ms: int,
) -> float:
    """Return the rest of the time of a call's running attempts at slow machines.

    It is 0 if one of them has already taken as long as its leaf should take, or if a
    leaf reports no slow machine: then nothing explains why the attempt takes so long.
    """
    rests: list[float] = []
    for attempt in call.attempts.values():
        leaf = gateway.directory.get(attempt.leaf_id)
        if leaf is None or leaf.machine is None:
            return 0.0
        machine = machine_slowness.current(leaf, now_ms)
        if machine <= 1.0 or leaf.suspected or is_stalled(leaf, now_ms):
            return 0.0
        work_ms = gateway.latency_of(route).mean_ms * current_slowness(leaf, now_ms)
        end_ms = attempt.sent_ms + machine * work_ms
        rests.append(end_ms + extra_round_trip_ms(gateway, leaf) - now_ms)
    return max(0.0, min(rests, default=0.0))


def fastest_answer_ms(gateway: gateway_state.Gateway, route: routes.Route) -> float:
    """Return a low estimate of the time that a leaf takes for a route."""
    latency = gateway.latency_of(route)
    return latency.mean_ms - latency.deviation_ms


def slow_answer_ms(gateway: gateway_state.Gateway, route: routes.Route) -> float:
    """Return by how much an unusually slow answer comes after the usual time."""
    return MAXIMUM_LATE_DEVIATIONS * gateway.latency_of(route).deviation_ms


def choose_leaf(
    gateway: gateway_state.Gateway,
    call: requests.ShardCall,
    route: routes.Route,
    now_ms: int,
    random: RandomSource,
) -> leaves.Leaf | None:
    """Return the best leaf for the next send, or None when none can take it."""
    mean_ms = gateway.latency_of(route).mean_ms
    objective_ms = route.objective_ms
    best: tuple[int, int, float] | None = None
    in_rollout = gateway.rollouts.ordered(call.service) is not None
    chosen: leaves.Leaf | None = None
    for leaf in gateway.directory.of_service(call.service):
        if not may_send_to(call, route, leaf.entry.leaf_id):
            continue
        if leaf_permits.hold_of(gateway, leaf, route, now_ms) is not None:
            continue
        # Breaks ties at random, so that daemons do not all choose the same leaf.
        expected = random() + _expected_answer_ms(
            gateway, leaf, mean_ms, objective_ms, now_ms
        )
        preference = 0
        if in_rollout and not is_stalled(leaf, now_ms):
            preference = exposure.preference(gateway, call, leaf) - 1
        rank = (_preference_tier(leaf), preference, expected)
        if best is None or rank < best:
            best, chosen = rank, leaf
    return chosen


def choose_for_repeat(
    gateway: gateway_state.Gateway,
    call: requests.ShardCall,
    route: routes.Route,
    now_ms: int,
) -> leaves.Leaf | None:
    """Return a leaf that only its pace holds, if a repeat may go to no other one.

    The peers for which the leaf is held have had the request. It gets as many requests
    as while its peers are busy.
    """
    if not call.sends or call.attempts or call.service not in gateway.paces.by_service:
        return None
    chosen: leaves.Leaf | None = None
    for leaf in gateway.directory.of_service(call.service):
        if not may_send_to(call, route, leaf.entry.leaf_id):
            continue
        hold = leaf_permits.hold_of(gateway, leaf, route, now_ms)
        if hold is None or hold.reason in leaf_permits.BUSY_REASONS:
            return None
        if hold.reason is leaf_permits.HoldReason.PACE and not leaf.suspected:
            if not leaf_pace.must_wait(leaf, False, now_ms):
                chosen = leaf
    return chosen


def may_send_to(call: requests.ShardCall, route: routes.Route, leaf_id: str) -> bool:
    """Return whether earlier sends of a shard's request allow sending it to a leaf.

    Once the request may have run on as many leaves as the route allows, only these
    leaves may get it again.
    """
    if len(call.runs) + call.runs_elsewhere < route.maximum_leaves:
        return leaf_id not in call.tried
    return may_rerun_on(call, leaf_id)


def may_rerun_on(call: requests.ShardCall, leaf_id: str) -> bool:
    """Return whether a leaf that may have run a request may get it again."""
    if not 0 < call.runs.get(leaf_id, 0) < MAXIMUM_RUNS_PER_LEAF:
        return False
    return all(attempt.leaf_id != leaf_id for attempt in call.attempts.values())


def _preference_tier(leaf: leaves.Leaf) -> int:
    if leaf.suspected:
        return 2
    if leaf.leaving_since_ms is None and leaf.backpressure is None:
        return 0
    return 0 if leaf_permits.leaving_since_ms(leaf) is None else 1
