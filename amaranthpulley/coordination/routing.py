"""Which replica of a shard gets an attempt."""

from collections.abc import Callable, Collection

from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import topology


def candidates(
    daemon: daemon_state.Daemon,
    service: str,
    shard: str,
    version: int | None,
    tried: Collection[str],
) -> list[topology.Target]:
    """Return the replicas that may get an attempt.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    service, shard : str
        What to look for.
    version : int or None
        Leaves out replicas known not to hold this index version.
    tried : collection of str
        Names of replicas that have been asked already.

    Returns
    -------
    list of Target
        In the order of the configuration; empty when there is none.
    """
    replicas = daemon.configuration.shards(service).get(shard, {})
    return [
        target
        for target in replicas.values()
        if target.name not in tried
        and daemon.configuration.takes_work(target)
        and _may_hold(daemon, target, version)
    ]


def choose(
    daemon: daemon_state.Daemon,
    replicas: list[topology.Target],
    random: Callable[[], float],
) -> topology.Target | None:
    """Return the less busy of two replicas drawn by chance, None when there is none."""
    if not replicas:
        return None
    drawn = [replicas[int(random() * len(replicas))] for _ in range(2)]
    return min(drawn, key=lambda target: daemon.targets.of(target.name).in_flight)


def _may_hold(
    daemon: daemon_state.Daemon, target: topology.Target, version: int | None
) -> bool:
    versions = daemon.targets.of(target.name).versions
    return version is None or not versions or version in versions
