"""Hedging: a second attempt when the first takes longer than nearly all others.

The delay is a quantile of the service's observed latencies. Each first attempt earns a
fraction of a token (the service's hedge budget) and each hedge spends one token, which
bounds the extra load. No hedge is sent while attempts wait for capacity, and a hedge
goes only to a replica with free capacity.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.searches import concurrency_limits, fanout, routing
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state.searches import searches

Random = Callable[[], float]
Commands = list[commands.Command]

# An earlier hedge would duplicate attempts that are about to be answered.
MEDIAN_FACTOR: Final = 1.5
MINIMUM_DELAY_MS: Final = 2
# The first hedge may be a straggler too.
MAXIMUM_HEDGES: Final = 2
DEFAULT_DEADLINE_DIVISOR: Final = 4


class HedgeDue(NamedTuple):
    """Purpose of the timer that checks a search for stragglers."""

    request_id: str


def schedule_check(
    daemon: daemon_state.Daemon, search: searches.Search, now_ms: int
) -> Commands:
    """Schedule a check for when the next attempt may count as a straggler."""
    if search.service.hedge_budget <= 0.0:
        return []
    delay_ms = _delay_ms(daemon, search)
    due = [_due_ms(search, attempt, delay_ms) for attempt in _hedgeable(search)]
    if not due:
        return []
    due_ms = min(due)
    if due_ms >= search.hard_deadline_ms:
        return []
    purpose = HedgeDue(search.request.request_id)
    return [commands.SetTimer(purpose, max(due_ms, now_ms + 1))]


def hedge(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    now_ms: int,
    random: Random,
) -> Commands:
    """Send hedges for the stragglers, and schedule the next check."""
    delay_ms = _delay_ms(daemon, search)
    service = daemon.services.of(search.request.service)
    sent: Commands = []
    for attempt in _hedgeable(search):
        shard = attempt.shard
        if now_ms < _due_ms(search, attempt, delay_ms):
            continue
        search.hedge_at_ms[shard] = now_ms + delay_ms
        if service.waiting or not _has_capacity(
            daemon, search, attempt, now_ms, random
        ):
            continue
        if not service.hedges.spend():
            daemon.counters.add("hedges_denied_total", service=attempt.target.service)
            continue
        search.hedges[shard] = search.hedges.get(shard, 0) + 1
        sent += fanout.query_shard(
            daemon,
            search,
            shard,
            now_ms,
            random,
            searches.AttemptKind.HEDGE,
        )
    return [*sent, *schedule_check(daemon, search, now_ms)]


def redundant_attempts(
    search: searches.Search, winner: searches.Attempt
) -> list[searches.Attempt]:
    """Return the attempts that an answer to a hedged shard has made redundant."""
    if winner.shard not in search.hedges:
        return []
    return [a for a in search.attempts.values() if a.shard == winner.shard]


def _hedgeable(search: searches.Search) -> list[searches.Attempt]:
    return [
        attempt
        for attempt in search.attempts.values()
        if search.hedges.get(attempt.shard, 0) < MAXIMUM_HEDGES
    ]


def _due_ms(search: searches.Search, attempt: searches.Attempt, delay_ms: int) -> int:
    return search.hedge_at_ms.get(attempt.shard, attempt.sent_ms + delay_ms)


def _delay_ms(daemon: daemon_state.Daemon, search: searches.Search) -> int:
    allowed_ms = search.deadline_ms - search.started_ms
    default_ms = max(MINIMUM_DELAY_MS, allowed_ms // DEFAULT_DEADLINE_DIVISOR)
    service = search.request.service
    tail_ms = fanout.tail_latency_ms(daemon, service, default_ms)
    scaled_median_ms = int(
        MEDIAN_FACTOR * concurrency_limits.median_latency_ms(daemon, service)
    )
    return max(MINIMUM_DELAY_MS, tail_ms, scaled_median_ms) + 1


def _has_capacity(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    attempt: searches.Attempt,
    now_ms: int,
    random: Random,
) -> bool:
    tried = search.tried.get(attempt.shard, ())
    choice = routing.pick_fastest(
        daemon,
        search.request.service,
        attempt.shard,
        search.version,
        tried,
        now_ms,
        random,
    )
    return choice.target is not None
