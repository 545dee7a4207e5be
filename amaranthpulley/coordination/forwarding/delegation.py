"""Hands sharded requests over to delegates, and takes them back.

A delegate acknowledges a request at once and then sends signs of life until it answers.
When it does not acknowledge, the request goes to another delegate, and after that this
daemon sends it to the leaves itself. The silent delegate is avoided for a while; when
it reads the request at last, the connection is closed and it drops it.

A delegate that is lost after it may have acknowledged may have used up the leaves that
the route allows. The request then ends, and the client may send it again as a new one.

A delegate runs a request only with the version of the configuration by which the
request was routed, so that an answer is the same whoever runs it.
"""

from typing import Final

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import (
    commands,
    delegates,
    events,
    fan_out,
    leaf_selection,
    request_completion,
    tracing,
)
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import delegations, requests
from amaranthpulley.state.forwarding import gateway as gateway_state

# A delegate acknowledges in about 1 ms; a daemon whose processor share is used up waits
# for up to 100 ms.
ACKNOWLEDGEMENT_TIMEOUT_MS: Final = 30
# Three signs of life are missing.
SILENCE_TIMEOUT_MS: Final = 300
# Each silent delegate costs the request an acknowledgement's timeout.
MAXIMUM_TRIED_DELEGATES: Final = 2
# A daemon with more sharded requests of its own runs them: it uses its connections to
# the leaves before they become idle for long, and delegates would be overloaded.
DENSE_REQUESTS_PER_S: Final = 5.0
# Bounds of the doubling pause in which a silent delegate gets no requests.
FIRST_SUSPICION_MS: Final = 1_000
LONGEST_SUSPICION_MS: Final = 8_000


def hand_over(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> list[commands.Command]:
    """Send a request to a delegate; no command if this daemon must run it."""
    if not _may_be_delegated(gateway, request, now_ms):
        return []
    daemon = _next_delegate(gateway, request, now_ms)
    if daemon is None:
        return []
    number = gateway.next_attempt
    gateway.next_attempt += 1
    key = request.incoming.key
    gateway.delegations[number] = key
    request.delegation = delegations.Delegation(
        number, daemon, now_ms, now_ms + ACKNOWLEDGEMENT_TIMEOUT_MS
    )
    request.tried_delegates.add(daemon)
    tracing.record_decision(request, now_ms, "delegated", "", daemon)
    gateway.counters.add("forward_delegations_total")
    sent = commands.SendToDelegate(
        number,
        key,
        gateway.members[daemon].delegate_address,
        max(1, request.give_up_ms - now_ms),
        delegations.Origin(
            request.version, now_ms - request.arrived_ms, request.leaf_account or ""
        ),
        request.leaf_account is not None,
    )
    return [sent, *request_completion.answer_if_due(gateway, request, now_ms)]


def handle_sign_of_life(
    gateway: gateway_state.Gateway,
    event: events.DelegateHeard,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Record that a delegate received a request or is still working on it."""
    request = _request_of(gateway, event.delegation)
    if request is None or request.delegation is None:
        return []
    request.delegation = request.delegation._replace(
        heard_ms=now_ms, silent_at_ms=now_ms + SILENCE_TIMEOUT_MS, acknowledged=True
    )
    gateway.suspected_delegates.pop(request.delegation.daemon, None)
    return []


def handle_answer(
    gateway: gateway_state.Gateway,
    event: events.DelegateAnswered,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Pass a delegate's answer on, or continue without it if it has not run."""
    request = _request_of(gateway, event.delegation)
    if request is None or request.delegation is None:
        return []
    gateway.suspected_delegates.pop(request.delegation.daemon, None)
    if event.answer.status in request_completion.NOT_RUN_STATUSES:
        decided: list[commands.Command] = []
        if event.answer.demands.leaving:
            pause_ms = gateway.limits.grace_ms
            decided = _suspect(
                gateway, request.delegation, "draining", now_ms, pause_ms
            )
        _end_delegation(gateway, request, now_ms, "delegate_refused")
        return decided + _continue(gateway, request, now_ms, random)
    _end_delegation(gateway, request, now_ms, "delegate_answered")
    request.ran_elsewhere = True
    return request_completion.pass_delegated(
        gateway, request, event.answer, event.missing, now_ms
    )


def handle_failure(
    gateway: gateway_state.Gateway,
    event: events.DelegateFailed,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Continue without a delegate that was not reached, or end the request."""
    request = _request_of(gateway, event.delegation)
    if request is None or request.delegation is None:
        return []
    decided = _suspect(gateway, request.delegation, event.end.value, now_ms)
    _end_delegation(gateway, request, now_ms, event.end.value)
    if event.end not in requests.NOT_ARRIVED:
        request.ran_elsewhere = True
        return decided + request_completion.end_unknown(gateway, request, now_ms)
    return decided + _continue(gateway, request, now_ms, random)


def check_silence(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Continue without a delegate that did not acknowledge, or end the request."""
    delegation = request.delegation
    if delegation is None or now_ms < delegation.silent_at_ms:
        return []
    # Its acknowledgement may have been lost.
    request.ran_elsewhere = True
    decided = _suspect(gateway, delegation, "silent", now_ms)
    _end_delegation(gateway, request, now_ms, "delegate_silent")
    decided.insert(0, commands.CancelAttempt(delegation.number))
    if delegation.acknowledged:
        return decided + request_completion.end_unknown(gateway, request, now_ms)
    return decided + _continue(gateway, request, now_ms, random)


def refusal_of(
    gateway: gateway_state.Gateway, origin: delegations.Origin | None
) -> commands.Refusal | None:
    """Return why this daemon does not run another daemon's request, if it does not."""
    if origin is None:
        return None
    if gateway.draining_since_ms is not None:
        return commands.Refusal.DRAINING
    configuration = gateway.configuration
    if configuration is None or configuration.version != origin.version:
        return commands.Refusal.OTHER_VERSION
    return None


def _may_be_delegated(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> bool:
    route = request.route
    if not route.shards or not route.idempotent or request.incoming.origin is not None:
        return False
    if route.regions and gateway.place.region not in route.regions:
        return False
    if len(request.tried_delegates) >= MAXIMUM_TRIED_DELEGATES:
        return False
    window_s = gateway.limits.retry_window_ms / 1000
    recent, _ = gateway.own_searches.totals(now_ms)
    return recent <= DENSE_REQUESTS_PER_S * window_s


def _next_delegate(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> str | None:
    for daemon in delegates.own_delegates(gateway):
        suspicion = gateway.suspected_delegates.get(daemon)
        if daemon in request.tried_delegates:
            continue
        if suspicion is None or now_ms >= suspicion.until_ms:
            return daemon
    return None


def _request_of(
    gateway: gateway_state.Gateway, number: int
) -> requests.ForwardedRequest | None:
    key = gateway.delegations.get(number)
    return None if key is None else gateway.requests.get(key)


def _end_delegation(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
    decision: str,
) -> None:
    delegation = request.delegation
    if delegation is not None:
        gateway.delegations.pop(delegation.number, None)
        request.delegation = None
        tracing.record_decision(request, now_ms, decision, "", delegation.daemon)


def _continue(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    if request.withdrawn:
        return request_completion.end_unknown(gateway, request, now_ms)
    handed_over = hand_over(gateway, request, now_ms)
    if handed_over:
        return handed_over
    return fan_out.start(gateway, request, request.route.shards, now_ms, random)


def _suspect(
    gateway: gateway_state.Gateway,
    delegation: delegations.Delegation,
    reason: str,
    now_ms: int,
    pause_ms: int = FIRST_SUSPICION_MS,
) -> list[commands.Command]:
    daemon = delegation.daemon
    known = gateway.suspected_delegates.get(daemon)
    if known is not None:
        if now_ms < known.until_ms:
            return []
        pause_ms = min(LONGEST_SUSPICION_MS, 2 * known.pause_ms)
    gateway.suspected_delegates[daemon] = delegations.Suspicion(
        now_ms + pause_ms, pause_ms
    )
    gateway.counters.add("forward_delegates_suspected_total")
    return [
        common.log(
            log_events.DELEGATE_SUSPECTED,
            daemon=daemon,
            reason=reason,
            silent_ms=now_ms - delegation.heard_ms,
            pause_ms=pause_ms,
        )
    ]
