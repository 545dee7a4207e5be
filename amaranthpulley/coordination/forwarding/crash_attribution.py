"""Refuses requests that crash the leaves that run them.

A request that comes again, at any daemon, has the fingerprints of the first: one with
its query and one without, since a repeat may have another query. A leaf that is lost
while it runs a request is a loss under them; each start of a leaf counts once. Losses
are published in the store, so that all daemons count the same ones, also after a
restart. After `CRASH_LIMIT` losses under one of its fingerprints, or the
`SHARDED_CRASH_LIMIT` of a sharded request, a request is refused until the
published losses lapse, but for a few trials.

Leaves that are lost together, as in a power failure, take many requests with them that
are not the cause. So the losses of requests that were sent before a loss under them was
known count as one. Afterwards a request is sent on a new connection, which shows that
the leaf runs: a further loss then tells more than the first.

A request under which a leaf was lost is sent to one leaf at a time until one answers.
So a sharded request that crashes its leaves costs those of its first sends, and then
one at a time. Once that has happened, other sharded requests are sent to one leaf first
for a while: another such request would take the rest of the leaves.

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
from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import crashes, leaves, requests, routes
from amaranthpulley.state.forwarding import gateway as gateway_state

# Losses after which a request is refused. Leaves also end by themselves, and a popular
# request may be running on one that does.
CRASH_LIMIT: Final = 3
# The first loss of a sharded request stands for several leaves.
SHARDED_CRASH_LIMIT: Final = 2
# Times after the latest loss at which a refused request is sent once more. There are
# few, because each may cost a leaf.
TRIAL_DELAYS_MS: Final = (6_000, 48_000)
# Time that a daemon has to try it before it is another's turn.
TRIAL_TURN_MS: Final = 1_000
# A loss lapses after this time at the latest, so that a request is tried again.
LIFETIME_MS: Final = 600_000
# Losses of a sharded request that are recorded before it has ended: with one of them,
# other shards usually answer soon.
SHARDED_LOSSES: Final = 2
# A sharded request that no leaf has answered is not sent to a second leaf before this
# share of its objective has passed. Then two more round trips fit in.
UNANSWERED_SHARE: Final = 1 / 3
# A leaf that has neither answered nor been lost after this time may be silent. The next
# one is not kept waiting for it.
TRIAL_MS: Final = 200
# A client repeats a request before all daemons know its losses from the store. So they
# are told directly to at most this many daemons, and count there for this time unless
# the store confirms them.
MAXIMUM_TOLD: Final = 16
TOLD_MS: Final = 5_000
# After a sharded request that seems to crash leaves, others are sent to one leaf first
# for this time. The leaves are back then.
CAUTION_MS: Final = 5_000
# Bounds of the losses that a daemon publishes. When a failure domain fails, many leaves
# are lost at once, and the requests that they ran are not the cause.
PUBLICATIONS_PER_S: Final = 2.0
PUBLICATION_BURST: Final = 16.0
_DIGEST_BYTES: Final = 8


def refuses(gateway: gateway_state.Gateway, incoming: requests.IncomingRequest) -> bool:
    """Return whether a request has crashed too many leaves."""
    fingerprint = _worst(gateway, incoming)
    if gateway.losses.count(fingerprint) < _limit(gateway, fingerprint):
        return False
    return gateway.losses.trials.get(fingerprint) != incoming.key


def begin_trial(
    gateway: gateway_state.Gateway, incoming: requests.IncomingRequest, now_ms: int
) -> bool:
    """Return whether a refused request is sent once more, to one leaf.

    Its leaves may have been lost by chance, one after the other. One daemon at a time
    tries it, the next one if nothing has become known in its turn.
    """
    fingerprint = _worst(gateway, incoming)
    trial = gateway.losses.count(fingerprint) - _limit(gateway, fingerprint)
    if fingerprint in gateway.losses.trials or not 0 <= trial < len(TRIAL_DELAYS_MS):
        return False
    due_ms = gateway.losses.latest_ms(fingerprint) + TRIAL_DELAYS_MS[trial]
    if now_ms < due_ms:
        return False
    daemons = rendezvous.ranking(
        {*gateway.members, gateway.place.name}, str(fingerprint)
    )
    turn = (now_ms - due_ms) // TRIAL_TURN_MS
    if daemons[turn % len(daemons)] != gateway.place.name:
        return False
    gateway.losses.trials[fingerprint] = incoming.key
    gateway.counters.add("forward_crash_trials_total")
    return True


def end_trial(
    gateway: gateway_state.Gateway, incoming: requests.IncomingRequest
) -> None:
    """End the trial that a request was, if it was one: it has ended."""
    for fingerprint in incoming.fingerprints:
        if gateway.losses.trials.get(fingerprint) == incoming.key:
            del gateway.losses.trials[fingerprint]


def is_suspected(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest
) -> bool:
    """Return whether a leaf was lost under a request and none has answered it since."""
    if not request.lost_attempts and not _count(gateway, request.incoming):
        return False
    return all(call.answer is None for call in request.calls)


def starts_with_one(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> bool:
    """Return whether an arriving request is sent to one leaf first."""
    if is_suspected(gateway, request):
        return True
    return bool(request.route.shards) and now_ms < gateway.cautious_until_ms


def goes_alone(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest
) -> bool:
    """Return whether the parts of a request are sent one at a time."""
    if any(call.answer is not None for call in request.calls):
        return False
    return request.cautious or is_suspected(gateway, request)


def must_wait(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    call: requests.ShardCall,
    now_ms: int,
) -> bool:
    """Return whether a part has to wait until another one shows what its leaf does."""
    if not goes_alone(gateway, request):
        return False
    return any(
        attempt.after_loss or request.cautious or other is call
        for other in request.calls
        for attempt in _recent_attempts(other, now_ms)
    )


def must_not_hedge(
    gateway: gateway_state.Gateway, request: requests.ForwardedRequest, now_ms: int
) -> bool:
    """Return whether a late request may not be sent to a second leaf now.

    When no leaf has answered a request, it may be the cause. Then one of its parts is
    sent to a second leaf at a time, and none while a leaf may still show what it does.
    """
    if any(call.answer is not None for call in request.calls):
        return False
    recent = [_recent_attempts(call, now_ms) for call in request.calls]
    if goes_alone(gateway, request):
        return any(recent)
    if not request.route.shards:
        return False
    is_early = now_ms - request.arrived_ms < UNANSWERED_SHARE * (
        request.route.objective_ms
    )
    return is_early or any(len(found) > 1 for found in recent)


def _recent_attempts(call: requests.ShardCall, now_ms: int) -> list[requests.Attempt]:
    """Return the running attempts whose leaves may still show what they do."""
    return [
        attempt
        for attempt in call.attempts.values()
        if now_ms - attempt.sent_ms < TRIAL_MS
    ]


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
    decided = _record(gateway, request, now_ms)
    end_trial(gateway, request.incoming)
    return decided


def handle_published(
    gateway: gateway_state.Gateway,
    event: events.LossPublished,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Count a loss that a daemon has published."""
    gateway.losses.set_stored(event.loss, True)
    if gateway.losses.add(event.loss, now_ms):
        _grow_cautious(gateway, event.loss, now_ms)
    return []


def handle_told(
    gateway: gateway_state.Gateway,
    event: events.LossTold,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Count a loss that a daemon has told, until the store has it."""
    if gateway.losses.add(event.loss, now_ms):
        gateway.losses.end_at(event.loss, now_ms + TOLD_MS)
        _grow_cautious(gateway, event.loss, now_ms)
    return []


def handle_withdrawn(
    gateway: gateway_state.Gateway,
    event: events.LossWithdrawn,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Forget a loss that was withdrawn or has lapsed."""
    gateway.losses.set_stored(event.loss, False)
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
        losses = _add_losses(gateway, incoming, request.route, attempt, now_ms)
        if not losses:
            continue
        decided += tracing.lost_leaf_lines(
            gateway, incoming, attempt.leaf_id, _count(gateway, incoming), now_ms
        )
        if _takes_token(gateway, now_ms):
            published += losses
        else:
            gateway.counters.add("forward_losses_unpublished_total")
        # A trial shows nothing more than this loss.
        end_trial(gateway, incoming)
    if published:
        gateway.counters.add("forward_losses_published_total", len(published))
        addresses = _told_addresses(gateway, published[0])
        decided.append(commands.PublishLosses(tuple(published), addresses))
    return decided


def _add_losses(
    gateway: gateway_state.Gateway,
    incoming: requests.IncomingRequest,
    route: routes.Route,
    attempt: requests.Attempt,
    now_ms: int,
) -> list[crashes.Loss]:
    """Add the losses of an attempt that change the count; return them."""
    table, start = gateway.losses, start_digest(attempt.start)
    added: list[crashes.Loss] = []
    for fingerprint in incoming.fingerprints:
        count = table.count(fingerprint)
        counts = attempt.after_loss or not count
        is_decided = count >= _limit(gateway, fingerprint)
        is_decided = is_decided and fingerprint not in table.trials
        if not counts or is_decided or table.has(fingerprint, start):
            continue
        sharded = bool(route.shards)
        loss = crashes.Loss(fingerprint, start, attempt.after_loss, sharded)
        table.add(loss, now_ms)
        _grow_cautious(gateway, loss, now_ms)
        table.end_at(loss, now_ms + LIFETIME_MS)
        added.append(loss)
    return added


def _told_addresses(
    gateway: gateway_state.Gateway, loss: crashes.Loss
) -> tuple[str, ...]:
    others = [name for name in gateway.members if name != gateway.place.name]
    told = rendezvous.ranking(others, str(loss.start))[:MAXIMUM_TOLD]
    return tuple(gateway.members[name].address for name in told)


def _grow_cautious(
    gateway: gateway_state.Gateway, loss: crashes.Loss, now_ms: int
) -> None:
    if loss.sharded and loss.later:
        gateway.cautious_until_ms = now_ms + CAUTION_MS


def _count(gateway: gateway_state.Gateway, incoming: requests.IncomingRequest) -> int:
    return gateway.losses.count(_worst(gateway, incoming))


def _worst(gateway: gateway_state.Gateway, incoming: requests.IncomingRequest) -> int:
    """Return the fingerprint of a request with the most losses."""
    return max(incoming.fingerprints, key=gateway.losses.count)


def _limit(gateway: gateway_state.Gateway, fingerprint: int) -> int:
    """Return how many losses refuse a request."""
    is_sharded = gateway.losses.all_sharded(fingerprint)
    return SHARDED_CRASH_LIMIT if is_sharded else CRASH_LIMIT


def _takes_token(gateway: gateway_state.Gateway, now_ms: int) -> bool:
    tokens = gateway.publication_tokens
    if tokens.refill(PUBLICATIONS_PER_S, PUBLICATION_BURST, now_ms) < 1.0:
        return False
    tokens.take()
    return True
