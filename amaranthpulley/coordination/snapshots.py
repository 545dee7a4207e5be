"""Which index version a search reads, and which parts of the key space a leaf holds.

A search pins one version before its fan-out. Every part that is merged is of that
version. When no replica of a part holds the version any more, the whole search begins
again at another one; parts of different versions are never merged.
"""

import collections
from typing import Final

from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import keyspace, searches, topology

MAXIMUM_RESTARTS: Final = 3


def pin_version(
    daemon: daemon_state.Daemon, service: str, above: int = 0
) -> int | None:
    """Return the index version that a new search reads.

    It is the newest one that at least half of the reporting replicas of each shard
    hold, so that the first leaves with a new version do not carry the load of all;
    else the newest one that every shard holds at all.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    service : str
        Name of the service.
    above : int
        Versions up to this one are left out.

    Returns
    -------
    int or None
        None while no such version has been reported.
    """
    held: list[set[int]] = []
    common: list[set[int]] = []
    for replicas in daemon.configuration.shards(service).values():
        counts, reporting = _count_versions(daemon, replicas)
        if not reporting:
            continue
        held.append({v for v in counts if v > above})
        common.append({v for v in counts if v > above and counts[v] * 2 >= reporting})
    if not held:
        return None
    widely_held = set.intersection(*common)
    return max(widely_held or set.intersection(*held), default=None)


def next_version(daemon: daemon_state.Daemon, search: searches.Search) -> int | None:
    """Return a newer version to begin a search again at, None if there is none."""
    if search.version is None or search.restarts >= MAXIMUM_RESTARTS:
        return None
    return pin_version(daemon, search.request.service, above=search.version)


def is_gone(daemon: daemon_state.Daemon, search: searches.Search) -> bool:
    """Tell whether some shard has replicas, but none that may hold the version."""
    if search.version is None:
        return False
    for replicas in daemon.configuration.shards(search.request.service).values():
        reported = [
            daemon.targets.of(target.name).versions
            for target in replicas.values()
            if daemon.configuration.takes_work(target)
        ]
        if reported and all(v and search.version not in v for v in reported):
            return True
    return False


def known_ranges(
    daemon: daemon_state.Daemon, target: topology.Target, version: int | None
) -> tuple[keyspace.KeyRange, ...] | None:
    """Return what a target holds of a version; None when it has not told."""
    if version is None:
        return None
    return daemon.targets.of(target.name).ranges.get(version)


def shard_ranges(
    daemon: daemon_state.Daemon, service: str, shard: str, version: int | None
) -> tuple[keyspace.KeyRange, ...] | None:
    """Return what any replica of a shard told that it holds of a version."""
    if version is None:
        return None
    for target in daemon.configuration.shards(service).get(shard, {}).values():
        ranges = daemon.targets.of(target.name).ranges.get(version)
        if ranges is not None:
            return ranges
    return None


def unattended(
    daemon: daemon_state.Daemon, search: searches.Search
) -> list[keyspace.KeyRange]:
    """Return the missing ranges that no attempt on its way is expected to bring."""
    expected = keyspace.RangeSet()
    for attempt in search.attempts.values():
        ranges = known_ranges(daemon, attempt.target, search.version)
        ranges = ranges or shard_ranges(
            daemon, search.request.service, attempt.shard, search.version
        )
        if ranges is None:
            return []
        for key_range in ranges:
            expected.add(key_range)
    return [rest for gap in search.missing for rest in expected.missing_from(gap)]


def shards_to_ask(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    gaps: list[keyspace.KeyRange],
) -> list[str]:
    """Return the shards whose leaves may hold the gaps.

    Before anything has been asked, the shards that are known to hold the gaps are
    enough when together they hold all of them. Otherwise the partition map in hand
    may be out of date, and every shard may hold a part.
    """
    service = search.request.service
    shards = list(daemon.configuration.shards(service))
    if search.asked is keyspace.WHOLE_KEY_SPACE or search.tried:
        return shards
    wanted = keyspace.RangeSet(gaps)
    holding = [
        shard
        for shard in shards
        if _holds_any(shard_ranges(daemon, service, shard, search.version), wanted)
    ]
    return holding or shards


def _holds_any(
    ranges: tuple[keyspace.KeyRange, ...] | None, wanted: keyspace.RangeSet
) -> bool:
    return any(wanted.overlaps(key_range) for key_range in ranges or ())


def _count_versions(
    daemon: daemon_state.Daemon, replicas: dict[str, topology.Target]
) -> tuple[collections.Counter[int], int]:
    counts: collections.Counter[int] = collections.Counter()
    reporting = 0
    for target in replicas.values():
        versions = daemon.targets.of(target.name).versions
        if versions and daemon.configuration.takes_work(target):
            counts.update(versions)
            reporting += 1
    return counts, reporting
