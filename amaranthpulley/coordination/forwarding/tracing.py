"""Traces the decisions about a request and logs them if its outcome is unusual."""

import collections
from typing import Final

from amaranthpulley.coordination import commands
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, requests

# Budget for log lines about requests. 100 lines are about 20 KB, a small load for a log
# collector.
LINES_PER_SECOND: Final = 100.0
# Further decisions of a request are dropped.
MAXIMUM_DECISIONS: Final = 120
# One in this many successful requests is logged as well.
SAMPLING_INTERVAL: Final = 200
# Lines of the budget reserved for refused and failed requests, so that requests served
# late or with missing shards cannot use it up.
RESERVED_LINES: Final = 100


def record_decision(
    request: requests.ForwardedRequest,
    now_ms: int,
    decision: str,
    service: str,
    detail: str,
) -> None:
    """Append a decision to the trace of a request."""
    if len(request.trace) < MAXIMUM_DECISIONS:
        traced = requests.TracedDecision(now_ms, decision, service, detail)
        request.trace.append(traced)


def outcome_lines(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    outcome: str,
    missing: int,
    now_ms: int,
) -> list[commands.Log]:
    """Return the log lines of an ended request, if they fit into the budget.

    Either all lines of a request are logged or none, so that its decisions are never
    incomplete. Requests served in time are sampled; others are logged while the budget
    lasts. Of several shards, those with a single decision are left out.
    """
    elapsed_ms = now_ms - request.arrived_ms
    is_timely = outcome == "served" and elapsed_ms <= request.route.objective_ms
    if is_timely and request.incoming.key % SAMPLING_INTERVAL:
        return []
    decisions = _relevant_decisions(request)
    reserved = RESERVED_LINES if outcome in ("served", "partial") else 0
    if not _spend_lines(gateway, len(decisions) + 1, reserved, now_ms):
        return []
    configuration = gateway.configuration
    version = configuration.version if configuration is not None else 0
    account = request.account
    named = {} if account is None else {"account": account.name}
    lines = [_decision_line(request, *decision) for decision in decisions]
    lines.append(
        commands.log(
            log_events.FORWARD_ENDED,
            request_id=request.incoming.request_id,
            route=request.route.name,
            outcome=outcome,
            elapsed_ms=elapsed_ms,
            missing=missing,
            version=version,
            **named,
        )
    )
    return lines


def refusal_lines(
    gateway: gateway_state.Gateway,
    incoming: requests.IncomingRequest,
    reason: str,
    now_ms: int,
    reserved: int = 0,
) -> list[commands.Log]:
    """Return the log line of a request that was refused on arrival.

    Parameters
    ----------
    reserved : int
        Lines of the budget that it must leave to other requests.
    """
    if not _spend_lines(gateway, 1, reserved, now_ms):
        return []
    configuration = gateway.configuration
    return [
        commands.log(
            log_events.FORWARD_REFUSED,
            request_id=incoming.request_id,
            host=incoming.host,
            reason=reason,
            fingerprint=fingerprint_text(incoming),
            version=configuration.version if configuration is not None else 0,
        )
    ]


def lost_leaf_lines(
    gateway: gateway_state.Gateway,
    incoming: requests.IncomingRequest,
    leaf_id: str,
    lost: int,
    now_ms: int,
) -> list[commands.Log]:
    """Return the log line of a leaf that was lost while it ran a request.

    Parameters
    ----------
    lost : int
        Number of leaves that were lost under such requests.
    """
    if not _spend_lines(gateway, 1, 0, now_ms):
        return []
    return [
        commands.log(
            log_events.REQUEST_LOST_LEAF,
            request_id=incoming.request_id,
            fingerprint=fingerprint_text(incoming),
            target=leaf_id,
            leaves=lost,
        )
    ]


def cleared_lines(
    gateway: gateway_state.Gateway,
    incoming: requests.IncomingRequest,
    lost: int,
    now_ms: int,
) -> list[commands.Log]:
    """Return the log line of an answered request under which leaves had been lost."""
    if not lost or not _spend_lines(gateway, 1, 0, now_ms):
        return []
    return [
        commands.log(
            log_events.REQUEST_CLEARED,
            request_id=incoming.request_id,
            fingerprint=fingerprint_text(incoming),
            leaves=lost,
        )
    ]


def fingerprint_text(incoming: requests.IncomingRequest) -> str:
    """Return the fingerprint of a request, without its query, for log lines."""
    return f"{incoming.fingerprints[-1]:016x}"


def oversized_lines(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    attempt: requests.Attempt,
    end: requests.AttemptEnd,
    now_ms: int,
) -> list[commands.Log]:
    """Return the log line of an attempt whose answer exceeded the limits, if it did."""
    if end is not requests.AttemptEnd.OVERSIZED:
        return []
    if not _spend_lines(gateway, 1, 0, now_ms):
        return []
    return [
        commands.log(
            log_events.LEAF_ANSWER_OVERSIZED,
            request_id=request.incoming.request_id,
            target=attempt.leaf_id,
            service=request.calls[attempt.shard].service,
            after_ms=now_ms - attempt.sent_ms,
        )
    ]


def leaf_line(leaf: leaves.Leaf, standing: str, age_ms: int) -> commands.Log:
    """Return the log line of a change in a leaf's state.

    Parameters
    ----------
    standing : str
        The new state.
    age_ms : int
        Age of the observation behind the change, in milliseconds.
    """
    return commands.log(
        log_events.LEAF_STANDING_CHANGED,
        target=leaf.entry.leaf_id,
        service=leaf.entry.service,
        failure_domain=leaf.entry.failure_domain,
        standing=standing,
        age_ms=age_ms,
    )


def _decision_line(
    request: requests.ForwardedRequest,
    at_ms: int,
    decision: str,
    service: str,
    detail: str,
) -> commands.Log:
    return commands.log(
        log_events.FORWARD_DECIDED,
        request_id=request.incoming.request_id,
        after_ms=at_ms - request.arrived_ms,
        decision=decision,
        service=service,
        detail=detail,
    )


def _relevant_decisions(
    request: requests.ForwardedRequest,
) -> list[requests.TracedDecision]:
    if not request.route.shards:
        return request.trace
    counts = collections.Counter(decision.service for decision in request.trace)
    return [decision for decision in request.trace if counts[decision.service] > 1]


def _spend_lines(
    gateway: gateway_state.Gateway, lines: int, reserved: int, now_ms: int
) -> bool:
    elapsed_s = (now_ms - gateway.log_refilled_ms) / 1000
    tokens = gateway.log_tokens + elapsed_s * LINES_PER_SECOND
    gateway.log_tokens = min(gateway_state.LOG_BURST, tokens)
    gateway.log_refilled_ms = now_ms
    if gateway.log_tokens < lines + reserved:
        gateway.logs_dropped += lines
        gateway.counters.add("log_lines_dropped_total", lines)
        return False
    gateway.log_tokens -= lines
    return True
