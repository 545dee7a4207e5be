"""Limits on the concurrent attempts of a daemon at each target.

The lowest of three limits applies:

- The target's connections divided by the daemons that use it. In a small fleet each
  daemon uses every target. When there are more daemons than connections, each daemon
  uses the first instances of its own rendezvous ranking, so it still reaches every
  shard. Its choice does not change when daemons join or leave, as long as the number
  of instances that it uses stays the same.
- The slots that the target gave this daemon. A refusal lowers the limit to the number
  of attempts in flight. One more attempt is tried after a pause, or at once when the
  target reports a free slot. A daemon that keeps sending thus keeps its slots, and a
  report alone never adds more than one attempt.
- The limit of a cold target; see `cold_starts`.
"""

from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.searches import cold_starts
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import rendezvous, services, targets
from amaranthpulley.state.control import topology

Commands = list[commands.Command]

# Leaves headroom because rendezvous ranking spreads daemons unevenly over instances.
CONNECTION_HEADROOM: Final = 0.75
MAXIMUM_VIEW_AGE_MS: Final = 1_000
MAXIMUM_DOUBLINGS: Final = 2
DEFAULT_LATENCY_MS: Final = 10
MEDIAN_QUANTILE: Final = 0.5


def refresh_view(daemon: daemon_state.Daemon, service: str, now_ms: int) -> Commands:
    """Recompute which targets of a service the daemon uses, if the view is outdated."""
    configuration = daemon.configuration
    key = configuration.highest_number, len(configuration.entries)
    state = daemon.services.of(service)
    view = state.view
    if (
        view is not None
        and view.key == key
        and now_ms < view.derived_ms + MAXIMUM_VIEW_AGE_MS
    ):
        return []
    shards = configuration.shards(service)
    all_targets = [t for replicas in shards.values() for t in replicas.values()]
    own, users = _used_instances(daemon, service, all_targets)
    names = {
        shard: [name for name, target in replicas.items() if target.instance in own]
        for shard, replicas in shards.items()
    }
    # A shard that none of the daemon's own instances holds is queried at the others.
    for shard, found in names.items():
        names[shard] = found or list(shards[shard])
    state.view = services.ServiceView(key, now_ms, names, users)
    return cold_starts.mark_returned(daemon, all_targets, now_ms)


def connection_share(target: topology.Target, users: int) -> int:
    """Return the connections to a target that each daemon using it may hold."""
    return max(1, target.connections // users)


def free_capacity(
    daemon: daemon_state.Daemon, target: topology.Target, users: int, now_ms: int
) -> int | None:
    """Return how many more attempts may be sent to a target now.

    Returns
    -------
    int or None
        Zero or less when the target is busy; None when this daemon may not send to it.
    """
    state = daemon.targets.of(target.name)
    if state.cold is not None:
        return cold_starts.free_capacity(daemon, target, state, now_ms)
    limit = target.slots if state.slots is None else state.slots
    if not state.has_answered:
        limit = 1
    elif state.slots is not None and now_ms >= state.probe_at_ms:
        limit += 1
    return min(limit, connection_share(target, users)) - state.in_flight


def record_refusal(
    state: targets.TargetState,
    median_latency_ms: int,
    now_ms: int,
    random: Callable[[], float],
) -> None:
    """Lower a target's limit to the attempts in flight after a refusal."""
    state.slots = max(0, state.in_flight)
    if state.load is not None:
        state.full_at = max(1, state.load.busy_slots)
    longest_ms = median_latency_ms << min(state.refusals, MAXIMUM_DOUBLINGS)
    state.refusals += 1
    state.probe_at_ms = now_ms + 1 + int((0.5 + random()) * longest_ms)


def record_answer(
    state: targets.TargetState, target: topology.Target, now_ms: int
) -> None:
    """Raise a target's limit to the attempts in flight, the answered one included."""
    state.refusals = 0
    state.has_answered = True
    if state.slots is None:
        return
    state.slots = max(state.slots, state.in_flight)
    # The report does not count the answered attempt, whose slot this daemon still has.
    busy = state.load.busy_slots + 1 if state.load is not None else 0
    state.full_at = max(state.full_at or target.slots, busy)
    if busy < state.full_at:
        state.probe_at_ms = min(state.probe_at_ms, now_ms)


def median_latency_ms(daemon: daemon_state.Daemon, service: str) -> int:
    """Return the median latency of a service's attempts."""
    return daemon.services.of(service).latency.quantile_ms(
        MEDIAN_QUANTILE, DEFAULT_LATENCY_MS
    )


def _used_instances(
    daemon: daemon_state.Daemon, service: str, all_targets: list[topology.Target]
) -> tuple[set[int], int]:
    """Return the instances that the daemon uses, and how many daemons use each one."""
    instances = {target.instance for target in all_targets}
    daemons = len(daemon.members.live)
    minimum_connections = min((target.connections for target in all_targets), default=1)
    maximum_count = int(
        CONNECTION_HEADROOM * minimum_connections * len(instances) / daemons
    )
    if maximum_count >= len(instances) or not instances:
        return instances, daemons
    own = daemon.identity.name
    ranked = sorted(
        instances,
        key=lambda instance: rendezvous.weight_of(own, f"{service}/{instance}"),
    )
    chosen = set(ranked[: max(1, maximum_count)])
    return chosen, max(1, round(daemons * len(chosen) / len(instances)))
