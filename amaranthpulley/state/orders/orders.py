"""Orders in progress, and outcomes that the store does not know yet."""

import enum
from typing import Final, NamedTuple

from amaranthpulley.state import requests
from amaranthpulley.state.control import topology
from amaranthpulley.state.orders import claims

MAXIMUM_UNRECORDED: Final = 10_000


class OrderPhase(enum.StrEnum):
    """How far an order has come on the daemon that holds it.

    `CLAIMING`: nothing has been sent. `HELD`: its claim is known to be in the store,
    so that it may be sent. `SETTLING`: its outcome is being recorded.
    """

    CLAIMING = "claiming"
    HELD = "held"
    SETTLING = "settling"


class Order:
    """One order in progress.

    Parameters
    ----------
    request : OrderRequest
        What the caller asked for.
    service : Service
        The service's settings when the order came.
    started_ms, deadline_ms : int
        Readings of the monotonic clock in milliseconds.
    claim : Operation
        The operation that asks for the claim.
    """

    def __init__(
        self,
        request: requests.OrderRequest,
        service: topology.Service,
        started_ms: int,
        deadline_ms: int,
        claim: claims.Operation,
    ) -> None:
        self.request = request
        self.service = service
        self.started_ms = started_ms
        self.deadline_ms = deadline_ms
        self.claim = claim
        self.phase = OrderPhase.CLAIMING
        self.claim_in_flight = False
        self.claim_uncertain = False
        self.claim_retries = 0
        self.outcome: requests.Outcome | None = None
        self.answered = False
        self.attempt_id: str | None = None
        self.target: topology.Target | None = None
        self.tried_targets: set[str] = set()
        self.attempts_sent = 0

    @property
    def claim_id(self) -> str:
        """Identifies this try to run the order."""
        return self.claim.claim_id

    @property
    def may_be_claimed(self) -> bool:
        """Whether the claim may stand in the store, now or later."""
        return self.claim_in_flight or self.claim_uncertain


class UnrecordedOutcome(NamedTuple):
    """An outcome on its way to the store, with the number of failed tries."""

    operation: claims.Operation
    tries: int


class OrderTable:
    """Orders in progress by claim and by attempt.

    An order that has been answered stays until its attempt has ended, so that a late
    receipt can still be recorded.
    """

    def __init__(self) -> None:
        self._orders: dict[str, Order] = {}
        self._claims_by_attempt: dict[str, str] = {}
        self._unrecorded: dict[str, UnrecordedOutcome] = {}
        self._unanswered = 0

    def __len__(self) -> int:
        return self._unanswered

    @property
    def unsettled(self) -> int:
        """Answered orders and outcomes that the store does not know yet."""
        answered = len(self._orders) - self._unanswered
        return answered + len(self._unrecorded)

    def add(self, order: Order) -> None:
        """Enter an order."""
        self._orders[order.claim_id] = order
        self._unanswered += 1

    def get(self, claim_id: str) -> Order | None:
        """Return an order, or None when it has ended."""
        return self._orders.get(claim_id)

    def mark_answered(self, order: Order) -> None:
        """Note that the caller has been answered."""
        order.answered = True
        self._unanswered -= 1

    def add_attempt(self, order: Order, attempt_id: str) -> None:
        """Enter the attempt that carries the order to a target."""
        order.attempt_id = attempt_id
        order.attempts_sent += 1
        self._claims_by_attempt[attempt_id] = order.claim_id

    def request_of(self, attempt_id: str) -> str | None:
        """Return the request of a running attempt, or None when it is over."""
        order = self._orders.get(self._claims_by_attempt.get(attempt_id, ""))
        return order.request.request_id if order else None

    def end_attempt(self, attempt_id: str) -> Order | None:
        """Take an attempt out; None when it was already over or is not an order's."""
        order = self._orders.get(self._claims_by_attempt.pop(attempt_id, ""))
        if order is not None:
            order.attempt_id = None
        return order

    def remove(self, order: Order) -> None:
        """Drop an order that has been answered and has no attempt in flight."""
        self._orders.pop(order.claim_id, None)

    def add_unrecorded(self, operation: claims.Operation, tries: int) -> bool:
        """Keep an outcome until it is recorded; False when another was dropped."""
        self._unrecorded[operation.claim_id] = UnrecordedOutcome(operation, tries)
        if len(self._unrecorded) <= MAXIMUM_UNRECORDED:
            return True
        del self._unrecorded[next(iter(self._unrecorded))]
        return False

    def unrecorded(self, operation: claims.Operation) -> UnrecordedOutcome | None:
        """Return an outcome on its way, None when it is recorded or was replaced."""
        entry = self._unrecorded.get(operation.claim_id)
        is_latest = entry is not None and entry.operation.status is operation.status
        return entry if is_latest else None

    def remove_unrecorded(self, operation: claims.Operation) -> None:
        """Drop an outcome that the store knows."""
        if self.unrecorded(operation) is not None:
            del self._unrecorded[operation.claim_id]
