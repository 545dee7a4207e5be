"""Searches: fan-out, merging of one snapshot, and the answer with its coverage."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import (
    admission,
    answering,
    commands,
    events,
    fanout,
    snapshots,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, requests, searches, topology

Random = Callable[[], float]
Commands = list[commands.Command]


class SearchDeadline(NamedTuple):
    """Purpose of the timer that ends a search, or lets it wait for coverage."""

    request_id: str


def receive(
    daemon: daemon_state.Daemon,
    event: events.SearchReceived,
    now_ms: int,
    random: Random,
) -> Commands:
    """Begin a search or refuse it."""
    request = event.request
    verdict = admission.admit(daemon, request, topology.ServiceKind.SEARCH, now_ms)
    if isinstance(verdict, requests.Refusal):
        return answering.answer(daemon, request, verdict, elapsed_ms=0)
    search = searches.Search(
        request,
        verdict.service,
        now_ms,
        verdict.deadline_ms,
        verdict.hard_deadline_ms,
    )
    daemon.searches.add(search)
    received = commands.log(
        log_events.REQUEST_RECEIVED,
        request_id=request.request_id,
        service=request.service,
    )
    deadline = SearchDeadline(request.request_id)
    search.version = snapshots.pin_version(daemon, request.service)
    return [
        received,
        commands.SetTimer(deadline, search.deadline_ms),
        *fanout.ask_missing(daemon, search, now_ms, random),
        *_proceed(daemon, search, now_ms, random),
    ]


def take_answer(
    daemon: daemon_state.Daemon,
    event: events.AttemptAnswered,
    now_ms: int,
    random: Random,
) -> Commands:
    """Merge a leaf's answer into its search."""
    ended = daemon.searches.end_attempt(event.attempt_id)
    if ended is None:
        return []
    search, attempt = ended
    search.may_have_run = True
    fanout.end_attempt(daemon, attempt)
    daemon.targets.report(attempt.target.name, event.load)
    part = event.answer
    state = daemon.targets.of(attempt.target.name)
    is_news = state.ranges.get(part.version) != part.ranges
    state.ranges[part.version] = part.ranges
    if search.version is None:
        search.version = part.version
    if part.version != search.version:
        return _ask_pinned(daemon, search, attempt, now_ms, random)
    search.merge(part)
    asked: Commands = []
    if is_news and not search.complete:
        asked = fanout.ask_missing(daemon, search, now_ms, random)
    return [*asked, *_proceed(daemon, search, now_ms, random)]


def take_failure(
    daemon: daemon_state.Daemon,
    event: events.AttemptFailed,
    now_ms: int,
    random: Random,
) -> Commands:
    """Ask another replica after a failed attempt."""
    ended = daemon.searches.end_attempt(event.attempt_id)
    if ended is None:
        return []
    search, attempt = ended
    fanout.end_attempt(daemon, attempt)
    search.may_have_run |= not event.failure.not_run
    if event.load is not None:
        daemon.targets.report(attempt.target.name, event.load)
    failed = commands.log(
        log_events.ATTEMPT_FAILED,
        request_id=search.request.request_id,
        target=attempt.target.name,
        failure_domain=attempt.target.failure_domain,
        failure=event.failure.value,
    )
    return [
        failed,
        *fanout.ask_again(daemon, search, attempt.shard, now_ms, random),
        *_proceed(daemon, search, now_ms, random),
    ]


def retry(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Ask a shard again after a pause."""
    purpose = event.purpose
    search = daemon.searches.get(purpose.request_id)
    if search is None or purpose.restarts != search.restarts:
        return []
    return [
        *fanout.end_waiting(daemon, search, purpose.shard, now_ms, random),
        *_proceed(daemon, search, now_ms, random),
    ]


def end_at_deadline(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Answer when the time is over, unless the service waits for coverage."""
    search = daemon.searches.get(event.purpose.request_id)
    if search is None:
        return []
    if now_ms < search.hard_deadline_ms and fanout.waits_for_coverage(search):
        return [commands.SetTimer(event.purpose, search.hard_deadline_ms)]
    return _end(daemon, search, now_ms)


def _ask_pinned(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    attempt: searches.Attempt,
    now_ms: int,
    random: Random,
) -> Commands:
    # The leaf chose another version than the one that was pinned meanwhile; it may
    # hold the pinned one too.
    search.tried[attempt.shard].discard(attempt.target.name)
    return [
        *fanout.ask_again(daemon, search, attempt.shard, now_ms, random),
        *_proceed(daemon, search, now_ms, random),
    ]


def _proceed(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    now_ms: int,
    random: Random,
) -> Commands:
    """End a search that has all it can get; begin it again where that helps."""
    if search.complete or now_ms >= search.hard_deadline_ms:
        return _end(daemon, search, now_ms)
    if now_ms >= search.deadline_ms and not fanout.waits_for_coverage(search):
        return _end(daemon, search, now_ms)
    if search.attempts:
        return []
    version = snapshots.next_version(daemon, search)
    if version is not None:
        return _restart(daemon, search, version, now_ms, random)
    if search.waiting:
        return []
    asked = fanout.ask_missing(daemon, search, now_ms, random)
    return asked or _end(daemon, search, now_ms)


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
    cancelled = fanout.cancel(daemon, search, list(search.attempts.values()))
    search.restart(version)
    return [
        restarted,
        *cancelled,
        *fanout.ask_missing(daemon, search, now_ms, random),
        *_proceed(daemon, search, now_ms, random),
    ]


def _end(daemon: daemon_state.Daemon, search: searches.Search, now_ms: int) -> Commands:
    cancelled = fanout.cancel(daemon, search, list(search.attempts.values()))
    daemon.searches.remove(search)
    elapsed_ms = now_ms - search.started_ms
    outcome = _outcome_of(search)
    return [
        *answering.answer(
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
    events.AttemptAnswered: take_answer,
    events.AttemptFailed: take_failure,
    SearchDeadline: end_at_deadline,
    fanout.RetryDue: retry,
}
