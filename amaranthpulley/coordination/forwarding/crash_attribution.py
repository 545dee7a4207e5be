"""Refuses requests that crash the leaves that run them.

A request that comes again, at any daemon, has the fingerprints of the first: one with
its query and one without, since a repeat may have another query. A leaf that is lost
while it runs a request is a loss under them; each start of a leaf counts once. Losses
are published in the store, so that all daemons count the same ones, also after a
restart. After `CRASH_LIMIT` losses under one of its fingerprints, a request is refused
until the published losses lapse.

Leaves that are lost together, as in a power failure, take many requests with them that
are not the cause. So the losses of requests that were sent before a loss under them was
known count as one. Afterwards a request is sent on a new connection, which shows that
the leaf runs: a further loss then tells more than the first.

A request that any leaf answers does not crash leaves, so an answer withdraws its
losses. A sharded request has losses only if no shard has answered it: when many leaves
are lost at once, those of other shards still answer the requests that are not the
cause.
"""

import hashlib
from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    events,
    leaf_selection,
    tracing,
)
from amaranthpulley.state.forwarding import crashes, leaves, requests
from amaranthpulley.state.forwarding import gateway as gateway_state

# Losses after which a request is refused. Leaves also end by themselves, and a popular
# request may be running on one that does.
CRASH_LIMIT: Final = 3
# A loss lapses after this time at the latest, so that a request is tried again.
LIFETIME_MS: Final = 600_000
# Losses of a sharded request that are recorded before it has ended: with one of them,
# other shards usually answer soon.
SHARDED_LOSSES: Final = 2
# Bounds of the losses that a daemon publishes. When a failure domain fails, many leaves
# are lost at once, and the requests that they ran are not the cause.
PUBLICATIONS_PER_S: Final = 2.0
PUBLICATION_BURST: Final = 16.0
_DIGEST_BYTES: Final = 8


def refuses(gateway: gateway_state.Gateway, incoming: requests.IncomingRequest) -> bool:
    """Return whether a request has crashed too many leaves."""
    return _count(gateway, incoming) >= CRASH_LIMIT


def is_suspected(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest
) -> bool:
    """Return whether a leaf was lost under a request and none has answered it since."""
    return bool(request.lost_attempts) or _count(gateway, request.incoming) > 0


def handle_loss(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    attempt: requests.Attempt,
    now_ms: int,
) -> list[commands.Command]:
    """Record that the connection to a leaf was lost while it ran a request."""
    if any(call.answer is not None for call in request.calls):
        return []
    request.lost_attempts.append(attempt)
    needed = SHARDED_LOSSES if request.route.shards and not request.answered else 1
    if len(request.lost_attempts) < needed and not attempt.after_loss:
        return []
    return _record(gateway, request, now_ms)


def handle_answer(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    now_ms: int,
) -> list[commands.Command]:
    """Withdraw the losses under a request that a leaf has answered."""
    request.lost_attempts.clear()
    incoming = request.incoming
    losses = tuple(
        loss
        for fingerprint in incoming.fingerprints
        for loss in gateway.losses.clear(fingerprint)
    )
    if not losses:
        return []
    lines = tracing.cleared_lines(gateway, incoming, len(losses), now_ms)
    return [commands.WithdrawLosses(losses), *lines]


def handle_end(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> list[commands.Command]:
    """Record the losses of an ended request that no leaf has answered."""
    return _record(gateway, request, now_ms)


def handle_published(
    gateway: gateway_state.Gateway,
    event: events.LossPublished,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Count a loss that a daemon has published."""
    gateway.losses.add(event.loss)
    return []


def handle_withdrawn(
    gateway: gateway_state.Gateway,
    event: events.LossWithdrawn,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Forget a loss that was withdrawn or has lapsed."""
    gateway.losses.discard(event.loss)
    return []


def start_digest(start: leaves.LeafStart) -> int:
    """Return a hash of a leaf's start that is the same at every daemon."""
    text = "\n".join(str(field) for field in start)
    digest = hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest)


def _record(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> list[commands.Command]:
    attempts, request.lost_attempts = request.lost_attempts, []
    incoming = request.incoming
    decided: list[commands.Command] = []
    published: list[crashes.Loss] = []
    for attempt in attempts:
        losses = _add_losses(gateway, incoming, attempt, now_ms)
        if not losses:
            continue
        decided += tracing.lost_leaf_lines(
            gateway, incoming, attempt.leaf_id, _count(gateway, incoming), now_ms
        )
        if _takes_token(gateway, now_ms):
            published += losses
        else:
            gateway.counters.add("forward_losses_unpublished_total")
    if published:
        gateway.counters.add("forward_losses_published_total", len(published))
        decided.append(commands.PublishLosses(tuple(published)))
    return decided


def _add_losses(
    gateway: gateway_state.Gateway,
    incoming: requests.IncomingRequest,
    attempt: requests.Attempt,
    now_ms: int,
) -> list[crashes.Loss]:
    """Add the losses of an attempt that change the count; return them."""
    table, start = gateway.losses, start_digest(attempt.start)
    added: list[crashes.Loss] = []
    for fingerprint in incoming.fingerprints:
        count = table.count(fingerprint)
        counts = attempt.after_loss or not count
        if not counts or count >= CRASH_LIMIT or table.has(fingerprint, start):
            continue
        loss = crashes.Loss(fingerprint, start, attempt.after_loss)
        table.add(loss)
        table.end_at(loss, now_ms + LIFETIME_MS)
        added.append(loss)
    return added


def _count(gateway: gateway_state.Gateway, incoming: requests.IncomingRequest) -> int:
    return max(gateway.losses.count(found) for found in incoming.fingerprints)


def _takes_token(gateway: gateway_state.Gateway, now_ms: int) -> bool:
    tokens = gateway.publication_tokens
    if tokens.refill(PUBLICATIONS_PER_S, PUBLICATION_BURST, now_ms) < 1.0:
        return False
    tokens.take()
    return True
