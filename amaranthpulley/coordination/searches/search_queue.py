"""Searches that wait to begin, so that a search that is shed has truly not run.

A search begins only while the attempts of the searches before it do not pile up at a
shard. Otherwise it waits in a queue that is bounded in length and age. What is
refused from the queue has sent nothing.
"""

from typing import Final, NamedTuple

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.searches import concurrency_limits
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state.searches import searches

Commands = list[commands.Command]

# Attempts that wait for each shard, so that a slot that becomes free is used at once.
WAITING_PER_SHARD: Final = 3
RECENT_SEND_FACTOR: Final = 4
# Share of a search's time that it may wait to begin: one part in four.
QUEUE_DEADLINE_DIVISOR: Final = 4


class QueueTimeoutDue(NamedTuple):
    """Purpose of the timer that ends a search's wait to begin."""

    request_id: str


def is_congested(daemon: daemon_state.Daemon, service: str, now_ms: int) -> bool:
    """Tell whether attempts pile up at a shard that still gets through.

    A shard that gets nothing through at all is not waited for: the searches go on
    without it rather than queue for it.
    """
    state = daemon.services.of(service)
    if not state.waiting:
        return False
    usual_ms = concurrency_limits.median_latency_ms(daemon, service)
    recent_ms = now_ms - RECENT_SEND_FACTOR * usual_ms
    return any(
        len(queue) >= WAITING_PER_SHARD and state.sent_ms.get(shard, 0) >= recent_ms
        for shard, queue in state.waiting.items()
    )


def must_wait(daemon: daemon_state.Daemon, service: str, now_ms: int) -> bool:
    """Tell whether a new search has to wait to begin."""
    return bool(daemon.services.of(service).queue) or is_congested(
        daemon, service, now_ms
    )


def is_full(daemon: daemon_state.Daemon, service: str) -> bool:
    """Tell whether a service's queue takes no more searches."""
    queue = daemon.services.of(service).queue
    return len(queue) >= daemon.limits.maximum_queued_searches


def enqueue(daemon: daemon_state.Daemon, search: searches.Search) -> Commands:
    """Let a search wait to begin."""
    service = search.request.service
    daemon.services.of(service).queue.append(search.request.request_id)
    daemon.counters.add("searches_queued_total", service=service)
    allowed_ms = search.deadline_ms - search.started_ms
    due_ms = search.started_ms + max(1, allowed_ms // QUEUE_DEADLINE_DIVISOR)
    return [commands.SetTimer(QueueTimeoutDue(search.request.request_id), due_ms)]


def remove(daemon: daemon_state.Daemon, search: searches.Search) -> None:
    """Take a search out that has waited too long."""
    daemon.services.of(search.request.service).queue.remove(search.request.request_id)


def dequeue(
    daemon: daemon_state.Daemon, service: str, now_ms: int
) -> searches.Search | None:
    """Take the search that has waited longest, None while attempts pile up."""
    queue = daemon.services.of(service).queue
    if not queue or is_congested(daemon, service, now_ms):
        return None
    return daemon.searches.get(queue.popleft())
