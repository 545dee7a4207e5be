"""Choice of the index version that a search reads, and the ranges that leaves hold.

A search pins one version before its fan-out and merges only parts of that version.
When no replica of a shard holds the version any more, the whole search restarts at a
newer one; parts of different versions are never merged.
"""

import collections
from typing import Final

from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import targets
from amaranthpulley.state.control import topology
from amaranthpulley.state.searches import keyspace, searches

MAXIMUM_RESTARTS: Final = 3
# A leaf that is seldom queried may change its versions without a new report.
REPORT_VALID_MS: Final = 1_000


def may_hold_version(
    state: targets.TargetState, version: int, now_ms: int | None
) -> bool:
    """Return whether a target may hold a version; an old report does not exclude it."""
    if state.load is None or version in state.load.versions:
        return True
    return now_ms is not None and not _is_fresh(state, now_ms)


def pin_version(
    daemon: daemon_state.Daemon, service: str, now_ms: int, above: int = 0
) -> int | None:
    """Return the index version that a new search reads.

    This is the newest version held by at least half of the reporting replicas of each
    shard, so that the first leaves with a new version do not carry the whole load. If
    there is none, it is the newest version that some replica of every shard holds.

    Parameters
    ----------
    daemon : Daemon
        The daemon's tables.
    service : str
        Name of the service.
    now_ms : int
        Reading of the monotonic clock, in milliseconds.
    above : int
        Versions up to this one are excluded.

    Returns
    -------
    int or None
        None while no such version has been reported.
    """
    held: list[set[int]] = []
    common: list[set[int]] = []
    for replicas in daemon.configuration.shards(service).values():
        counts, reporting = _count_versions(daemon, replicas, now_ms)
        if not reporting:
            continue
        held.append({v for v in counts if v > above})
        common.append({v for v in counts if v > above and counts[v] * 2 >= reporting})
    if not held:
        return None
    widely_held = set.intersection(*common)
    return max(widely_held or set.intersection(*held), default=None)


def next_version(
    daemon: daemon_state.Daemon, search: searches.Search, now_ms: int
) -> int | None:
    """Return a newer version at which to restart a search, None if there is none."""
    if search.version is None or search.restarts >= MAXIMUM_RESTARTS:
        return None
    return pin_version(daemon, search.request.service, now_ms, search.version)


def is_version_gone(
    daemon: daemon_state.Daemon, search: searches.Search, now_ms: int
) -> bool:
    """Return whether some shard has replicas, but none that may hold the version."""
    if search.version is None:
        return False
    for replicas in daemon.configuration.shards(search.request.service).values():
        serving = [t for t in replicas.values() if daemon.configuration.accepts_work(t)]
        states = [daemon.targets.of(target.name) for target in serving]
        if states and not any(
            may_hold_version(s, search.version, now_ms) for s in states
        ):
            return True
    return False


def known_ranges(
    daemon: daemon_state.Daemon, target: topology.Target, version: int | None
) -> tuple[keyspace.KeyRange, ...] | None:
    """Return the ranges of a version that a target holds, None when unknown."""
    if version is None:
        return None
    return daemon.targets.of(target.name).ranges.get(version)


def shard_ranges(
    daemon: daemon_state.Daemon, service: str, shard: str, version: int | None
) -> tuple[keyspace.KeyRange, ...] | None:
    """Return the ranges of a version that a replica of a shard has reported."""
    if version is None:
        return None
    for target in daemon.configuration.shards(service).get(shard, {}).values():
        ranges = daemon.targets.of(target.name).ranges.get(version)
        if ranges is not None:
            return ranges
    return None


def unrequested_ranges(
    daemon: daemon_state.Daemon, search: searches.Search
) -> list[keyspace.KeyRange]:
    """Return the missing ranges that no attempt in flight is expected to cover.

    Empty while the ranges of an attempt in flight are unknown.
    """
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


def shards_to_query(
    daemon: daemon_state.Daemon,
    search: searches.Search,
    gaps: list[keyspace.KeyRange],
) -> list[str]:
    """Return the shards whose leaves may hold the gaps.

    The first attempts of a look-up go only to the shards known to hold its position,
    or to all shards while none is known. For later attempts the known partition map
    may be out of date, so any shard may hold a gap; a search of the whole key space
    needs every shard anyway.
    """
    service = search.request.service
    shards = list(daemon.configuration.shards(service))
    if search.requested_range is keyspace.WHOLE_KEY_SPACE or search.tried:
        return shards
    gap_set = keyspace.RangeSet(gaps)
    holding = [
        shard
        for shard in shards
        if _holds_any(shard_ranges(daemon, service, shard, search.version), gap_set)
    ]
    return holding or shards


def _holds_any(
    ranges: tuple[keyspace.KeyRange, ...] | None, gap_set: keyspace.RangeSet
) -> bool:
    return any(gap_set.overlaps(key_range) for key_range in ranges or ())


def _is_fresh(state: targets.TargetState, now_ms: int) -> bool:
    return now_ms - state.reported_ms <= REPORT_VALID_MS


def _count_versions(
    daemon: daemon_state.Daemon, replicas: dict[str, topology.Target], now_ms: int
) -> tuple[collections.Counter[int], int]:
    """Count the replicas that report each version, by fresh reports if there are any.

    Returns
    -------
    tuple of Counter and int
        Replicas by version, and the number of reports that were counted.
    """
    counts: collections.Counter[int] = collections.Counter()
    states = [
        daemon.targets.of(target.name)
        for target in replicas.values()
        if daemon.configuration.accepts_work(target)
    ]
    reporting = [state for state in states if state.versions]
    fresh = [state for state in reporting if _is_fresh(state, now_ms)]
    for state in fresh or reporting:
        counts.update(state.versions)
    return counts, len(fresh or reporting)
