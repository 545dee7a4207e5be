"""Commands: every side effect that a decision can request."""

from typing import NamedTuple

from amaranthpulley.state import log_events, requests, store
from amaranthpulley.state.control import topology


class SearchCall(NamedTuple):
    """The query sent to a leaf; with version None the leaf chooses the version."""

    query: str
    key: str | None
    version: int | None


class OrderCall(NamedTuple):
    """The order sent to a target, with the time within which it may start."""

    idempotency_key: str
    payload: str
    deadline_ms: int


class SendAttempt(NamedTuple):
    """Send a request to a target.

    Exactly one `events.AttemptAnswered` or `events.AttemptFailed` reports its end.

    Attributes
    ----------
    attempt_id, request_id : str
        Identify the attempt and the caller's request.
    target : Target
        Where to send it.
    call : SearchCall or OrderCall
        What to send.
    timeout_ms : int
        Time after which the attempt fails; also sent to the target.
    """

    attempt_id: str
    request_id: str
    target: topology.Target
    call: SearchCall | OrderCall
    timeout_ms: int


class CancelAttempt(NamedTuple):
    """Notify a target that the result of an attempt is no longer needed."""

    attempt_id: str
    target: topology.Target


class AnswerCaller(NamedTuple):
    """Answer a caller's request; sent exactly once for each request.

    Attributes
    ----------
    request : SearchRequest or OrderRequest
        The request that ends.
    outcome : Outcome
        The outcome sent to the caller.
    elapsed_ms : int
        Time since the request arrived.
    """

    request: requests.SearchRequest | requests.OrderRequest
    outcome: requests.Outcome
    elapsed_ms: int


class SetTimer(NamedTuple):
    """Report `events.TimerDue` with this purpose at a reading of the clock.

    A timer cannot be cancelled; its handler ignores it when it no longer applies.
    """

    purpose: tuple
    due_ms: int


class CallStore(NamedTuple):
    """Call the platform's store; ends with one `events.StoreReplied`."""

    purpose: tuple
    operation: store.Operation
    timeout_ms: int


class CallPeer(NamedTuple):
    """Send a message to a peer; ends with one `events.PeerReplied`."""

    purpose: tuple
    address: str
    message: tuple
    timeout_ms: int


class ReplyPeer(NamedTuple):
    """Reply to a peer's call.

    Each `events.PeerCalled` gets exactly one `ReplyPeer` or `RejectPeer`.
    """

    call_id: str
    reply: tuple


class RejectPeer(NamedTuple):
    """Refuse a peer's call in place of a reply."""

    call_id: str
    reason: str


class ListVms(NamedTuple):
    """Read the platform's VM list; ends with one `events.VmsListed`."""

    timeout_ms: int


class Log(NamedTuple):
    """Write a log event with its fields."""

    event: log_events.LogEvent
    fields: tuple[tuple[str, str | int | float | bool], ...]


class StopListening(NamedTuple):
    """Stop accepting requests of callers; later ones produce no events."""


class Exit(NamedTuple):
    """End the process."""

    code: int


Command = (
    SendAttempt
    | CancelAttempt
    | AnswerCaller
    | SetTimer
    | CallStore
    | CallPeer
    | ReplyPeer
    | RejectPeer
    | ListVms
    | Log
    | StopListening
    | Exit
)


def log(event: log_events.LogEvent, **fields: str | int | float | bool) -> Log:
    """Return the command that writes a log event."""
    return Log(event, tuple(fields.items()))
