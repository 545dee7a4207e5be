"""State of each service: latency, budgets, and queued searches and attempts."""

import collections
from typing import Final, NamedTuple

from amaranthpulley.state import budgets, latency

HEDGE_BURST: Final = 10.0
RETRY_BURST: Final = 100.0


class WaitingAttempt(NamedTuple):
    """An attempt that waits until a replica of its shard has capacity.

    Attributes
    ----------
    request_id, shard : str
        The search and the shard of the attempt.
    restarts : int
        The search's restarts when the attempt was queued; another restart makes the
        attempt obsolete.
    """

    request_id: str
    shard: str
    restarts: int


class ServiceView(NamedTuple):
    """The targets of a service that this daemon uses.

    Attributes
    ----------
    key : tuple of int
        Highest ticket number and number of entries when the view was derived.
    derived_ms : int
        When the view was derived.
    names : dict of str to list of str
        Names of the targets by shard.
    users : int
        Number of daemons that use each target, including this one.
    """

    key: tuple[int, int]
    derived_ms: int
    names: dict[str, list[str]]
    users: int


class ServiceState:
    """The state of one service.

    Attributes
    ----------
    latency : LatencyHistogram
        Durations of attempts; a cancelled one counts until its cancellation.
    hedges, retries : TokenBudget
        Extra attempts that may still be sent.
    queue : deque of str
        Request identifiers of searches that have not started.
    waiting : dict of str to deque of WaitingAttempt
        Waiting attempts of searches that have started, by shard.
    sent_ms : dict of str to int
        When an attempt was last sent to each shard.
    capacity_timer_set : bool
        Whether the timer that checks for capacity is set.
    view : ServiceView or None
        The targets in use; None before it is first derived.
    """

    def __init__(self) -> None:
        self.latency = latency.LatencyHistogram()
        self.hedges = budgets.TokenBudget(HEDGE_BURST)
        self.retries = budgets.TokenBudget(RETRY_BURST)
        self.queue: collections.deque[str] = collections.deque()
        self.waiting: dict[str, collections.deque[WaitingAttempt]] = {}
        self.sent_ms: dict[str, int] = {}
        self.capacity_timer_set = False
        self.view: ServiceView | None = None

    def add_waiting(self, attempt: WaitingAttempt) -> None:
        """Queue an attempt until a replica has capacity."""
        queue = self.waiting.get(attempt.shard)
        if queue is None:
            queue = self.waiting[attempt.shard] = collections.deque()
        queue.append(attempt)

    def next_waiting(self, shard: str) -> WaitingAttempt | None:
        """Return the attempt that has waited longest for a shard."""
        queue = self.waiting.get(shard)
        return queue[0] if queue else None

    def pop_waiting(self, shard: str) -> None:
        """Remove the attempt that has waited longest for a shard."""
        queue = self.waiting[shard]
        queue.popleft()
        if not queue:
            del self.waiting[shard]


class ServiceTable:
    """The state of every service, by name."""

    def __init__(self) -> None:
        self._states: dict[str, ServiceState] = {}

    def of(self, name: str) -> ServiceState:
        """Return the state of a service, creating it on first use."""
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = ServiceState()
        return state
