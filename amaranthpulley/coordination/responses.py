"""Responses to callers, with their log events, counters and journal records."""

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
        The outcome sent to the caller.
    elapsed_ms : int
        Time since the request arrived, in milliseconds.
    attempts : int or None
        Number of requests sent to targets; None uses the number in the outcome.
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
    """Return the service's name for logs and metrics, or a fixed label if unknown.

    Callers may send any name, which would make the number of labels unbounded.
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
