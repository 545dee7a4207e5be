"""Attempts to send a claimed order, to one target at a time."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.searches import routing
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import targets
from amaranthpulley.state.control import topology
from amaranthpulley.state.orders import orders

Random = Callable[[], float]
Commands = list[commands.Command]

LATE_RECEIPT_WINDOW_MS: Final = 5_000
MAXIMUM_ATTEMPTS: Final = 8
MINIMUM_BACKOFF_MS: Final = 20


class SendRetryDue(NamedTuple):
    """Purpose of the timer that tries the targets again after all of them refused."""

    claim_id: str


def send(
    daemon: daemon_state.Daemon, order: orders.Order, now_ms: int, random: Random
) -> Commands:
    """Send an order whose claim is held and that no target has run.

    Returns
    -------
    list of Command
        Empty when the order must be given up because no target accepts it.
    """
    if order.attempts_sent >= MAXIMUM_ATTEMPTS:
        return []
    target = routing.pick_less_busy(daemon, _candidates(daemon, order), random)
    if target is not None:
        return [_send_to(daemon, order, target, now_ms)]
    if not order.tried_targets:
        return []
    order.tried_targets.clear()
    longest_ms = MINIMUM_BACKOFF_MS << order.attempts_sent
    wait_ms = int(longest_ms * (0.5 + random() / 2))
    return [commands.SetTimer(SendRetryDue(order.claim_id), now_ms + wait_ms)]


def end_attempt(
    daemon: daemon_state.Daemon, attempt_id: str, load: targets.TargetLoad | None
) -> orders.Order | None:
    """Remove an attempt from the tables and return its order; None without one."""
    order = daemon.orders.end_attempt(attempt_id)
    if order is None:
        return None
    daemon.targets.of(order.target.name).in_flight -= 1
    if load is not None:
        daemon.targets.report(order.target.name, load)
    return order


def _candidates(
    daemon: daemon_state.Daemon, order: orders.Order
) -> list[topology.Target]:
    service = order.request.service
    return [
        target
        for shard in daemon.configuration.shards(service)
        for target in routing.candidates(
            daemon, service, shard, None, order.tried_targets
        )
    ]


def _send_to(
    daemon: daemon_state.Daemon,
    order: orders.Order,
    target: topology.Target,
    now_ms: int,
) -> commands.SendAttempt:
    request = order.request
    order.target = target
    order.tried_targets.add(target.name)
    attempt_id = daemon.next_id("attempt")
    daemon.orders.add_attempt(order, attempt_id)
    daemon.targets.of(target.name).in_flight += 1
    remaining_ms = order.deadline_ms - now_ms
    call = commands.OrderCall(request.idempotency_key, request.payload, remaining_ms)
    # A reply after the caller's deadline is recorded too, so that a repeat returns it.
    timeout_ms = remaining_ms + LATE_RECEIPT_WINDOW_MS
    return commands.SendAttempt(
        attempt_id, request.request_id, target, call, timeout_ms
    )
