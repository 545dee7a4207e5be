"""Choice of the replica of a shard that gets an attempt."""

import itertools
from collections.abc import Callable, Collection, Iterator
from typing import Final, NamedTuple

from amaranthpulley.coordination.searches import concurrency_limits, snapshots
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state.control import topology

# With more free replicas than this, a random selection of them is compared.
MAXIMUM_COMPARED: Final = 8
# An older latency is replaced by the median, so that a once slow target gets work.
LATENCY_VALID_MS: Final = 5_000
REPORT_VALID_MS: Final = 50
COLD_ATTEMPT_INTERVAL_MS: Final = 20
LATENCY_STEP: Final = 1.5


class Choice(NamedTuple):
    """The replica for an attempt.

    Attributes
    ----------
    target : Target or None
        None when no replica can take the attempt now.
    has_others : bool
        Whether another replica can be queried afterwards.
    is_busy : bool
        True without a target when some replica is only short of capacity.
    """

    target: topology.Target | None
    has_others: bool
    is_busy: bool


def pick_fastest(
    daemon: daemon_state.Daemon,
    service: str,
    shard: str,
    version: int | None,
    tried: Collection[str],
    now_ms: int,
    random: Callable[[], float],
) -> Choice:
    """Choose the replica that is expected to answer first.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    service, shard, version, tried
        As for `candidates`.
    now_ms : int
        Reading of the monotonic clock, in milliseconds.
    random : callable
        Returns a uniformly distributed number in ``[0.0, 1.0)``.
    """
    best: topology.Target | None = None
    best_score = 0.0
    free = busy = 0
    users = _users(daemon, service)
    for target in _in_random_order(daemon, service, shard, random):
        if not _is_eligible(daemon, target, version, tried, now_ms):
            continue
        capacity = concurrency_limits.free_capacity(daemon, target, users, now_ms)
        if capacity is None or capacity <= 0:
            busy += capacity is not None
            continue
        score = _score(daemon, target, now_ms)
        if best is None or score < best_score:
            best, best_score = target, score
        free += 1
        if free >= MAXIMUM_COMPARED:
            break
    return Choice(best, free + busy > 1, best is None and busy > 0)


def has_cold_replica(daemon: daemon_state.Daemon, service: str, shard: str) -> bool:
    """Return whether a replica of a shard is in service but cold."""
    return any(
        daemon.targets.of(target.name).cold is not None
        and daemon.configuration.accepts_work(target)
        for target in daemon.configuration.shards(service).get(shard, {}).values()
    )


def candidates(
    daemon: daemon_state.Daemon,
    service: str,
    shard: str,
    version: int | None,
    tried: Collection[str],
    now_ms: int | None = None,
) -> list[topology.Target]:
    """Return the replicas that may get an attempt.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    service, shard : str
        Names of the service and of its shard.
    version : int or None
        Excludes replicas known not to hold this index version.
    tried : collection of str
        Names of the replicas that were queried already.
    now_ms : int or None
        Excludes cold targets to which this daemon may not send at this time; None
        excludes every cold target.

    Returns
    -------
    list of Target
        In the order of the configuration.
    """
    replicas = daemon.configuration.shards(service).get(shard, {})
    return [
        target
        for target in replicas.values()
        if _is_eligible(daemon, target, version, tried, now_ms)
        and _accepts_attempt(daemon, target, now_ms)
    ]


def pick_less_busy(
    daemon: daemon_state.Daemon,
    replicas: list[topology.Target],
    random: Callable[[], float],
) -> topology.Target | None:
    """Return the less busy of two random replicas, None when there is none."""
    if not replicas:
        return None
    drawn = [replicas[int(random() * len(replicas))] for _ in range(2)]
    return min(drawn, key=lambda target: daemon.targets.of(target.name).in_flight)


def _users(daemon: daemon_state.Daemon, service: str) -> int:
    view = daemon.services.of(service).view
    return view.users if view is not None else 1


def _in_random_order(
    daemon: daemon_state.Daemon,
    service: str,
    shard: str,
    random: Callable[[], float],
) -> Iterator[topology.Target]:
    """Yield the replicas that this daemon uses, in rotation from a random one."""
    replicas = daemon.configuration.shards(service).get(shard, {})
    view = daemon.services.of(service).view
    names = view.names.get(shard) if view is not None else None
    names = names or list(replicas)
    start = int(random() * len(names))
    for name in itertools.chain(names[start:], names[:start]):
        target = replicas.get(name)
        if target is not None:
            yield target


def _is_eligible(
    daemon: daemon_state.Daemon,
    target: topology.Target,
    version: int | None,
    tried: Collection[str],
    now_ms: int | None,
) -> bool:
    if target.name in tried or not daemon.configuration.accepts_work(target):
        return False
    return version is None or snapshots.may_hold_version(
        daemon.targets.of(target.name), version, now_ms
    )


def _accepts_attempt(
    daemon: daemon_state.Daemon, target: topology.Target, now_ms: int | None
) -> bool:
    if daemon.targets.of(target.name).cold is None:
        return True
    if now_ms is None:
        return False
    return (concurrency_limits.free_capacity(daemon, target, 1, now_ms) or 0) > 0


def _score(daemon: daemon_state.Daemon, target: topology.Target, now_ms: int) -> float:
    """Return the expected time until an answer, with the latency rounded up to a step.

    The rounding lets replicas of similar latency compare by their load alone.
    """
    state = daemon.targets.of(target.name)
    latency_ms = state.latency_ms
    age_ms = now_ms - state.latency_at_ms
    if state.cold is not None and age_ms >= COLD_ATTEMPT_INTERVAL_MS:
        # A cold target warms up only by work, but would lose every comparison.
        return 0.0
    if latency_ms == 0.0 or age_ms > LATENCY_VALID_MS:
        latency_ms = float(concurrency_limits.median_latency_ms(daemon, target.service))
    waiting = state.in_flight
    if state.load is not None and age_ms <= REPORT_VALID_MS:
        waiting = max(waiting, state.load.busy_slots)
    step = 1.0
    while step < latency_ms:
        step *= LATENCY_STEP
    return step * (1 + waiting)
