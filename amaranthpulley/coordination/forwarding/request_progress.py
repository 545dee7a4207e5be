"""Handles the events of requests in progress: attempt ends, timers, disconnects."""

from typing import Final

from amaranthpulley.coordination.forwarding import (
    attempt_dispatch,
    commands,
    crash_attribution,
    delegation,
    events,
    leaf_demands,
    leaf_health,
    leaf_selection,
    record_merge,
    request_completion,
    slowness_reports,
    tracing,
)
from amaranthpulley.coordination.forwarding.client_accounts import quota_waits
from amaranthpulley.coordination.forwarding.overload import waiting
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import requests, routes

# An attempt whose request has ended is cancelled after this time. Most leaves answer
# sooner, and their connections can be reused.
LINGER_MS: Final = 350
# A leaf that has answered nothing for this time since its oldest attempt became overdue
# is suspected; the longest observed pauses take 300 ms.
SUSPECT_AFTER_MS: Final = 450
FIRST_SERVER_ERROR: Final = 500
# An answer after more than this share of the objective is added to the request's trace.
TRACED_ANSWER_SHARE: Final = 0.5


def handle_answer(
    gateway: gateway_state.Gateway,
    event: events.AttemptAnswered,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Accept a leaf's answer, or send the request again if it is not usable."""
    attempt = gateway.attempts.pop(event.attempt, None)
    if attempt is None:
        return []
    answer = event.answer
    demands = leaf_demands.apply_answer(gateway, attempt.start, answer, now_ms)
    request = gateway.requests.get(attempt.request_key)
    if request is None:
        return demands
    slowness = leaf_health.record_answer(
        gateway, attempt, request.route, answer, event.opened, now_ms
    )
    report = demands + slowness_reports.report_late_answer(
        gateway, attempt.leaf_id, slowness, now_ms, random
    )
    call = request.calls[attempt.shard]
    call.attempts.pop(attempt.number, None)
    call.unsent.discard(attempt.number)
    if _is_usable(request, answer):
        cleared = crash_attribution.handle_answer(gateway, request, now_ms)
        _trace_late_answer(request, call, attempt, now_ms)
        return [
            *report,
            *cleared,
            *_accept(gateway, request, call, answer, now_ms),
            *attempt_dispatch.send_held(gateway, request, now_ms, random),
            *waiting.send_next(gateway, call.service, now_ms, random),
        ]
    return [
        *report,
        *_handle_unusable(gateway, request, attempt, answer, now_ms, random),
        *waiting.send_next(gateway, call.service, now_ms, random),
    ]


def _handle_unusable(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    attempt: requests.Attempt,
    answer: requests.LeafAnswer,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send a request again after an answer that is no use to its client."""
    gateway.counters.add("forward_leaf_refusals_total", status=str(answer.status))
    decided: list[commands.Command] = []
    end = requests.AttemptEnd.REJECTED
    if not answer.not_run:
        end = requests.AttemptEnd.FAILED
        request.calls[attempt.shard].failure = answer
    elif answer.status == requests.WRONG_LEAF_STATUS:
        end = requests.AttemptEnd.WRONG_LEAF
        decided = leaf_health.remove_replaced(gateway, attempt.leaf_id)
    return decided + _retry_or_finish(gateway, request, attempt, end, now_ms, random)


def handle_opening(
    gateway: gateway_state.Gateway,
    event: events.AttemptOpening,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Record that an attempt waits for its connection."""
    call = _call_of(gateway, event.attempt)
    if call is not None:
        call.unsent.add(event.attempt)
    return []


def handle_sent(
    gateway: gateway_state.Gateway,
    event: events.AttemptSent,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Record that the leaf of an attempt may run it from now on."""
    call = _call_of(gateway, event.attempt)
    if call is not None:
        call.unsent.discard(event.attempt)
    return []


def _call_of(gateway: gateway_state.Gateway, number: int) -> requests.ShardCall | None:
    attempt = gateway.attempts.get(number)
    if attempt is None:
        return None
    request = gateway.requests.get(attempt.request_key)
    return None if request is None else request.calls[attempt.shard]


def handle_failure(
    gateway: gateway_state.Gateway,
    event: events.AttemptFailed,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send a request again after an attempt without an answer, or close its shard."""
    attempt = gateway.attempts.pop(event.attempt, None)
    if attempt is None:
        return []
    leaf_health.record_failure(gateway, attempt, event.end, now_ms)
    request = gateway.requests.get(attempt.request_key)
    if request is None:
        return []
    call = request.calls[attempt.shard]
    call.attempts.pop(attempt.number, None)
    call.unsent.discard(attempt.number)
    crash: list[commands.Command] = []
    if event.end is requests.AttemptEnd.LOST:
        crash = crash_attribution.handle_loss(gateway, request, attempt, now_ms)
    return [
        *crash,
        *tracing.oversized_lines(gateway, request, attempt, event.end, now_ms),
        *_retry_or_finish(gateway, request, attempt, event.end, now_ms, random),
        *waiting.send_next(gateway, call.service, now_ms, random),
    ]


def handle_wake(
    gateway: gateway_state.Gateway,
    event: events.WakeDue,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Send the retries and hedges of a request that are due, then its answer."""
    request = gateway.requests.get(event.request_key)
    if request is None:
        return quota_waits.handle_wake(gateway, event.request_key, now_ms, random)
    if request.answered:
        return []
    request.wake_ms = None
    decided: list[commands.Command] = []
    if now_ms < request.give_up_ms:
        decided += delegation.check_silence(gateway, request, now_ms, random)
        for shard, call in enumerate(request.calls):
            if call.answer is not None or call.closed:
                continue
            if call.retry_due_ms is not None and call.retry_due_ms <= now_ms:
                decided += waiting.send_next(gateway, call.service, now_ms, random)
                if call.retry_due_ms is None or call.answer is not None:
                    continue
                decided += attempt_dispatch.retry(
                    gateway, request, shard, now_ms, random
                )
            elif call.hedge_due_ms is not None and call.hedge_due_ms <= now_ms:
                decided += attempt_dispatch.hedge(
                    gateway, request, shard, now_ms, random
                )
    return decided + request_completion.answer_if_due(gateway, request, now_ms)


def handle_client_left(
    gateway: gateway_state.Gateway,
    event: events.ClientLeft,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """End a request whose client has disconnected; its attempts are cancelled later."""
    request = gateway.requests.get(event.request_key)
    if request is None:
        return quota_waits.handle_client_left(gateway, event.request_key, now_ms)
    if request.answered:
        return []
    return request_completion.abandon(gateway, request, now_ms)


def sweep_attempts(
    gateway: gateway_state.Gateway, now_ms: int
) -> list[commands.Command]:
    """Suspect unresponsive leaves and cancel the attempts of ended requests."""
    decided: list[commands.Command] = []
    for leaf in gateway.directory.all():
        overdue_at_ms = leaf.first_overdue_at_ms()
        if overdue_at_ms is None or leaf.suspected:
            continue
        silent_ms = now_ms - max(overdue_at_ms, leaf.last_response_ms)
        if silent_ms >= SUSPECT_AFTER_MS:
            leaf_health.suspect(leaf, now_ms)
            decided.append(tracing.leaf_line(leaf, "suspected", int(silent_ms)))
    for request in list(gateway.requests.values()):
        if request.answered:
            decided += _cancel_lingering(gateway, request, now_ms)
    return decided


def _is_usable(request: requests.ForwardedRequest, answer: requests.LeafAnswer) -> bool:
    if answer.not_run or answer.encoded:
        return False
    if request.route.shards:
        return 200 <= answer.status < 300 and bool(answer.signature)
    return answer.status < FIRST_SERVER_ERROR and answer.status not in (
        request_completion.NOT_RUN_STATUSES
    )


def _trace_late_answer(
    request: requests.ForwardedRequest,
    call: requests.ShardCall,
    attempt: requests.Attempt,
    now_ms: int,
) -> None:
    """Add an answer to the trace if it was late or came after another send."""
    passed_ms = now_ms - request.arrived_ms
    if call.sends > 1 or passed_ms > TRACED_ANSWER_SHARE * request.route.objective_ms:
        tracing.record_decision(
            request, now_ms, "answered", call.service, attempt.leaf_id
        )


def _accept(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    call: requests.ShardCall,
    answer: requests.LeafAnswer,
    now_ms: int,
) -> list[commands.Command]:
    if call.answer is None and not call.closed:
        call.answer = _without_surplus_records(request.route, answer)
        attempt_dispatch.stop_waiting(gateway, call)
        request.open_calls -= 1
    if request.answered:
        return _remove_if_idle(gateway, request)
    if request.open_calls and now_ms < request_completion.answer_by_ms(request):
        # Other parts are still open, and no timer is affected.
        return []
    return request_completion.answer_if_due(gateway, request, now_ms)


def _without_surplus_records(
    route: routes.Route, answer: requests.LeafAnswer
) -> requests.LeafAnswer:
    """Return a part without records that cannot be in the merged answer.

    The parts of a request are kept until the last one arrives.
    """
    if len(answer.body) <= route.top_records * record_merge.RECORD_BYTES:
        return answer
    if not route.shards:
        return answer
    body = record_merge.greatest_records((answer.body,), route.top_records)
    return answer._replace(body=body)


def _retry_or_finish(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    attempt: requests.Attempt,
    end: requests.AttemptEnd,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    call = request.calls[attempt.shard]
    tracing.record_decision(request, now_ms, end.value, call.service, attempt.leaf_id)
    gateway.counters.add("forward_failures_total", end=end.value)
    if end in requests.NOT_RUN:
        call.uncount_run(attempt.leaf_id)
        if end in requests.NOT_ARRIVED:
            call.sends -= 1
        if end in requests.BUSY:
            call.tried.discard(attempt.leaf_id)
    if request.answered:
        return _remove_if_idle(gateway, request)
    if call.answer is not None or call.closed:
        return []
    decided: list[commands.Command] = []
    if now_ms < request.give_up_ms:
        decided = attempt_dispatch.retry_after_failure(
            gateway, request, attempt.shard, now_ms, random
        )
    return decided + request_completion.answer_if_due(gateway, request, now_ms)


def _remove_if_idle(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest
) -> list[commands.Command]:
    if not any(call.attempts for call in request.calls):
        gateway.requests.pop(request.incoming.key, None)
    return []


def _cancel_lingering(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> list[commands.Command]:
    decided: list[commands.Command] = []
    if not request.route.idempotent and now_ms < request.give_up_ms:
        return decided
    if request.ended_ms is None or now_ms - request.ended_ms < LINGER_MS:
        return decided
    for call in request.calls:
        for number, attempt in list(call.attempts.items()):
            del call.attempts[number]
            gateway.attempts.pop(number, None)
            decided.append(commands.CancelAttempt(number))
            leaf = gateway.directory.get(attempt.leaf_id)
            if leaf is None:
                continue
            leaf.overdue_at_ms.pop(number, None)
            if leaf.last_response_ms < attempt.sent_ms and not leaf.suspected:
                leaf_health.suspect(leaf, now_ms)
                age_ms = now_ms - leaf.last_response_ms
                decided.append(tracing.leaf_line(leaf, "suspected", age_ms))
    gateway.requests.pop(request.incoming.key, None)
    return decided
