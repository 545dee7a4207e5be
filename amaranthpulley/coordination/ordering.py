"""Orders: claimed in the store before they are sent, and sent once.

An order's claim is written by compare-and-swap with the expectation that its key does
not exist. Whoever finds a claim of another repeats its outcome and sends nothing.
"""

import hashlib
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import (
    admission,
    answering,
    commands,
    events,
    routing,
    stored_values,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import orders, requests, store, topology

Random = Callable[[], float]
Commands = list[commands.Command]

CLAIM_PREFIX: Final = "orders/"


class ClaimWritten(NamedTuple):
    """Purpose of the store call that claims an order."""

    request_id: str


class ClaimRead(NamedTuple):
    """Purpose of the store call that reads a claim back."""

    request_id: str


class OutcomeWritten(NamedTuple):
    """Purpose of the store call that records an order's outcome."""

    request_id: str


class OrderDeadline(NamedTuple):
    """Purpose of the timer that ends an order."""

    request_id: str


def fingerprint_of(request: requests.OrderRequest) -> str:
    """Return a digest that is equal for equal orders."""
    text = f"{request.service}\n{request.customer}\n{request.payload}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def claim_key(request: requests.OrderRequest) -> str:
    """Return the store key of an order's claim."""
    text = f"{request.customer}\n{request.idempotency_key}"
    digest = hashlib.blake2b(text.encode(), digest_size=16).hexdigest()
    return f"{CLAIM_PREFIX}{digest}"


def receive(
    daemon: daemon_state.Daemon,
    event: events.OrderReceived,
    now_ms: int,
    random: Random,
) -> Commands:
    """Claim an order or refuse it."""
    request = event.request
    verdict = admission.admit(daemon, request, topology.ServiceKind.ORDER, now_ms)
    if isinstance(verdict, requests.Refusal):
        return answering.answer(daemon, request, verdict, elapsed_ms=0)
    claim = orders.Claim(
        daemon.next_id("claim"), fingerprint_of(request), orders.ClaimStatus.CLAIMED
    )
    order = orders.Order(request, verdict.service, now_ms, verdict.deadline_ms, claim)
    daemon.orders.add(order)
    swap = store.Swap(claim_key(request), 0, stored_values.encode_claim(claim))
    return [
        commands.SetTimer(OrderDeadline(request.request_id), verdict.deadline_ms),
        _call(daemon, ClaimWritten(request.request_id), swap),
    ]


def take_claim_result(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Send the order once its claim is known to be written."""
    order = daemon.orders.get(event.purpose.request_id)
    if order is None:
        return []
    result = event.result
    if isinstance(result, store.Swapped) and result.succeeded:
        order.claim_revision = result.revision
        return _send(daemon, order, now_ms, random)
    if isinstance(result, store.StoreFailed) and not result.unknown:
        return _refuse_without_store(daemon, order, now_ms)
    read = store.Get(event.operation.key)
    return [_call(daemon, ClaimRead(order.request.request_id), read)]


def take_read_claim(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Resolve whose claim stands, and act on it."""
    order = daemon.orders.get(event.purpose.request_id)
    if order is None:
        return []
    result = event.result
    if isinstance(result, store.StoreFailed) or result.value is None:
        return _refuse_without_store(daemon, order, now_ms)
    stored = stored_values.decode_claim(result.value)
    if stored.claim_id == order.claim.claim_id:
        order.claim_revision = result.revision
        return _send(daemon, order, now_ms, random)
    return _end(daemon, order, _outcome_of_foreign(order, stored), now_ms)


def take_receipt(
    daemon: daemon_state.Daemon,
    event: events.AttemptAnswered,
    now_ms: int,
    random: Random,
) -> Commands:
    """Record the outcome of an order that ran, and answer the caller."""
    order = daemon.orders.end_attempt(event.attempt_id)
    if order is None:
        return []
    result = event.answer.result
    done = order.claim._replace(status=orders.ClaimStatus.DONE, result=result)
    outcome = requests.OrderDone(result, repeated=False)
    return [
        _record(daemon, order, done),
        *_end(daemon, order, outcome, now_ms),
    ]


def take_failure(
    daemon: daemon_state.Daemon,
    event: events.AttemptFailed,
    now_ms: int,
    random: Random,
) -> Commands:
    """Send elsewhere if the order certainly did not run; else say that it may have."""
    order = daemon.orders.end_attempt(event.attempt_id)
    if order is None:
        return []
    if event.failure.not_run:
        return _send(daemon, order, now_ms, random)
    return _end(daemon, order, _unknown(), now_ms)


def end_at_deadline(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Answer a caller whose order has not come to its end in time."""
    order = daemon.orders.get(event.purpose.request_id)
    if order is None:
        return []
    if order.attempts_sent == 0:
        return _refuse_without_store(daemon, order, now_ms)
    return _end(daemon, order, _unknown(), now_ms)


def ignore_reply(
    daemon: daemon_state.Daemon,
    event: events.StoreReplied,
    now_ms: int,
    random: Random,
) -> Commands:
    """Do nothing about a reply that nobody waits for."""
    return []


def _send(
    daemon: daemon_state.Daemon, order: orders.Order, now_ms: int, random: Random
) -> Commands:
    request = order.request
    tried = () if order.target is None else (order.target.name,)
    replicas = [
        target
        for shard in daemon.configuration.shards(request.service)
        for target in routing.candidates(daemon, request.service, shard, None, tried)
    ]
    target = routing.choose(daemon, replicas, random)
    if target is None or now_ms >= order.deadline_ms:
        not_run = order.claim._replace(status=orders.ClaimStatus.NOT_RUN)
        refusal = requests.Refusal(
            requests.RefusalCode.NO_TARGET, "no target takes orders now", not_run=True
        )
        return [
            _record(daemon, order, not_run),
            *_end(daemon, order, refusal, now_ms),
        ]
    order.target = target
    attempt_id = daemon.next_id("attempt")
    daemon.orders.add_attempt(order, attempt_id)
    call = commands.OrderCall(request.idempotency_key, request.payload)
    timeout_ms = order.deadline_ms - now_ms
    return [
        commands.SendAttempt(attempt_id, request.request_id, target, call, timeout_ms)
    ]


def _outcome_of_foreign(order: orders.Order, stored: orders.Claim) -> requests.Outcome:
    if stored.fingerprint != order.claim.fingerprint:
        return requests.Refusal(
            requests.RefusalCode.KEY_REUSED,
            "another order used this idempotency key; choose a new key",
            not_run=True,
        )
    if stored.status is orders.ClaimStatus.DONE:
        return requests.OrderDone(stored.result, repeated=True)
    return _unknown()


def _unknown() -> requests.OrderUnknown:
    return requests.OrderUnknown(
        "the order was sent and its outcome is not known; repeat it with the same "
        "idempotency key to learn it"
    )


def _refuse_without_store(
    daemon: daemon_state.Daemon, order: orders.Order, now_ms: int
) -> Commands:
    refusal = requests.Refusal(
        requests.RefusalCode.STORE_UNAVAILABLE,
        "orders cannot be claimed at the moment; repeat with the same key",
        not_run=True,
    )
    return _end(daemon, order, refusal, now_ms)


def _record(
    daemon: daemon_state.Daemon, order: orders.Order, claim: orders.Claim
) -> commands.CallStore:
    value = stored_values.encode_claim(claim)
    swap = store.Swap(claim_key(order.request), order.claim_revision, value)
    return _call(daemon, OutcomeWritten(order.request.request_id), swap)


def _end(
    daemon: daemon_state.Daemon,
    order: orders.Order,
    outcome: requests.Outcome,
    now_ms: int,
) -> Commands:
    daemon.orders.remove(order)
    elapsed_ms = now_ms - order.started_ms
    return answering.answer(
        daemon, order.request, outcome, elapsed_ms, order.attempts_sent
    )


def _call(
    daemon: daemon_state.Daemon, purpose: tuple, operation: store.Operation
) -> commands.CallStore:
    return commands.CallStore(purpose, operation, daemon.limits.store_timeout_ms)


HANDLERS: Final = {
    events.OrderReceived: receive,
    events.AttemptAnswered: take_receipt,
    events.AttemptFailed: take_failure,
    ClaimWritten: take_claim_result,
    ClaimRead: take_read_claim,
    OutcomeWritten: ignore_reply,
    OrderDeadline: end_at_deadline,
}
