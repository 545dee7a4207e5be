"""How often a request may be sent again, out of a budget that all daemons share.

In a sliding window a service may get so many sends beyond the first of each request as
a share of its requests and a slack. Each daemon spends the share of its own requests
and an equal part of the slack.
"""

import functools
from typing import Final

from amaranthpulley.coordination.forwarding import leaf_selection
from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests

# Part of the budget that is spent; the rest covers sends that arrive late.
USABLE_SHARE: Final = 0.9
# Part of it that second sends may use; the rest is kept for failed attempts.
HEDGE_SHARE: Final = 0.85


def allows_send(
    gateway: gateway_state.Gateway,
    call: requests.ShardCall,
    now_ms: int,
    share: float = 1.0,
) -> bool:
    """Tell whether the budget allows one more send to a service.

    Parameters
    ----------
    share : float
        Part of the budget that this kind of send may use.
    """
    if call.sends == 0:
        return True
    limits = gateway.limits
    window = gateway.window_of(call.service)
    asked, repeated = window.totals(now_ms)
    # A daemon that has just started does not know what it spent in its last life.
    age = min(1.0, (now_ms - gateway.started_ms) / limits.retry_window_ms)
    slack = limits.retry_slack * age / leaf_selection.daemon_count(gateway)
    allowed = USABLE_SHARE * share * (limits.retry_ratio * asked + slack)
    return repeated + _rounding(gateway.place.name, call.service) <= allowed


@functools.lru_cache(maxsize=4_096)
def _rounding(daemon: str, service: str) -> float:
    """Return what an allowance must exceed the sends so far by, from 0 to 1.

    Small allowances are not whole numbers. Each daemon rounds in its own way, so that
    all of them together neither lose nor gain.
    """
    return (rendezvous.weight_of(daemon, service) % 1_000 + 1) / 1_000


def may_use_another_leaf(
    request: requests.ForwardedRequest, call: requests.ShardCall
) -> bool:
    """Tell whether one more leaf may run a request."""
    most = request.route.maximum_leaves if request.route.idempotent else 1
    return len(call.runs) < most


def may_run_again(request: requests.ForwardedRequest, call: requests.ShardCall) -> bool:
    """Tell whether a request may run once more, on a new leaf or on one that ran it."""
    if may_use_another_leaf(request, call):
        return True
    return request.route.idempotent and any(
        leaf_selection.may_rerun_on(call, leaf_id) for leaf_id in call.runs
    )
