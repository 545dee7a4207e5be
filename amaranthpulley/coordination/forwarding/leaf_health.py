"""What the end of an attempt tells of its leaf."""

import math
from typing import Final

from amaranthpulley.coordination.forwarding import leaf_selection
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, requests, routes

# Weight of one answer in a leaf's slowness: the few late answers of a pause change it
# little. It grows with the time since the last one, up to the larger weight, so that a
# leaf that gets few requests is known after two or three.
MINIMUM_SLOWNESS_WEIGHT: Final = 0.15
MAXIMUM_SLOWNESS_WEIGHT: Final = 0.35
# Largest slowness that one answer can show.
MAXIMUM_SLOWNESS: Final = 6.0
# Weight of one end in a leaf's share of failures and rejections.
FAILURE_WEIGHT: Final = 0.15
# Pause before the first health check of a leaf that does not answer, in milliseconds.
FIRST_PROBE_DELAY_MS: Final = 400
# Longest pause between health checks, in milliseconds.
MAXIMUM_PROBE_DELAY_MS: Final = 4_000
# Factor between two pauses.
PROBE_BACKOFF_FACTOR: Final = 2
# A full leaf gets nothing for its usual time, and at least this, in milliseconds.
MINIMUM_FULL_MS: Final = 10
# A leaf that has too many connections gets no new one for so long, in milliseconds.
CONNECTION_LIMIT_PAUSE_MS: Final = 40
# Different leaves that a request must have lost before it is refused.
CRASH_LIMIT: Final = 3
# Requests that are remembered for having lost leaves.
MAXIMUM_CRASH_RECORDS: Final = 500


def record_answer(
    gateway: gateway_state.Gateway,
    attempt: requests.Attempt,
    route: routes.Route,
    answer: requests.LeafAnswer,
    opened: bool,
    now_ms: int,
) -> float:
    """Learn from a leaf's whole answer; return how many usual times it took.

    Parameters
    ----------
    opened : bool
        The attempt had to wait for a new connection, so that its time says nothing.
    """
    leaf = gateway.directory.get(attempt.leaf_id)
    if leaf is None:
        return leaves.INITIAL_SLOWNESS
    _hear(leaf, attempt, now_ms)
    if answer.load is not None:
        leaf.load = leaves.Load(*answer.load)
        leaf.load_reported_ms = now_ms
    succeeded = not answer.not_run and answer.status < 500
    _count_failure(leaf, not succeeded, now_ms)
    if answer.not_run:
        usual_ms = gateway.latency_of(route).mean_ms
        leaf.full_until_ms = now_ms + max(MINIMUM_FULL_MS, int(usual_ms))
    elif succeeded and not opened:
        return _learn_time(gateway, leaf, attempt, route, now_ms)
    return leaves.INITIAL_SLOWNESS


def record_failure(
    gateway: gateway_state.Gateway,
    attempt: requests.Attempt,
    end: requests.AttemptEnd,
    now_ms: int,
) -> None:
    """Learn from an attempt that ended without an answer."""
    leaf = gateway.directory.get(attempt.leaf_id)
    if leaf is None:
        return
    leaf.overdue_at_ms.pop(attempt.number, None)
    if end is requests.AttemptEnd.WRONG_LEAF:
        # The address belongs to another leaf by now; the directory is behind.
        gateway.directory.remove(attempt.leaf_id)
    elif end is requests.AttemptEnd.TURNED_AWAY:
        leaf.full_until_ms = now_ms + CONNECTION_LIMIT_PAUSE_MS
    elif end in (requests.AttemptEnd.UNREACHABLE, requests.AttemptEnd.TIMED_OUT):
        suspect(leaf, now_ms)
    else:
        _count_failure(leaf, True, now_ms)


def record_slowness(leaf: leaves.Leaf, seen: float, now_ms: int) -> None:
    """Learn that an answer of a leaf took so many usual times."""
    slowness = leaf_selection.current_slowness(leaf, now_ms)
    passed_ms = now_ms - leaf.slowness_updated_ms
    weight = 1.0 - math.exp(-passed_ms / leaf_selection.SLOWNESS_DECAY_MS)
    weight = min(MAXIMUM_SLOWNESS_WEIGHT, max(MINIMUM_SLOWNESS_WEIGHT, weight))
    leaf.slowness = slowness + weight * (min(MAXIMUM_SLOWNESS, seen) - slowness)
    leaf.slowness_updated_ms = now_ms


def suspect(leaf: leaves.Leaf, now_ms: int) -> None:
    """Give a leaf no work until a health check succeeds or it answers."""
    if not leaf.suspected:
        leaf.suspected = True
        leaf.probe_delay_ms = FIRST_PROBE_DELAY_MS
        leaf.probe_due_ms = now_ms + FIRST_PROBE_DELAY_MS


def record_probe(leaf: leaves.Leaf, healthy: bool, now_ms: int) -> None:
    """Learn from a health check."""
    if healthy:
        leaf.suspected = False
        leaf.last_response_ms = now_ms
        return
    leaf.probe_delay_ms = min(
        MAXIMUM_PROBE_DELAY_MS, leaf.probe_delay_ms * PROBE_BACKOFF_FACTOR
    )
    leaf.probe_due_ms = now_ms + leaf.probe_delay_ms


def record_crash(
    gateway: gateway_state.Gateway, fingerprint: int, leaf_id: str
) -> None:
    """Remember that a leaf was lost while it ran a request."""
    if len(gateway.crashes) >= MAXIMUM_CRASH_RECORDS:
        gateway.crashes.pop(next(iter(gateway.crashes)))
    gateway.crashes.setdefault(fingerprint, set()).add(leaf_id)


def crashes_leaves(gateway: gateway_state.Gateway, fingerprint: int) -> bool:
    """Tell whether a request has lost leaf after leaf and never been answered."""
    return len(gateway.crashes.get(fingerprint, ())) >= CRASH_LIMIT


def _hear(leaf: leaves.Leaf, attempt: requests.Attempt, now_ms: int) -> None:
    leaf.overdue_at_ms.pop(attempt.number, None)
    leaf.last_response_ms = now_ms
    leaf.suspected = False


def _count_failure(leaf: leaves.Leaf, failed: bool, now_ms: int) -> None:
    share = leaf_selection.current_failure_share(leaf, now_ms)
    leaf.failure_share = share + FAILURE_WEIGHT * (float(failed) - share)
    leaf.failure_share_updated_ms = now_ms


def _learn_time(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    attempt: requests.Attempt,
    route: routes.Route,
    now_ms: int,
) -> float:
    elapsed_ms = now_ms - attempt.sent_ms
    gateway.distances.observe(leaf.entry.failure_domain, elapsed_ms)
    work_ms = max(1.0, elapsed_ms - leaf_selection.extra_round_trip_ms(gateway, leaf))
    usual = gateway.latency_of(route)
    seen = work_ms / max(1.0, usual.mean_ms)
    record_slowness(leaf, seen, now_ms)
    usual.observe(work_ms)
    return seen
