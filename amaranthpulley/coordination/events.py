"""Events: every input to a daemon's decisions."""

import enum
from typing import NamedTuple

from amaranthpulley.state import requests, store, targets
from amaranthpulley.state.control import members
from amaranthpulley.state.searches import searches


class Started(NamedTuple):
    """The process has started and its sockets are open.

    Attributes
    ----------
    wall_offset_ms : int
        Added to a monotonic reading, gives milliseconds since the Unix epoch.
    """

    wall_offset_ms: int = 0


class SearchReceived(NamedTuple):
    """A caller sent a search or a look-up."""

    request: requests.SearchRequest


class OrderReceived(NamedTuple):
    """A caller sent an order."""

    request: requests.OrderRequest


class OrderReceipt(NamedTuple):
    """A target's reply to an order that it has run."""

    result: str


class AttemptAnswered(NamedTuple):
    """A target answered an attempt."""

    attempt_id: str
    answer: searches.SearchPart | OrderReceipt
    load: targets.TargetLoad


class Failure(enum.StrEnum):
    """Why an attempt has no answer."""

    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    VERSION_GONE = "version_gone"
    CONNECTION_LOST = "connection_lost"
    TIMED_OUT = "timed_out"
    MALFORMED = "malformed"
    CANCELLED = "cancelled"

    @property
    def not_run(self) -> bool:
        """Whether the target certainly did not run the attempt."""
        return self in (Failure.REFUSED, Failure.UNREACHABLE, Failure.VERSION_GONE)


class AttemptFailed(NamedTuple):
    """An attempt ended without an answer; `load` is known only if a reply came."""

    attempt_id: str
    failure: Failure
    load: targets.TargetLoad | None = None


class TimerDue(NamedTuple):
    """A timer set with `commands.SetTimer` is due; the purpose identifies it.

    Attributes
    ----------
    purpose : NamedTuple
        The purpose given in the command.
    due_ms : int or None
        The clock reading for which the timer was set; None to skip the measurement of
        the loop's lateness.
    """

    purpose: tuple
    due_ms: int | None = None


class StoreReplied(NamedTuple):
    """A store call ended; the purpose identifies it."""

    purpose: tuple
    operation: store.Operation
    result: store.Result


class PeerCalled(NamedTuple):
    """A peer sent a message and waits for the `commands.ReplyPeer` of this call.

    Attributes
    ----------
    call_id : str
        Identifies the call for the reply.
    sender_ip : str
        IP address of the connection's remote end.
    message : tuple
        One of the peer messages that the coordination modules define.
    """

    call_id: str
    sender_ip: str
    message: tuple


class PeerFailure(enum.StrEnum):
    """Why a call to a peer has no reply."""

    UNREACHABLE = "unreachable"
    TIMED_OUT = "timed_out"
    REJECTED = "rejected"


class PeerReplied(NamedTuple):
    """A call to a peer ended; the purpose identifies it."""

    purpose: tuple
    address: str
    reply: tuple | PeerFailure


class VmsListed(NamedTuple):
    """The platform's VM list was read; None when the call failed."""

    vms: tuple[members.Vm, ...] | None


class DrainRequested(NamedTuple):
    """The process was asked to stop after answering its requests."""


class StopRequested(NamedTuple):
    """The process was asked to stop immediately."""


Event = (
    Started
    | SearchReceived
    | OrderReceived
    | AttemptAnswered
    | AttemptFailed
    | TimerDue
    | StoreReplied
    | PeerCalled
    | PeerReplied
    | VmsListed
    | DrainRequested
    | StopRequested
)
