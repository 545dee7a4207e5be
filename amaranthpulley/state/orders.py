"""Orders in progress and the claims that let them run at most once."""

import enum
from typing import NamedTuple

from amaranthpulley.state import requests, topology


class ClaimStatus(enum.StrEnum):
    """How far a claimed order has come."""

    CLAIMED = "claimed"
    DONE = "done"
    NOT_RUN = "not_run"


class Claim(NamedTuple):
    """The stored right to run one order.

    Attributes
    ----------
    claim_id : str
        Identifies the daemon's try at claiming; tells own from foreign claims.
    fingerprint : str
        Digest of the service and payload; tells a repeat from another order.
    status : ClaimStatus
        How far the order has come.
    result : str
        The target's reply when the status is done.
    """

    claim_id: str
    fingerprint: str
    status: ClaimStatus
    result: str = ""


class Order:
    """One order in progress."""

    def __init__(
        self,
        request: requests.OrderRequest,
        service: topology.Service,
        started_ms: int,
        deadline_ms: int,
        claim: Claim,
    ) -> None:
        self.request = request
        self.service = service
        self.started_ms = started_ms
        self.deadline_ms = deadline_ms
        self.claim = claim
        self.claim_revision = 0
        self.attempt_id: str | None = None
        self.target: topology.Target | None = None
        self.attempts_sent = 0


class OrderTable:
    """Orders in progress by request and by attempt."""

    def __init__(self) -> None:
        self._orders: dict[str, Order] = {}
        self._requests_by_attempt: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._orders)

    def add(self, order: Order) -> None:
        """Enter an order."""
        self._orders[order.request.request_id] = order

    def get(self, request_id: str) -> Order | None:
        """Return an order, or None when it has been answered."""
        return self._orders.get(request_id)

    def add_attempt(self, order: Order, attempt_id: str) -> None:
        """Enter the attempt that carries the order to a target."""
        order.attempt_id = attempt_id
        order.attempts_sent += 1
        self._requests_by_attempt[attempt_id] = order.request.request_id

    def request_of(self, attempt_id: str) -> str | None:
        """Return the request of a running attempt, or None when it is over."""
        return self._requests_by_attempt.get(attempt_id)

    def end_attempt(self, attempt_id: str) -> Order | None:
        """Take an attempt out; None when it was already over or is not an order's."""
        request_id = self._requests_by_attempt.pop(attempt_id, None)
        return self._orders.get(request_id) if request_id else None

    def remove(self, order: Order) -> None:
        """Drop an order that has been answered."""
        self._orders.pop(order.request.request_id, None)
        if order.attempt_id is not None:
            self._requests_by_attempt.pop(order.attempt_id, None)
