"""Decides whether a leaf may get a request now, and if not, why and for how long.

All that sends to leaves asks here: first sends, retries, hedges, the queues of waiting
calls, admission, and delegates that run requests for others. A lasting hold is not
waited for; the others end by themselves.

Suspicion is no hold: a suspected leaf is selected last, since it may be the only one
that can answer. See `leaf_selection`. A leaf to which no connection can be opened is
held for a moment, so that requests are refused at once when a service has no other.
"""

import enum
import math
from typing import Final, NamedTuple

from amaranthpulley.coordination.forwarding import (
    connection_shares,
    delegates,
    leaf_pace,
)
from amaranthpulley.coordination.forwarding.rollouts import exposure
from amaranthpulley.state.forwarding import backpressure, leaves, routes
from amaranthpulley.state.forwarding import gateway as gateway_state

# In a window, a leaf may get its limit times the overage, and a slack.
LIMIT_WINDOW_S: Final = 4.0
LIMIT_OVERAGE: Final = 1.5
LIMIT_SLACK: Final = 5.0
# Share of that which is used; the rest covers requests that arrive late.
USABLE_LIMIT_SHARE: Final = 0.95
# In a second, a cold leaf may get its rate times the overage, and a slack.
COLD_OVERAGE: Final = 1.5
# Daemons rarely use their shares at the same time, so they are larger than equal parts.
SHARE_OVERAGE: Final = 1.25
# Least requests a second of all daemons, so that the end of a limit is learned.
LEAST_RATE_PER_S: Final = 0.5
# Requests that a daemon may save up.
SAVED_REQUESTS: Final = 1.0
# Share of the drain time during which a leaving leaf still gets requests.
LEAVING_SHARE: Final = 0.6


class HoldReason(enum.Enum):
    """Why a leaf gets no request."""

    REGION = "region"
    EVACUATED = "evacuated"
    LEAVING = "leaving"
    COLD = "cold"
    PAUSE = "pause"
    RETURN = "return"
    LIMIT = "limit"
    FULL = "full"
    CONNECTIONS = "connections"
    UNREACHABLE = "unreachable"
    ROLLOUT = "rollout"
    PACE = "pace"


class Hold(NamedTuple):
    """A leaf gets no request at the moment.

    Attributes
    ----------
    reason : HoldReason
        Why.
    until_ms : int or None
        When the hold ends, if that is known.
    lasting : bool
        Whether a request can't wait for its end.
    """

    reason: HoldReason
    until_ms: int | None = None
    lasting: bool = False


_REGION: Final = Hold(HoldReason.REGION, lasting=True)
_EVACUATED: Final = Hold(HoldReason.EVACUATED, lasting=True)
_LEAVING: Final = Hold(HoldReason.LEAVING, lasting=True)
_COLD: Final = Hold(HoldReason.COLD, lasting=True)
_ROLLOUT: Final = Hold(HoldReason.ROLLOUT, lasting=True)
_CONNECTIONS: Final = Hold(HoldReason.CONNECTIONS)
_PACE: Final = Hold(HoldReason.PACE)
_RETURN: Final = Hold(HoldReason.RETURN)


# A leaf that is held for one of these has only no room at the moment.
BUSY_REASONS: Final = frozenset({HoldReason.FULL, HoldReason.CONNECTIONS})


def hold_of(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    now_ms: int,
) -> Hold | None:
    """Return why a leaf may not get a request of a route now, or None if it may."""
    if route.regions and leaf.region not in route.regions:
        return _REGION
    if leaf.entry.failure_domain in gateway.evacuated:
        return _EVACUATED
    if gateway.rollouts.by_service and exposure.holds(gateway, leaf, now_ms):
        return _ROLLOUT
    leaving_ms = leaving_since_ms(leaf)
    if leaving_ms is not None:
        if now_ms - leaving_ms > gateway.limits.drain_ms * LEAVING_SHARE:
            return _LEAVING
    if now_ms < leaf.cold_until_ms and not _has_cold_token(gateway, leaf, now_ms):
        return _COLD
    if leaf.backpressure is not None:
        hold = _demanded_hold(gateway, leaf, leaf.backpressure, now_ms)
        if hold is not None:
            return hold
    if leaf.unreachable_until_ms > now_ms:
        return Hold(HoldReason.UNREACHABLE, leaf.unreachable_until_ms, lasting=True)
    if leaf.full_until_ms > now_ms:
        return Hold(HoldReason.FULL, leaf.full_until_ms)
    if leaf.in_flight >= connection_shares.maximum_concurrency(gateway, leaf):
        return _CONNECTIONS
    if leaf.pace is not None:
        return _pace_hold(gateway, leaf, route, now_ms)
    return None


def may_get_by(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    now_ms: int,
    latest_ms: float,
) -> bool:
    """Return whether a request of a route may be sent to a leaf until a time."""
    hold = hold_of(gateway, leaf, route, now_ms)
    return hold is None or may_end_by(hold, latest_ms)


def may_end_by(hold: Hold, latest_ms: float) -> bool:
    """Return whether a hold may end until a time."""
    if hold.lasting:
        return False
    return hold.until_ms is None or hold.until_ms <= latest_ms


def leaving_since_ms(leaf: leaves.Leaf) -> int | None:
    """Return since when a leaf leaves, by its entry or by its own word.

    Either is enough. An entry that is ready again ends what the entry had said; what
    the leaf has said holds until its next start.
    """
    if leaf.backpressure is None or leaf.backpressure.leaving_since_ms is None:
        return leaf.leaving_since_ms
    said_ms = leaf.backpressure.leaving_since_ms
    if leaf.leaving_since_ms is None:
        return said_ms
    return min(said_ms, leaf.leaving_since_ms)


def may_wait_for(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    now_ms: int,
) -> bool:
    """Return whether a request of a route may be sent to a leaf, now or soon."""
    hold = hold_of(gateway, leaf, route, now_ms)
    return hold is None or not hold.lasting


def may_probe(leaf: leaves.Leaf, now_ms: int) -> bool:
    """Return whether a suspected leaf may get a health check."""
    demanded = leaf.backpressure
    if demanded is None:
        return True
    return demanded.leaving_since_ms is None and demanded.paused_until_ms <= now_ms


def record_send(gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int) -> None:
    """Count a request that is sent to a leaf."""
    if gateway.paces.by_service:
        leaf_pace.record_send(gateway, leaf)
    if now_ms < leaf.cold_until_ms:
        leaf.cold_tokens.take()
    if leaf.backpressure is not None and leaf.backpressure.limit_tokens is not None:
        leaf.backpressure.limit_tokens.take()


def allowed_per_s(gateway: gateway_state.Gateway, leaf: leaves.Leaf) -> float:
    """Return the requests a second that this daemon may send to a leaf with a limit.

    In the worst case every daemon sends what it has saved up, besides its rate.
    """
    if leaf.backpressure is None or leaf.backpressure.limit_per_s is None:
        return math.inf
    limit_per_s = leaf.backpressure.limit_per_s
    allowed = LIMIT_OVERAGE * LIMIT_WINDOW_S * limit_per_s + LIMIT_SLACK
    saved = SAVED_REQUESTS * delegates.daemon_count(gateway)
    in_time_per_s = (USABLE_LIMIT_SHARE * allowed - saved) / LIMIT_WINDOW_S
    total_per_s = min(SHARE_OVERAGE * limit_per_s, in_time_per_s)
    total_per_s = max(total_per_s, limit_per_s / 2, LEAST_RATE_PER_S)
    return total_per_s * delegates.share_of(gateway, leaf.entry.service)


def _pace_hold(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    route: routes.Route,
    now_ms: int,
) -> Hold | None:
    """Return the hold of a leaf that starts or recovers.

    There is none unless a leaf without a pace can take requests, now or as soon as it
    has room: the only usable leaf is never left idle.
    """
    has_peer = is_peer_free = False
    for peer in gateway.directory.of_service(leaf.entry.service):
        if peer.pace is not None or peer.suspected or now_ms < peer.cold_until_ms:
            continue
        if leaving_since_ms(peer) is not None or peer.lost_ms is not None:
            continue
        hold = hold_of(gateway, peer, route, now_ms)
        if hold is not None and hold.reason not in BUSY_REASONS:
            continue
        has_peer = True
        if hold is None and not leaf_pace.is_busy(peer, now_ms):
            is_peer_free = True
            break
    if has_peer and leaf_pace.must_wait(leaf, is_peer_free, now_ms):
        return _PACE
    return None


def _demanded_hold(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    demanded: backpressure.Backpressure,
    now_ms: int,
) -> Hold | None:
    """Return the hold that follows from what the leaf has asked for."""
    if demanded.paused_until_ms > now_ms:
        return Hold(HoldReason.PAUSE, demanded.paused_until_ms)
    returning = demanded.return_concurrency
    if returning is not None and leaf.in_flight >= returning:
        return _RETURN
    tokens = demanded.limit_tokens
    if demanded.limit_per_s is None or tokens is None:
        return None
    per_s = allowed_per_s(gateway, leaf)
    level = tokens.refill(per_s, SAVED_REQUESTS, now_ms)
    if level >= SAVED_REQUESTS:
        return None
    wait_ms = 1000 * (SAVED_REQUESTS - level) / per_s
    return Hold(HoldReason.LIMIT, now_ms + math.ceil(wait_ms))


def _has_cold_token(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int
) -> bool:
    configuration = gateway.configuration
    if configuration is None:
        return False
    rate = routes.limits_of(configuration, leaf.entry.service).cold_requests_per_second
    if rate <= 0.0:
        return True
    share = delegates.allowance(gateway, leaf.entry.service, now_ms)
    slack = gateway.limits.cold_slack
    if slack * share >= 1.0:
        return leaf.cold_tokens.refill(rate * share, slack * share, now_ms) >= 1.0
    # More daemons than the slack has requests: what all of them have saved must fit.
    saved = USABLE_LIMIT_SHARE * (COLD_OVERAGE * rate + slack) - rate
    return leaf.cold_tokens.refill_one(rate * share, saved / rate, now_ms)
