"""Forwarded requests in progress: their shards and attempts."""

import enum
from typing import Final, NamedTuple

from amaranthpulley.state.forwarding import delegations, leaves, routes, waiting
from amaranthpulley.state.forwarding.client_accounts import accounts, tokens


class IncomingRequest(NamedTuple):
    """The parts of a client's request that decisions depend on.

    Attributes
    ----------
    key : int
        Number of the request, unique in this process.
    request_id : str
        The client's identifier of the request.
    host, path : str
        Select the route.
    fingerprints : tuple of int
        Hashes of what the request asks for, the same at every daemon: of all of it
        first, and of a part.
    deadline_ms : int or None
        Time that the client waits, from the arrival of the request.
    origin : Origin or None
        Set when another daemon accepted the request and this one runs it.
    key_digest : bytes or None
        Digest of the client's key; None if the client sent none, or several.
    """

    key: int
    request_id: str
    host: str
    path: str
    fingerprints: tuple[int, ...]
    deadline_ms: int | None
    origin: delegations.Origin | None = None
    key_digest: bytes | None = None


class AttemptEnd(enum.Enum):
    """How an attempt ended without a usable answer.

    With `TURNED_AWAY`, the leaf closed the new connection before anything was sent on
    it, as leaves do at their connection limit. With `OVERSIZED`, its answer exceeded
    the limits and was not read to its end.
    """

    UNREACHABLE = "unreachable"
    TURNED_AWAY = "turned_away"
    REJECTED = "rejected"
    WRONG_LEAF = "wrong_leaf"
    LOST = "lost"
    MALFORMED = "malformed"
    OVERSIZED = "oversized"
    FAILED = "failed"
    TIMED_OUT = "timed_out"


# Ends after which it is certain that the leaf did not run the request.
NOT_RUN = frozenset(
    {
        AttemptEnd.UNREACHABLE,
        AttemptEnd.TURNED_AWAY,
        AttemptEnd.REJECTED,
        AttemptEnd.WRONG_LEAF,
    }
)
# Ends after which the leaf has not received the request.
NOT_ARRIVED = frozenset({AttemptEnd.UNREACHABLE, AttemptEnd.TURNED_AWAY})
# Ends after which the leaf may accept the request a little later.
BUSY = frozenset({AttemptEnd.TURNED_AWAY, AttemptEnd.REJECTED})


# Status with which a leaf declines a request that is addressed to another leaf.
WRONG_LEAF_STATUS: Final = 421


class LeafDemands(NamedTuple):
    """What a leaf asks of the daemon in an answer.

    Attributes
    ----------
    limit_per_s : float or None
        Requests a second that it takes from all daemons together; None for no limit.
    leaving : bool
        Whether it is about to stop.
    pause_ms : int or None
        Time for which it wants no requests of this daemon, from a rejection.
    """

    limit_per_s: float | None = None
    leaving: bool = False
    pause_ms: int | None = None


NO_DEMANDS = LeafDemands()


class LeafAnswer(NamedTuple):
    """A complete answer of a leaf.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of (bytes, bytes)
        All headers, in their order.
    body : bytes
        The body.
    signature : bytes
        The leaf's signature of this answer; empty when there is none.
    not_run : bool
        Whether the leaf states that it did not run the request.
    encoded : bool
        Whether the body has a content encoding. Leaves send none, so such an answer is
        not the leaf's own and is not used.
    load : Load or None
        The leaf's load, if it reports one.
    demands : LeafDemands
        What the leaf asks of the daemon.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes
    signature: bytes
    not_run: bool
    encoded: bool
    load: leaves.Load | None
    demands: LeafDemands = NO_DEMANDS


class Attempt(NamedTuple):
    """One send of a request to a leaf.

    Attributes
    ----------
    number : int
        Unique in this process.
    request_key : int
        Key of the request.
    shard : int
        Index of the shard in the request's calls.
    start : LeafStart
        The start of the leaf to which it was sent.
    sent_ms : int
        Time of the send, by the monotonic clock.
    after_loss : bool
        Whether a leaf was known to have been lost under the request.
    """

    number: int
    request_key: int
    shard: int
    start: leaves.LeafStart
    sent_ms: int
    after_loss: bool

    @property
    def leaf_id(self) -> str:
        """Identity of the leaf."""
        return self.start.leaf_id


class TracedDecision(NamedTuple):
    """A decision about a request, kept until the request has ended.

    Attributes
    ----------
    at_ms : int
        Time of the decision, by the monotonic clock.
    decision : str
        The decision.
    service, detail : str
        The service concerned, and the leaf or another detail; may be empty.
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
        # Numbers of the attempts whose connection is still being opened.
        self.unsent: set[int] = set()
        self.tried: set[str] = set()
        # Number of times that each leaf may have run the request.
        self.runs: dict[str, int] = {}
        self.sends = 0
        # Leaves that may have run the request on behalf of a delegate.
        self.runs_elsewhere = 0
        self.answer: LeafAnswer | None = None
        # A leaf's error response, passed on if no leaf succeeds.
        self.failure: LeafAnswer | None = None
        self.closed = False
        # Whether it, or its send to a second leaf, waits until another part shows what
        # its leaf does.
        self.held = False
        self.hedge_held = False
        self.hedge_due_ms: int | None = None
        self.retry_due_ms: int | None = None
        # Its entry in the queue of its service.
        self.waiting: waiting.WaitingCall | None = None

    def count_run(self, leaf_id: str) -> None:
        """Count a send as a possible run on the leaf."""
        self.runs[leaf_id] = self.runs.get(leaf_id, 0) + 1

    def uncount_run(self, leaf_id: str) -> None:
        """Undo `count_run` for a send that the leaf certainly did not run."""
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
        The route in force at its arrival, kept until it ends.
    version : int
        Version of the configuration that the route is from.
    arrived_ms : int
        Time at which it was read, by the monotonic clock.
    give_up_ms : int
        Time at which it gets its final answer at the latest.
    """

    def __init__(
        self,
        incoming: IncomingRequest,
        route: routes.Route,
        version: int,
        arrived_ms: int,
        give_up_ms: int,
    ) -> None:
        self.incoming = incoming
        # As the configuration states it; `route` has the account's limits applied.
        self.own_route = route
        self.route = route
        self.account: accounts.Account | None = None
        # Account name for the leaves: None if they get the client's headers as they
        # are, empty if the request has no account.
        self.leaf_account: str | None = None
        # Whether its key has been withdrawn: it is sent to no further leaf.
        self.withdrawn = False
        self.version = version
        self.arrived_ms = arrived_ms
        self.give_up_ms = give_up_ms
        self.calls: list[ShardCall] = []
        self.open_calls = 0
        self.delegation: delegations.Delegation | None = None
        self.tried_delegates: set[str] = set()
        # Whether leaves may have run it on behalf of a delegate.
        self.ran_elsewhere = False
        # Attempts at leaves that were lost while no shard had answered, until they are
        # recorded as losses.
        self.lost_attempts: list[Attempt] = []
        # Whether it is sent to one leaf until a leaf answers.
        self.cautious = False
        # Whether one of its parts is held.
        self.held = False
        # The token of its account's quota, if it needed one.
        self.token: tokens.Token | None = None
        self.answered = False
        self.ended_ms: int | None = None
        self.wake_ms: int | None = None
        self.trace: list[TracedDecision] = []

    def set_account(
        self, account: accounts.Account | None, leaf_account: str | None
    ) -> None:
        """Set the account, and apply its priority and regions to the route."""
        self.account = account
        self.leaf_account = leaf_account
        self.route = routes.with_account(self.own_route, account)
