"""Bounds what the leaves of an ordered version get, by the counts of this daemon.

Load pattern: a version that is bad gets requests from all daemons. Each daemon sends at
most a share of its own requests there, and its part of the slack. So the sum over all
daemons is within the bound whatever messages are lost.

A request is counted for the share once, when a leaf has answered it; a send to the
ordered version is counted when it is made, whether first, retry or hedge.
"""

from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination.forwarding import delegates
from amaranthpulley.coordination.forwarding.rollouts import steps
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, requests, rollouts

# Length of a period in which the new leaves get all requests, as far as the bound
# allows. Most daemons have spent what they may after this time.
FULL_LOAD_MS: Final = 3_000
# Part of the slack that each step adds to its share. Without it, the first request that
# 77 daemons with 10 requests a second sent to the version came 14 s after the order,
# and no step is taken without evidence. At 0.2, one of three orders of 40 s had 27 of
# the 30 answers that are needed (with 3 s of full load in the last step, too).
STEP_SLACK: Final = 0.4


def holds(gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int) -> bool:
    """Return whether the roll-out of its service keeps requests from a leaf."""
    rollout = gateway.rollouts.ordered(leaf.entry.service)
    if rollout is None or rollout.order is None:
        return False
    if leaf.entry.version == rollout.order.target:
        return not _target_may_get(gateway, rollout, leaf.entry.service, now_ms)
    target = rollout.order.target
    barred = rollout.barred()
    if leaf.entry.version in barred:
        # The operators may have made it the service's only version since.
        return _has_leaf(gateway, leaf, lambda v: v != target and v not in barred)
    return has_moved(rollout) and _has_leaf(gateway, leaf, lambda v: v == target)


def is_barred(gateway: gateway_state.Gateway, leaf: leaves.Leaf, now_ms: int) -> bool:
    """Return whether a leaf gets nothing at the moment, whatever is left to spend.

    No connections are opened to such a leaf, and it gets no health checks.
    """
    rollout = gateway.rollouts.ordered(leaf.entry.service)
    if rollout is None or rollout.order is None:
        return False
    if leaf.entry.version != rollout.order.target:
        return holds(gateway, leaf, now_ms)
    return not _is_open(rollout, now_ms)


def has_moved(rollout: rollouts.Rollout) -> bool:
    """Return whether all requests of the service go to the ordered version."""
    step = rollout.current_step()
    if step is None:
        return False
    if step.phase is rollouts.Phase.MOVING:
        return not rollout.distrusted
    return step.phase is rollouts.Phase.COMPLETED


def preference(
    gateway: gateway_state.Gateway,
    call: requests.ShardCall,
    leaf: leaves.Leaf,
) -> int:
    """Return a rank by which a leaf that is not held is selected, the lowest first.

    Otherwise a version that is expected to be slightly slower would get no requests,
    and no evidence about it would arise. Repeats prefer the old leaves, so that a bad
    answer costs the client little.
    """
    rollout = gateway.rollouts.ordered(leaf.entry.service)
    if rollout is None or rollout.order is None:
        return 0
    is_target = leaf.entry.version == rollout.order.target
    return int(is_target) if call.sends else int(not is_target)


def record_send(
    gateway: gateway_state.Gateway, leaf: leaves.Leaf, attempt: int, now_ms: int
) -> None:
    """Count a send to a leaf."""
    counted = leaf.recent_sends.at(now_ms)
    leaf.recent_sends = counted._replace(current=counted.current + 1)
    rollout = gateway.rollouts.ordered(leaf.entry.service)
    if rollout is None or rollout.order is None:
        return
    # The version is that of the send, since an entry may change it meanwhile.
    is_target = leaf.entry.version == rollout.order.target
    rollout.attempts[attempt] = is_target
    if is_target:
        rollout.sent += 1
        rollout.step_sent += 1


def charge_earlier_sends(
    gateway: gateway_state.Gateway, service: str, now_ms: int
) -> None:
    """Count what the ordered version got just before this daemon read the order.

    Until then all versions are used alike, and the order was written a little earlier.
    """
    rollout = gateway.rollouts.of_service(service)
    for leaf in gateway.directory.of_service(service):
        if rollout.order is not None and leaf.entry.version == rollout.order.target:
            recent = leaf.recent_sends.at(now_ms)
            rollout.sent += recent.current + recent.previous


def record_reached(rollout: rollouts.Rollout, call: requests.ShardCall) -> None:
    """Count a request that has reached a leaf of the service, once."""
    if not call.reached:
        call.reached = True
        rollout.requests += 1
        rollout.step_requests += 1


def slack_part(
    gateway: gateway_state.Gateway, rollout: rollouts.Rollout, now_ms: int
) -> int:
    """Return this daemon's part of the slack, in whole requests.

    A daemon that did not run when the order came may have spent its part in its
    previous life, and one whose registration has lapsed is not counted by the others.
    """
    daemons = max(rollout.daemons_seen, delegates.daemon_count(gateway))
    rollout.daemons_seen = daemons
    if not rollout.seen_live or not delegates.is_registered(gateway, now_ms):
        return 0
    if rollout.fixed_slack is not None:
        return rollout.fixed_slack
    return _divided_slack(gateway, daemons)


def fix_slack_part(
    gateway: gateway_state.Gateway, rollout: rollouts.Rollout, step: rollouts.Step
) -> None:
    """Divide the slack at the first step of an order that this daemon reads.

    Nothing is sent to the ordered version before. The parts stay as they are then: what
    a daemon that has left has spent is not given to the others again, and a daemon that
    registers later has no part.
    """
    if gateway.members and gateway.place.name not in gateway.members:
        rollout.fixed_slack = 0
        return
    daemons = max(delegates.daemon_count(gateway), step.daemons)
    rollout.daemons_seen = max(rollout.daemons_seen, daemons)
    rollout.fixed_slack = _divided_slack(gateway, daemons)


def _divided_slack(gateway: gateway_state.Gateway, daemons: int) -> int:
    """Return this daemon's part of the slack when so many daemons divide it.

    Whole requests are spread evenly over the sorted daemons: a part of 0.65 requests
    allows nothing until the daemon has had several requests, which takes half a minute
    where each of 77 daemons gets one every 8 s. The sum of all parts is the slack. A
    daemon that sees fewer daemons than the others does not know its position, and has
    the smallest part.
    """
    slack = gateway.limits.exposure_slack
    if len(gateway.members) != daemons or gateway.place.name not in gateway.members:
        return slack // daemons
    position = sum(name < gateway.place.name for name in gateway.members)
    return slack * (position + 1) // daemons - slack * position // daemons


def _is_open(rollout: rollouts.Rollout, now_ms: int) -> bool:
    """Return whether the ordered version may get requests at all."""
    step = rollout.current_step()
    if step is None:
        return False
    if step.phase is rollouts.Phase.COMPLETED:
        return True
    if step.phase is rollouts.Phase.REVERTED or rollout.distrusted:
        return False
    if step.phase is rollouts.Phase.MOVING:
        return True
    # Without news of its end, an order that was not judged good counts as reverted.
    return rollout.deadline_ms is None or now_ms < rollout.deadline_ms


def _target_may_get(
    gateway: gateway_state.Gateway,
    rollout: rollouts.Rollout,
    service: str,
    now_ms: int,
) -> bool:
    """Return whether the ordered version may get one more request of this daemon."""
    if not _is_open(rollout, now_ms):
        return False
    step = rollout.current_step()
    if step is None or step.phase is not rollouts.Phase.GROWING:
        return True
    slack = slack_part(gateway, rollout, now_ms)
    if rollout.sent + 1 > gateway.limits.exposure_share * rollout.requests + slack:
        return False
    if _is_full_load(rollout, step, now_ms):
        return True
    # Spread evenly over the daemons, and other ones first in each step, since those of
    # the step before have spent their part of the slack. Only the step's share is
    # rounded this way; the bound itself is not.
    phase = delegates.phase_of(gateway, service) + step.number / len(steps.STAGES)
    step_slack = STEP_SLACK * gateway.limits.exposure_slack / rollout.daemons_seen
    allowed = step.share * rollout.step_requests + step_slack
    return rollout.step_sent + phase % 1.0 < allowed


def _is_full_load(rollout: rollouts.Rollout, step: rollouts.Step, now_ms: int) -> bool:
    """Return whether the ordered version gets all that the bound allows."""
    full_at_ms = rollout.full_at_ms
    if full_at_ms is None or now_ms < full_at_ms:
        return False
    # No later step needs what the last one leaves, and daemons with few requests have
    # not spent it after the usual time.
    return step.number >= len(steps.STAGES) or now_ms < full_at_ms + FULL_LOAD_MS


def _has_leaf(
    gateway: gateway_state.Gateway,
    leaf: leaves.Leaf,
    is_wanted: Callable[[str], bool],
) -> bool:
    """Return whether the service has a leaf of a wanted version that does not leave.

    Without one, the other leaves are used again rather than none.
    """
    return any(
        is_wanted(other.entry.version)
        and other.leaving_since_ms is None
        and (other.backpressure is None or other.backpressure.leaving_since_ms is None)
        for other in gateway.directory.of_service(leaf.entry.service)
    )
