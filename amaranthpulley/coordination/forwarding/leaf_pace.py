"""Finds the pace of a leaf that has started or recovered from how it answers.

Load pattern: a leaf comes back cold, or comes back only seemingly, while its service is
busy. With its full share at once it is overloaded, and requests are late or rejected;
with a fixed time of caution it is idle for longer than it needs, or not long enough.

Each daemon gives such a leaf a share of a usual leaf's requests. The shares of all
daemons add up to the leaf's own, in proportion to what each of them sends, so that they
need not agree. A share grows with time, fast while the leaf's answers are like those of
its peers and slowly while there are none. It is cut at once to what the leaf's time for
the work leaves of its capacity, and by half for a rejection or a failure.

The slowness of a leaf's machine is left out of the times, and they are compared with
those of the peers at the same moment, so that neither a slow machine nor a slowdown of
all leaves is taken for a cold leaf. Pauses, limits and the rate of a cold leaf apply
besides.
"""

from typing import Final

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import commands, delegates
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, pace, routes

# Share of a leaf that has just started, and of one that has recovered: the latter has
# kept its caches, but may fail again.
STARTED_SHARE: Final = 0.1
RECOVERED_SHARE: Final = 0.25
# Least share, so that there are answers to learn from and a cold leaf gets warm.
LEAST_SHARE: Final = 0.05
# Time in which the share doubles while the answers are like those of the peers: from a
# tenth to all in 1.7 s.
DOUBLING_MS: Final = 500.0
# The same without answers. A daemon with few requests has none for seconds, and adds
# little to what the leaf gets.
BLIND_DOUBLING_MS: Final = 1_000.0
# An answer is evidence for this time.
EVIDENCE_VALID_MS: Final = 1_000
# An answer that takes up to this multiple of the peers' time is like theirs.
SLOWNESS_TOLERANCE: Final = 1.4
# A share of failures that exceeds the peers' by no more than this is like theirs.
FAILURE_TOLERANCE: Final = 0.15
# Answers to requests that were sent before a cut tell nothing new about it.
CUT_INTERVAL_MS: Final = 100
# Time constant with which slow answers are forgotten while there are none.
FORGET_PER_TICK: Final = 0.97
# A leaf that has returned within this time returns with half the share for each time,
# and grows more slowly while it has not answered.
RETURN_VALID_MS: Final = 30_000
MAXIMUM_RETURNS: Final = 3
# Requests that a leaf may get at once, when it was not selected for a while.
MAXIMUM_CREDIT: Final = 2.0
# A pace ends after this time, or this time after the leaf is no longer cold by its
# entry: what is slow then is slow for another reason, which its slowness tells.
LONGEST_MS: Final = 15_000
# Older load reports are ignored.
LOAD_VALID_MS: Final = 250


def begin_start(gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int) -> None:
    """Give a new leaf a pace if its entry says that it is cold.

    The entry of a warm leaf may be new, too: it lapses while the store is away.
    """
    if leaf.entry.cold_ms > 0:
        _begin(gateway, leaf, pace.Cause.STARTED, STARTED_SHARE, now_ms)


def begin_recovery(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int
) -> None:
    """Give a leaf a pace that was suspected until now."""
    _begin(gateway, leaf, pace.Cause.RECOVERED, RECOVERED_SHARE, now_ms)


def must_wait(leaf: leaves.Leaf, is_peer_free: bool, now_ms: int) -> bool:
    """Return whether a leaf with a pace has had its share for now.

    While its peers are busy, it may get one request in advance, unless it is known to
    be busy itself.
    """
    if leaf.pace is None:
        return False
    if is_peer_free:
        return leaf.pace.credit < 1.0
    return leaf.in_flight >= max(1.0, leaf.pace.share * leaf.entry.slots) or is_busy(
        leaf, now_ms
    )


def is_busy(leaf: leaves.Leaf, now_ms: int) -> bool:
    """Return whether a leaf has no free slot, or is late with an answer."""
    overdue_ms = leaf.first_overdue_at_ms()
    if overdue_ms is not None and overdue_ms <= now_ms:
        return True
    if leaf.load is None or now_ms - leaf.load_reported_ms >= LOAD_VALID_MS:
        return False
    return leaf.load.occupied >= max(1, leaf.entry.slots)


def record_send(gateway: gateway_state.Gateway, leaf: leaves.Leaf) -> None:
    """Count a request that is sent to a leaf: the young leaves earn a part of one."""
    paces = gateway.paces.by_service.get(leaf.entry.service)
    if paces is None:
        return
    young: list[pace.Pace] = []
    usual = 0
    for other in gateway.directory.of_service(leaf.entry.service):
        if other.pace is not None:
            young.append(other.pace)
        elif not other.suspected and other.leaving_since_ms is None:
            usual += 1
    total = usual + sum(one.share for one in young)
    for one in young:
        one.credit = min(MAXIMUM_CREDIT, one.credit + one.share / total)
    if leaf.pace is not None:
        leaf.pace.credit -= 1.0


def record_time(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, slowness: float, now_ms: int
) -> None:
    """Compare the time of an answer with the times of the peers.

    Parameters
    ----------
    slowness : float
        The time over the route's mean, without the part of the leaf's machine.
    """
    paces = gateway.paces.by_service.get(leaf.entry.service)
    if paces is None:
        return
    if leaf.pace is None:
        paces.peers.record_time(slowness)
        return
    leaf.pace.answers.record_time(slowness)
    relative = _relative_slowness(leaf.pace, paces)
    if relative > SLOWNESS_TOLERANCE:
        _cut(gateway, leaf.pace, 1.0 / relative, now_ms)
    elif slowness <= SLOWNESS_TOLERANCE * paces.peers.slowness:
        leaf.pace.good_ms = now_ms


def record_outcome(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, failed: bool, now_ms: int
) -> None:
    """Compare whether a leaf rejects or fails requests with what the peers do."""
    paces = gateway.paces.by_service.get(leaf.entry.service)
    if paces is None:
        return
    if leaf.pace is None:
        paces.peers.record_outcome(failed)
        return
    leaf.pace.answers.record_outcome(failed)
    if failed and _fails_more(leaf.pace, paces):
        if leaf.pace.shrunk_ms is None or (
            now_ms - leaf.pace.shrunk_ms >= CUT_INTERVAL_MS
        ):
            _cut(gateway, leaf.pace, leaf.pace.share / 2, now_ms)


def grow(gateway: gateway_state.Gateway, now_ms: int) -> list[commands.Command]:
    """Grow the shares, and end those that are whole; return the log lines."""
    decided: list[commands.Command] = []
    for service in list(gateway.paces.by_service):
        paces = gateway.paces.by_service[service]
        for leaf_id in sorted(paces.leaf_ids):
            leaf = gateway.directory.get(leaf_id)
            if leaf is None or leaf.pace is None or leaf.entry.service != service:
                gateway.paces.remove(service, leaf_id)
                continue
            decided += _grow_one(gateway, leaf, leaf.pace, paces, now_ms)
    return decided


def _begin(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    cause: pace.Cause,
    share: float,
    now_ms: int,
) -> None:
    service, leaf_id = leaf.entry.service, leaf.entry.leaf_id
    if not _is_used(gateway, leaf):
        return
    place = service, leaf.entry.address
    returns = gateway.paces.count_return(place, RETURN_VALID_MS, now_ms)
    returns = min(MAXIMUM_RETURNS, returns)
    share = max(LEAST_SHARE, share / 2**returns)
    # Daemons begin at different moments, so that their first requests are spread.
    credit = delegates.phase_of(gateway, leaf_id)
    if leaf.pace is not None:
        share, credit = min(share, leaf.pace.share), leaf.pace.credit
    elif returns:
        credit = 0.0
    leaf.pace = pace.Pace(cause, share, returns, credit, now_ms)
    gateway.paces.add(service, leaf_id)


def _is_used(gateway: gateway_state.Gateway, leaf: leaves.Leaf) -> bool:
    """Return whether a warm-up is stated, by the configuration or the leaf's entry."""
    if not gateway.limits.pace or leaf.leaving_since_ms is not None:
        return False
    if leaf.entry.cold_ms > 0:
        return True
    if gateway.configuration is None:
        return False
    limits = routes.limits_of(gateway.configuration, leaf.entry.service)
    return limits.cold_requests_per_second > 0.0


def _relative_slowness(one: pace.Pace, paces: pace.ServicePaces) -> float:
    return one.answers.slowness / max(0.1, paces.peers.slowness)


def _fails_more(one: pace.Pace, paces: pace.ServicePaces) -> bool:
    return one.answers.failures > paces.peers.failures + FAILURE_TOLERANCE


def _cut(
    gateway: gateway_state.Gateway, one: pace.Pace, share: float, now_ms: int
) -> None:
    if share >= one.share:
        return
    one.share = max(LEAST_SHARE, share)
    one.shrunk_ms = now_ms
    one.good_ms = None
    gateway.counters.add("forward_pace_cuts_total")


def _grow_one(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    one: pace.Pace,
    paces: pace.ServicePaces,
    now_ms: int,
) -> list[commands.Command]:
    lines = []
    if not one.logged:
        one.logged = True
        lines.append(_line(leaf, one, "begun", now_ms))
    passed_ms, one.grown_ms = now_ms - one.grown_ms, now_ms
    is_like_peers = _relative_slowness(one, paces) <= SLOWNESS_TOLERANCE
    if is_like_peers and not _fails_more(one, paces):
        has_evidence = (
            one.good_ms is not None and now_ms - one.good_ms <= EVIDENCE_VALID_MS
        )
        blind_ms = BLIND_DOUBLING_MS * 2**one.returns
        one.share *= 2.0 ** (passed_ms / (DOUBLING_MS if has_evidence else blind_ms))
    one.answers.slowness = 1.0 + (one.answers.slowness - 1.0) * FORGET_PER_TICK
    one.answers.failures *= FORGET_PER_TICK
    end_ms = max(one.began_ms, leaf.cold_until_ms) + LONGEST_MS
    if one.share >= 1.0 or now_ms >= end_ms:
        leaf.pace = None
        gateway.paces.remove(leaf.entry.service, leaf.entry.leaf_id)
        result = "whole" if one.share >= 1.0 else "expired"
        leaf.is_proven = one.share >= 1.0 and one.good_ms is not None
        gateway.counters.add("forward_paces_total", end=result)
        lines.append(_line(leaf, one, result, now_ms))
    return lines


def _line(leaf: leaves.Leaf, one: pace.Pace, result: str, now_ms: int) -> common.Log:
    return common.log(
        log_events.LEAF_PACE_CHANGED,
        target=leaf.entry.leaf_id,
        service=leaf.entry.service,
        cause=one.cause.value,
        pace=result,
        share=round(one.share, 3),
        after_ms=now_ms - one.began_ms,
    )
