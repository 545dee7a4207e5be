"""Log events for the way of each attempt, whichever kind of request it serves."""

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
    """Log whether an answer still has a request that waits for it.

    It runs before the handlers that take the answer, which end the attempt.
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


def attempt_sent(command: commands.SendAttempt) -> commands.Log:
    """Return the log event for an attempt that a front end sends."""
    return commands.log(
        log_events.ATTEMPT_SENT,
        request_id=command.request_id,
        attempt_id=command.attempt_id,
        target=command.target.name,
    )


HANDLERS: Final = {events.AttemptAnswered: trace_answer}
