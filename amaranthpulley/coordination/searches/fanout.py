"""Sending the attempts of a search, and recording how they end."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.searches import (
    cold_starts,
    concurrency_limits,
    retry_policy,
    routing,
    snapshots,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import services, targets
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import searches

Random = Callable[[], float]
Commands = list[commands.Command]

TAIL_QUANTILE: Final = 0.95
TIMEOUT_FACTOR: Final = 4
LAST_REPLICA_FACTOR: Final = 2
SHORTEST_TIMEOUT_MS: Final = 50
LATENCY_WEIGHT: Final = 0.2
LATENCY_CLIP: Final = 3
MINIMUM_CAPACITY_CHECK_DELAY_MS: Final = 5


class CapacityCheckDue(NamedTuple):
    """Purpose of the timer that checks for capacity for the waiting attempts."""

    service: str


def query_missing(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    now_ms: int,
    random: Random,
) -> Commands:
    """Query the shards for every missing range that no attempt in flight covers."""
    gaps = snapshots.unrequested_ranges(daemon, search)
    if not gaps:
        return []
    queried = {attempt.shard for attempt in search.attempts.values()} | search.waiting
    sent: Commands = []
    for shard in snapshots.shards_to_query(daemon, search, gaps):
        if shard not in queried:
            sent += query_shard(daemon, search, shard, now_ms, random)
    return sent


def query_shard(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    shard: str,
    now_ms: int,
    random: Random,
    kind: searches.AttemptKind = searches.AttemptKind.FIRST,
) -> Commands:
    """Query an untried replica of a shard, or wait until one has free capacity.

    Returns
    -------
    list of Command
        Without an attempt when no untried replica is left or the attempt waits.
    """
    tried = search.tried.get(shard, ())
    service = search.request.service
    choice = routing.pick_fastest(
        daemon, service, shard, search.version, tried, now_ms, random
    )
    if choice.target is not None:
        return [_send(daemon, search, shard, choice, kind, now_ms)]
    if not choice.is_busy:
        if not routing.has_cold_replica(daemon, service, shard):
            return []
        # A lease that allows sending to the replica may be granted in time.
        return retry_policy.schedule_retry(search, shard, now_ms, random, True)
    search.waiting.add(shard)
    waiting = services.WaitingAttempt(search.request.request_id, shard, search.restarts)
    state = daemon.services.of(service)
    state.add_waiting(waiting)
    daemon.counters.add("attempts_waited_total", service=service)
    return _set_capacity_timer(daemon, service, now_ms)


def retry_shard(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    shard: str,
    now_ms: int,
    random: Random,
    is_costless: bool,
) -> Commands:
    """Query another replica of a shard; once all were tried, retry after a backoff.

    Parameters
    ----------
    daemon, search, shard, now_ms, random
        As for `query_shard`.
    is_costless : bool
        Whether the previous attempt cost its target no work, so that this one needs no
        token of the retry budget.
    """
    if any(attempt.shard == shard for attempt in search.attempts.values()):
        return []
    service = search.request.service
    retries = daemon.services.of(service).retries
    if is_costless or retries.spend():
        retry = searches.AttemptKind.RETRY
        sent = query_shard(daemon, search, shard, now_ms, random, retry)
        if sent or shard in search.waiting:
            return sent
    else:
        daemon.counters.add("retries_denied_total", service=service)
    is_temporary = routing.has_cold_replica(daemon, service, shard)
    return retry_policy.schedule_retry(search, shard, now_ms, random, is_temporary)


def resume_shard(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    shard: str,
    now_ms: int,
    random: Random,
) -> Commands:
    """Query a shard again whose backoff is over."""
    search.waiting.discard(shard)
    search.tried.pop(shard, None)
    return retry_shard(daemon, search, shard, now_ms, random, is_costless=False)


def send_waiting(
    daemon: daemon_state.Daemon,
    service: str,
    shard: str,
    now_ms: int,
    random: Random,
) -> Commands:
    """Send the attempts that wait for a shard, as far as its capacity allows."""
    state = daemon.services.of(service)
    sent: Commands = []
    while (waiting := state.next_waiting(shard)) is not None:
        search = daemon.searches.get(waiting.request_id)
        if search is None or not _still_waits(search, waiting):
            state.pop_waiting(shard)
            continue
        tried = search.tried.get(shard, ())
        choice = routing.pick_fastest(
            daemon, service, shard, search.version, tried, now_ms, random
        )
        if choice.target is None and choice.is_busy:
            break
        state.pop_waiting(shard)
        search.waiting.discard(shard)
        if choice.target is None:
            is_temporary = routing.has_cold_replica(daemon, service, shard)
            sent += retry_policy.schedule_retry(
                search, shard, now_ms, random, is_temporary
            )
            continue
        first = searches.AttemptKind.FIRST
        sent.append(_send(daemon, search, shard, choice, first, now_ms))
    return sent


def send_all_waiting(
    daemon: daemon_state.Daemon, service: str, now_ms: int, random: Random
) -> Commands:
    """Send the attempts that wait for any shard, as far as the capacity allows."""
    state = daemon.services.of(service)
    state.capacity_timer_set = False
    sent: Commands = []
    for shard in list(state.waiting):
        sent += send_waiting(daemon, service, shard, now_ms, random)
    if state.waiting:
        sent += _set_capacity_timer(daemon, service, now_ms)
    return sent


def record_attempt_end(
    daemon: daemon_state.Daemon,
    attempt: searches.Attempt,
    event: events.AttemptAnswered | events.AttemptFailed,
    now_ms: int,
    random: Random,
) -> Commands:
    """Update the target's state from an attempt's end, also if it was given up."""
    target, service = attempt.target, attempt.target.service
    state = daemon.targets.of(target.name)
    failure = getattr(event, "failure", None)
    elapsed_ms = now_ms - attempt.sent_ms
    median_ms = concurrency_limits.median_latency_ms(daemon, service)
    decided: Commands = []
    if event.load is not None:
        refused = failure is events.Failure.REFUSED
        decided += cold_starts.observe_load(
            daemon, target, event.load, refused, attempt.sent_ms, now_ms
        )
        daemon.targets.report(target.name, event.load)
        state.reported_ms = now_ms
    if failure is None:
        decided += cold_starts.observe_answer(
            daemon, target, elapsed_ms, median_ms, now_ms
        )
        concurrency_limits.record_answer(state, target, now_ms)
        daemon.services.of(service).latency.observe(elapsed_ms)
    if failure is None or failure is events.Failure.CANCELLED:
        _update_latency(state, elapsed_ms, now_ms)
    state.in_flight -= 1
    if failure is events.Failure.REFUSED:
        daemon.counters.add("attempts_refused_total", service=service)
        concurrency_limits.record_refusal(state, median_ms, now_ms, random)
    elif failure in retry_policy.NO_RESPONSE_FAILURES:
        timed_out = failure is events.Failure.TIMED_OUT
        decided += cold_starts.observe_failure(daemon, target.name, timed_out, now_ms)
        _update_latency(state, elapsed_ms, now_ms)
        daemon.services.of(service).latency.observe(elapsed_ms)
    return decided


def cancel(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    attempts: list[searches.Attempt],
    now_ms: int,
) -> Commands:
    """Give up attempts in flight, which may have run.

    Each one counts as in flight at its target until its end is reported.
    """
    cancelled: Commands = []
    for attempt in attempts:
        daemon.searches.give_up(attempt.attempt_id)
        search.may_have_run = True
        # The true latency is longer; without this sample the quantiles would shrink.
        elapsed_ms = now_ms - attempt.sent_ms
        daemon.services.of(attempt.target.service).latency.observe(elapsed_ms)
        cancelled.append(commands.CancelAttempt(attempt.attempt_id, attempt.target))
    return cancelled


def tail_latency_ms(daemon: daemon_state.Daemon, service: str, default_ms: int) -> int:
    """Return the latency that all but the slowest attempts stay within."""
    return daemon.services.of(service).latency.quantile_ms(TAIL_QUANTILE, default_ms)


def _update_latency(state: targets.TargetState, elapsed_ms: int, now_ms: int) -> None:
    """Update a target's average latency; a cancelled attempt gives a lower bound."""
    state.latency_at_ms = now_ms
    if state.cold is not None:
        # Keep the latency from before the cold start, to compare cold answers with.
        return
    if state.latency_ms == 0.0:
        state.latency_ms = float(max(1, elapsed_ms))
    # A single straggler says little about the next answer.
    clipped_ms = min(elapsed_ms, LATENCY_CLIP * state.latency_ms)
    state.latency_ms += LATENCY_WEIGHT * (clipped_ms - state.latency_ms)


def _still_waits(search: searches.Search, waiting: services.WaitingAttempt) -> bool:
    return search.restarts == waiting.restarts and waiting.shard in search.waiting


def _set_capacity_timer(
    daemon: daemon_state.Daemon, service: str, now_ms: int
) -> Commands:
    state = daemon.services.of(service)
    if state.capacity_timer_set:
        return []
    state.capacity_timer_set = True
    wait_ms = max(
        MINIMUM_CAPACITY_CHECK_DELAY_MS,
        concurrency_limits.median_latency_ms(daemon, service) // 2,
    )
    return [commands.SetTimer(CapacityCheckDue(service), now_ms + wait_ms)]


def _send(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    shard: str,
    choice: routing.Choice,
    kind: searches.AttemptKind,
    now_ms: int,
) -> commands.SendAttempt:
    request, target = search.request, choice.target
    attempt = searches.Attempt(
        daemon.next_id("attempt"), request.request_id, shard, target, now_ms, kind
    )
    daemon.searches.add_attempt(search, attempt)
    daemon.targets.of(target.name).in_flight += 1
    daemon.counters.add("attempts_total", service=request.service, kind=kind.value)
    state = daemon.services.of(request.service)
    state.sent_ms[shard] = now_ms
    if kind is searches.AttemptKind.FIRST:
        state.hedges.earn(search.service.hedge_budget)
        state.retries.earn(retry_policy.RETRY_BUDGET_RATIO)
    call = commands.SearchCall(request.query, request.key, search.version)
    timeout_ms = _timeout_ms(daemon, search, target, choice.has_others, now_ms)
    return commands.SendAttempt(
        attempt.attempt_id, request.request_id, target, call, timeout_ms
    )


def _timeout_ms(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    target: topology.Target,
    has_others: bool,
    now_ms: int,
) -> int:
    """Return an attempt's timeout, short enough to query another replica afterwards."""
    remaining_ms = max(1, search.hard_deadline_ms - now_ms)
    if daemon.targets.of(target.name).cold is not None:
        remaining_ms = min(remaining_ms, cold_starts.ATTEMPT_TIMEOUT_MS)
    tail_ms = tail_latency_ms(daemon, search.request.service, remaining_ms)
    timeout_ms = max(SHORTEST_TIMEOUT_MS, TIMEOUT_FACTOR * tail_ms)
    if not has_others:
        # A retry goes to the same target, over a fresh connection.
        timeout_ms *= LAST_REPLICA_FACTOR
    timeout_ms = min(timeout_ms, remaining_ms // 2)
    # A timeout below the minimum would not show that the target is unresponsive.
    return timeout_ms if timeout_ms >= SHORTEST_TIMEOUT_MS else remaining_ms
