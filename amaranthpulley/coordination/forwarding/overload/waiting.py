"""Decides which waiting calls are sent when a service has room again.

Load pattern: a burst, or a service that lost leaves, so that for a while more requests
come than the leaves take. Each call then waits in the queue of its service. An answer
of the service, a leaf that is back, or the end of a leaf's hold lets the next ones
through: those of the most urgent ranks first. Of one rank the accounts share the room
(`fair_queue`), and of one account those that can still meet their objective go first,
and of these the oldest. A call that can no longer be answered in time leaves the queue
at once, so that its client learns it.
"""

from typing import Final

from amaranthpulley.coordination.forwarding import (
    attempt_dispatch,
    commands,
    connection_shares,
    crash_attribution,
    leaf_selection,
    request_completion,
    retry_budget,
    tracing,
)
from amaranthpulley.coordination.forwarding.client_accounts import quota_tokens
from amaranthpulley.coordination.forwarding.overload import fair_queue
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests, waiting

# Calls that are tried for one free place. Those behind them may be allowed on other
# leaves, but a long queue must not be walked for each answer.
MAXIMUM_TRIED: Final = 8


def send_next(
    gateway: gateway_state.Gateway,
    service: str,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send the waiting calls for which a service has room, in their order."""
    queued = gateway.waiting.of_service(service)
    if not queued:
        return []
    queued.sort(key=lambda call: _order(gateway, call, now_ms))
    queued = fair_queue.order(gateway.waiting.turns_of(service), queued)
    decided: list[commands.Command] = []
    failed = 0
    for call in queued:
        if failed >= MAXIMUM_TRIED:
            break
        sent = _try(gateway, service, call, now_ms, random)
        if sent is None:
            failed += 1
        else:
            decided += sent
    return decided


def send_before(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    new: requests.ShardCall,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send waiting calls if a new call would be sent before more urgent ones.

    Among calls of one rank a new one may go first: in a replay of a burst of gathered
    requests at six daemons, 0.53 were answered when it did not, and 0.58 when it did.
    """
    if not gateway.waiting.has_more_urgent(new.service, request.route.rank):
        return []
    route = request.route
    if leaf_selection.choose_leaf(gateway, new, route, now_ms, random) is None:
        return []
    return send_next(gateway, new.service, now_ms, random)


def check_due(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    shard: int,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send the waiting calls of a due call's service, if it has room.

    Otherwise only the due call is looked at: each call of a long queue is due many
    times a second, and the whole queue must not be put in order each time.
    """
    call = request.calls[shard]
    if call.waiting is None or _has_room(gateway, call.service, now_ms):
        return send_next(gateway, call.service, now_ms, random)
    return _try(gateway, call.service, call.waiting, now_ms, random) or []


def send_all(
    gateway: gateway_state.Gateway, now_ms: int, random: leaf_selection.RandomSource
) -> list[commands.Command]:
    """Send the waiting calls of all services that have room."""
    decided: list[commands.Command] = []
    for service in gateway.waiting.services:
        decided += send_next(gateway, service, now_ms, random)
    return decided


def _has_room(gateway: gateway_state.Gateway, service: str, now_ms: int) -> bool:
    return any(
        leaf.full_until_ms <= now_ms
        and leaf.in_flight < connection_shares.maximum_concurrency(gateway, leaf)
        for leaf in gateway.directory.of_service(service)
    )


def _order(
    gateway: gateway_state.Gateway, waiting_call: waiting.WaitingCall, now_ms: int
) -> tuple[waiting.Rank, bool, int]:
    request = gateway.requests.get(waiting_call.request_key)
    is_late = request is None or _is_late(gateway, request, now_ms)
    return waiting_call.rank, is_late, waiting_call.arrived_ms


def _is_late(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> bool:
    """Return whether an answer of the usual time would miss the objective."""
    if request.deferred:
        return True
    answered_ms = now_ms + gateway.latency_of(request.route).mean_ms
    return answered_ms > request_completion.answer_by_ms(request)


def _try(
    gateway: gateway_state.Gateway,
    service: str,
    waiting_call: waiting.WaitingCall,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command] | None:
    """Send a waiting call; None if it has to wait on."""
    request = gateway.requests.get(waiting_call.request_key)
    if request is None or request.answered:
        gateway.waiting.remove(service, waiting_call)
        return []
    call = request.calls[waiting_call.shard]
    fastest_ms = leaf_selection.fastest_answer_ms(gateway, request.route)
    is_refused = crash_attribution.refuses(gateway, request.incoming)
    if is_refused or now_ms + fastest_ms > request.give_up_ms:
        attempt_dispatch.stop_waiting(gateway, call)
        attempt_dispatch.close_if_idle(request, call)
        decision = "crashes_leaves" if is_refused else "too_late"
        tracing.record_decision(request, now_ms, decision, service, "")
        return request_completion.answer_if_due(gateway, request, now_ms)
    if crash_attribution.must_wait(gateway, request, call, now_ms):
        return None
    if not retry_budget.allows_send(gateway, call, now_ms):
        return None
    leaf = leaf_selection.choose_leaf(gateway, call, request.route, now_ms, random)
    if leaf is None:
        return None
    if not quota_tokens.may_send(gateway, request, now_ms):
        attempt_dispatch.stop_waiting(gateway, call)
        attempt_dispatch.close_if_idle(request, call)
        tracing.record_decision(request, now_ms, "over_quota", service, "")
        return request_completion.answer_if_due(gateway, request, now_ms)
    sent = attempt_dispatch.send(gateway, request, waiting_call.shard, leaf, now_ms)
    return [sent, *request_completion.answer_if_due(gateway, request, now_ms)]
