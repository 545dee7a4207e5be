"""Decides what is refused or closed when a process holds too much for its clients."""

import heapq
from typing import Final

from amaranthpulley.state.forwarding import client_budget, client_holdings

# A connection on which nothing was received or sent for this long has stalled. Longer
# than two intervals at which connections are looked at.
STALLED_MS: Final = 1_000
# Once the budget is spent, this share of it is freed as well, so that connections are
# not sorted anew with each message.
FREED_SHARE: Final = 0.1
# Part of a server's connections that is closed at once when it has too many.
_CLOSED_PART: Final = 32
_ANSWERED_AT_ONCE: Final = frozenset(
    {client_budget.Server.READINESS, client_budget.Server.METRICS}
)


def releases(
    holdings: client_holdings.ClientHoldings, now_ms: int
) -> list[client_holdings.Holding]:
    """Return the connections that give up what they hold beside a request in progress.

    Stalled connections come before moving ones, large before small (by powers of two),
    those without a served request before those with one. Nothing is returned while the
    budget is not spent.
    """
    if not holdings.is_spent:
        return []

    def order(holding: client_holdings.Holding) -> tuple[bool, int, bool]:
        moving = now_ms - holding.moved_ms < STALLED_MS
        return moving, -holding.releasable_bytes.bit_length(), holding.served

    excess_bytes = holdings.total_bytes - int(
        (1 - FREED_SHARE) * holdings.budget.memory_bytes
    )
    found = []
    candidates = (holding for holding in holdings.all() if holding.releasable_bytes)
    for holding in sorted(candidates, key=order):
        if excess_bytes <= 0:
            break
        found.append(holding)
        excess_bytes -= holding.releasable_bytes
    return found


def may_receive(holdings: client_holdings.ClientHoldings, body_bytes: int) -> bool:
    """Return whether a body may be received by a server that cannot release others."""
    return holdings.total_bytes + body_bytes <= holdings.budget.memory_bytes


def may_begin(
    holdings: client_holdings.ClientHoldings,
    server: client_budget.Server,
    request_bytes: int,
) -> bool:
    """Return whether a complete request may begin; otherwise it is refused as not run.

    Once it has begun, nothing aborts it for its memory. Readiness checks and metrics
    are answered at once, so that they need no room.
    """
    if server in _ANSWERED_AT_ONCE:
        return True
    share_bytes = client_budget.IN_PROGRESS_SHARE * holdings.budget.memory_bytes
    return holdings.in_progress_bytes + request_bytes <= share_bytes


def surplus(
    holdings: client_holdings.ClientHoldings,
    newest: client_holdings.Holding,
    now_ms: int,
) -> list[client_holdings.Holding]:
    """Return the connections that are closed because their server has too many.

    Parameters
    ----------
    newest : Holding
        The connection that was accepted last. It is closed if a request is in progress
        on each of the others.
    """
    server = newest.server
    maximum = holdings.budget.connections[server]
    if holdings.count(server) <= maximum:
        return []

    def order(holding: client_holdings.Holding) -> tuple[bool, bool, int]:
        moving = now_ms - holding.moved_ms < STALLED_MS
        return moving, holding.served, holding.moved_ms

    candidates = (
        holding
        for holding in holdings.of(server)
        if holding is not newest and not holding.in_progress_bytes
    )
    count = holdings.count(server) - maximum + maximum // _CLOSED_PART
    return heapq.nsmallest(count, candidates, order) or [newest]
