"""Log events and counters for the attempts of searches and orders."""

from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination import commands, events
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events

Random = Callable[[], float]
Commands = list[commands.Command]


def trace_answer(
    daemon: daemon_state.Daemon,
    event: events.AttemptAnswered,
    now_ms: int,
    random: Random,
) -> Commands:
    """Log an answer, or that it was discarded since no request waits for it.

    This must run before the handlers that process the answer, which end the attempt.
    """
    attempt_id = event.attempt_id
    request_id = daemon.searches.request_of(attempt_id)
    if request_id is None:
        request_id = daemon.orders.request_of(attempt_id)
    if request_id is None:
        return [commands.log(log_events.ANSWER_DISCARDED, attempt_id=attempt_id)]
    return [
        commands.log(
            log_events.ATTEMPT_ANSWERED, request_id=request_id, attempt_id=attempt_id
        )
    ]


def count_failure(
    daemon: daemon_state.Daemon,
    event: events.AttemptFailed,
    now_ms: int,
    random: Random,
) -> Commands:
    """Count a failed attempt by the failure domain of its target."""
    domain = _domain_of(daemon, event.attempt_id)
    if domain is not None:
        daemon.counters.add(
            "attempts_failed_total", failure_domain=domain, failure=event.failure.value
        )
    return []


def attempt_sent(command: commands.SendAttempt) -> commands.Log:
    """Return the log event that a front end writes when it sends an attempt."""
    return commands.log(
        log_events.ATTEMPT_SENT,
        request_id=command.request_id,
        attempt_id=command.attempt_id,
        target=command.target.name,
        failure_domain=command.target.failure_domain,
    )


def _domain_of(daemon: daemon_state.Daemon, attempt_id: str) -> str | None:
    search = daemon.searches.get(daemon.searches.request_of(attempt_id) or "")
    if search is not None:
        return search.attempts[attempt_id].target.failure_domain
    order = daemon.orders.of_attempt(attempt_id)
    if order is None or order.target is None:
        return None
    return order.target.failure_domain


HANDLERS: Final = {
    events.AttemptAnswered: trace_answer,
    events.AttemptFailed: count_failure,
}
