"""The lifecycle of orders, which are claimed before they are sent and run at most once.

A daemon sends an order only when its claim is known to be in the store. It sends the
order to another target only when the previous target has certainly not run it. An order
that was never sent, or that every target refused, is given up: the caller gets a "not
run" refusal, and the claim is released so that a repeat may run. After an attempt
without a reply the outcome is unknown and the claim stays, so that a repeat does not
run the order.

"Not run" refers only to the request that is answered; an earlier request with the same
key may have run. A repeat with the same key reports whether it did for as long as
`Limits.order_retention_ms`; after that a repeat counts as a new order.
"""

import hashlib
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import admission, commands, events, responses
from amaranthpulley.coordination.accounts import request_journal
from amaranthpulley.coordination.orders import (
    claim_commit,
    claim_submission,
    order_attempts,
    order_outcomes,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, requests
from amaranthpulley.state.control import topology
from amaranthpulley.state.orders import claims, orders

Random = Callable[[], float]
Commands = list[commands.Command]

OUTCOME_RECORD_TIMEOUT_MS: Final = 400
MINIMUM_CLAIM_BACKOFF_MS: Final = 40
MAXIMUM_CLAIM_BACKOFF_MS: Final = 320

_Kind = claims.VerdictKind
_Phase = orders.OrderPhase
_Status = claims.ClaimStatus


class OrderDeadline(NamedTuple):
    """Purpose of the timer that answers an order at its deadline."""

    claim_id: str


class OutcomeDue(NamedTuple):
    """Purpose of the timer that answers an order whose outcome is not recorded yet."""

    claim_id: str


class ClaimRetryDue(NamedTuple):
    """Purpose of the timer that requests a claim again while another holder has it."""

    claim_id: str


def fingerprint_of(request: requests.OrderRequest) -> str:
    """Return a digest that is equal for equal orders."""
    text = f"{request.service}\n{request.customer}\n{request.payload}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def claim_key(request: requests.OrderRequest) -> str:
    """Return the key of an order's claim."""
    text = f"{request.customer}\n{request.idempotency_key}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def receive(
    daemon: daemon_state.Daemon,
    event: events.OrderReceived,
    now_ms: int,
    random: Random,
) -> Commands:
    """Admit an order and request its claim, or refuse it."""
    request = event.request
    verdict = admission.admit(daemon, request, topology.ServiceKind.ORDER, now_ms)
    if isinstance(verdict, requests.Refusal):
        return responses.answer(daemon, request, verdict, elapsed_ms=0)
    claim = claims.Operation(
        claim_key(request),
        daemon.next_id("claim"),
        fingerprint_of(request),
        _Status.CLAIMED,
        request_journal.build_record(daemon, request, None, daemon.wall_ms(now_ms), 0),
    )
    order = orders.Order(request, verdict.service, now_ms, verdict.deadline_ms, claim)
    daemon.orders.add(order)
    deadline = commands.SetTimer(OrderDeadline(order.claim_id), order.deadline_ms)
    return [deadline, *_request_claim(daemon, order, now_ms)]


def handle_peer_verdict(
    daemon: daemon_state.Daemon,
    event: events.PeerReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Handle the reply of the owner of a claim range."""
    reply = claim_submission.resolve_peer_reply(daemon, event, now_ms)
    if reply.verdict is not None:
        return _handle_verdict(daemon, reply.operation, reply.verdict, now_ms, random)
    order = daemon.orders.get(reply.operation.claim_id)
    if order is not None:
        order.claim_uncertain = True
    return reply.retry_commands


def handle_local_verdict(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Handle a verdict of this daemon as the owner of a claim range."""
    operation, verdict = event.purpose
    return _handle_verdict(daemon, operation, verdict, now_ms, random)


def retry_claim(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Request a claim again, in case its holder has finished."""
    order = daemon.orders.get(event.purpose.claim_id)
    if order is None or now_ms >= order.deadline_ms:
        return []
    return _request_claim(daemon, order, now_ms)


def handle_receipt(
    daemon: daemon_state.Daemon,
    event: events.AttemptAnswered,
    now_ms: int,
    random: Random,
) -> Commands:
    """Record the outcome of an order that ran, before answering the caller."""
    order = order_attempts.end_attempt(daemon, event.attempt_id, event.load)
    if order is None:
        return []
    result = event.answer.result
    order.phase = _Phase.SETTLING
    order.outcome = requests.OrderDone(result, repeated=False)
    recorded = _record(daemon, order, _Status.DONE, result, now_ms)
    if order.answered:
        daemon.orders.remove(order)
        return recorded
    due_ms = min(now_ms + OUTCOME_RECORD_TIMEOUT_MS, order.deadline_ms)
    return [*recorded, commands.SetTimer(OutcomeDue(order.claim_id), due_ms)]


def handle_failure(
    daemon: daemon_state.Daemon,
    event: events.AttemptFailed,
    now_ms: int,
    random: Random,
) -> Commands:
    """Try another target if the order was certainly not run; else end as unknown."""
    order = order_attempts.end_attempt(daemon, event.attempt_id, event.load)
    if order is None:
        return []
    if event.failure.not_run:
        return _send(daemon, order, now_ms, random)
    order.outcome = order_outcomes.unknown()
    return [
        commands.log(
            log_events.ORDER_OUTCOME_UNKNOWN,
            request_id=order.request.request_id,
            failure=event.failure.value,
        ),
        *_record(daemon, order, _Status.UNKNOWN, "", now_ms),
        *_end(daemon, order, order.outcome, now_ms),
    ]


def retry_send(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Try the targets again after all of them refused."""
    order = daemon.orders.get(event.purpose.claim_id)
    if order is None or order.phase is not _Phase.HELD or order.attempt_id:
        return []
    return _send(daemon, order, now_ms, random)


def answer_unrecorded(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Answer with an outcome that was not recorded in time."""
    order = daemon.orders.get(event.purpose.claim_id)
    return [] if order is None else _end(daemon, order, order.outcome, now_ms)


def end_at_deadline(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Answer the caller of an order that has not ended by its deadline."""
    order = daemon.orders.get(event.purpose.claim_id)
    if order is None or order.answered:
        return []
    if order.phase is _Phase.SETTLING:
        return _end(daemon, order, order.outcome, now_ms)
    if order.attempt_id is not None:
        # The order stays until its attempt ends: a late receipt is still recorded.
        return _answer(daemon, order, order_outcomes.unknown(), now_ms)
    if order.phase is _Phase.HELD:
        return _give_up(daemon, order, order_outcomes.no_target(), now_ms)
    if order.claim_retries:
        return _give_up(daemon, order, order_outcomes.unknown(), now_ms)
    return _give_up(daemon, order, order_outcomes.not_claimed(), now_ms)


def _request_claim(
    daemon: daemon_state.Daemon, order: orders.Order, now_ms: int
) -> Commands:
    order.claim_in_flight = True
    operation = order.claim._replace(wait_ms=order.deadline_ms - now_ms)
    return claim_submission.submit(daemon, operation, now_ms)


def _handle_verdict(
    daemon: daemon_state.Daemon,
    operation: claims.Operation,
    verdict: claims.Verdict,
    now_ms: int,
    random: Random,
) -> Commands:
    order = daemon.orders.get(operation.claim_id)
    if operation.status is not _Status.CLAIMED:
        decided = claim_submission.handle_record_verdict(
            daemon, operation, verdict, now_ms, random
        )
        recorded = daemon.orders.unrecorded(operation) is None
        if order is not None and order.phase is _Phase.SETTLING and recorded:
            return [*decided, *_end(daemon, order, order.outcome, now_ms)]
        return decided
    if order is None or order.phase is not _Phase.CLAIMING:
        return []
    order.claim_in_flight = False
    if verdict.kind is _Kind.GRANTED:
        order.phase = _Phase.HELD
        return _send(daemon, order, now_ms, random)
    if verdict.kind is _Kind.FOUND:
        return _handle_other_claim(daemon, order, verdict, now_ms, random)
    order.claim_uncertain = order.claim_uncertain or verdict.kind is _Kind.UNCERTAIN
    return _give_up(daemon, order, order_outcomes.not_claimed(), now_ms)


def _handle_other_claim(
    daemon: daemon_state.Daemon,
    order: orders.Order,
    found: claims.Verdict,
    now_ms: int,
    random: Random,
) -> Commands:
    if found.status is _Status.NOT_RUN:
        return _give_up(daemon, order, order_outcomes.not_claimed(), now_ms)
    if found.fingerprint != order.claim.fingerprint:
        return _give_up(daemon, order, order_outcomes.key_reused(), now_ms)
    if found.status is _Status.DONE:
        done = requests.OrderDone(found.result, repeated=True)
        return _give_up(daemon, order, done, now_ms)
    if found.status is _Status.UNKNOWN:
        return _give_up(daemon, order, order_outcomes.unknown(), now_ms)
    longest_ms = min(
        MINIMUM_CLAIM_BACKOFF_MS << order.claim_retries, MAXIMUM_CLAIM_BACKOFF_MS
    )
    order.claim_retries += 1
    wait_ms = int(longest_ms * (0.5 + random() / 2))
    return [commands.SetTimer(ClaimRetryDue(order.claim_id), now_ms + wait_ms)]


def _send(
    daemon: daemon_state.Daemon, order: orders.Order, now_ms: int, random: Random
) -> Commands:
    if now_ms >= order.deadline_ms:
        return _give_up(daemon, order, order_outcomes.deadline_passed(), now_ms)
    sent = order_attempts.send(daemon, order, now_ms, random)
    return sent or _give_up(daemon, order, order_outcomes.no_target(), now_ms)


def _give_up(
    daemon: daemon_state.Daemon,
    order: orders.Order,
    outcome: requests.Outcome,
    now_ms: int,
) -> Commands:
    """End an order that this daemon has not run and will never send again."""
    order.outcome = outcome
    released: Commands = []
    if order.phase is _Phase.HELD or order.may_be_claimed:
        given_up = commands.log(
            log_events.ORDER_GIVEN_UP, request_id=order.request.request_id
        )
        released = [given_up, *_record(daemon, order, _Status.NOT_RUN, "", now_ms)]
    return [*released, *_end(daemon, order, outcome, now_ms)]


def _record(
    daemon: daemon_state.Daemon,
    order: orders.Order,
    status: claims.ClaimStatus,
    result: str,
    now_ms: int,
) -> Commands:
    received_ms = order.claim.record.received_ms
    record = request_journal.build_record(
        daemon, order.request, order.outcome, received_ms, order.attempts_sent
    )
    claim = order.claim._replace(record=record)
    return claim_submission.record_outcome(daemon, claim, status, result, now_ms)


def _end(
    daemon: daemon_state.Daemon,
    order: orders.Order,
    outcome: requests.Outcome,
    now_ms: int,
) -> Commands:
    daemon.orders.remove(order)
    return [] if order.answered else _answer(daemon, order, outcome, now_ms)


def _answer(
    daemon: daemon_state.Daemon,
    order: orders.Order,
    outcome: requests.Outcome,
    now_ms: int,
) -> Commands:
    daemon.orders.mark_answered(order)
    elapsed_ms = now_ms - order.started_ms
    return responses.answer(
        daemon, order.request, outcome, elapsed_ms, order.attempts_sent
    )


HANDLERS: Final = {
    events.OrderReceived: receive,
    events.AttemptAnswered: handle_receipt,
    events.AttemptFailed: handle_failure,
    claim_submission.OperationSent: handle_peer_verdict,
    claim_commit.VerdictReady: handle_local_verdict,
    order_attempts.SendRetryDue: retry_send,
    ClaimRetryDue: retry_claim,
    OutcomeDue: answer_unrecorded,
    OrderDeadline: end_at_deadline,
}
