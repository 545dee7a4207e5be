"""Continues the requests that waited for a token of their account's quota."""

from amaranthpulley.coordination.forwarding import (
    commands,
    events,
    leaf_selection,
    request_arrival,
    request_completion,
)
from amaranthpulley.coordination.forwarding.client_accounts import (
    quota_asks,
    quota_claims,
    quota_tokens,
)
from amaranthpulley.state.forwarding import gateway as gateway_state


def handle_grant(
    gateway: gateway_state.Gateway,
    event: events.PeerMessageReceived,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Give the granted tokens to the requests that wait for them."""
    name = quota_asks.accept_grant(gateway, event.message, now_ms)
    if name is None:
        return []
    return _continue(gateway, name, now_ms, random)


def handle_wake(
    gateway: gateway_state.Gateway,
    request_key: int,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Ask the next owner for a waiting request, or refuse it."""
    name = gateway.quotas.waiting_for.get(request_key)
    return [] if name is None else _continue(gateway, name, now_ms, random)


def handle_client_left(
    gateway: gateway_state.Gateway, request_key: int, now_ms: int
) -> list[commands.Command]:
    """End a waiting request whose client has disconnected."""
    request = gateway.quotas.remove_waiting(request_key)
    if request is None:
        return []
    return request_completion.abandon(gateway, request, now_ms)


def tick(
    gateway: gateway_state.Gateway, now_ms: int, random: leaf_selection.RandomSource
) -> list[commands.Command]:
    """Do the periodic work: the claim, overdue answers, idle accounts."""
    decided = quota_claims.maintain_claim(gateway, now_ms)
    for name, table in list(gateway.quotas.accounts.items()):
        if table.asks or table.waiting:
            decided += _continue(gateway, name, now_ms, random)
    quota_tokens.forget_idle(gateway, now_ms)
    return decided


def _continue(
    gateway: gateway_state.Gateway,
    name: str,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    made = quota_tokens.progress(gateway, name, now_ms)
    decided = list(made.commands)
    for request in made.resumed:
        decided += request_arrival.resume(gateway, request, now_ms, random)
    for request in made.refused:
        decided += request_arrival.refuse_over_quota(
            gateway, request, made.retry_after_ms, now_ms
        )
    return decided
