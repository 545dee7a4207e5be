"""Requests of callers and their outcomes."""

import enum
from typing import NamedTuple


class SearchRequest(NamedTuple):
    """A search over all shards of a service, or a look-up of one key.

    Attributes
    ----------
    request_id : str
        Unique identifier given by the daemon that received the request.
    customer : str
        The customer that the request is accounted to.
    service : str
        Name of the service.
    query : str
        Text for the leaves; the daemon does not interpret it.
    key : str or None
        The key of a look-up; None for a search over the whole key space.
    deadline_ms : int or None
        Time the caller is ready to wait; None for the service's own deadline.
    """

    request_id: str
    customer: str
    service: str
    query: str
    key: str | None = None
    deadline_ms: int | None = None


class OrderRequest(NamedTuple):
    """A request with side effects, which runs at most once.

    Attributes
    ----------
    request_id : str
        Unique identifier given by the daemon that received the request.
    customer : str
        The customer that the request is accounted to.
    service : str
        Name of the service.
    idempotency_key : str
        The caller's identifier of the order, the same for each repeat.
    payload : str
        Text for the target; the daemon does not interpret it.
    deadline_ms : int or None
        Time the caller is ready to wait; None for the service's own deadline.
    """

    request_id: str
    customer: str
    service: str
    idempotency_key: str
    payload: str
    deadline_ms: int | None = None


class Row(NamedTuple):
    """One result of a search."""

    position: int
    key: str
    value: str


class SearchAnswer(NamedTuple):
    """The merged answer to a search.

    Attributes
    ----------
    rows : tuple of Row
        Results in ascending order of their position in the key space.
    version : int
        The index version that every row was read from.
    coverage : float
        Share of the searched part of the key space that the answer covers, 0.0 to 1.0.
    attempts : int
        Number of requests that were sent to targets for the search.
    """

    rows: tuple[Row, ...]
    version: int
    coverage: float
    attempts: int


class OrderDone(NamedTuple):
    """An order that ran; `result` is the target's reply."""

    result: str
    repeated: bool


class OrderUnknown(NamedTuple):
    """An order that was sent and whose outcome is not known."""

    message: str


class RefusalCode(enum.StrEnum):
    """Why a request was refused."""

    NOT_READY = "not_ready"
    UNKNOWN_SERVICE = "unknown_service"
    WRONG_KIND = "wrong_kind"
    DEADLINE_PASSED = "deadline_passed"
    OVERLOADED = "overloaded"
    NO_TARGET = "no_target"
    INSUFFICIENT_COVERAGE = "insufficient_coverage"
    STORE_UNAVAILABLE = "store_unavailable"
    KEY_REUSED = "key_reused"
    CRASHES_TARGETS = "crashes_targets"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL_ERROR = "internal_error"


class Refusal(NamedTuple):
    """A request that is refused.

    Attributes
    ----------
    code : RefusalCode
        Reason for the refusal.
    message : str
        Explanation, with what the caller can do.
    not_run : bool
        True only if it is certain that no target ran any part of the request.
    """

    code: RefusalCode
    message: str
    not_run: bool


Outcome = SearchAnswer | OrderDone | OrderUnknown | Refusal
