"""Limits retries and hedges by a budget that all daemons share.

A repeat is a send beyond the first of a request: a retry or a hedge. In a sliding
window, a service may get repeats up to a share of its requests plus a fixed slack. Each
daemon may spend the share of its own requests and its part of the slack.
"""

import functools
from typing import Final

from amaranthpulley.coordination.forwarding import delegates, leaf_selection
from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests

# Share of the budget that is spent; the rest covers sends that arrive late.
USABLE_SHARE: Final = 0.9
# Share of the usable budget that hedges may spend; the rest is reserved for retries.
HEDGE_SHARE: Final = 0.85


def allows_send(
    gateway: gateway_state.Gateway,
    call: requests.ShardCall,
    now_ms: int,
    share: float = 1.0,
) -> bool:
    """Return whether the budget allows one more send to a service.

    Parameters
    ----------
    share : float
        Share of the budget that this kind of send may use.
    """
    if call.sends == 0:
        return True
    repeat_count, allowed = _spent_and_allowed(gateway, call.service, now_ms)
    threshold = _rounding_threshold(gateway.place.name, call.service)
    return repeat_count + threshold <= share * allowed


def scarcity(gateway: gateway_state.Gateway, service: str, now_ms: int) -> float:
    """Return the spent part of the budget for hedges to a service, from 0 to 1."""
    repeat_count, allowed = _spent_and_allowed(gateway, service, now_ms)
    threshold = _rounding_threshold(gateway.place.name, service)
    return min(1.0, (repeat_count + threshold) / (HEDGE_SHARE * allowed + 1e-9))


def _spent_and_allowed(
    gateway: gateway_state.Gateway, service: str, now_ms: int
) -> tuple[int, float]:
    limits = gateway.limits
    request_count, repeat_count = gateway.window_of(service).totals(now_ms)
    # After a restart the earlier spending is unknown, so the slack grows with uptime.
    uptime_share = min(1.0, (now_ms - gateway.started_ms) / limits.retry_window_ms)
    own_share = delegates.allowance(gateway, service, now_ms)
    slack = limits.retry_slack * uptime_share * own_share
    return repeat_count, USABLE_SHARE * (limits.retry_ratio * request_count + slack)


@functools.lru_cache(maxsize=4_096)
def _rounding_threshold(daemon: str, service: str) -> float:
    """Return by how much, from 0 to 1, the allowance must exceed the repeats so far.

    Allowances are fractional. Each daemon rounds at a threshold of its own, spread
    evenly, so that the sum over all daemons is right.
    """
    return (rendezvous.weight_of(daemon, service) % 1_000 + 1) / 1_000


def may_use_another_leaf(
    request: requests.ForwardedRequest, call: requests.ShardCall
) -> bool:
    """Return whether one more leaf may run a request."""
    maximum = request.route.maximum_leaves if request.route.idempotent else 1
    return len(call.runs) + call.runs_elsewhere < maximum


def may_run_again(request: requests.ForwardedRequest, call: requests.ShardCall) -> bool:
    """Return whether a request may run again, on a new leaf or one that ran it."""
    if may_use_another_leaf(request, call):
        return True
    return request.route.idempotent and any(
        leaf_selection.may_rerun_on(call, leaf_id) for leaf_id in call.runs
    )
