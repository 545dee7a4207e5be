"""Sends attempts of a request's shards: first sends, retries and hedges."""

import math
from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    connection_warmup,
    crash_attribution,
    leaf_permits,
    leaf_selection,
    retry_budget,
    tracing,
)
from amaranthpulley.coordination.forwarding.client_accounts import quota_tokens
from amaranthpulley.coordination.forwarding.overload import fair_queue
from amaranthpulley.coordination.forwarding.rollouts import exposure
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, requests

# Delay before a hedge looks for a leaf again when all are busy.
BUSY_HEDGE_RETRY_MS: Final = 8
# A waiting call looks for a leaf after this time at the latest: other daemons free
# leaves without notice. Events of its own service wake it sooner.
LONGEST_WAIT_CHECK_MS: Final = 50
# A part that waits for another one is looked at after this time at the latest.
HELD_CHECK_MS: Final = 50
# A shard with so many leaves can bear the loss of one.
BEARABLE_LEAVES: Final = 2
# Delay before the retry budget is checked again after it was spent.
BUDGET_RETRY_MS: Final = 20
# Sends of one shard, rejected ones included. Services with more leaves are not tried
# in full.
MAXIMUM_SENDS: Final = 6
# Smallest time budget that is sent to a leaf.
MINIMUM_LEAF_BUDGET_MS: Final = 2


def send_to_best_leaf(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    shard: int,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send a shard's request to its best leaf, or wait for one that can take it."""
    call = request.calls[shard]
    leaf = leaf_selection.choose_leaf(gateway, call, request.route, now_ms, random)
    if leaf is None:
        leaf = leaf_selection.choose_for_repeat(gateway, call, request.route, now_ms)
    if leaf is None:
        _wait_or_close(gateway, request, shard, now_ms)
        return []
    return [send(gateway, request, shard, leaf, now_ms)]


def retry(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    shard: int,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send a shard's request again after a failed attempt, if the limits allow it."""
    call = request.calls[shard]
    call.retry_due_ms = None
    was_held, call.held = call.held, False
    if (
        not retry_budget.may_run_again(request, call)
        or call.sends >= MAXIMUM_SENDS
        or request.withdrawn
        or crash_attribution.refuses(gateway, request.incoming)
        or not quota_tokens.may_send(gateway, request, now_ms)
    ):
        stop_waiting(gateway, call)
        close_if_idle(request, call)
        return []
    if call.sends and now_ms > _latest_send_ms(gateway, request):
        # Not closed: the other parts may still be rejected before the deadline, so that
        # the request is known not to have run.
        stop_waiting(gateway, call)
        return []
    if crash_attribution.must_wait(gateway, request, call, now_ms):
        _hold(request, call, was_held, now_ms)
        return []
    if not retry_budget.allows_send(gateway, call, now_ms):
        # New requests and the sliding window give the budget back.
        call.retry_due_ms = now_ms + BUDGET_RETRY_MS
        tracing.record_decision(request, now_ms, "budget_spent", call.service, "")
        return []
    return send_to_best_leaf(gateway, request, shard, now_ms, random)


def retry_after_failure(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    shard: int,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send a shard's request again, or another shard's if parts go one at a time."""
    if not crash_attribution.goes_alone(gateway, request):
        return retry(gateway, request, shard, now_ms, random)
    call = request.calls[shard]
    _hold(request, call, call.held, now_ms)
    return send_held(gateway, request, now_ms, random)


def send_held(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send what waited for another part, as far as it may be sent now."""
    if not request.held or request.answered:
        return []
    request.held = False
    decided: list[commands.Command] = []
    for shard in by_leaves(gateway, request, now_ms):
        call = request.calls[shard]
        if call.answer is not None or call.closed:
            continue
        if call.held:
            decided += retry(gateway, request, shard, now_ms, random)
        elif call.hedge_held:
            call.hedge_held = False
            decided += hedge(gateway, request, shard, now_ms, random)
    return decided


def by_leaves(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> list[int]:
    """Return the shards of a request in the order in which they are sent one at a time.

    Those that can bear the loss of a leaf come first, and of these the one that is
    expected to be answered soonest.
    """
    ranks: list[tuple[bool, float, int]] = []
    for shard, call in enumerate(request.calls):
        sound = [
            leaf
            for leaf in gateway.directory.of_service(call.service)
            if leaf_selection.is_sound(leaf, now_ms)
        ]
        soonest_ms = min(
            (
                leaf_selection.expected_answer_ms(gateway, leaf, request.route, now_ms)
                for leaf in sound
            ),
            default=math.inf,
        )
        ranks.append((len(sound) < BEARABLE_LEAVES, soonest_ms, shard))
    return [shard for _, _, shard in sorted(ranks)]


def hedge(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    shard: int,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send a late shard's request to a second leaf, if one is likely to be faster."""
    call, route = request.calls[shard], request.route
    call.hedge_due_ms = None
    if (
        now_ms > _latest_send_ms(gateway, request)
        or request.withdrawn
        or crash_attribution.refuses(gateway, request.incoming)
    ):
        return []
    if crash_attribution.must_not_hedge(gateway, request, now_ms):
        request.held = call.hedge_held = True
        call.hedge_due_ms = now_ms + HELD_CHECK_MS
        return []
    if not route.idempotent or not retry_budget.may_use_another_leaf(request, call):
        return []
    if not retry_budget.allows_send(gateway, call, now_ms, retry_budget.HEDGE_SHARE):
        call.hedge_due_ms = now_ms + BUDGET_RETRY_MS
        tracing.record_decision(request, now_ms, "budget_spent", call.service, "")
        return []
    if gateway.waiting.of_service(call.service):
        # The room is for first sends.
        call.hedge_due_ms = now_ms + LONGEST_WAIT_CHECK_MS
        return []
    leaf = leaf_selection.choose_leaf(gateway, call, route, now_ms, random)
    delay_ms = BUSY_HEDGE_RETRY_MS
    if leaf is not None:
        rest_ms = leaf_selection.hedge_delay_ms(gateway, call, route, leaf, now_ms)
        delay_ms = max(delay_ms, math.ceil(rest_ms)) if rest_ms else 0
    if leaf is None or delay_ms:
        call.hedge_due_ms = now_ms + delay_ms
        return []
    gateway.counters.add("forward_hedges_total")
    return [send(gateway, request, shard, leaf, now_ms)]


def send(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    shard: int,
    leaf: leaves.Leaf,
    now_ms: int,
) -> commands.SendAttempt:
    """Record an attempt at a leaf and return the command that sends it."""
    call, route = request.calls[shard], request.route
    fair_queue.record_turn(gateway.waiting, call)
    stop_waiting(gateway, call)
    number = gateway.next_attempt
    gateway.next_attempt += 1
    leaf_id, key = leaf.entry.leaf_id, request.incoming.key
    after_loss = crash_attribution.is_suspected(gateway, request)
    attempt = requests.Attempt(number, key, shard, leaf.start, now_ms, after_loss)
    gateway.attempts[number] = attempt
    call.attempts[number] = attempt
    call.tried.add(leaf_id)
    scarcity = retry_budget.scarcity(gateway, call.service, now_ms)
    late_ms = leaf_selection.late_after_ms(gateway, leaf, route, scarcity, now_ms)
    leaf.overdue_at_ms[number] = now_ms + late_ms
    keep = connection_warmup.may_keep_connection(gateway, leaf, now_ms)
    if keep:
        leaf.connection_used_ms = now_ms
    leaf_permits.record_send(gateway, leaf, now_ms)
    exposure.record_send(gateway, leaf, number, now_ms)
    if call.sends:
        gateway.window_of(call.service).add_repeat(now_ms)
    call.sends += 1
    call.count_run(leaf_id)
    if call.hedge_due_ms is None and len(call.runs) < route.maximum_leaves:
        call.hedge_due_ms = now_ms + int(late_ms)
    tracing.record_decision(request, now_ms, "sent", call.service, leaf_id)
    budget_ms = max(MINIMUM_LEAF_BUDGET_MS, request.give_up_ms - now_ms)
    reuse = _reuse_of(request, after_loss)
    address, account = leaf.entry.address, request.leaf_account
    return commands.SendAttempt(
        number, key, leaf_id, address, budget_ms, reuse, keep, account
    )


def _reuse_of(request: requests.ForwardedRequest, after_loss: bool) -> commands.Reuse:
    if after_loss:
        return commands.Reuse.NONE
    return commands.Reuse.ANY if request.route.idempotent else commands.Reuse.RECENT


def stop_waiting(gateway: gateway_state.Gateway, call: requests.ShardCall) -> None:
    """Remove a call from the queue of its service, if it waits there."""
    if call.waiting is not None:
        gateway.waiting.remove(call.service, call.waiting)
        call.waiting = call.retry_due_ms = None


def _hold(
    request: requests.ForwardedRequest,
    call: requests.ShardCall,
    was_held: bool,
    now_ms: int,
) -> None:
    if not was_held:
        tracing.record_decision(request, now_ms, "held", call.service, "")
    request.held = call.held = True
    call.retry_due_ms = now_ms + HELD_CHECK_MS


def _wait_or_close(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    shard: int,
    now_ms: int,
) -> None:
    call, route = request.calls[shard], request.route
    holds = [
        leaf_permits.hold_of(gateway, leaf, route, now_ms)
        for leaf in gateway.directory.of_service(call.service)
        if leaf_selection.may_send_to(call, route, leaf.entry.leaf_id)
    ]
    reasons = sorted({hold.reason.value for hold in holds if hold is not None})
    for reason in reasons:
        gateway.counters.add("forward_leaf_holds_total", reason=reason)
    detail = ",".join(reasons)
    latest_ms = _latest_send_ms(gateway, request)
    if not any(
        hold is None or leaf_permits.may_end_by(hold, latest_ms) for hold in holds
    ):
        tracing.record_decision(request, now_ms, "no_leaf", call.service, detail)
        stop_waiting(gateway, call)
        close_if_idle(request, call)
        return
    due_ms = [now_ms + LONGEST_WAIT_CHECK_MS, latest_ms + 1]
    due_ms += [hold.until_ms or 0 for hold in holds if hold is not None]
    call.retry_due_ms = min([at_ms for at_ms in due_ms if at_ms > now_ms])
    if call.waiting is None:
        call.waiting = fair_queue.entry_of(request, shard)
        gateway.waiting.add(call.service, call.waiting)
        tracing.record_decision(request, now_ms, "leaves_busy", call.service, detail)


def _latest_send_ms(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest
) -> int:
    """Return the last time at which a send can still be answered.

    A request that was rejected and is sent again later than this ends as one that may
    have run: 504 in place of 503, which clients may repeat.
    """
    fastest_ms = leaf_selection.fastest_answer_ms(gateway, request.route)
    return request.give_up_ms - int(fastest_ms)


def close_if_idle(request: requests.ForwardedRequest, call: requests.ShardCall) -> None:
    """Give a call up unless an attempt is running or has answered."""
    if not call.attempts and call.answer is None and not call.closed:
        call.closed = True
        request.open_calls -= 1
