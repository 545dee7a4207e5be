"""What happens to forwarded requests; each event is fed to the engine once."""

from typing import NamedTuple

from amaranthpulley.state.forwarding import gateway, leaves, requests, routes


class RequestArrived(NamedTuple):
    """A whole request has been read."""

    request: requests.IncomingRequest


class ClientLeft(NamedTuple):
    """The client has closed its connection before the answer."""

    request_key: int


class AttemptAnswered(NamedTuple):
    """A leaf's whole answer to an attempt has been read.

    Attributes
    ----------
    opened : bool
        A new connection was opened for the attempt.
    """

    attempt: int
    answer: requests.LeafAnswer
    opened: bool = False


class AttemptFailed(NamedTuple):
    """An attempt has ended without an answer."""

    attempt: int
    end: requests.AttemptEnd


class WakeDue(NamedTuple):
    """A time has come that a decision about a request asked for."""

    request_key: int


class ConfigurationRead(NamedTuple):
    """A version of the configuration has been read from the store."""

    configuration: routes.Configuration


class LeafWritten(NamedTuple):
    """A leaf's entry in the directory is new or has changed."""

    entry: leaves.LeafEntry


class LeafDeleted(NamedTuple):
    """A leaf's entry is no longer in the directory, or can no longer be read."""

    leaf_id: str


class ItemUnreadable(NamedTuple):
    """An item of the store cannot be read; another writer may have left it.

    Attributes
    ----------
    key, reason : str
        Which item, and why.
    leaf_id : str or None
        The leaf that it would name; it names no leaf to use.
    """

    key: str
    reason: str
    leaf_id: str | None


class DirectoryListed(NamedTuple):
    """All entries have been read, and each has been fed."""


class EvacuationChanged(NamedTuple):
    """A failure domain is taken out, or is taken back."""

    failure_domain: str
    evacuated: bool


class MemberChanged(NamedTuple):
    """A daemon has registered, or its registration has lapsed."""

    name: str
    member: gateway.Member | None


class StoreReached(NamedTuple):
    """The store has become reachable, or is no longer."""

    reachable: bool
    reason: str


class ProbeEnded(NamedTuple):
    """A health check has ended."""

    leaf_id: str
    healthy: bool


class SlownessReported(NamedTuple):
    """Another daemon of the region has had a late answer of a leaf.

    Attributes
    ----------
    slowness : float
        How many usual times the answer took.
    """

    leaf_id: str
    slowness: float


class TickDue(NamedTuple):
    """Housekeeping is due."""


class DrainRequested(NamedTuple):
    """The process has been asked to end."""


Event = (
    RequestArrived
    | ClientLeft
    | AttemptAnswered
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
    | ProbeEnded
    | SlownessReported
    | TickDue
    | DrainRequested
)
