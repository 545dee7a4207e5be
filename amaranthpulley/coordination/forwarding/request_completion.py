"""Decides when a request is answered and with what."""

from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    crash_attribution,
    record_merge,
    tracing,
)
from amaranthpulley.coordination.forwarding.client_accounts import quota_tokens
from amaranthpulley.coordination.forwarding.overload import admission, fair_queue
from amaranthpulley.state import latency
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests

# A merged answer is sent this long before the objective ends: a fixed part for the
# network from and to the client, and a share for event loop delays, which grow with
# the number of parts.
OBJECTIVE_MARGIN_MS: Final = 7
OBJECTIVE_MARGIN_SHARE: Final = 0.08
# Statuses by which a client may assume that its request did not run. They are sent only
# when the daemon knows this; a leaf's own answer with one of them is not passed on.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})


def answer_if_due(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
) -> list[commands.Command]:
    """Answer a request if it is due, or else schedule the next wake-up."""
    if request.answered:
        return []
    if request.route.shards:
        answer = _merged_answer(gateway, request, now_ms)
    else:
        answer = _single_answer(gateway, request, now_ms)
    if answer:
        return answer
    due_ms = _next_due_ms(request, now_ms)
    if request.wake_ms == due_ms:
        return []
    request.wake_ms = due_ms
    return [commands.WakeAt(request.incoming.key, due_ms)]


def answer_by_ms(request: requests.ForwardedRequest) -> int:
    """Return when an answer must be sent to reach the client within the objective."""
    objective_ms = request.route.objective_ms
    margin_ms = OBJECTIVE_MARGIN_MS + OBJECTIVE_MARGIN_SHARE * objective_ms
    return request.arrived_ms + objective_ms - int(margin_ms)


def abandon(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> list[commands.Command]:
    """End a request whose client has disconnected."""
    request.answered = True
    return _finish(gateway, request, "client_left", 0, now_ms)


def end_unknown(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> list[commands.Command]:
    """End a request that leaves may have run, whose answer is lost."""
    return _refuse(gateway, request, commands.Refusal.OUTCOME_UNKNOWN, now_ms)


def is_not_run(request: requests.ForwardedRequest) -> bool:
    """Return whether no leaf has run a request or may still run it.

    Attempts that wait for their connection do not count, since they can be cancelled.
    """
    if request.ran_elsewhere or request.delegation is not None:
        return False
    return all(sum(call.runs.values()) == len(call.unsent) for call in request.calls)


def pass_delegated(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    answer: requests.LeafAnswer,
    missing: int | None,
    now_ms: int,
) -> list[commands.Command]:
    """Pass the answer of a delegate on.

    Parameters
    ----------
    missing : int or None
        Number of missing parts in a merged answer; None for any other answer.
    """
    request.answered = True
    passed = commands.PassAnswer(request.incoming.key, answer)
    outcome = "partial" if missing else "served"
    if missing is None:
        outcome = "delegate_failed"
    return [passed, *_finish(gateway, request, outcome, missing or 0, now_ms)]


def count_outcome(
    gateway: gateway_state.Gateway, incoming: requests.IncomingRequest, outcome: str
) -> None:
    """Count an ended request; those run for other daemons are counted apart."""
    name = "forward_requests_total"
    if incoming.origin is not None:
        name = "forward_delegated_requests_total"
    gateway.counters.add(name, outcome=outcome)


def _merged_answer(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
) -> list[commands.Command]:
    parts = [call.answer for call in request.calls if call.answer is not None]
    if request.delegation is not None and now_ms < request.give_up_ms:
        return []
    needed = request.route.minimum_coverage * len(request.calls)
    has_coverage = bool(parts) and len(parts) >= needed
    is_reachable = len(parts) + request.open_calls >= needed
    is_objective_due = now_ms >= answer_by_ms(request)
    if request.open_calls and is_reachable and not (has_coverage and is_objective_due):
        if now_ms < request.give_up_ms:
            return []
    if not has_coverage:
        is_timed_out = now_ms >= request.give_up_ms
        reason = (
            commands.Refusal.TIMED_OUT
            if is_timed_out
            else commands.Refusal.TOO_FEW_SHARDS
        )
        return _refuse(gateway, request, reason, now_ms)
    request.answered = True
    missing = len(request.calls) - len(parts)
    body = record_merge.greatest_records(
        (part.body for part in parts), request.route.top_records
    )
    signatures = tuple(part.signature for part in parts)
    merged = commands.SendMerged(request.incoming.key, signatures, missing, body)
    outcome = "partial" if missing else "served"
    return [merged, *_finish(gateway, request, outcome, missing, now_ms)]


def _single_answer(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
) -> list[commands.Command]:
    call = request.calls[0]
    if call.answer is not None:
        request.answered = True
        passed = commands.PassAnswer(request.incoming.key, call.answer)
        return [passed, *_finish(gateway, request, "served", 0, now_ms)]
    if request.open_calls and now_ms < request.give_up_ms:
        return []
    failure = call.failure
    if (
        failure is not None
        and failure.status not in NOT_RUN_STATUSES
        and not call.attempts
    ):
        request.answered = True
        passed = commands.PassAnswer(request.incoming.key, failure)
        return [passed, *_finish(gateway, request, "leaf_failed", 1, now_ms)]
    if call.runs and now_ms < request.give_up_ms:
        return _refuse(gateway, request, commands.Refusal.OUTCOME_UNKNOWN, now_ms)
    is_timed_out = now_ms >= request.give_up_ms
    reason = commands.Refusal.TIMED_OUT if is_timed_out else commands.Refusal.OVERLOADED
    return _refuse(gateway, request, reason, now_ms)


def _refuse(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    reason: commands.Refusal,
    now_ms: int,
) -> list[commands.Command]:
    request.answered = True
    not_run = is_not_run(request)
    cancelled = cancel_unsent(gateway, request) if not_run else []
    if not_run and reason is commands.Refusal.TIMED_OUT:
        reason = commands.Refusal.OVERLOADED
    key, route = request.incoming.key, request.route
    services = route.shards or [call.service for call in request.calls]
    service = services[0] if services else route.services[0].name
    room_ms = admission.expected_answer_ms(
        gateway, route, service, now_ms, fair_queue.account_of(request)
    )
    left_ms = request.give_up_ms - now_ms
    after_ms = admission.return_after_ms(route.priority, room_ms, left_ms, key)
    if not_run and crash_attribution.refuses(gateway, request.incoming):
        reason, after_ms = commands.Refusal.CRASHES_LEAVES, 0
    if not_run and request.withdrawn:
        reason, after_ms = _withdrawn_reason(request), 0
    refused = commands.Refuse(key, reason, not_run, after_ms)
    missing = sum(call.answer is None for call in request.calls)
    ended = _finish(gateway, request, reason.value, missing, now_ms)
    return [*cancelled, refused, *ended]


def _withdrawn_reason(request: requests.ForwardedRequest) -> commands.Refusal:
    """Return why a request whose key was withdrawn is refused.

    A delegate hands it back, since the daemon that accepted it decides.
    """
    if request.incoming.origin is not None:
        return commands.Refusal.OTHER_VERSION
    return commands.Refusal.UNAUTHORIZED


def cancel_unsent(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest
) -> list[commands.Command]:
    """Cancel the attempts that wait for their connections; nothing has been sent."""
    decided: list[commands.Command] = []
    for call in request.calls:
        for number in sorted(call.unsent):
            attempt = call.attempts.pop(number)
            call.uncount_run(attempt.leaf_id)
            call.sends -= 1
            gateway.attempts.pop(number, None)
            leaf = gateway.directory.get(attempt.leaf_id)
            if leaf is not None:
                leaf.overdue_at_ms.pop(number, None)
            decided.append(commands.CancelAttempt(number))
        call.unsent.clear()
    return decided


def _finish(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    outcome: str,
    missing: int,
    now_ms: int,
) -> list[commands.Command]:
    request.ended_ms = now_ms
    quota_tokens.give_back(gateway, request, now_ms)
    for call in request.calls:
        if call.waiting is not None:
            gateway.waiting.remove(call.service, call.waiting)
            call.waiting = None
        if call.answer is None:
            tracing.record_decision(request, now_ms, "unanswered", call.service, "")
    count_outcome(gateway, request.incoming, outcome)
    kind = "merged" if request.route.shards else "single"
    if request.incoming.origin is not None:
        kind = "delegated"
    histogram = gateway.latency_by_kind.setdefault(kind, latency.LatencyHistogram())
    histogram.observe(now_ms - request.arrived_ms)
    decided: list[commands.Command] = []
    if request.delegation is not None:
        gateway.delegations.pop(request.delegation.number, None)
        decided.append(commands.CancelAttempt(request.delegation.number))
    if not any(call.attempts for call in request.calls):
        gateway.requests.pop(request.incoming.key, None)
    decided += crash_attribution.handle_end(gateway, request, now_ms)
    decided += tracing.outcome_lines(gateway, request, outcome, missing, now_ms)
    return decided


def _next_due_ms(request: requests.ForwardedRequest, now_ms: int) -> int:
    due_ms = request.give_up_ms
    if request.delegation is not None:
        return min(due_ms, request.delegation.silent_at_ms)
    objective_ms = answer_by_ms(request)
    if request.route.shards and now_ms < objective_ms:
        due_ms = min(due_ms, objective_ms)
    for call in request.calls:
        if call.answer is not None or call.closed:
            continue
        for call_due_ms in (call.hedge_due_ms, call.retry_due_ms):
            if call_due_ms is not None and call_due_ms < due_ms:
                due_ms = call_due_ms
    return due_ms
