"""What was decided about a request, kept until it is known whether it went wrong."""

import collections
from typing import Final

from amaranthpulley.coordination import commands
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import leaves, requests

# Lines a second that requests may write: some 20 KB, a small part of a log's reader.
LINES_PER_SECOND: Final = 100.0
# Most decisions of one request that are kept.
MAXIMUM_DECISIONS: Final = 120
# One in so many requests that went well is written, too.
SAMPLING_INTERVAL: Final = 200
# Lines that are left to refused and failed requests when many are served late or with
# shards missing.
RESERVED_LINES: Final = 100


def record_decision(
    request: requests.ForwardedRequest,
    now_ms: int,
    decision: str,
    service: str,
    detail: str,
) -> None:
    """Keep a decision about a request."""
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

    All lines of a request are written or none, so that a reader never sees half of its
    decisions. Served requests are sampled; others are written while lines are left.
    Of many shards, those that were asked once and answered in time are left out.
    """
    elapsed_ms = now_ms - request.arrived_ms
    well = outcome == "served" and elapsed_ms <= request.route.objective_ms
    if well and request.incoming.key % SAMPLING_INTERVAL:
        return []
    decisions = _telling_decisions(request)
    reserved = RESERVED_LINES if outcome in ("served", "partial") else 0
    if not _take_lines(gateway, len(decisions) + 1, reserved, now_ms):
        return []
    configuration = gateway.configuration
    version = configuration.version if configuration is not None else 0
    lines = [_decision(request, *decision) for decision in decisions]
    lines.append(
        commands.log(
            log_events.FORWARD_ENDED,
            request_id=request.incoming.request_id,
            route=request.route.name,
            outcome=outcome,
            elapsed_ms=elapsed_ms,
            missing=missing,
            version=version,
        )
    )
    return lines


def refusal_lines(
    gateway: gateway_state.Gateway,
    incoming: requests.IncomingRequest,
    reason: str,
    now_ms: int,
) -> list[commands.Log]:
    """Return the log line of a request that was refused on its arrival."""
    if not _take_lines(gateway, 1, 0, now_ms):
        return []
    configuration = gateway.configuration
    return [
        commands.log(
            log_events.FORWARD_REFUSED,
            request_id=incoming.request_id,
            host=incoming.host,
            reason=reason,
            version=configuration.version if configuration is not None else 0,
        )
    ]


def leaf_line(leaf: leaves.Leaf, standing: str, age_ms: int) -> commands.Log:
    """Return the log line of a change in what is believed of a leaf.

    Parameters
    ----------
    standing : str
        What is believed now.
    age_ms : int
        Age of what decided it, in milliseconds.
    """
    return commands.log(
        log_events.LEAF_STANDING_CHANGED,
        target=leaf.entry.leaf_id,
        service=leaf.entry.service,
        failure_domain=leaf.entry.failure_domain,
        standing=standing,
        age_ms=age_ms,
    )


def _decision(
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


def _telling_decisions(
    request: requests.ForwardedRequest,
) -> list[requests.TracedDecision]:
    if not request.route.shards:
        return request.trace
    counts = collections.Counter(decision.service for decision in request.trace)
    return [decision for decision in request.trace if counts[decision.service] > 1]


def _take_lines(
    gateway: gateway_state.Gateway, lines: int, reserved: int, now_ms: int
) -> bool:
    passed_s = (now_ms - gateway.log_refilled_ms) / 1000
    tokens = gateway.log_tokens + passed_s * LINES_PER_SECOND
    gateway.log_tokens = min(gateway_state.LOG_BURST, tokens)
    gateway.log_refilled_ms = now_ms
    if gateway.log_tokens < lines + reserved:
        gateway.logs_dropped += lines
        gateway.counters.add("log_lines_dropped_total", lines)
        return False
    gateway.log_tokens -= lines
    return True
