"""Events that the runtime feeds to the engine, each once."""

from typing import NamedTuple

from amaranthpulley.coordination.forwarding.rollouts import rollout_events
from amaranthpulley.state.forwarding import (
    crashes,
    gateway,
    leaves,
    peer_messages,
    requests,
    routes,
)


class RequestArrived(NamedTuple):
    """A whole request has been read."""

    request: requests.IncomingRequest


class ClientLeft(NamedTuple):
    """The client has closed its connection before it got an answer."""

    request_key: int


class AttemptAnswered(NamedTuple):
    """A leaf's whole answer to an attempt has been read.

    Attributes
    ----------
    opened : bool
        Whether a connection was opened for the attempt.
    """

    attempt: int
    answer: requests.LeafAnswer
    opened: bool = False


class AttemptOpening(NamedTuple):
    """A connection is being opened for an attempt; nothing has been sent on it.

    Attributes
    ----------
    attempt : int
        Number of the attempt.
    """

    attempt: int


class AttemptSent(NamedTuple):
    """An attempt has been sent on the connection that was opened for it.

    Attributes
    ----------
    attempt : int
        Number of the attempt.
    """

    attempt: int


class AttemptFailed(NamedTuple):
    """An attempt has ended without an answer."""

    attempt: int
    end: requests.AttemptEnd


class WakeDue(NamedTuple):
    """The time of a `WakeAt` command has come."""

    request_key: int


class ConfigurationRead(NamedTuple):
    """A version of the configuration has been read from the store."""

    configuration: routes.Configuration


class LeafWritten(NamedTuple):
    """A leaf's entry in the directory was added or changed."""

    entry: leaves.LeafEntry


class LeafDeleted(NamedTuple):
    """A leaf's entry was deleted from the directory or can no longer be read."""

    leaf_id: str


class ItemUnreadable(NamedTuple):
    """An item of the store cannot be decoded; another program may have written it.

    Attributes
    ----------
    key, reason : str
        Key of the item and the error.
    leaf_id : str or None
        The leaf whose entry it is, if its key names one.
    """

    key: str
    reason: str
    leaf_id: str | None


class DirectoryListed(NamedTuple):
    """All entries have been read; the event of each precedes this one."""


class EvacuationChanged(NamedTuple):
    """The evacuation of a failure domain has started or ended."""

    failure_domain: str
    evacuated: bool


class MemberChanged(NamedTuple):
    """A daemon has registered, or its registration has lapsed."""

    name: str
    member: gateway.Member | None


class Registered(NamedTuple):
    """The registration of this daemon was written or renewed.

    Attributes
    ----------
    until_ms : int
        Its end by the monotonic clock, counted from before the call.
    replaced : bool
        Whether it was written anew, because there was none that could be renewed.
    """

    until_ms: int
    replaced: bool = False


class StoreReached(NamedTuple):
    """The store has become reachable or unreachable."""

    reachable: bool
    reason: str


class StoreRestored(NamedTuple):
    """The store has come back from a copy and has lost what was written since.

    Attributes
    ----------
    era : int
        Era of the store, one more after each return from a copy.
    known_revision, revision : int
        Latest known revision before, and the store's revision now.
    """

    era: int
    known_revision: int
    revision: int


class StoreReadFailed(NamedTuple):
    """A listing or watch of the store has failed.

    Attributes
    ----------
    reason : str
        The error.
    waited_ms : int
        Time from the call to its failure.
    pause_ms : int
        Time until the next call.
    """

    reason: str
    waited_ms: int
    pause_ms: int


class ProbeEnded(NamedTuple):
    """A health check has ended.

    Attributes
    ----------
    replaced : bool
        Whether another leaf has answered at the address.
    demands : LeafDemands
        What the leaf asks for in its answer.
    load : Load or None
        The load that the leaf reports in its answer.
    """

    leaf_id: str
    healthy: bool
    replaced: bool = False
    demands: requests.LeafDemands = requests.NO_DEMANDS
    load: leaves.Load | None = None


class SlownessReported(NamedTuple):
    """Another daemon of the region has reported a late answer of a leaf.

    Attributes
    ----------
    slowness : float
        Ratio of the answer's time to the route's mean.
    """

    leaf_id: str
    slowness: float


class PeerMessageReceived(NamedTuple):
    """Another daemon has sent a message.

    Attributes
    ----------
    sender : str
        ``IP:port`` of that daemon.
    """

    message: peer_messages.PeerMessage
    sender: str


class LossPublished(NamedTuple):
    """A daemon has published that a leaf was lost while it ran a request."""

    loss: crashes.Loss


class LossTold(NamedTuple):
    """Another daemon has told this one a loss that it publishes."""

    loss: crashes.Loss


class LossWithdrawn(NamedTuple):
    """A published loss was withdrawn or has lapsed."""

    loss: crashes.Loss


class LossWriteFailed(NamedTuple):
    """Losses could not be written to the store; they are written again.

    Attributes
    ----------
    reason : str
        The error.
    losses : int
        Losses of the call.
    waited_ms, pause_ms : int
        Duration of the call, and time until the next one.
    """

    reason: str
    losses: int
    waited_ms: int
    pause_ms: int


class DelegateHeard(NamedTuple):
    """A delegate has received a request or is still working on it."""

    delegation: int


class DelegateAnswered(NamedTuple):
    """A delegate has answered.

    Attributes
    ----------
    missing : int or None
        Number of missing parts in a merged answer; None for any other answer.
    """

    delegation: int
    answer: requests.LeafAnswer
    missing: int | None


class DelegateFailed(NamedTuple):
    """The connection to a delegate was lost, or its answer was unusable."""

    delegation: int
    end: requests.AttemptEnd


class TickDue(NamedTuple):
    """The periodic work is due.

    Attributes
    ----------
    wall_ms : int or None
        Reading of the wall clock, in milliseconds; None if it is not known.
    """

    wall_ms: int | None = None


class DrainRequested(NamedTuple):
    """The process has been asked to stop."""


Event = (
    RequestArrived
    | ClientLeft
    | AttemptAnswered
    | AttemptOpening
    | AttemptSent
    | AttemptFailed
    | WakeDue
    | ConfigurationRead
    | LeafWritten
    | LeafDeleted
    | ItemUnreadable
    | DirectoryListed
    | EvacuationChanged
    | MemberChanged
    | StoreReached
    | StoreRestored
    | StoreReadFailed
    | Registered
    | ProbeEnded
    | SlownessReported
    | PeerMessageReceived
    | LossPublished
    | LossTold
    | LossWithdrawn
    | LossWriteFailed
    | DelegateHeard
    | DelegateAnswered
    | DelegateFailed
    | rollout_events.RolloutOrdered
    | rollout_events.RolloutStepRead
    | rollout_events.RolloutStatusRead
    | rollout_events.RolloutWriteEnded
    | TickDue
    | DrainRequested
)
