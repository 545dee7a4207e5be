"""Clients that return after a refusal, as late as they are told, under virtual time."""

import heapq
from typing import NamedTuple

from amaranthpulley.coordination.forwarding.client_accounts.tests import quota_fleet

# A client returns within this part of the time that it has left.
LONGEST_RETURN_SHARE = 3
# With less time left, a client gives up.
SHORTEST_LEFT_MS = 300


class Outcome(NamedTuple):
    """What came of the requests of clients.

    Attributes
    ----------
    clients, served : int
        Number of clients, and of those that were served.
    refusal_ms : list of int
        How long each refusal took, in ascending order.
    """

    clients: int
    served: int
    refusal_ms: list[int]


def replay(
    fleet: quota_fleet.QuotaFleet,
    per_s: float,
    for_ms: int,
    daemons: tuple[int, ...],
    deadline_ms: int = 1_500,
) -> Outcome:
    """Send the requests of clients that repeat them until their time is over."""
    name = fleet.accounts[0].name
    # Time of an attempt, end of the client's time.
    due = [(at_ms, at_ms + deadline_ms) for at_ms in _arrivals(fleet, per_s, for_ms)]
    clients, served = len(due), 0
    open_until_ms: dict[int, int] = {}
    refusals: list[int] = []
    fleet.ended.clear()
    while due or open_until_ms:
        fleet.advance(1)
        while due and due[0][0] <= fleet.now_ms:
            _, until_ms = heapq.heappop(due)
            left_ms = until_ms - fleet.now_ms
            key = fleet.ask(fleet.random.choice(daemons), name, left_ms)
            open_until_ms[key] = until_ms
        for one in fleet.ended:
            until_ms = open_until_ms.pop(one.key)
            if one.refusal is None:
                served += 1
                continue
            refusals.append(one.ended_ms - one.asked_ms)
            left_ms = until_ms - fleet.now_ms
            wait_ms = one.refusal.retry_after_ms
            if left_ms < SHORTEST_LEFT_MS:
                continue
            if 0 < wait_ms <= left_ms / LONGEST_RETURN_SHARE:
                heapq.heappush(due, (fleet.now_ms + wait_ms, until_ms))
        fleet.ended.clear()
    return Outcome(clients, served, sorted(refusals))


def _arrivals(fleet: quota_fleet.QuotaFleet, per_s: float, for_ms: int) -> list[int]:
    """Return the times of the clients' first attempts, in ascending order."""
    found: list[int] = []
    at_ms = 0.0
    while at_ms < for_ms:
        found.append(fleet.now_ms + int(at_ms))
        at_ms += fleet.random.uniform(0.2, 1.8) * 1_000 / per_s
    return found
