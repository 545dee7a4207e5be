"""Counts the answers of both versions, and shares the counts between daemons.

Load pattern: a bad version of which each of many daemons sees a few answers only. Every
daemon sends its totals to the daemons that may decide, twice a second. Totals of a step
only grow, so a lost, late or repeated message changes nothing.

A daemon that has judged the version bad from the totals of all sends their sum to every
daemon. Each judges it by itself, so that all stop while the store is away, too.
"""

from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    events,
    leaf_selection,
)
from amaranthpulley.coordination.forwarding.rollouts import (
    decider,
    exposure,
    judgement,
)
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.state.forwarding import (
    peer_messages,
    requests,
    rollouts,
    routes,
)

# An answer is slow after this multiple of the old leaves' mean time and the margin,
# which covers jitter of the network and of the event loop.
SLOW_RATIO: Final = 2.0
SLOW_MARGIN_MS: Final = 5.0
# Weight of one answer in the moving average of the old leaves' time.
MEAN_WEIGHT: Final = 0.1
# A leaf that fails loses all requests that it runs: they count once.
LOST_TOGETHER_MS: Final = 1_000
# Interval of a daemon's messages as a part of the time for a reversal, 500 ms of 5 s,
# and the least one for each daemon of the fleet: a deciding daemon gets at most 167
# messages of some 150 bytes a second, 25 KB.
INTERVAL_PART: Final = 10
INTERVAL_PER_DAEMON_MS: Final = 6
# Adding up the counts of 77 daemons takes about a millisecond.
JUDGEMENT_INTERVAL_MS: Final = 300
# Routes in a message, so that it fits a datagram. The others are counted together.
MOST_ROUTES: Final = 12
LONGEST_ROUTE_NAME: Final = 40
OTHER_ROUTES: Final = "(others)"
# Key of the sum that a deciding daemon has sent.
_SUM: Final = ("", 0)


def record_answer(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    attempt: requests.Attempt,
    event: events.AttemptAnswered,
    usable: bool,
    now_ms: int,
) -> None:
    """Count a leaf's answer; a rejected request was not run and counts for nothing."""
    call = request.calls[attempt.shard]
    rollout = gateway.rollouts.ordered(call.service)
    is_target = _take_attempt(rollout, attempt)
    if rollout is None or is_target is None or event.answer.not_run:
        return
    exposure.record_reached(rollout, call)
    if not usable:
        _count(rollout, request.route, is_target, rollouts.Tally(1, 1, 0))
        return
    leaf = gateway.directory.get(attempt.leaf_id)
    is_cold = leaf is not None and now_ms < leaf.cold_until_ms
    elapsed_ms = float(now_ms - attempt.sent_ms)
    if leaf is not None:
        extra_ms = leaf_selection.extra_round_trip_ms(gateway, leaf)
        elapsed_ms -= extra_ms
        if event.opened:
            elapsed_ms -= extra_ms + leaf_selection.CONNECTION_OPEN_MS
    slow = not is_cold and _is_slow(gateway, rollout, request.route, elapsed_ms)
    _count(rollout, request.route, is_target, rollouts.Tally(1, 0, int(slow)))
    if not is_target:
        mean_ms = _old_mean_ms(gateway, rollout, request.route)
        mean_ms += MEAN_WEIGHT * (max(1.0, elapsed_ms) - mean_ms)
        rollout.old_mean_ms[request.route.name] = mean_ms


def record_failure(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    attempt: requests.Attempt,
    end: requests.AttemptEnd,
    now_ms: int,
) -> None:
    """Count an attempt without an answer, unless the leaf certainly did not run it."""
    call = request.calls[attempt.shard]
    rollout = gateway.rollouts.ordered(call.service)
    is_target = _take_attempt(rollout, attempt)
    if rollout is None or is_target is None or end in requests.NOT_RUN:
        return
    if end is requests.AttemptEnd.LOST:
        last_ms = rollout.lost_ms.get(attempt.leaf_id)
        if last_ms is not None and now_ms - last_ms < LOST_TOGETHER_MS:
            return
        rollout.lost_ms[attempt.leaf_id] = now_ms
    _count(rollout, request.route, is_target, rollouts.Tally(1, 1, 0))


def record_cancelled(
    gateway: gateway_state.Gateway,
    request: requests.ForwardedRequest,
    attempt: requests.Attempt,
    now_ms: int,
) -> None:
    """Count an attempt that was cancelled after another one had been answered."""
    rollout = gateway.rollouts.ordered(request.calls[attempt.shard].service)
    is_target = _take_attempt(rollout, attempt)
    if rollout is None or is_target is None:
        return
    elapsed_ms = float(now_ms - attempt.sent_ms)
    if _is_slow(gateway, rollout, request.route, elapsed_ms):
        _count(rollout, request.route, is_target, rollouts.Tally(1, 0, 1))


def messages(
    gateway: gateway_state.Gateway, service: str, now_ms: int
) -> list[commands.Command]:
    """Return the periodic messages about a running roll-out."""
    rollout = gateway.rollouts.of_service(service)
    step = rollout.current_step()
    if step is None or now_ms < rollout.next_evidence_ms:
        return []
    rollout.next_evidence_ms = now_ms + max(
        gateway.limits.rollback_ms // INTERVAL_PART,
        INTERVAL_PER_DAEMON_MS * len(gateway.members),
    )
    judges = decider.judges(gateway, service)
    own = _message(gateway, service, own_evidence(rollout), gateway.place.name)
    decided = _send(gateway, own, judges)
    if gateway.place.name in judges and rollout.distrusted:
        whole = _message(gateway, service, gather(gateway, service), "")
        decided += _send(gateway, whole, list(gateway.members))
    return decided


def handle_message(
    gateway: gateway_state.Gateway,
    event: events.PeerMessageReceived,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Merge the counts of another daemon; those of another order are dropped."""
    message = event.message
    rollout = gateway.rollouts.ordered(message.service)
    if rollout is None or message.order != rollout.order_number:
        return []
    gateway.counters.add("forward_rollout_evidence_total")
    found = rollouts.Evidence(
        message.number,
        {row.route: _pair(row.counts) for row in message.routes},
        _pair(message.total),
    )
    key = (message.source, message.life) if message.source else _SUM
    known = rollout.received.get(key)
    if known is not None and known.number > found.number:
        return []
    if known is not None:
        total = known.total.at_least(found.total)
        merged = found.routes
        if known.number == found.number:
            merged = dict(known.routes)
            for route, pair in found.routes.items():
                merged[route] = merged.get(route, rollouts.Pair()).at_least(pair)
        found = rollouts.Evidence(found.number, merged, total)
    rollout.received[key] = found
    return []


def own_evidence(rollout: rollouts.Rollout) -> rollouts.Evidence:
    """Return what this daemon has counted.

    While the old leaves get nothing, the counts of the last step in which they got
    requests stand for them.
    """
    step = rollout.current_step()
    number = step.number if step is not None else 0
    found = dict(rollout.routes)
    if step is not None and step.phase is rollouts.Phase.MOVING:
        for route, old in rollout.baseline.items():
            pair = found.get(route, rollouts.Pair())
            found[route] = pair._replace(old=pair.old.plus(old))
    return rollouts.Evidence(number, _limited(found), rollout.total)


def gather(gateway: gateway_state.Gateway, service: str) -> rollouts.Evidence:
    """Return the sum of what this daemon and those that sent to it have counted."""
    rollout = gateway.rollouts.of_service(service)
    own = own_evidence(rollout)
    found, total = dict(own.routes), own.total
    for key, received in rollout.received.items():
        if key == _SUM:
            continue
        total = total.plus(received.total)
        if received.number == own.number:
            for route, pair in received.routes.items():
                found[route] = found.get(route, rollouts.Pair()).plus(pair)
    return rollouts.Evidence(own.number, found, total)


def update_verdict(gateway: gateway_state.Gateway, service: str, now_ms: int) -> None:
    """Judge the ordered version by all that this daemon knows, now and then.

    In the move, a daemon that sees its own answers only keeps to what the deciding ones
    say: it must not stay on the old leaves when they end.
    """
    rollout = gateway.rollouts.of_service(service)
    if now_ms < rollout.next_judgement_ms or rollout.distrusted:
        return
    rollout.next_judgement_ms = now_ms + JUDGEMENT_INTERVAL_MS
    rollout.gathered = gather(gateway, service)
    rollout.verdict, rollout.reason = judgement.judge(rollout.gathered)
    step = rollout.current_step()
    moving = step is not None and step.phase is rollouts.Phase.MOVING
    if moving and not decider.is_judge(gateway, service):
        rollout.verdict = rollouts.Verdict.OPEN
    # The sum of a deciding daemon is judged by itself: own counts are part of it.
    told = rollout.received.get(_SUM)
    if told is not None and rollout.verdict is not rollouts.Verdict.BAD:
        verdict, reason = judgement.judge(told)
        if verdict is rollouts.Verdict.BAD:
            rollout.verdict, rollout.reason = verdict, reason


def _take_attempt(
    rollout: rollouts.Rollout | None, attempt: requests.Attempt
) -> bool | None:
    """Return whether an attempt went to the target; None if that is not counted."""
    return None if rollout is None else rollout.attempts.pop(attempt.number, None)


def _count(
    rollout: rollouts.Rollout,
    route: routes.Route,
    is_target: bool,
    tally: rollouts.Tally,
) -> None:
    empty = rollouts.Tally()
    pair = rollouts.Pair(tally, empty) if is_target else rollouts.Pair(empty, tally)
    name = route.name[:LONGEST_ROUTE_NAME]
    rollout.routes[name] = rollout.routes.get(name, rollouts.Pair()).plus(pair)
    rollout.total = rollout.total.plus(pair)


def _old_mean_ms(
    gateway: gateway_state.Gateway, rollout: rollouts.Rollout, route: routes.Route
) -> float:
    known = rollout.old_mean_ms.get(route.name)
    return gateway.latency_of(route).mean_ms if known is None else known


def _is_slow(
    gateway: gateway_state.Gateway,
    rollout: rollouts.Rollout,
    route: routes.Route,
    elapsed_ms: float,
) -> bool:
    mean_ms = _old_mean_ms(gateway, rollout, route)
    return elapsed_ms > SLOW_RATIO * mean_ms + SLOW_MARGIN_MS


def _limited(found: dict[str, rollouts.Pair]) -> dict[str, rollouts.Pair]:
    """Return the counts with at most as many routes as a message holds."""
    if len(found) <= MOST_ROUTES:
        return found
    # By name, so that all daemons keep the same ones and totals only grow.
    names = sorted(found)
    kept = {name: found[name] for name in names[: MOST_ROUTES - 1]}
    rest = judgement.sum_of(found[name] for name in names[MOST_ROUTES - 1 :])
    return {**kept, OTHER_ROUTES: rest}


def _message(
    gateway: gateway_state.Gateway,
    service: str,
    found: rollouts.Evidence,
    source: str,
) -> peer_messages.RolloutEvidence:
    rollout = gateway.rollouts.of_service(service)
    rows = tuple(
        peer_messages.RouteCounts(route, (*pair.new, *pair.old))
        for route, pair in sorted(_limited(found.routes).items())
    )
    return peer_messages.RolloutEvidence(
        service,
        rollout.order_number,
        found.number,
        source,
        gateway.started_ms,
        rows,
        (*found.total.new, *found.total.old),
    )


def _send(
    gateway: gateway_state.Gateway,
    message: peer_messages.RolloutEvidence,
    names: list[str],
) -> list[commands.Command]:
    addresses = tuple(
        gateway.members[name].address
        for name in names
        if name != gateway.place.name and name in gateway.members
    )
    return [commands.SendToPeers(message, addresses)] if addresses else []


def _pair(counts: tuple[int, ...]) -> rollouts.Pair:
    return rollouts.Pair(rollouts.Tally(*counts[:3]), rollouts.Tally(*counts[3:]))
