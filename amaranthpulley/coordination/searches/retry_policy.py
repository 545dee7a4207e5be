"""When a shard is asked again after a failure.

A failure that may have cost its target work is followed by another attempt only while
the service's retry budget lasts: a share of the first attempts, so that retries cannot
multiply a load. A refusal costs nothing but lowers the target's limit. Once every
replica was tried, the shard waits for a pause with full jitter, a few times. While a
replica is only closed for a moment, and for a service whose time gives way, that goes
on until the deadline.
"""

from collections.abc import Callable
from typing import Final, NamedTuple

from amaranthpulley.coordination import commands, events
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import searches

Commands = list[commands.Command]

RETRY_BUDGET_RATIO: Final = 0.2
MAXIMUM_BACKOFFS: Final = 3
INITIAL_BACKOFF_MS: Final = 8
MAXIMUM_BACKOFF_MS: Final = 100
# Failures after which it is not known whether the target is still there.
NO_RESPONSE_FAILURES: Final = frozenset(
    {
        events.Failure.UNREACHABLE,
        events.Failure.CONNECTION_LOST,
        events.Failure.TIMED_OUT,
    }
)
# Failures that cost the target no work.
COSTLESS_FAILURES: Final = frozenset(
    {
        events.Failure.REFUSED,
        events.Failure.UNREACHABLE,
        events.Failure.VERSION_GONE,
    }
)


class RetryDue(NamedTuple):
    """Purpose of the timer that asks a shard again after a pause."""

    request_id: str
    shard: str
    restarts: int


def schedule_retry(
    search: searches.Search,
    shard: str,
    now_ms: int,
    random: Callable[[], float],
    may_open: bool,
) -> Commands:
    """Let a shard wait before it is asked again; nothing after the last pause.

    Parameters
    ----------
    search, shard, now_ms, random
        What waits, when, and the source of chance.
    may_open : bool
        A replica is kept closed for a while only, so that the search waits for it
        until its deadline.
    """
    pauses = search.retries.get(shard, 0) + 1
    persists = may_open or waits_for_coverage(search)
    if pauses > MAXIMUM_BACKOFFS and not persists:
        return []
    search.retries[shard] = pauses
    search.waiting.add(shard)
    # Full jitter: searches that failed together do not come back together.
    longest_ms = min(INITIAL_BACKOFF_MS << min(pauses - 1, 10), MAXIMUM_BACKOFF_MS)
    due_ms = now_ms + 1 + int(random() * longest_ms)
    purpose = RetryDue(search.request.request_id, shard, search.restarts)
    return [commands.SetTimer(purpose, due_ms)]


def waits_for_coverage(search: searches.Search) -> bool:
    """Tell whether a search has less coverage than its service is to wait for."""
    gives_time = search.service.give_way is topology.GiveWay.TIME
    return gives_time and search.coverage < search.service.minimum_coverage
