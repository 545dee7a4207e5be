"""Keeps what a process holds for its clients within its budget."""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.forwarding import client_limits
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import counters as counters_state
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import client_budget, client_holdings

# Interval between two log lines about clients that were cut.
REPORT_INTERVAL_MS: Final = 10_000
DEFAULT_BUDGET: Final = client_budget.budget_of()


class Callbacks(NamedTuple):
    """What the guard does with a connection.

    Attributes
    ----------
    release : callable
        Gives up all but a request in progress, to free memory.
    close_unused : callable
        Closes the connection unless a request has come meanwhile.
    close : callable
        Closes the connection.
    """

    release: Callable[[], None]
    close_unused: Callable[[], None]
    close: Callable[[], None]


class ClientGuard:
    """The budget of all servers of a process; one for all of them.

    Parameters
    ----------
    clock : Clock
        Source of time.
    budget : Budget
        What clients may take.
    counters : Counters or None
        Counts the connections and requests that are cut.
    """

    def __init__(
        self,
        clock: clock_state.Clock,
        budget: client_budget.Budget = DEFAULT_BUDGET,
        counters: counters_state.Counters | None = None,
    ) -> None:
        self.holdings = client_holdings.ClientHoldings(budget)
        self._now_ms = clock.monotonic_ms
        self._counters = counters or counters_state.Counters()
        self._callbacks: dict[client_holdings.Holding, Callbacks] = {}
        self._releasing = False
        self._unreported = 0
        self._reported_ms = self._now_ms() - REPORT_INTERVAL_MS

    def add(self, server: client_budget.Server) -> client_holdings.Holding:
        """Return the holding of a new connection."""
        holding = client_holdings.Holding(server, self._now_ms())
        self.holdings.add(holding)
        return holding

    def watch(self, holding: client_holdings.Holding, added: Callbacks) -> None:
        """Set a new connection's callbacks; close those that are too many with it."""
        self._callbacks[holding] = added
        for other in client_limits.surplus(self.holdings, holding, self._now_ms()):
            self._count(other.server, "connections")
            callbacks = self._callbacks.get(other)
            if callbacks is not None and other is not holding:
                callbacks.close_unused()
        maximum = self.holdings.budget.connections[holding.server]
        if self.holdings.count(holding.server) > maximum:
            added.close()

    def remove(self, holding: client_holdings.Holding) -> None:
        """Remove a closed connection."""
        self.holdings.remove(holding)
        self._callbacks.pop(holding, None)

    def update(
        self,
        holding: client_holdings.Holding,
        in_progress_bytes: int,
        releasable_bytes: int,
    ) -> None:
        """Set what a connection holds, and release what exceeds the budget."""
        self.holdings.update(holding, in_progress_bytes, releasable_bytes)
        if self._releasing or not self.holdings.is_spent:
            return
        self._releasing = True
        try:
            for other in client_limits.releases(self.holdings, self._now_ms()):
                self._count(other.server, "memory")
                self._callbacks[other].release()
        finally:
            self._releasing = False

    def may_begin(self, holding: client_holdings.Holding, request_bytes: int) -> bool:
        """Return whether a complete request may begin; count it if it may not."""
        if client_limits.may_begin(self.holdings, holding.server, request_bytes):
            return True
        self._count(holding.server, "in_progress")
        return False

    def report(self, write_log: Callable[[commands.Log], None]) -> None:
        """Log the number of connections and requests that were cut, now and then."""
        now_ms = self._now_ms()
        if not self._unreported or now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return
        write_log(
            commands.log(
                log_events.CLIENTS_CUT,
                count=self._unreported,
                held_bytes=self.holdings.total_bytes,
                connections=sum(map(self.holdings.count, client_budget.Server)),
            )
        )
        self._unreported = 0
        self._reported_ms = now_ms

    def _count(self, server: client_budget.Server, limit: str) -> None:
        self._unreported += 1
        self._counters.add("clients_cut_total", server=server.value, limit=limit)
