"""Submission of claims and outcomes to the owner of their range.

The owner is the live daemon selected by rendezvous hashing. When it does not answer,
the submitting daemon commits the operation itself: the compare-and-swap prevents
conflicting writes by the two, and operations are idempotent.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.orders import claim_commit
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import log_events
from amaranthpulley.state.orders import claims

Random = Callable[[], float]
Commands = list[commands.Command]

OWNER_TIMEOUT_MS: Final = 600
RECORD_TIMEOUT_MS: Final = 1_000
MINIMUM_RECORD_BACKOFF_MS: Final = 100
MAXIMUM_RECORD_BACKOFF_MS: Final = 10_000
MAXIMUM_RECORD_TRIES: Final = 100

_Kind = claims.VerdictKind


class OperationSent(NamedTuple):
    """Purpose of the peer call that sends an operation to the owner."""

    operation: claims.Operation
    expires_ms: int


class RecordRetryDue(NamedTuple):
    """Purpose of the timer that submits an unrecorded outcome again."""

    operation: claims.Operation


class PeerVerdict(NamedTuple):
    """The verdict in a peer's reply; None while the operation is being retried."""

    operation: claims.Operation
    verdict: claims.Verdict | None
    retry_commands: Commands


def submit(
    daemon: daemon_state.Daemon, operation: claims.Operation, now_ms: int
) -> Commands:
    """Send an operation to the owner of its range.

    The verdict arrives as the reply to `OperationSent`, read with `resolve_peer_reply`,
    or with `claim_commit.VerdictReady`.
    """
    owner = daemon.members.owner_of(owner_key(claims.range_of(operation.key)))
    if owner.name == daemon.identity.name:
        return claim_commit.enqueue(daemon, operation, None, now_ms)
    purpose = OperationSent(operation, now_ms + operation.wait_ms)
    timeout_ms = min(operation.wait_ms, OWNER_TIMEOUT_MS)
    return [commands.CallPeer(purpose, owner.address, operation, timeout_ms)]


def owner_key(index: int) -> str:
    """Return the key that selects the owner of a range by rendezvous hashing."""
    return f"claims/{index:04d}"


def accept_peer_operation(
    daemon: daemon_state.Daemon, event: events.PeerCalled, now_ms: int, random: Random
) -> Commands:
    """Commit an operation for a peer."""
    return claim_commit.enqueue(daemon, event.message, event.call_id, now_ms)


def resolve_peer_reply(
    daemon: daemon_state.Daemon, event: events.PeerReplied, now_ms: int
) -> PeerVerdict:
    """Return the owner's verdict, or commit the operation here if it did not answer."""
    operation, expires_ms = event.purpose
    if not isinstance(event.reply, events.PeerFailure):
        return PeerVerdict(operation, event.reply, [])
    daemon.counters.add("claim_owner_failures_total", reason=event.reply.value)
    remaining_ms = expires_ms - now_ms
    if remaining_ms <= 0:
        return PeerVerdict(operation, claims.Verdict(_Kind.UNCERTAIN), [])
    again = operation._replace(wait_ms=remaining_ms)
    retry_commands = claim_commit.enqueue(daemon, again, None, now_ms)
    return PeerVerdict(operation, None, retry_commands)


def record_outcome(
    daemon: daemon_state.Daemon,
    claim: claims.Operation,
    status: claims.ClaimStatus,
    result: str,
    now_ms: int,
) -> Commands:
    """Record the outcome of a claimed order, with retries until it is in the store.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    claim : Operation
        The operation that claimed the order, with an updated record.
    status : ClaimStatus
        The outcome.
    result : str
        The target's reply when the status is `DONE`.
    now_ms : int
        Reading of the monotonic clock, in milliseconds.
    """
    operation = claim._replace(status=status, result=result, wait_ms=RECORD_TIMEOUT_MS)
    return _send_record(daemon, operation, 0, now_ms)


def handle_record_verdict(
    daemon: daemon_state.Daemon,
    operation: claims.Operation,
    verdict: claims.Verdict,
    now_ms: int,
    random: Random,
) -> Commands:
    """Remove a recorded outcome, or schedule another try with exponential backoff."""
    entry = daemon.orders.unrecorded(operation)
    if entry is None:
        return []
    if verdict.kind in (_Kind.GRANTED, _Kind.FOUND):
        daemon.orders.remove_unrecorded(operation)
        return []
    if entry.tries >= MAXIMUM_RECORD_TRIES:
        daemon.orders.remove_unrecorded(operation)
        return [_log_dropped_outcome(daemon)]
    daemon.orders.add_unrecorded(operation, entry.tries + 1)
    longest_ms = min(
        MINIMUM_RECORD_BACKOFF_MS << entry.tries, MAXIMUM_RECORD_BACKOFF_MS
    )
    wait_ms = int(longest_ms * (0.5 + random() / 2))
    return [commands.SetTimer(RecordRetryDue(operation), now_ms + wait_ms)]


def retry_record(
    daemon: daemon_state.Daemon, event: events.TimerDue, now_ms: int, random: Random
) -> Commands:
    """Submit an outcome again unless it has been recorded."""
    operation = event.purpose.operation
    entry = daemon.orders.unrecorded(operation)
    if entry is None:
        return []
    return _send_record(daemon, operation, entry.tries, now_ms)


def _send_record(
    daemon: daemon_state.Daemon, operation: claims.Operation, tries: int, now_ms: int
) -> Commands:
    kept_all = daemon.orders.add_unrecorded(operation, tries)
    dropped = [] if kept_all else [_log_dropped_outcome(daemon)]
    return [*dropped, *submit(daemon, operation, now_ms)]


def _log_dropped_outcome(daemon: daemon_state.Daemon) -> commands.Log:
    daemon.counters.add("order_outcomes_dropped_total")
    return commands.log(log_events.ORDER_OUTCOME_DROPPED)


HANDLERS: Final = {
    claims.Operation: accept_peer_operation,
    RecordRetryDue: retry_record,
}
