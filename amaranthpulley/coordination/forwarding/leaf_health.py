"""Updates the latency, failure and suspicion records of leaves."""

import math
from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    leaf_pace,
    leaf_selection,
    machine_slowness,
    tracing,
)
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, requests, routes

# Weight of one answer in the moving average of a leaf's slowness. The minimum is small,
# so that the few late answers of a pause change little. The weight grows with the time
# since the last answer, so that two or three answers suffice for a leaf with few.
MINIMUM_SLOWNESS_WEIGHT: Final = 0.15
MAXIMUM_SLOWNESS_WEIGHT: Final = 0.35
# Larger slowness values are clipped.
MAXIMUM_SLOWNESS: Final = 6.0
# Weight of one attempt in the moving average of a leaf's failures and rejections.
FAILURE_WEIGHT: Final = 0.15
# Delay before the first health check of a suspected leaf.
FIRST_PROBE_DELAY_MS: Final = 400
# Upper bound of the exponential backoff between health checks.
MAXIMUM_PROBE_DELAY_MS: Final = 4_000
PROBE_BACKOFF_FACTOR: Final = 2
# A leaf that rejects a request gets none for the route's mean time, at least this long.
MINIMUM_FULL_MS: Final = 10
# A leaf at its connection limit closes a new connection unused. It gets no requests
# for this time.
CONNECTION_LIMIT_PAUSE_MS: Final = 40
# A leaf to which no connection can be opened gets no requests for this time, unless it
# answers meanwhile.
UNREACHABLE_PAUSE_MS: Final = 300


def record_answer(
    gateway: gateway_state.Gateway,
    attempt: requests.Attempt,
    route: routes.Route,
    answer: requests.LeafAnswer,
    opened: bool,
    now_ms: int,
) -> float:
    """Record a leaf's answer and return its slowness: its time over the route's mean.

    Parameters
    ----------
    opened : bool
        The attempt opened a connection, so its time is not recorded.
    """
    leaf = gateway.directory.get(attempt.leaf_id)
    if leaf is None:
        return leaves.INITIAL_SLOWNESS
    _mark_responsive(gateway, leaf, attempt, now_ms)
    machine = machine_slowness.record(leaf, answer.load, now_ms)
    succeeded = not answer.not_run and answer.status < 500
    _record_outcome(gateway, leaf, not succeeded, now_ms)
    if answer.not_run:
        mean_ms = gateway.latency_of(route).mean_ms
        leaf.full_until_ms = now_ms + max(MINIMUM_FULL_MS, int(mean_ms))
    elif succeeded and not opened:
        return _record_time(gateway, leaf, attempt, route, machine, now_ms)
    return leaves.INITIAL_SLOWNESS


def record_failure(
    gateway: gateway_state.Gateway,
    attempt: requests.Attempt,
    end: requests.AttemptEnd,
    now_ms: int,
) -> None:
    """Record an attempt that ended without an answer."""
    leaf = gateway.directory.get(attempt.leaf_id)
    if leaf is None:
        return
    leaf.overdue_at_ms.pop(attempt.number, None)
    if end is requests.AttemptEnd.TURNED_AWAY:
        leaf.full_until_ms = now_ms + CONNECTION_LIMIT_PAUSE_MS
    elif end is requests.AttemptEnd.UNREACHABLE:
        leaf.unreachable_until_ms = now_ms + UNREACHABLE_PAUSE_MS
        suspect(leaf, now_ms)
    elif end is requests.AttemptEnd.TIMED_OUT:
        suspect(leaf, now_ms)
    else:
        if end is requests.AttemptEnd.LOST:
            leaf.lost_ms = now_ms
        _record_outcome(gateway, leaf, True, now_ms)


def remove_replaced(
    gateway: gateway_state.Gateway, leaf_id: str
) -> list[commands.Command]:
    """Remove a leaf at whose address another leaf has answered.

    Its entry in the store may stay for as long as the store is silent. It counts again
    when it is written anew.
    """
    leaf = gateway.directory.get(leaf_id)
    if leaf is None:
        return []
    gateway.directory.remove(leaf_id)
    gateway.connection_plans.pop(leaf.entry.service, None)
    return [tracing.leaf_line(leaf, "replaced", 0)]


def record_slowness(leaf: leaves.Leaf, observed: float, now_ms: int) -> None:
    """Add one observation to the moving average of a leaf's slowness."""
    slowness = leaf_selection.current_slowness(leaf, now_ms)
    elapsed_ms = now_ms - leaf.slowness_updated_ms
    weight = 1.0 - math.exp(-elapsed_ms / leaf_selection.SLOWNESS_DECAY_MS)
    weight = min(MAXIMUM_SLOWNESS_WEIGHT, max(MINIMUM_SLOWNESS_WEIGHT, weight))
    leaf.slowness = slowness + weight * (min(MAXIMUM_SLOWNESS, observed) - slowness)
    leaf.slowness_updated_ms = now_ms


def suspect(leaf: leaves.Leaf, now_ms: int) -> None:
    """Suspect a leaf until a health check succeeds or it answers.

    A suspected leaf is selected only when no other is left.
    """
    if not leaf.suspected:
        leaf.suspected = True
        leaf.probe_delay_ms = FIRST_PROBE_DELAY_MS
        leaf.probe_due_ms = now_ms + FIRST_PROBE_DELAY_MS


def record_probe(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, healthy: bool, now_ms: int
) -> None:
    """Record the result of a health check."""
    if healthy:
        _clear(gateway, leaf, now_ms)
        leaf.last_response_ms = now_ms
        return
    leaf.probe_delay_ms = min(
        MAXIMUM_PROBE_DELAY_MS, leaf.probe_delay_ms * PROBE_BACKOFF_FACTOR
    )
    leaf.probe_due_ms = now_ms + leaf.probe_delay_ms


def _mark_responsive(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    attempt: requests.Attempt,
    now_ms: int,
) -> None:
    leaf.overdue_at_ms.pop(attempt.number, None)
    leaf.last_response_ms = now_ms
    _clear(gateway, leaf, now_ms)


def _clear(gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int) -> None:
    if leaf.suspected:
        leaf_pace.begin_recovery(gateway, leaf, now_ms)
    leaf.suspected = False
    leaf.unreachable_until_ms = 0
    leaf.lost_ms = None


def _record_outcome(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, failed: bool, now_ms: int
) -> None:
    if gateway.paces.by_service:
        leaf_pace.record_outcome(gateway, leaf, failed, now_ms)
    share = leaf_selection.current_failure_share(leaf, now_ms)
    leaf.failure_share = share + FAILURE_WEIGHT * (float(failed) - share)
    leaf.failure_share_updated_ms = now_ms


def _record_time(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    attempt: requests.Attempt,
    route: routes.Route,
    machine: float,
    now_ms: int,
) -> float:
    """Record the time of an answer and return the slowness in it.

    The machine's part is not learned, since it is known from what the leaf reports.
    """
    elapsed_ms = now_ms - attempt.sent_ms
    gateway.distances.observe(leaf.entry.failure_domain, elapsed_ms)
    work_ms = max(1.0, elapsed_ms - leaf_selection.extra_round_trip_ms(gateway, leaf))
    latency = gateway.latency_of(route)
    observed = work_ms / max(1.0, latency.mean_ms)
    if gateway.paces.by_service:
        leaf_pace.record_time(gateway, leaf, observed / machine, now_ms)
    record_slowness(leaf, observed / machine, now_ms)
    latency.observe(work_ms)
    return observed
