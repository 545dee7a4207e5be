"""Sending a search's attempts and entering their ends."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, routing, snapshots
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import searches, topology

Random = Callable[[], float]
Commands = list[commands.Command]

MAXIMUM_ROUNDS: Final = 3
BACKOFF_BASE_MS: Final = 4
MAXIMUM_BACKOFF_MS: Final = 100


class RetryDue(NamedTuple):
    """Purpose of the timer that asks a shard again after a pause."""

    request_id: str
    shard: str
    restarts: int


def ask_missing(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    now_ms: int,
    random: Random,
) -> Commands:
    """Ask for every missing range that no attempt on its way is to bring."""
    gaps = snapshots.unattended(daemon, search)
    if not gaps:
        return []
    asked = {attempt.shard for attempt in search.attempts.values()} | search.waiting
    sent: Commands = []
    for shard in snapshots.shards_to_ask(daemon, search, gaps):
        if shard not in asked:
            sent += ask_shard(daemon, search, shard, now_ms, random)
    return sent


def ask_shard(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    shard: str,
    now_ms: int,
    random: Random,
    kind: searches.AttemptKind = searches.AttemptKind.FIRST,
) -> Commands:
    """Ask an untried replica of a shard; nothing when there is none."""
    tried = search.tried.get(shard, ())
    replicas = routing.candidates(
        daemon, search.request.service, shard, search.version, tried
    )
    target = routing.choose(daemon, replicas, random)
    if target is None:
        return []
    last_chance = len(replicas) == 1
    return [_send(daemon, search, shard, target, kind, last_chance, now_ms)]


def ask_again(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    shard: str,
    now_ms: int,
    random: Random,
) -> Commands:
    """Ask another replica of a shard; when all were tried, begin anew after a pause."""
    if any(attempt.shard == shard for attempt in search.attempts.values()):
        return []
    retry = searches.AttemptKind.RETRY
    sent = ask_shard(daemon, search, shard, now_ms, random, retry)
    return sent or _pause(search, shard, now_ms, random)


def end_waiting(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    shard: str,
    now_ms: int,
    random: Random,
) -> Commands:
    """Ask a shard again whose pause is over."""
    search.waiting.discard(shard)
    search.tried.pop(shard, None)
    return ask_again(daemon, search, shard, now_ms, random)


def end_attempt(daemon: daemon_state.Daemon, attempt: searches.Attempt) -> None:
    """Enter that an attempt is over for this daemon."""
    daemon.targets.of(attempt.target.name).in_flight -= 1


def cancel(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    attempts: list[searches.Attempt],
) -> Commands:
    """Give up attempts in flight; they may have run."""
    cancelled: Commands = []
    for attempt in attempts:
        daemon.searches.end_attempt(attempt.attempt_id)
        end_attempt(daemon, attempt)
        search.may_have_run = True
        cancelled.append(commands.CancelAttempt(attempt.attempt_id, attempt.target))
    return cancelled


def _pause(
    search: searches.Search, shard: str, now_ms: int, random: Random
) -> Commands:
    rounds = search.retries.get(shard, 0) + 1
    if rounds > MAXIMUM_ROUNDS and not waits_for_coverage(search):
        return []
    search.retries[shard] = rounds
    search.waiting.add(shard)
    # Full jitter: callers that failed together do not come back together.
    longest_ms = min(BACKOFF_BASE_MS << min(rounds, 10), MAXIMUM_BACKOFF_MS)
    due_ms = now_ms + 1 + int(random() * longest_ms)
    purpose = RetryDue(search.request.request_id, shard, search.restarts)
    return [commands.SetTimer(purpose, due_ms)]


def waits_for_coverage(search: searches.Search) -> bool:
    """Tell whether a search has less coverage than its service is to wait for."""
    gives_time = search.service.give_way is topology.GiveWay.TIME
    return gives_time and search.coverage < search.service.minimum_coverage


def _send(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    shard: str,
    target: topology.Target,
    kind: searches.AttemptKind,
    last_chance: bool,
    now_ms: int,
) -> commands.SendAttempt:
    request = search.request
    attempt = searches.Attempt(
        daemon.next_id("attempt"), request.request_id, shard, target, now_ms, kind
    )
    daemon.searches.add_attempt(search, attempt)
    daemon.targets.of(target.name).in_flight += 1
    daemon.counters.add("attempts_total", service=request.service, kind=kind.value)
    call = commands.SearchCall(request.query, request.key, search.version)
    remaining_ms = search.hard_deadline_ms - now_ms
    timeout_ms = remaining_ms if last_chance else max(1, remaining_ms // 2)
    return commands.SendAttempt(
        attempt.attempt_id, request.request_id, target, call, timeout_ms
    )
