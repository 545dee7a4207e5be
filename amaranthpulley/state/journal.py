"""Records of requests, by which each customer's requests stay accountable."""

from typing import NamedTuple


class JournalRecord(NamedTuple):
    """What is kept of one request.

    Attributes
    ----------
    request_id : str
        Unique identifier of the request.
    customer, service : str
        Whose request it was, and to which service.
    kind : str
        ``"search"`` or ``"order"``.
    received_ms : int
        Time of arrival, in milliseconds since the Unix epoch.
    asked : str
        The query, or the payload of an order.
    key : str
        The key of a look-up or the idempotency key of an order, else empty.
    vm : str
        Name of the VM that received it.
    outcome : str
        Name of the outcome, with the code of a refusal; empty while not known.
    version : int
        Index version of the answer; 0 without one.
    coverage : float
        Coverage of the answer, 0.0 to 1.0.
    attempts : int
        Number of requests sent to targets for it.
    """

    request_id: str
    customer: str
    service: str
    kind: str
    received_ms: int
    asked: str
    key: str
    vm: str
    outcome: str = ""
    version: int = 0
    coverage: float = 0.0
    attempts: int = 0
