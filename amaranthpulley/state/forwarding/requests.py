"""Forwarded requests in progress: their shards and attempts."""

import enum
from typing import NamedTuple

from amaranthpulley.state.forwarding import routes


class IncomingRequest(NamedTuple):
    """A request as the front end read it, as far as decisions need it.

    Attributes
    ----------
    key : int
        The front end's name for the request, unique in this process.
    request_id : str
        The client's name for it.
    host, path : str
        What selects the route.
    fingerprint : int
        The same for requests of the same method, path and body.
    deadline_ms : int or None
        How long the client waits, counted from now.
    """

    key: int
    request_id: str
    host: str
    path: str
    fingerprint: int
    deadline_ms: int | None


class AttemptEnd(enum.Enum):
    """How an attempt ended without a usable answer.

    `TURNED_AWAY`: the leaf closed the new connection before anything was sent on it,
    as it does when it has too many.
    """

    UNREACHABLE = "unreachable"
    TURNED_AWAY = "turned_away"
    REJECTED = "rejected"
    WRONG_LEAF = "wrong_leaf"
    LOST = "lost"
    MALFORMED = "malformed"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


# After these ends it is certain that the leaf did not run the request.
NOT_RUN = frozenset(
    {
        AttemptEnd.UNREACHABLE,
        AttemptEnd.TURNED_AWAY,
        AttemptEnd.REJECTED,
        AttemptEnd.WRONG_LEAF,
    }
)
# After these ends the request has not even arrived.
NOT_ARRIVED = frozenset({AttemptEnd.UNREACHABLE, AttemptEnd.TURNED_AWAY})
# After these ends the leaf may take the request a little later.
BUSY = frozenset({AttemptEnd.TURNED_AWAY, AttemptEnd.REJECTED})


class LeafAnswer(NamedTuple):
    """A whole answer of a leaf.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        All headers, in their order.
    body : bytes
        The whole body.
    signature : bytes
        The leaf's signature of this answer; empty when there is none.
    not_run : bool
        The leaf says that it did not run the request.
    encoded : bool
        The body has a content encoding, so that it is not the leaf's own.
    load : tuple of int or None
        Running and waiting requests and slots, if the leaf reports them.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    signature: bytes
    not_run: bool
    encoded: bool
    load: tuple[int, int, int] | None


class Attempt(NamedTuple):
    """One send of a request to a leaf.

    Attributes
    ----------
    number : int
        Unique in this process.
    request_key : int
        The request.
    shard : int
        Index of the shard in the request's calls.
    leaf_id : str
        The leaf.
    sent_ms : int
        When it was sent, by the monotonic clock.
    """

    number: int
    request_key: int
    shard: int
    leaf_id: str
    sent_ms: int


class TracedDecision(NamedTuple):
    """A decision about a request, kept until the request has ended.

    Attributes
    ----------
    at_ms : int
        When it was made, by the monotonic clock.
    decision : str
        What was decided.
    service, detail : str
        The service that it is about, and the leaf or whatever else it names.
    """

    at_ms: int
    decision: str
    service: str
    detail: str


class ShardCall:
    """The part of a request that one service answers.

    Parameters
    ----------
    service : str
        The service.
    """

    def __init__(self, service: str) -> None:
        self.service = service
        self.attempts: dict[int, Attempt] = {}
        self.tried: set[str] = set()
        # How often each leaf may have run the request.
        self.runs: dict[str, int] = {}
        self.sends = 0
        self.answer: LeafAnswer | None = None
        # A leaf's own failure, passed on when nothing better comes.
        self.failure: LeafAnswer | None = None
        self.closed = False
        self.hedge_due_ms: int | None = None
        self.retry_due_ms: int | None = None

    def count_run(self, leaf_id: str) -> None:
        """Count a send as one that the leaf may run."""
        self.runs[leaf_id] = self.runs.get(leaf_id, 0) + 1

    def uncount_run(self, leaf_id: str) -> None:
        """Count a send as one that the leaf has certainly not run."""
        self.runs[leaf_id] -= 1
        if not self.runs[leaf_id]:
            del self.runs[leaf_id]


class ForwardedRequest:
    """A request between its arrival and its answer.

    Parameters
    ----------
    incoming : IncomingRequest
        The request.
    route : Route
        The route that was in force when it arrived.
    arrived_ms : int
        When it was read, by the monotonic clock.
    give_up_ms : int
        When it gets its final answer at the latest.
    """

    def __init__(
        self,
        incoming: IncomingRequest,
        route: routes.Route,
        arrived_ms: int,
        give_up_ms: int,
    ) -> None:
        self.incoming = incoming
        self.route = route
        self.arrived_ms = arrived_ms
        self.give_up_ms = give_up_ms
        self.calls: list[ShardCall] = []
        self.open_calls = 0
        self.answered = False
        self.ended_ms: int | None = None
        self.wake_ms: int | None = None
        self.trace: list[TracedDecision] = []
