"""The queue of searches that have not started.

A search starts only while the attempts of earlier searches do not pile up at a shard.
Otherwise it waits in a queue of bounded length and waiting time. A search that is shed
from the queue has sent no attempt, so it is certain that it has not run.
"""

from typing import Final, NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.searches import concurrency_limits
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state.searches import searches

Commands = list[commands.Command]

# Enough waiting attempts for each shard that a freed slot is used at once.
WAITING_PER_SHARD: Final = 3
RECENT_SEND_FACTOR: Final = 4
# A search may wait in the queue for its allowed time divided by this.
QUEUE_DEADLINE_DIVISOR: Final = 4


class QueueTimeoutDue(NamedTuple):
    """Purpose of the timer that ends a search's wait in the queue."""

    request_id: str


def is_congested(daemon: daemon_state.Daemon, service: str, now_ms: int) -> bool:
    """Return whether attempts pile up at a shard that still accepts some.

    A shard to which no attempt was sent lately is ignored: searches run without it
    rather than queue for it.
    """
    state = daemon.services.of(service)
    if not state.waiting:
        return False
    median_ms = concurrency_limits.median_latency_ms(daemon, service)
    recent_ms = now_ms - RECENT_SEND_FACTOR * median_ms
    return any(
        len(queue) >= WAITING_PER_SHARD and state.sent_ms.get(shard, 0) >= recent_ms
        for shard, queue in state.waiting.items()
    )


def must_wait(daemon: daemon_state.Daemon, service: str, now_ms: int) -> bool:
    """Return whether a new search has to wait in the queue."""
    return bool(daemon.services.of(service).queue) or is_congested(
        daemon, service, now_ms
    )


def is_full(daemon: daemon_state.Daemon, service: str) -> bool:
    """Return whether a service's queue is full."""
    queue = daemon.services.of(service).queue
    return len(queue) >= daemon.limits.maximum_queued_searches


def enqueue(daemon: daemon_state.Daemon, search: searches.Search) -> Commands:
    """Add a search to its service's queue, with a limit on its waiting time."""
    service = search.request.service
    daemon.services.of(service).queue.append(search.request.request_id)
    daemon.counters.add("searches_queued_total", service=service)
    allowed_ms = search.deadline_ms - search.started_ms
    due_ms = search.started_ms + max(1, allowed_ms // QUEUE_DEADLINE_DIVISOR)
    return [commands.SetTimer(QueueTimeoutDue(search.request.request_id), due_ms)]


def remove(daemon: daemon_state.Daemon, search: searches.Search) -> None:
    """Remove a search from its service's queue."""
    daemon.services.of(search.request.service).queue.remove(search.request.request_id)


def dequeue(
    daemon: daemon_state.Daemon, service: str, now_ms: int
) -> searches.Search | None:
    """Remove and return the oldest queued search; None if empty or congested."""
    queue = daemon.services.of(service).queue
    if not queue or is_congested(daemon, service, now_ms):
        return None
    return daemon.searches.get(queue.popleft())
