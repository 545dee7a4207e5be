"""Execution of searches: fan-out, merging of one snapshot, and the final answer."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import admission, commands, events, responses
from amaranthpulley.coordination.searches import (
    cold_starts,
    concurrency_limits,
    fanout,
    hedging,
    retry_policy,
    search_queue,
    snapshots,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, requests
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import searches

Random = Callable[[], float]
Commands = list[commands.Command]


class SearchDeadline(NamedTuple):
    """Purpose of the timer that ends a search, or extends it to reach its coverage."""

    request_id: str


def receive(
    daemon: daemon_state.Daemon,
    event: events.SearchReceived,
    now_ms: int,
    random: Random,
) -> Commands:
    """Start a search, queue it, or refuse it."""
    request = event.request
    verdict = admission.admit(daemon, request, topology.ServiceKind.SEARCH, now_ms)
    if isinstance(verdict, requests.Refusal):
        return responses.answer(daemon, request, verdict, elapsed_ms=0)
    service = request.service
    decided = concurrency_limits.refresh_view(daemon, service, now_ms)
    decided += cold_starts.apply_facts(daemon, now_ms)
    waits = search_queue.must_wait(daemon, service, now_ms)
    if waits and search_queue.is_full(daemon, service):
        return [*decided, *_shed(daemon, request, 0)]
    search = searches.Search(
        request,
        verdict.service,
        now_ms,
        verdict.deadline_ms,
        verdict.hard_deadline_ms,
    )
    daemon.searches.add(search)
    received = commands.log(
        log_events.REQUEST_RECEIVED, request_id=request.request_id, service=service
    )
    deadline = SearchDeadline(request.request_id)
    return [
        *decided,
        received,
        commands.SetTimer(deadline, search.deadline_ms),
        *(
            search_queue.enqueue(daemon, search)
            if waits
            else _start(daemon, search, now_ms, random)
        ),
    ]


def handle_answer(
    daemon: daemon_state.Daemon,
    event: events.AttemptAnswered,
    now_ms: int,
    random: Random,
) -> Commands:
    """Merge a leaf's answer into its search."""
    ended = daemon.searches.end_attempt(event.attempt_id)
    if ended is None:
        return _handle_given_up_end(daemon, event, now_ms, random)
    search, attempt = ended
    search.may_have_run = True
    decided = fanout.record_attempt_end(daemon, attempt, event, now_ms, random)
    return [
        *decided,
        *_merge_part(daemon, search, attempt, event.answer, now_ms, random),
        *_use_freed_capacity(daemon, attempt, now_ms, random),
    ]


def handle_failure(
    daemon: daemon_state.Daemon,
    event: events.AttemptFailed,
    now_ms: int,
    random: Random,
) -> Commands:
    """Query another replica after a failed attempt."""
    ended = daemon.searches.end_attempt(event.attempt_id)
    if ended is None:
        return _handle_given_up_end(daemon, event, now_ms, random)
    search, attempt = ended
    decided = fanout.record_attempt_end(daemon, attempt, event, now_ms, random)
    search.may_have_run |= not event.failure.not_run
    failed = commands.log(
        log_events.ATTEMPT_FAILED,
        request_id=search.request.request_id,
        target=attempt.target.name,
        failure_domain=attempt.target.failure_domain,
        failure=event.failure.value,
    )
    if event.failure is events.Failure.REFUSED:
        # The target may be tried again; its lowered limit delays that until it has
        # free capacity.
        search.tried[attempt.shard].discard(attempt.target.name)
    is_costless = event.failure in retry_policy.COSTLESS_FAILURES
    return [
        failed,
        *decided,
        *fanout.retry_shard(daemon, search, attempt.shard, now_ms, random, is_costless),
        *_advance(daemon, search, now_ms, random),
        *_use_freed_capacity(daemon, attempt, now_ms, random),
    ]


def retry(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Query a shard again after a backoff."""
    purpose = event.purpose
    search = daemon.searches.get(purpose.request_id)
    if search is None or purpose.restarts != search.restarts:
        return []
    return [
        *fanout.resume_shard(daemon, search, purpose.shard, now_ms, random),
        *_advance(daemon, search, now_ms, random),
    ]


def hedge(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Check a search for stragglers."""
    search = daemon.searches.get(event.purpose.request_id)
    if search is None:
        return []
    return hedging.hedge(daemon, search, now_ms, random)


def handle_capacity_check(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Send the waiting attempts, then start queued searches."""
    service = event.purpose.service
    return [
        *fanout.send_all_waiting(daemon, service, now_ms, random),
        *_start_queued(daemon, service, now_ms, random),
    ]


def shed_queued(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Refuse a search that has waited in the queue too long; no attempt was sent."""
    search = daemon.searches.get(event.purpose.request_id)
    if search is None or search.has_started:
        return []
    search_queue.remove(daemon, search)
    daemon.searches.remove(search)
    return _shed(daemon, search.request, now_ms - search.started_ms)


def end_at_deadline(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Answer at the deadline, unless the search has to wait for coverage."""
    search = daemon.searches.get(event.purpose.request_id)
    if search is None:
        return []
    if now_ms < search.hard_deadline_ms and retry_policy.waits_for_coverage(search):
        return [commands.SetTimer(event.purpose, search.hard_deadline_ms)]
    return _end(daemon, search, now_ms)


def _start(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    now_ms: int,
    random: Random,
) -> Commands:
    search.has_started = True
    search.version = snapshots.pin_version(daemon, search.request.service, now_ms)
    return [
        *fanout.query_missing(daemon, search, now_ms, random),
        *_advance(daemon, search, now_ms, random),
        *hedging.schedule_check(daemon, search, now_ms),
    ]


def _start_queued(
    daemon: daemon_state.Daemon, service: str, now_ms: int, random: Random
) -> Commands:
    started: Commands = []
    while (search := search_queue.dequeue(daemon, service, now_ms)) is not None:
        started += _start(daemon, search, now_ms, random)
    return started


def _use_freed_capacity(
    daemon: daemon_state.Daemon,
    ended: searches.Attempt,
    now_ms: int,
    random: Random,
) -> Commands:
    """Use the capacity that an ended attempt has freed."""
    service = ended.target.service
    return [
        *fanout.send_waiting(daemon, service, ended.shard, now_ms, random),
        *_start_queued(daemon, service, now_ms, random),
    ]


def _handle_given_up_end(
    daemon: daemon_state.Daemon,
    event: events.AttemptAnswered | events.AttemptFailed,
    now_ms: int,
    random: Random,
) -> Commands:
    """Handle the end of an attempt that its search had given up."""
    attempt = daemon.searches.end_given_up(event.attempt_id)
    if attempt is None:
        return []
    return [
        *fanout.record_attempt_end(daemon, attempt, event, now_ms, random),
        *_use_freed_capacity(daemon, attempt, now_ms, random),
    ]


def _merge_part(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    attempt: searches.Attempt,
    part: searches.SearchPart,
    now_ms: int,
    random: Random,
) -> Commands:
    state = daemon.targets.of(attempt.target.name)
    is_new = state.ranges.get(part.version) != part.ranges
    state.ranges[part.version] = part.ranges
    if search.version is None:
        search.version = part.version
    if part.version != search.version:
        return _query_pinned_version(daemon, search, attempt, now_ms, random)
    search.merge(part)
    decided = fanout.cancel(
        daemon, search, hedging.redundant_attempts(search, attempt), now_ms
    )
    if is_new and not search.complete:
        decided += fanout.query_missing(daemon, search, now_ms, random)
    return [*decided, *_advance(daemon, search, now_ms, random)]


def _shed(
    daemon: daemon_state.Daemon, request: requests.SearchRequest, elapsed_ms: int
) -> Commands:
    daemon.counters.add("searches_shed_total", service=request.service)
    refusal = requests.Refusal(
        requests.RefusalCode.OVERLOADED,
        "more searches than the targets can run; try again later",
        not_run=True,
    )
    return responses.answer(daemon, request, refusal, elapsed_ms)


def _query_pinned_version(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    attempt: searches.Attempt,
    now_ms: int,
    random: Random,
) -> Commands:
    # The leaf chose its version before the search pinned another one, which the leaf
    # may hold too.
    search.tried[attempt.shard].discard(attempt.target.name)
    return [
        *fanout.retry_shard(
            daemon, search, attempt.shard, now_ms, random, is_costless=True
        ),
        *_advance(daemon, search, now_ms, random),
    ]


def _advance(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    now_ms: int,
    random: Random,
) -> Commands:
    """End a search that can gain no more; restart it when its version is gone."""
    if search.complete or now_ms >= search.hard_deadline_ms:
        return _end(daemon, search, now_ms)
    if now_ms >= search.deadline_ms and not retry_policy.waits_for_coverage(search):
        return _end(daemon, search, now_ms)
    if search.attempts:
        return []
    if snapshots.is_version_gone(daemon, search, now_ms):
        version = snapshots.next_version(daemon, search, now_ms)
        if version is not None:
            return _restart(daemon, search, version, now_ms, random)
    if search.waiting:
        return []
    queried = fanout.query_missing(daemon, search, now_ms, random)
    if search.attempts or search.waiting:
        return queried
    return _end(daemon, search, now_ms)


def _restart(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    version: int,
    now_ms: int,
    random: Random,
) -> Commands:
    restarted = commands.log(
        log_events.SEARCH_RESTARTED,
        request_id=search.request.request_id,
        version=version,
    )
    daemon.counters.add("search_restarts_total", service=search.request.service)
    cancelled = fanout.cancel(daemon, search, list(search.attempts.values()), now_ms)
    search.restart(version)
    return [
        restarted,
        *cancelled,
        *fanout.query_missing(daemon, search, now_ms, random),
        *_advance(daemon, search, now_ms, random),
        *hedging.schedule_check(daemon, search, now_ms),
    ]


def _end(daemon: daemon_state.Daemon, search: searches.Search, now_ms: int) -> Commands:
    cancelled = fanout.cancel(daemon, search, list(search.attempts.values()), now_ms)
    daemon.searches.remove(search)
    elapsed_ms = now_ms - search.started_ms
    outcome = _outcome_of(search)
    return [
        *responses.answer(
            daemon, search.request, outcome, elapsed_ms, search.attempts_sent
        ),
        *cancelled,
    ]


def _outcome_of(search: searches.Search) -> requests.Outcome:
    best = search.best
    not_run = not search.may_have_run
    if best is None:
        return requests.Refusal(
            requests.RefusalCode.NO_TARGET,
            "no leaf answered in time; try again later",
            not_run,
        )
    gives_time = search.service.give_way is topology.GiveWay.TIME
    if gives_time and best.coverage < search.service.minimum_coverage:
        return requests.Refusal(
            requests.RefusalCode.INSUFFICIENT_COVERAGE,
            f"only {best.coverage:.1%} of the index answered in time; try again later",
            not_run,
        )
    return requests.SearchAnswer(
        best.rows, best.version, best.coverage, search.attempts_sent
    )


HANDLERS: Final = {
    events.SearchReceived: receive,
    events.AttemptAnswered: handle_answer,
    events.AttemptFailed: handle_failure,
    SearchDeadline: end_at_deadline,
    retry_policy.RetryDue: retry,
    hedging.HedgeDue: hedge,
    fanout.CapacityCheckDue: handle_capacity_check,
    search_queue.QueueTimeoutDue: shed_queued,
}
