"""How many attempts at a time a daemon may send to a target.

Three bounds, the least of which holds:

- The target's connections, divided by the daemons that use it. While the daemons are
  few, each of them uses every target. When there are more daemons than connections,
  each uses the first few instances of its own rendezvous ranking, so that it still
  reaches every shard; what it uses does not change when others come and go, as long as
  the number that it uses does not.
- The slots that the target gave this daemon: a refusal takes the limit down to what is
  in flight. One attempt more is tried after a pause, or at once when the target reports
  a free slot. A daemon with work in hand so keeps the slots that it has, and a report
  alone never moves more than one attempt.
- What a cold target bears; see `cold`.
"""

from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.searches import cold
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import rendezvous, services, targets
from amaranthpulley.state.control import topology

Commands = list[commands.Command]

# Rendezvous ranking spreads the daemons unevenly over the instances.
CONNECTION_HEADROOM: Final = 0.75
MAXIMUM_VIEW_AGE_MS: Final = 1_000
MAXIMUM_DOUBLINGS: Final = 2
DEFAULT_LATENCY_MS: Final = 10
MEDIAN_QUANTILE: Final = 0.5


def refresh_view(daemon: daemon_state.Daemon, service: str, now_ms: int) -> Commands:
    """Derive again which targets of a service the daemon uses, if it is time."""
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
    everything = [t for replicas in shards.values() for t in replicas.values()]
    own, users = _instances(daemon, service, everything)
    names = {
        shard: [name for name, target in replicas.items() if target.instance in own]
        for shard, replicas in shards.items()
    }
    # A shard that only other instances hold is asked there.
    for shard, found in names.items():
        names[shard] = found or list(shards[shard])
    state.view = services.ServiceView(key, now_ms, names, users)
    return cold.note_returns(daemon, everything, now_ms)


def connection_share(target: topology.Target, users: int) -> int:
    """Return the connections to a target that each of its users may hold."""
    return max(1, target.connections // users)


def free_capacity(
    daemon: daemon_state.Daemon, target: topology.Target, users: int, now_ms: int
) -> int | None:
    """Return how many attempts more a target takes now.

    Returns
    -------
    int or None
        Zero or less when it is busy; None when it gets nothing from this daemon.
    """
    state = daemon.targets.of(target.name)
    if state.cold is not None:
        return cold.room(daemon, target, state, now_ms)
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
    """Lower a target's limit to what is in flight after a refusal."""
    state.slots = max(0, state.in_flight)
    if state.load is not None:
        state.full_at = max(1, state.load.busy_slots)
    longest_ms = median_latency_ms << min(state.refusals, MAXIMUM_DOUBLINGS)
    state.refusals += 1
    state.probe_at_ms = now_ms + 1 + int((0.5 + random()) * longest_ms)


def record_answer(
    state: targets.TargetState, target: topology.Target, now_ms: int
) -> None:
    """Raise a target's limit to what is in flight with the answered attempt."""
    state.refusals = 0
    state.has_answered = True
    if state.slots is None:
        return
    state.slots = max(state.slots, state.in_flight)
    # The report leaves out the answered attempt, whose slot is this daemon's own.
    busy = state.load.busy_slots + 1 if state.load is not None else 0
    state.full_at = max(state.full_at or target.slots, busy)
    if busy < state.full_at:
        state.probe_at_ms = min(state.probe_at_ms, now_ms)


def median_latency_ms(daemon: daemon_state.Daemon, service: str) -> int:
    """Return the usual latency of a service's attempts."""
    return daemon.services.of(service).latency.quantile_ms(
        MEDIAN_QUANTILE, DEFAULT_LATENCY_MS
    )


def _instances(
    daemon: daemon_state.Daemon, service: str, everything: list[topology.Target]
) -> tuple[set[int], int]:
    """Return the instances that the daemon uses, and the users of each target."""
    instances = {target.instance for target in everything}
    daemons = len(daemon.members.live)
    fewest = min((target.connections for target in everything), default=1)
    most = int(CONNECTION_HEADROOM * fewest * len(instances) / daemons)
    if most >= len(instances) or not instances:
        return instances, daemons
    own = daemon.identity.name
    ranked = sorted(
        instances,
        key=lambda instance: rendezvous.weight_of(own, f"{service}/{instance}"),
    )
    chosen = set(ranked[: max(1, most)])
    return chosen, max(1, round(daemons * len(chosen) / len(instances)))
