"""What a daemon has learnt of each service, and the work that waits for it."""

import collections
from typing import Final, NamedTuple

from amaranthpulley.state import budgets, latency

HEDGE_BURST: Final = 10.0
RETRY_BURST: Final = 100.0


class WaitingAttempt(NamedTuple):
    """An attempt that waits until a replica of its shard has room.

    Attributes
    ----------
    request_id, shard : str
        Whose attempt it is, and for which shard.
    restarts : int
        The search's restarts when it began to wait; it is out of date after another.
    """

    request_id: str
    shard: str
    restarts: int


class ServiceView(NamedTuple):
    """Which targets of a service this daemon uses.

    Attributes
    ----------
    key : tuple of int
        What it was derived from.
    made_ms : int
        When it was derived.
    names : dict of str to list of str
        Names of the targets by shard.
    users : int
        Daemons that use each target, this one included.
    """

    key: tuple[int, int]
    derived_ms: int
    names: dict[str, list[str]]
    users: int


class ServiceState:
    """The view of one service.

    Attributes
    ----------
    latency : LatencyHistogram
        How long attempts took, cancelled ones as long as they were waited for.
    hedges, retries : TokenBudget
        Extra attempts that may still be sent.
    queue : deque of str
        Searches that have not begun, by request identifier.
    waiting : dict of str to deque of WaitingAttempt
        Attempts of searches that have begun, by shard.
    sent_ms : dict of str to int
        When an attempt was last sent to each shard.
    room_timer_set : bool
        Whether a timer will look for room.
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

    def wait(self, attempt: WaitingAttempt) -> None:
        """Enter an attempt that waits for room."""
        queue = self.waiting.get(attempt.shard)
        if queue is None:
            queue = self.waiting[attempt.shard] = collections.deque()
        queue.append(attempt)

    def next_waiting(self, shard: str) -> WaitingAttempt | None:
        """Return the attempt that has waited longest for a shard."""
        queue = self.waiting.get(shard)
        return queue[0] if queue else None

    def pop_waiting(self, shard: str) -> None:
        """Drop the attempt that has waited longest for a shard."""
        queue = self.waiting[shard]
        queue.popleft()
        if not queue:
            del self.waiting[shard]


class ServiceTable:
    """The view of every service, by name."""

    def __init__(self) -> None:
        self._states: dict[str, ServiceState] = {}

    def of(self, name: str) -> ServiceState:
        """Return the view of a service, a fresh one when it was never seen."""
        state = self._states.get(name)
        if state is None:
            state = self._states[name] = ServiceState()
        return state
