"""Commands that the decisions about forwarded requests return to the runtime."""

import enum
from typing import NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.state.forwarding import (
    crashes,
    delegations,
    peer_messages,
    requests,
    rollouts,
)


class Reuse(enum.Enum):
    """Which open connection to a leaf may be used for a request.

    With `RECENT`, it was used a moment ago, so that the leaf has not dropped it since.
    With `NONE`, a new connection is opened, which shows that the leaf runs.
    """

    ANY = "any"
    RECENT = "recent"
    NONE = "none"


class SendAttempt(NamedTuple):
    """Send a request to a leaf.

    Attributes
    ----------
    attempt : int
        Number of the attempt, repeated in the event that ends it.
    request_key : int
        The request to send.
    leaf_id, address : str
        The leaf.
    budget_ms : int
        Time that the leaf may take.
    reuse : Reuse
        Which open connection may be used.
    keep : bool
        Whether the connection may stay open after the answer.
    account : str or None
        Name of the client account for the leaf, in place of the client's headers with
        its key and account; None: these as the client sent them; empty: neither.
    """

    attempt: int
    request_key: int
    leaf_id: str
    address: str
    budget_ms: int
    reuse: Reuse
    keep: bool
    account: str | None = None


class SendToDelegate(NamedTuple):
    """Send a request to a daemon that runs it for this one.

    Attributes
    ----------
    delegation : int
        Number of the delegation, repeated in the events about it.
    request_key : int
        The request to send.
    address : str
        ``IP:port`` of the delegate.
    budget_ms : int
        Time until the answer is needed.
    origin : Origin
        What the delegate must know about the request.
    hides_key : bool
        Whether the client's headers with its key and account are left out.
    """

    delegation: int
    request_key: int
    address: str
    budget_ms: int
    origin: delegations.Origin
    hides_key: bool = False


class CancelAttempt(NamedTuple):
    """Cancel an attempt or a delegation by closing its connection."""

    attempt: int


class PassAnswer(NamedTuple):
    """Send a leaf's answer unchanged to the client."""

    request_key: int
    answer: requests.LeafAnswer


class SendMerged(NamedTuple):
    """Send the merged answer of several shards to the client.

    Attributes
    ----------
    signatures : tuple of bytes
        Signatures of the merged parts.
    missing : int
        Number of shards without a part in the answer.
    body : bytes
        The greatest records in descending order.
    """

    request_key: int
    signatures: tuple[bytes, ...]
    missing: int
    body: bytes


class Refusal(enum.Enum):
    """Reason for which the daemon refuses a request."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_LEAF = "no_leaf"
    NO_REGION = "no_region"
    UNAUTHORIZED = "unauthorized"
    OVERLOADED = "overloaded"
    CRASHES_LEAVES = "crashes_leaves"
    TIMED_OUT = "timed_out"
    TOO_FEW_SHARDS = "too_few_shards"
    OUTCOME_UNKNOWN = "outcome_unknown"
    OTHER_VERSION = "other_version"
    DRAINING = "draining"
    OVER_QUOTA = "over_quota"


class Refuse(NamedTuple):
    """Refuse a request.

    Attributes
    ----------
    not_run : bool
        Whether it is certain that no leaf has run or will run the request.
    retry_after_ms : int
        Time after which a retry is likely to be served; 0 if unknown.
    """

    request_key: int
    reason: Refusal
    not_run: bool
    retry_after_ms: int


class WakeAt(NamedTuple):
    """Schedule a `WakeDue` event, replacing an earlier one of the same request."""

    request_key: int
    due_ms: int


class OpenConnection(NamedTuple):
    """Open a connection to a leaf unless an idle one exists."""

    address: str


class ProbeLeaf(NamedTuple):
    """Run a health check of a leaf."""

    leaf_id: str
    address: str
    path: str


class ReportSlowness(NamedTuple):
    """Report the slowness of a leaf to other daemons.

    Attributes
    ----------
    slowness : float
        Ratio of the leaf's time to the route's mean.
    addresses : tuple of str
        ``IP:port`` of each recipient.
    """

    leaf_id: str
    slowness: float
    addresses: tuple[str, ...]


class SendToPeers(NamedTuple):
    """Send a message to other daemons by a datagram, which may be lost.

    Attributes
    ----------
    addresses : tuple of str
        ``IP:port`` of each recipient.
    """

    message: peer_messages.PeerMessage
    addresses: tuple[str, ...]


class PublishGrants(NamedTuple):
    """Write into this daemon's registration that it grants tokens of quotas."""


class PublishLosses(NamedTuple):
    """Write losses of leaves under requests to the store, and tell some daemons.

    Attributes
    ----------
    losses : tuple of Loss
        The losses.
    addresses : tuple of str
        ``IP:port`` of the daemons that are told at once.
    """

    losses: tuple[crashes.Loss, ...]
    addresses: tuple[str, ...] = ()


class WithdrawLosses(NamedTuple):
    """Remove losses from the store: a leaf has answered the request."""

    losses: tuple[crashes.Loss, ...]


class WriteRolloutStep(NamedTuple):
    """Write a step of a roll-out, unless one of its items has changed.

    Attributes
    ----------
    order, previous, status : int
        Numbers of the revisions that the order, the step before and the status must
        have; 0 for an item that must not exist.
    """

    service: str
    step: rollouts.Step
    order: int
    previous: int
    status: int


Command = (
    SendAttempt
    | SendToDelegate
    | CancelAttempt
    | PassAnswer
    | SendMerged
    | Refuse
    | WakeAt
    | OpenConnection
    | ProbeLeaf
    | ReportSlowness
    | SendToPeers
    | PublishGrants
    | PublishLosses
    | WithdrawLosses
    | WriteRolloutStep
    | commands.Log
)
