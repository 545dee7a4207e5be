"""Attribution of target crashes to requests, which are then refused.

A target has died when connections to it were lost and it then reports another boot id.
Every request that any daemon lost there is a suspect of this death, published as a
fact. A suspect is cleared when any target answers it after it was sent to the target
that died; this holds for hedges and cancelled attempts too. Deaths of one target in
close succession count as one, since a daemon may miss some of its restarts. A death
with a single remaining suspect is a proven crash of that request, and after two proven
crashes the daemons refuse the request until the facts expire. A death is evaluated only
once every daemon must have noticed it and its facts have arrived, because a request of
any daemon may have caused it.
"""

import hashlib
from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events
from amaranthpulley.state import crashes, log_events, requests
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state.control import facts

Random = Callable[[], float]
Commands = list[commands.Command]

REVIEW_INTERVAL_MS: Final = 500
LOSS_RETENTION_MS: Final = 10_000
FACT_SPREAD_MS: Final = 1_500
# A suspicion spreads, the peers review their own losses, and their suspicions spread.
SETTLE_MS: Final = 2 * (FACT_SPREAD_MS + REVIEW_INTERVAL_MS)
SAME_DEATH_WINDOW_MS: Final = 7_000
FACT_VALID_MS: Final = 600_000
RUNNING_GRACE_MS: Final = 1_000
MINIMUM_PROVEN_CRASHES: Final = 2
# Bounds the facts when a failure domain fails: many targets die at once, and their
# requests are not the cause.
FACTS_PER_WINDOW: Final = 64
WINDOW_MS: Final = 60_000

_LOSS_FAILURES: Final = (events.Failure.CONNECTION_LOST, events.Failure.TIMED_OUT)

SUSPECTED: Final = 1
CLEARED: Final = 2


class ReviewDue(NamedTuple):
    """Purpose of the timer that reviews the suspicions for proven crashes."""


class Suspicion(NamedTuple):
    """A request that may have caused a target's death, with the time of the fact."""

    target: str
    published_ms: int
    fingerprint: str
    death: str


def refuses(
    daemon: daemon_state.Daemon,
    request: requests.SearchRequest | requests.OrderRequest,
) -> bool:
    """Return whether a request is refused because it has crashed targets."""
    if not daemon.crashes.refused:
        return False
    if isinstance(request, requests.OrderRequest):
        content = crashes.RequestContent(request.service, request.payload, "")
    else:
        content = crashes.RequestContent(
            request.service, request.query, request.key or ""
        )
    return fingerprint_of(content) in daemon.crashes.refused


def fingerprint_of(content: crashes.RequestContent) -> str:
    """Return a digest that is equal for requests with the same content."""
    text = "\n".join(content)
    return hashlib.blake2b(text.encode(), digest_size=8).hexdigest()


def record_sent(daemon: daemon_state.Daemon, decided: Commands, now_ms: int) -> None:
    """Record the attempts among the commands that a decision returns."""
    for command in decided:
        if isinstance(command, commands.SendAttempt):
            expires_ms = now_ms + command.timeout_ms + RUNNING_GRACE_MS
            running = crashes.RunningAttempt(
                _content_of(command), command.target.name, now_ms, expires_ms
            )
            daemon.crashes.add_running(command.attempt_id, running, now_ms)


def start(
    daemon: daemon_state.Daemon, event: events.Started, now_ms: int, random: Random
) -> Commands:
    """Start the periodic review."""
    return [commands.SetTimer(ReviewDue(), now_ms + REVIEW_INTERVAL_MS)]


def handle_answer(
    daemon: daemon_state.Daemon,
    event: events.AttemptAnswered,
    now_ms: int,
    random: Random,
) -> Commands:
    """Clear a request that a target answered, and detect the target's death."""
    running = daemon.crashes.end_running(event.attempt_id)
    if running is None:
        return []
    daemon.crashes.record_answer(running.content, now_ms)
    detected = _detect_death(daemon, running.target, event.load.boot_id, now_ms)
    if daemon.crashes.lost or daemon.crashes.suspected:
        _clear(daemon, fingerprint_of(running.content), now_ms)
    return detected


def handle_failure(
    daemon: daemon_state.Daemon,
    event: events.AttemptFailed,
    now_ms: int,
    random: Random,
) -> Commands:
    """Record a request whose connection was lost or that timed out."""
    running = daemon.crashes.end_running(event.attempt_id)
    if running is None:
        return []
    is_loss = event.failure in _LOSS_FAILURES
    if is_loss and not daemon.crashes.is_cleared(running):
        lost = _recently_lost(daemon.crashes, running.target, now_ms)
        lost[fingerprint_of(running.content)] = now_ms
        daemon.crashes.lost[running.target] = lost
    if event.load is None:
        return []
    return _detect_death(daemon, running.target, event.load.boot_id, now_ms)


def review(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Update the set of refused requests from the proven crashes."""
    table = daemon.crashes
    settled_ms = now_ms - (SETTLE_MS if daemon.members.peers else 0)
    proven: dict[str, int] = {}
    suspicions = _suspicions(daemon, now_ms)
    _suspect_own_losses(daemon, suspicions, now_ms)
    for death in _deaths(suspicions):
        fingerprints = {suspicion.fingerprint for suspicion in death}
        if len(fingerprints) == 1 and death[-1].published_ms <= settled_ms:
            [fingerprint] = fingerprints
            proven[fingerprint] = proven.get(fingerprint, 0) + 1
    refused = frozenset(
        f for f, count in proven.items() if count >= MINIMUM_PROVEN_CRASHES
    )
    newly_refused = sorted(refused - table.refused)
    table.refused = refused
    daemon.counters.add("requests_blamed_total", len(newly_refused))
    return [
        *(
            commands.log(log_events.REQUEST_BLAMED, fingerprint=f)
            for f in newly_refused
        ),
        commands.SetTimer(ReviewDue(), now_ms + REVIEW_INTERVAL_MS),
    ]


def _suspicions(daemon: daemon_state.Daemon, now_ms: int) -> list[Suspicion]:
    suspected = daemon.crashes.suspected = {}
    found = []
    for fact, remaining_ms in daemon.facts.current(now_ms):
        if fact.kind is facts.FactKind.CRASH_COUNT and fact.value == SUSPECTED:
            fingerprint, _, death = fact.subject.partition("@")
            suspected.setdefault(fingerprint, set()).add(death)
            target = death.partition("@")[0]
            published_ms = now_ms + remaining_ms - FACT_VALID_MS
            found.append(Suspicion(target, published_ms, fingerprint, death))
    return sorted(found)


def _suspect_own_losses(
    daemon: daemon_state.Daemon, suspicions: list[Suspicion], now_ms: int
) -> None:
    # This daemon may not send to the target soon, so it may not see the new boot id.
    for target, published_ms, _, death in suspicions:
        if now_ms - published_ms <= SETTLE_MS:
            for fingerprint in sorted(_recently_lost(daemon.crashes, target, now_ms)):
                _publish_suspicion(daemon, fingerprint, death, now_ms)


def _recently_lost(
    table: crashes.CrashTable, target: str, now_ms: int
) -> dict[str, int]:
    lost = table.lost.get(target, {})
    return {
        f: at_ms for f, at_ms in lost.items() if now_ms - at_ms <= LOSS_RETENTION_MS
    }


def _publish_suspicion(
    daemon: daemon_state.Daemon, fingerprint: str, death: str, now_ms: int
) -> None:
    table = daemon.crashes
    subject = f"{fingerprint}@{death}"
    known = daemon.facts.get(facts.FactKind.CRASH_COUNT, subject, now_ms)
    if known is None and _may_publish(table, now_ms):
        _publish(daemon, fingerprint, death, SUSPECTED, now_ms)
        table.suspected.setdefault(fingerprint, set()).add(death)


def _deaths(suspicions: list[Suspicion]) -> list[list[Suspicion]]:
    deaths: list[list[Suspicion]] = []
    for suspicion in suspicions:
        last = deaths[-1][-1] if deaths else None
        same_target = last is not None and last.target == suspicion.target
        if (
            same_target
            and suspicion.published_ms - last.published_ms <= SAME_DEATH_WINDOW_MS
        ):
            deaths[-1].append(suspicion)
        else:
            deaths.append([suspicion])
    return deaths


def _detect_death(
    daemon: daemon_state.Daemon, target: str, boot_id: str, now_ms: int
) -> Commands:
    table = daemon.crashes
    previous_boot_id = table.boot_ids.get(target)
    table.boot_ids[target] = boot_id
    if previous_boot_id is None:
        return []
    recent = _recently_lost(table, target, now_ms)
    table.lost.pop(target, None)
    if previous_boot_id == boot_id or not recent:
        # The target did not restart; only connections were lost.
        return []
    # Attempts still in flight may have been sent before the target died.
    suspects = {fingerprint_of(content) for content in table.running_at(target)}
    suspects.update(recent)
    daemon.counters.add("target_deaths_total")
    death = f"{target}@{boot_id}"
    for fingerprint in sorted(suspects):
        _publish_suspicion(daemon, fingerprint, death, now_ms)
    died = commands.log(log_events.TARGET_DIED, target=target, suspects=len(suspects))
    return [died]


def _may_publish(table: crashes.CrashTable, now_ms: int) -> bool:
    if now_ms - table.window_start_ms >= WINDOW_MS:
        table.window_start_ms = now_ms
        table.published_in_window = 0
    table.published_in_window += 1
    return table.published_in_window <= FACTS_PER_WINDOW


def _clear(daemon: daemon_state.Daemon, fingerprint: str, now_ms: int) -> None:
    daemon.crashes.discard_lost(fingerprint)
    for death in daemon.crashes.suspected.pop(fingerprint, ()):
        _publish(daemon, fingerprint, death, CLEARED, now_ms)


def _publish(
    daemon: daemon_state.Daemon, fingerprint: str, death: str, value: int, now_ms: int
) -> None:
    fact = facts.Fact(facts.FactKind.CRASH_COUNT, f"{fingerprint}@{death}", value)
    daemon.facts.publish(fact, now_ms + FACT_VALID_MS)


def _content_of(command: commands.SendAttempt) -> crashes.RequestContent:
    service = command.target.service
    call = command.call
    if isinstance(call, commands.OrderCall):
        return crashes.RequestContent(service, call.payload, "")
    return crashes.RequestContent(service, call.query, call.key or "")


HANDLERS: Final = {
    events.Started: start,
    events.AttemptAnswered: handle_answer,
    events.AttemptFailed: handle_failure,
    ReviewDue: review,
}
