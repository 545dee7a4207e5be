"""Orders in progress, and outcomes that are not recorded in the store yet."""

import enum
from typing import Final, NamedTuple

from amaranthpulley.state import requests
from amaranthpulley.state.control import topology
from amaranthpulley.state.orders import claims

MAXIMUM_UNRECORDED: Final = 10_000


class OrderPhase(enum.StrEnum):
    """The phase of an order on the daemon that executes it.

    `CLAIMING`: the claim is not known to be in the store, and nothing has been sent.
    `HELD`: the claim is in the store, so the order may be sent. `SETTLING`: a target
    has run the order and the outcome is being recorded.
    """

    CLAIMING = "claiming"
    HELD = "held"
    SETTLING = "settling"


class Order:
    """One order in progress.

    Parameters
    ----------
    request : OrderRequest
        The caller's request.
    service : Service
        The service's settings when the order arrived.
    started_ms, deadline_ms : int
        Readings of the monotonic clock in milliseconds.
    claim : Operation
        The operation that requests the claim.

    Attributes
    ----------
    phase : OrderPhase
        The current phase.
    claim_in_flight : bool
        Whether an operation that requests the claim is in flight.
    claim_uncertain : bool
        Whether an earlier operation for the claim may still take effect.
    claim_retries : int
        How often the claim was requested again because another holder has it.
    outcome : Outcome or None
        The outcome to answer with; None until it is known.
    answered : bool
        Whether the caller has been answered.
    attempt_id : str or None
        The attempt in flight.
    target : Target or None
        The target of the last attempt.
    tried_targets : set of str
        Targets tried in the current round; cleared when no other target is left.
    attempts_sent : int
        Number of attempts so far.
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
        """Identifier of this execution of the order."""
        return self.claim.claim_id

    @property
    def may_be_claimed(self) -> bool:
        """Whether the claim may be in the store, now or later."""
        return self.claim_in_flight or self.claim_uncertain


class UnrecordedOutcome(NamedTuple):
    """An outcome that is being recorded, with the number of failed tries."""

    operation: claims.Operation
    tries: int


class OrderTable:
    """Orders in progress, found by claim id or attempt id.

    An answered order stays in the table until its attempt has ended, so that a late
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
        """Number of answered orders in progress and of unrecorded outcomes."""
        answered = len(self._orders) - self._unanswered
        return answered + len(self._unrecorded)

    def add(self, order: Order) -> None:
        """Add an order."""
        self._orders[order.claim_id] = order
        self._unanswered += 1

    def get(self, claim_id: str) -> Order | None:
        """Return the order with a claim id; None when it has ended."""
        return self._orders.get(claim_id)

    def mark_answered(self, order: Order) -> None:
        """Mark the order's caller as answered."""
        order.answered = True
        self._unanswered -= 1

    def add_attempt(self, order: Order, attempt_id: str) -> None:
        """Add the attempt that sends the order to a target."""
        order.attempt_id = attempt_id
        order.attempts_sent += 1
        self._claims_by_attempt[attempt_id] = order.claim_id

    def of_attempt(self, attempt_id: str) -> Order | None:
        """Return the order of an attempt in flight; None when it has ended."""
        return self._orders.get(self._claims_by_attempt.get(attempt_id, ""))

    def request_of(self, attempt_id: str) -> str | None:
        """Return the request id of an attempt in flight; None when it has ended."""
        order = self.of_attempt(attempt_id)
        return order.request.request_id if order else None

    def end_attempt(self, attempt_id: str) -> Order | None:
        """Remove an attempt and return its order; None when there is none."""
        order = self._orders.get(self._claims_by_attempt.pop(attempt_id, ""))
        if order is not None:
            order.attempt_id = None
        return order

    def remove(self, order: Order) -> None:
        """Remove an order that has ended and has no attempt in flight."""
        self._orders.pop(order.claim_id, None)

    def add_unrecorded(self, operation: claims.Operation, tries: int) -> bool:
        """Keep an outcome until it is recorded.

        Returns
        -------
        bool
            False when the oldest outcome was dropped to stay within
            `MAXIMUM_UNRECORDED`.
        """
        self._unrecorded[operation.claim_id] = UnrecordedOutcome(operation, tries)
        if len(self._unrecorded) <= MAXIMUM_UNRECORDED:
            return True
        del self._unrecorded[next(iter(self._unrecorded))]
        return False

    def unrecorded(self, operation: claims.Operation) -> UnrecordedOutcome | None:
        """Return an unrecorded outcome; None when it was recorded or replaced."""
        entry = self._unrecorded.get(operation.claim_id)
        is_latest = entry is not None and entry.operation.status is operation.status
        return entry if is_latest else None

    def remove_unrecorded(self, operation: claims.Operation) -> None:
        """Remove an outcome that needs no further tries."""
        if self.unrecorded(operation) is not None:
            del self._unrecorded[operation.claim_id]
