"""Calls that wait because every leaf of their service is busy."""

import bisect
from typing import NamedTuple


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
    """

    rank: tuple[int, int]
    arrived_ms: int
    request_key: int
    shard: int


class WaitingCalls:
    """Waiting calls by service, in the order of their ranks and arrivals."""

    def __init__(self) -> None:
        self._by_service: dict[str, list[WaitingCall]] = {}

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

    def of_service(self, service: str) -> list[WaitingCall]:
        """Return the calls that wait for a service."""
        return list(self._by_service.get(service, ()))

    def count_ahead(self, service: str, rank: tuple[int, int]) -> int:
        """Return the number of calls that a new one of this rank would wait behind."""
        return sum(call.rank <= rank for call in self._by_service.get(service, ()))
