"""Calls that wait because every leaf of their service is busy."""

import bisect
from collections.abc import Sequence
from typing import NamedTuple

# The account's priority, then the route's.
Rank = tuple[int, int]


class WaitingCall(NamedTuple):
    """One shard's part of a request that waits for a leaf.

    Attributes
    ----------
    rank : tuple of int
        Rank of the request, see `routes.Route.rank`; the smallest is the most urgent.
    arrived_ms : int
        Arrival of the request, by the monotonic clock.
    request_key, shard : int
        The request, and the index of the shard in its calls.
    account : str
        Name of the client account; empty without one.
    deferred : bool
        Whether the request goes behind those that can still meet their objective.
    """

    rank: Rank
    arrived_ms: int
    request_key: int
    shard: int
    account: str = ""
    deferred: bool = False


class Turns:
    """The turns that accounts have had at a service while calls wait for it."""

    def __init__(self) -> None:
        # By rank, the start tag that was served last.
        self._served: dict[Rank, float] = {}
        # By rank and account, the start tag of its next call.
        self._next: dict[tuple[Rank, str], float] = {}

    def start_of(self, rank: Rank, account: str) -> float:
        """Return the start tag of the next call of an account."""
        served = self._served.get(rank, 0.0)
        return max(served, self._next.get((rank, account), served))

    def charge(self, rank: Rank, account: str, cost: float) -> None:
        """Record that a call of an account is sent."""
        start = self.start_of(rank, account)
        self._served[rank] = start
        self._next[rank, account] = start + cost


class WaitingCalls:
    """Waiting calls by service, in the order of their ranks and arrivals."""

    def __init__(self) -> None:
        self._by_service: dict[str, list[WaitingCall]] = {}
        # Kept while calls of the service wait.
        self._turns: dict[str, Turns] = {}

    @property
    def services(self) -> list[str]:
        """The services with waiting calls."""
        return list(self._by_service)

    def add(self, service: str, call: WaitingCall) -> None:
        """Add a call unless it waits already."""
        waiting = self._by_service.setdefault(service, [])
        if call not in waiting:
            bisect.insort(waiting, call)

    def remove(self, service: str, call: WaitingCall) -> None:
        """Remove a call if it waits."""
        waiting = self._by_service.get(service, [])
        if call in waiting:
            waiting.remove(call)
            if not waiting:
                del self._by_service[service]
                self._turns.pop(service, None)

    def counts_of(self, services: Sequence[str]) -> list[tuple[int, str]]:
        """Return the numbers of waiting calls of services, without those with none."""
        found: list[tuple[int, str]] = []
        if self._by_service:
            for service in services:
                waiting = self._by_service.get(service)
                if waiting:
                    found.append((len(waiting), service))
        return found

    def has_more_urgent(self, service: str, rank: Rank) -> bool:
        """Return whether a call of a more urgent rank waits for a service."""
        waiting = self._by_service.get(service)
        return waiting is not None and waiting[0].rank < rank

    def of_service(self, service: str) -> list[WaitingCall]:
        """Return the calls that wait for a service."""
        return list(self._by_service.get(service, ()))

    def turns_of(self, service: str) -> Turns:
        """Return the turns that accounts have had since calls wait for a service."""
        return self._turns.setdefault(service, Turns())
