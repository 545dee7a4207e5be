"""Rules for querying a shard again after a failure.

After a failure that may have cost its target work, another attempt needs a token of
the service's retry budget. The budget is a fraction of the first attempts, so retries
cannot multiply a load. A refusal costs no token but lowers the target's limit. Once
every replica was tried, the shard is retried after a backoff with full jitter, a
limited number of times. The retries continue until the deadline while a replica is
cold, and for a service whose time gives way to coverage.
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
# Failures that leave it unknown whether the target is still running.
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
    """Purpose of the timer that queries a shard again after a backoff."""

    request_id: str
    shard: str
    restarts: int


def schedule_retry(
    search: searches.Search,
    shard: str,
    now_ms: int,
    random: Callable[[], float],
    is_temporary: bool,
) -> Commands:
    """Schedule the next query of a shard after a backoff.

    Parameters
    ----------
    search, shard, now_ms, random
        The search and its shard, the time, and the source of jitter.
    is_temporary : bool
        Whether a replica is only temporarily unavailable, so that the search retries
        until its deadline.

    Returns
    -------
    list of Command
        Empty when the shard has used up its backoffs.
    """
    backoffs = search.retries.get(shard, 0) + 1
    persists = is_temporary or waits_for_coverage(search)
    if backoffs > MAXIMUM_BACKOFFS and not persists:
        return []
    search.retries[shard] = backoffs
    search.waiting.add(shard)
    # Full jitter keeps searches that failed together from retrying together.
    longest_ms = min(INITIAL_BACKOFF_MS << min(backoffs - 1, 10), MAXIMUM_BACKOFF_MS)
    due_ms = now_ms + 1 + int(random() * longest_ms)
    purpose = RetryDue(search.request.request_id, shard, search.restarts)
    return [commands.SetTimer(purpose, due_ms)]


def waits_for_coverage(search: searches.Search) -> bool:
    """Return whether a search has to wait for its service's minimum coverage."""
    gives_time = search.service.give_way is topology.GiveWay.TIME
    return gives_time and search.coverage < search.service.minimum_coverage
