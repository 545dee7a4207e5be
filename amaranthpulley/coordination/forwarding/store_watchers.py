"""Selects the daemons that watch the store and those that the others follow.

A few daemons of each region watch the store, selected by rendezvous hashing over the
registered daemons. The others follow two of them, so that the load of the store does
not grow with the fleet.
"""

from typing import Final, NamedTuple

from amaranthpulley.coordination.forwarding import delegates
from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state

# One watcher may be lost and one disconnected from the store at the same time.
WATCHERS_PER_REGION: Final = 3
# Watchers that every other daemon follows, so that one of them may lag behind.
FOLLOWED_WATCHERS: Final = 2
# Longest wait of one watch call, after which an unresponsive store is noticed. It is
# shorter for watchers with followers, which must get a change within 5 s.
WATCH_WAIT_MS: Final = 5_000
FOLLOWED_WATCH_WAIT_MS: Final = 2_500
# Bounds of a watcher's exponential backoff after failed calls.
WATCHER_RETRY_MS: Final = 100
WATCHER_MAXIMUM_RETRY_MS: Final = 800
# A follower whose watchers are not up to date watches the store itself after this time.
# An unresponsive store is noticed after 3.5 s, and a change must be in force after 5 s.
FOLLOWER_FALLBACK_DELAY_MS: Final = 1_000
# Bounds of a follower's backoff. They are longer than a watcher's because failed calls
# are charged, too, and the watchers already retry a store that is down for all.
FOLLOWER_RETRY_MS: Final = 1_000
FOLLOWER_MAXIMUM_RETRY_MS: Final = 3_000


class WatchTiming(NamedTuple):
    """Waits and delays of a daemon that watches the store.

    Attributes
    ----------
    wait_ms : int
        Longest wait of one watch call.
    fallback_delay_ms : int
        Time without an up-to-date watcher before the daemon watches the store itself;
        0 for a watcher.
    retry_ms, maximum_retry_ms : int
        Bounds of the exponential backoff after failed calls.
    """

    wait_ms: int
    fallback_delay_ms: int
    retry_ms: int
    maximum_retry_ms: int


def region_members(gateway: gateway_state.Gateway) -> list[str]:
    """Return the names of the registered daemons of this daemon's region."""
    regions = gateway.place.regions
    return [
        name
        for name, member in gateway.members.items()
        if regions.get(member.failure_domain) == gateway.place.region
    ]


def watch_timing(gateway: gateway_state.Gateway) -> WatchTiming:
    """Return the timing with which this daemon watches the store when it has to."""
    has_followers = len(region_members(gateway)) > WATCHERS_PER_REGION
    wait_ms = FOLLOWED_WATCH_WAIT_MS if has_followers else WATCH_WAIT_MS
    if is_watcher(gateway):
        return WatchTiming(wait_ms, 0, WATCHER_RETRY_MS, WATCHER_MAXIMUM_RETRY_MS)
    return WatchTiming(
        wait_ms,
        FOLLOWER_FALLBACK_DELAY_MS,
        FOLLOWER_RETRY_MS,
        FOLLOWER_MAXIMUM_RETRY_MS,
    )


def watchers(gateway: gateway_state.Gateway) -> list[str]:
    """Return the daemons of this region that watch the store, best ranked first."""
    if gateway.watchers is None:
        ranked = rendezvous.ranking(region_members(gateway), gateway.place.region)
        gateway.watchers = ranked[:WATCHERS_PER_REGION]
    return gateway.watchers


def is_watcher(gateway: gateway_state.Gateway) -> bool:
    """Return whether this daemon watches the store.

    Every daemon does while fewer than `WATCHERS_PER_REGION` are known in its region.
    """
    selected = watchers(gateway)
    return len(selected) < WATCHERS_PER_REGION or gateway.place.name in selected


def serves_others(gateway: gateway_state.Gateway) -> bool:
    """Return whether other daemons rely on this one and must learn that it stops.

    The registration of any other daemon may expire, or be renewed by its next life.
    """
    return is_watcher(gateway) or delegates.runs_searches(gateway)


def followed_addresses(gateway: gateway_state.Gateway) -> tuple[str, ...]:
    """Return the addresses of the watchers to follow; none for a watcher."""
    if is_watcher(gateway):
        return ()
    names = watchers(gateway)[:FOLLOWED_WATCHERS]
    return tuple(gateway.members[name].address for name in names)
