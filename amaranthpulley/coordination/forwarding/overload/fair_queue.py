"""Orders the waiting calls of one rank so that accounts share the room of a service.

Load pattern: one client account sends many times its usual rate, within its quota,
while capacity is short. In the order of arrival its calls would take the turns of all
other accounts.

Start-time fair queueing (Goyal, Vin, Cheng 1996): each account has the start tag of its
next call, and the calls go in the order of these tags. An account that had no waiting
call starts at the tag that was served last, so nothing is saved up. A call costs an
account one turn. For an account with far more waiting calls than the others it costs
less, since with equal turns such an account would be served less than a quarter as
often as all.
"""

import collections
import math
from collections.abc import Sequence
from typing import Final

from amaranthpulley.state.forwarding import requests, waiting

# An account with this multiple of the mean number of waiting calls begins to pay less
# for a call. A quarter as often as all is promised, which 4 would just miss while the
# number of accounts is small.
FULL_COST_MULTIPLE: Final = 3.0


def account_of(request: requests.ForwardedRequest) -> str:
    """Return the name of the account that a request's turns are charged to."""
    return "" if request.account is None else request.account.name


def entry_of(request: requests.ForwardedRequest, shard: int) -> waiting.WaitingCall:
    """Return the entry of a request's call in the queue of its service."""
    rank, key, account = request.route.rank, request.incoming.key, account_of(request)
    return waiting.WaitingCall(
        rank, request.arrived_ms, key, shard, account, request.deferred
    )


def count_ahead(
    calls: waiting.WaitingCalls,
    service: str,
    rank: waiting.Rank,
    account: str,
    late_before_ms: float = -math.inf,
) -> int:
    """Return the number of calls that a new one of an account would wait behind.

    Parameters
    ----------
    late_before_ms : float
        Calls of requests that arrived before this time and deferred ones miss their
        objective, so those of the same rank and account go after a new one.
    """
    queued = [
        call
        for call in calls.of_service(service)
        if late_before_ms == -math.inf
        or (call.rank, call.account) != (rank, account)
        or (call.arrived_ms >= late_before_ms and not call.deferred)
    ]
    if not queued:
        return 0
    counts = _counts(queued)
    urgent = sum(count for (other, _), count in counts.items() if other < rank)
    own = counts[rank, account]
    counts[rank, account] += 1
    turns = calls.turns_of(service)
    tag = turns.start_of(rank, account) + own * _cost(counts, rank, account)
    ahead = urgent + own
    for (other_rank, other), count in counts.items():
        if other_rank == rank and other != account:
            passed = tag - turns.start_of(rank, other)
            sooner = math.floor(passed / _cost(counts, rank, other)) + 1
            ahead += max(0, min(count, sooner))
    return ahead


def order(
    turns: waiting.Turns, queued: Sequence[waiting.WaitingCall]
) -> list[waiting.WaitingCall]:
    """Return waiting calls of a service in the order in which they should be sent.

    Parameters
    ----------
    turns : Turns
        The turns that the service's accounts have had.
    queued : sequence of WaitingCall
        Calls in the order of rank, then in the order in which an account would send its
        own; calls of accounts with the same tag keep it.
    """
    counts = _counts(queued)
    if len({account for _, account in counts}) <= 1:
        return list(queued)
    costs = {key: _cost(counts, *key) for key in counts}
    placed: collections.Counter[tuple[waiting.Rank, str]] = collections.Counter()
    tagged: list[tuple[waiting.Rank, float, int]] = []
    for index, call in enumerate(queued):
        key = (call.rank, call.account)
        tag = turns.start_of(*key) + placed[key] * costs[key]
        placed[key] += 1
        tagged.append((call.rank, tag, index))
    return [queued[index] for _, _, index in sorted(tagged)]


def record_turn(calls: waiting.WaitingCalls, call: requests.ShardCall) -> None:
    """Charge the account of a call that has waited and is sent now for its turn."""
    sent = call.waiting
    if sent is None:
        return
    counts = _counts(calls.of_service(call.service))
    if (sent.rank, sent.account) not in counts:
        return
    cost = _cost(counts, sent.rank, sent.account)
    calls.turns_of(call.service).charge(sent.rank, sent.account, cost)


def _counts(
    queued: Sequence[waiting.WaitingCall],
) -> collections.Counter[tuple[waiting.Rank, str]]:
    return collections.Counter((call.rank, call.account) for call in queued)


def _cost(
    counts: collections.Counter[tuple[waiting.Rank, str]],
    rank: waiting.Rank,
    account: str,
) -> float:
    of_rank = [count for (other, _), count in counts.items() if other == rank]
    mean = sum(of_rank) / len(of_rank)
    return min(1.0, FULL_COST_MULTIPLE * mean / counts[rank, account])
