"""When a request gets its answer, and which one."""

from typing import Final

from amaranthpulley.coordination.forwarding import commands, record_merge, tracing
from amaranthpulley.state import latency
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests

# A merged answer leaves so long before the objective ends: the ways from and to the
# client, and the daemon's own wake-ups, which take longer where more is merged.
OBJECTIVE_MARGIN_MS: Final = 7
OBJECTIVE_MARGIN_SHARE: Final = 0.08
# Statuses that promise that a request has not run; only the daemon itself may say so.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# When a request that no leaf has run is likely to be served, in milliseconds.
RETRY_AFTER_MS: Final = 50


def answer_if_due(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
) -> list[commands.Command]:
    """Answer a request if its time has come, else ask to be woken for the next step."""
    if request.answered:
        return []
    if request.route.shards:
        answer = _merged(gateway, request, now_ms)
    else:
        answer = _single(gateway, request, now_ms)
    if answer:
        return answer
    due_ms = _next_due_ms(request, now_ms)
    if request.wake_ms == due_ms:
        return []
    request.wake_ms = due_ms
    return [commands.WakeAt(request.incoming.key, due_ms)]


def answer_by_ms(request: requests.ForwardedRequest) -> int:
    """Return when an answer must leave to be with the client within the objective."""
    objective_ms = request.route.objective_ms
    margin_ms = OBJECTIVE_MARGIN_MS + OBJECTIVE_MARGIN_SHARE * objective_ms
    return request.arrived_ms + objective_ms - int(margin_ms)


def abandon(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> list[commands.Command]:
    """End a request whose client has left."""
    request.answered = True
    return _end(gateway, request, "client_left", 0, now_ms)


def _merged(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
) -> list[commands.Command]:
    parts = [call.answer for call in request.calls if call.answer is not None]
    enough = bool(parts) and len(parts) >= request.route.minimum_coverage * len(
        request.calls
    )
    objective_over = now_ms >= answer_by_ms(request)
    if request.open_calls and not (enough and objective_over):
        if now_ms < request.give_up_ms:
            return []
    if not enough:
        over = now_ms >= request.give_up_ms
        reason = commands.Refusal.TIMED_OUT if over else commands.Refusal.TOO_FEW_SHARDS
        return _refuse(gateway, request, reason, now_ms)
    request.answered = True
    missing = len(request.calls) - len(parts)
    body = record_merge.greatest_records(
        (part.body for part in parts), request.route.top_records
    )
    signatures = tuple(part.signature for part in parts)
    merged = commands.SendMerged(request.incoming.key, signatures, missing, body)
    outcome = "partial" if missing else "served"
    return [merged, *_end(gateway, request, outcome, missing, now_ms)]


def _single(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
) -> list[commands.Command]:
    call = request.calls[0]
    if call.answer is not None:
        request.answered = True
        passed = commands.PassAnswer(request.incoming.key, call.answer)
        return [passed, *_end(gateway, request, "served", 0, now_ms)]
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
        return [passed, *_end(gateway, request, "leaf_failed", 1, now_ms)]
    if call.runs and now_ms < request.give_up_ms:
        return _refuse(gateway, request, commands.Refusal.OUTCOME_UNKNOWN, now_ms)
    over = now_ms >= request.give_up_ms
    reason = commands.Refusal.TIMED_OUT if over else commands.Refusal.OVERLOADED
    return _refuse(gateway, request, reason, now_ms)


def _refuse(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    reason: commands.Refusal,
    now_ms: int,
) -> list[commands.Command]:
    request.answered = True
    # A leaf that may have run the request, or may still, makes "not run" untrue.
    not_run = not any(call.runs for call in request.calls)
    if not_run and reason is commands.Refusal.TIMED_OUT:
        reason = commands.Refusal.OVERLOADED
    refused = commands.Refuse(request.incoming.key, reason, not_run, RETRY_AFTER_MS)
    missing = sum(call.answer is None for call in request.calls)
    return [refused, *_end(gateway, request, reason.value, missing, now_ms)]


def _end(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    outcome: str,
    missing: int,
    now_ms: int,
) -> list[commands.Command]:
    request.ended_ms = now_ms
    for call in request.calls:
        if call.answer is None:
            tracing.record_decision(request, now_ms, "unanswered", call.service, "")
    gateway.counters.add("forward_requests_total", outcome=outcome)
    kind = "merged" if request.route.shards else "single"
    histogram = gateway.latency_by_kind.setdefault(kind, latency.LatencyHistogram())
    histogram.observe(now_ms - request.arrived_ms)
    if not any(call.attempts for call in request.calls):
        gateway.requests.pop(request.incoming.key, None)
    return list(tracing.outcome_lines(gateway, request, outcome, missing, now_ms))


def _next_due_ms(request: requests.ForwardedRequest, now_ms: int) -> int:
    due_ms = request.give_up_ms
    objective_ms = answer_by_ms(request)
    if request.route.shards and now_ms < objective_ms:
        due_ms = min(due_ms, objective_ms)
    for call in request.calls:
        if call.answer is not None or call.closed:
            continue
        for wanted_ms in (call.hedge_due_ms, call.retry_due_ms):
            if wanted_ms is not None and wanted_ms < due_ms:
                due_ms = wanted_ms
    return due_ms
