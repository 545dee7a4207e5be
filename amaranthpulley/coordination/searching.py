"""Searches: fan-out, merging of one snapshot, and the answer with its coverage."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import (
    admission,
    answering,
    commands,
    events,
    routing,
)
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, requests, searches, topology

Random = Callable[[], float]
Commands = list[commands.Command]


class SearchDeadline(NamedTuple):
    """Purpose of the timer that ends a search."""

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
    version = routing.pin_version(daemon, request.service)
    search = searches.Search(
        request, verdict.service, now_ms, verdict.deadline_ms, version
    )
    daemon.searches.add(search)
    received = commands.log(
        log_events.REQUEST_RECEIVED,
        request_id=request.request_id,
        service=request.service,
    )
    deadline = commands.SetTimer(
        SearchDeadline(request.request_id), verdict.deadline_ms
    )
    return [
        received,
        deadline,
        *_ask_shards(daemon, search, now_ms, random),
        *_end_if_finished(daemon, search, now_ms),
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
    state = daemon.targets.of(attempt.target.name)
    state.in_flight -= 1
    state.load = event.load
    part = event.answer
    if search.version is None:
        search.version = part.version
    if part.version != search.version:
        return [
            *_retry_shard(daemon, search, attempt, now_ms, random),
            *_end_if_finished(daemon, search, now_ms),
        ]
    search.merge(part)
    return _end_if_finished(daemon, search, now_ms)


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
    state = daemon.targets.of(attempt.target.name)
    state.in_flight -= 1
    if event.load is not None:
        state.load = event.load
    failed = commands.log(
        log_events.ATTEMPT_FAILED,
        request_id=search.request.request_id,
        target=attempt.target.name,
        failure=event.failure.value,
    )
    return [
        failed,
        *_retry_shard(daemon, search, attempt, now_ms, random),
        *_end_if_finished(daemon, search, now_ms),
    ]


def end_at_deadline(
    daemon: daemon_state.Daemon,
    event: events.TimerDue,
    now_ms: int,
    random: Random,
) -> Commands:
    """Answer with what has been merged when the time is over."""
    search = daemon.searches.get(event.purpose.request_id)
    return [] if search is None else _end(daemon, search, now_ms)


def _ask_shards(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    now_ms: int,
    random: Random,
) -> Commands:
    sent = []
    for shard in daemon.configuration.shards(search.request.service):
        sent += _ask_shard(daemon, search, shard, now_ms, random)
    return sent


def _ask_shard(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    shard: str,
    now_ms: int,
    random: Random,
) -> Commands:
    request = search.request
    tried = search.tried.get(shard, ())
    replicas = routing.candidates(daemon, request.service, shard, search.version, tried)
    target = routing.choose(daemon, replicas, random)
    if target is None:
        return []
    attempt = searches.Attempt(
        daemon.next_id("attempt"), request.request_id, shard, target, now_ms
    )
    daemon.searches.add_attempt(search, attempt)
    daemon.targets.of(target.name).in_flight += 1
    call = commands.SearchCall(request.query, request.key, search.version)
    return [
        commands.SendAttempt(
            attempt.attempt_id,
            request.request_id,
            target,
            call,
            search.deadline_ms - now_ms,
        )
    ]


def _retry_shard(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    attempt: searches.Attempt,
    now_ms: int,
    random: Random,
) -> Commands:
    return _ask_shard(daemon, search, attempt.shard, now_ms, random)


def _end_if_finished(
    daemon: daemon_state.Daemon, search: searches.Search, now_ms: int
) -> Commands:
    if search.missing and search.attempts:
        return []
    return _end(daemon, search, now_ms)


def _end(daemon: daemon_state.Daemon, search: searches.Search, now_ms: int) -> Commands:
    cancelled: Commands = []
    for attempt in daemon.searches.remove(search):
        daemon.targets.of(attempt.target.name).in_flight -= 1
        cancelled.append(commands.CancelAttempt(attempt.attempt_id, attempt.target))
    elapsed_ms = now_ms - search.started_ms
    outcome = _outcome_of(search)
    return [
        *answering.answer(
            daemon, search.request, outcome, elapsed_ms, search.attempts_sent
        ),
        *cancelled,
    ]


def _outcome_of(search: searches.Search) -> requests.Outcome:
    if search.version is not None and search.coverage > 0.0:
        return requests.SearchAnswer(
            tuple(sorted(search.rows)),
            search.version,
            search.coverage,
            search.attempts_sent,
        )
    return requests.Refusal(
        requests.RefusalCode.NO_TARGET,
        "no leaf answered in time; try again later",
        not_run=search.attempts_sent == 0,
    )


HANDLERS: Final = {
    events.SearchReceived: receive,
    events.AttemptAnswered: take_answer,
    events.AttemptFailed: take_failure,
    SearchDeadline: end_at_deadline,
}
