"""What is to be done about forwarded requests, in the order of the list."""

import enum
from typing import NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.state.forwarding import requests


class SendAttempt(NamedTuple):
    """Send a request to a leaf.

    Attributes
    ----------
    attempt : int
        Comes back with the attempt's end.
    request_key : int
        The request whose bytes are sent.
    leaf_id, address : str
        The leaf.
    budget_ms : int
        Time that the leaf may take.
    fresh : bool
        Only a connection that cannot have gone stale will do.
    keep : bool
        The connection may be kept after the answer.
    """

    attempt: int
    request_key: int
    leaf_id: str
    address: str
    budget_ms: int
    fresh: bool
    keep: bool


class CancelAttempt(NamedTuple):
    """End an attempt by closing its connection."""

    attempt: int


class PassAnswer(NamedTuple):
    """Give the client a leaf's answer, unchanged."""

    request_key: int
    answer: requests.LeafAnswer


class SendMerged(NamedTuple):
    """Give the client the merged answer of several shards.

    Attributes
    ----------
    signatures : tuple of bytes
        Signatures of the parts that are in.
    missing : int
        Number of shards that are not.
    body : bytes
        The greatest records, greatest first.
    """

    request_key: int
    signatures: tuple[bytes, ...]
    missing: int
    body: bytes


class Refusal(enum.Enum):
    """Why a request gets an answer of the daemon's own."""

    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    NO_LEAF = "no_leaf"
    OVERLOADED = "overloaded"
    CRASHES_LEAVES = "crashes_leaves"
    TIMED_OUT = "timed_out"
    TOO_FEW_SHARDS = "too_few_shards"
    OUTCOME_UNKNOWN = "outcome_unknown"


class Refuse(NamedTuple):
    """Give the client an answer of the daemon's own.

    Attributes
    ----------
    reason : Refusal
        Why.
    not_run : bool
        Whether it is certain that no leaf has run the request, nor will.
    retry_after_ms : int
        When a repeat is likely to be served; 0 when that is not known.
    """

    request_key: int
    reason: Refusal
    not_run: bool
    retry_after_ms: int


class WakeAt(NamedTuple):
    """Feed `WakeDue` at a time; replaces an earlier one for the same request."""

    request_key: int
    due_ms: int


class OpenConnection(NamedTuple):
    """Have a connection to a leaf ready, unless there is one."""

    address: str


class ProbeLeaf(NamedTuple):
    """Ask a leaf for its health."""

    leaf_id: str
    address: str
    path: str


class ReportSlowness(NamedTuple):
    """Tell other daemons that a leaf took so many usual times."""

    leaf_id: str
    slowness: float
    addresses: tuple[str, ...]


Command = (
    SendAttempt
    | CancelAttempt
    | PassAnswer
    | SendMerged
    | Refuse
    | WakeAt
    | OpenConnection
    | ProbeLeaf
    | ReportSlowness
    | commands.Log
)
