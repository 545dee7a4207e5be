"""The end of a request: its answer, its log event and its counters."""

from typing import Final

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.accounts import request_journal
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events, requests

UNKNOWN_SERVICE: Final = "unknown"


def answer(
    daemon: daemon_state.Daemon,
    request: requests.SearchRequest | requests.OrderRequest,
    outcome: requests.Outcome,
    elapsed_ms: int,
    attempts: int | None = None,
) -> list[commands.Command]:
    """Return the commands that end a request.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    request : SearchRequest or OrderRequest
        The request that ends.
    outcome : Outcome
        What the caller gets.
    elapsed_ms : int
        Time since the request arrived, in milliseconds.
    attempts : int or None
        How many requests were sent to targets; None takes what the outcome says.
    """
    kind = type(outcome).__name__
    service = service_label(daemon, request)
    daemon.counters.add("requests_total", service=service, outcome=kind)
    event = log_events.REQUEST_ANSWERED
    fields = {"request_id": request.request_id, "elapsed_ms": elapsed_ms}
    if isinstance(outcome, requests.Refusal):
        event = log_events.REQUEST_REFUSED
        fields |= {"code": outcome.code.value, "not_run": outcome.not_run}
    if isinstance(outcome, requests.SearchAnswer):
        fields |= {"coverage": outcome.coverage, "version": outcome.version}
    if attempts is None:
        attempts = getattr(outcome, "attempts", 0)
    return [
        commands.AnswerCaller(request, outcome, elapsed_ms),
        commands.log(event, service=service, outcome=kind, **fields),
        *request_journal.append_record(daemon, request, outcome, attempts, elapsed_ms),
    ]


def service_label(
    daemon: daemon_state.Daemon, request: requests.SearchRequest | requests.OrderRequest
) -> str:
    """Return the service's name for logs and metrics, only if it is configured.

    Any other name is whatever the caller wrote, and there is no end of them.
    """
    known = daemon.configuration.service(request.service) is not None
    return request.service if known else UNKNOWN_SERVICE


def refuse(
    daemon: daemon_state.Daemon,
    request: requests.SearchRequest | requests.OrderRequest,
    code: requests.RefusalCode,
    message: str,
    not_run: bool = True,
    elapsed_ms: int = 0,
) -> list[commands.Command]:
    """Return the commands that refuse a request."""
    refusal = requests.Refusal(code, message, not_run)
    return answer(daemon, request, refusal, elapsed_ms)
