"""Which daemons follow the store, and from whom the others learn of changes.

Calls of the store do not grow with the fleet: a few daemons of each region watch it,
chosen by rendezvous over the registered ones, and the others follow two of them.
"""

from typing import Final, NamedTuple

from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state

# Daemons of a region that watch the store: one may be lost and one be cut off.
WATCHERS_PER_REGION: Final = 3
# Watchers that every other daemon follows, so that one of them may be behind.
FOLLOWED_WATCHERS: Final = 2
# Longest wait of one watch, in milliseconds: a store that has gone silent is noticed
# after it. Shorter where others follow, which must hear of a change within 5 s.
WATCH_WAIT_MS: Final = 5_000
FOLLOWED_WATCH_WAIT_MS: Final = 2_500
# Pauses of a watcher after failed calls, in milliseconds.
WATCHER_RETRY_MS: Final = 100
WATCHER_MAXIMUM_RETRY_MS: Final = 800
# A follower whose watchers are not fresh turns to the store after this time: a silent
# store is noticed after 3.5 s, and the change must be in force after 5 s. In
# milliseconds.
FOLLOWER_FALLBACK_DELAY_MS: Final = 1_000
# Its pauses after failed calls. Calls that fail are priced, too, and a store that is
# away for all is tried by the watchers. In milliseconds.
FOLLOWER_RETRY_MS: Final = 1_000
FOLLOWER_MAXIMUM_RETRY_MS: Final = 3_000


class WatchTiming(NamedTuple):
    """How a daemon follows the store, in milliseconds.

    Attributes
    ----------
    wait_ms : int
        Longest wait of one watch.
    patience_ms : int
        How long the daemon has had to follow the store before it begins to.
    retry_ms, longest_retry_ms : int
        First and longest pause after failed calls.
    """

    wait_ms: int
    fallback_delay_ms: int
    retry_ms: int
    maximum_retry_ms: int


def region_members(gateway: gateway_state.Gateway) -> list[str]:
    """Return the names of the registered daemons of the own region."""
    regions = gateway.place.regions
    return [
        name
        for name, member in gateway.members.items()
        if regions.get(member.failure_domain) == gateway.place.region
    ]


def watch_timing(gateway: gateway_state.Gateway) -> WatchTiming:
    """Return how this daemon follows the store, if it must."""
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
    """Return the daemons of the own region that watch the store, best first."""
    return rendezvous.ranking(region_members(gateway), gateway.place.region)[
        :WATCHERS_PER_REGION
    ]


def is_watcher(gateway: gateway_state.Gateway) -> bool:
    """Tell whether this daemon watches the store; so does one that knows no other."""
    chosen = watchers(gateway)
    return len(chosen) < WATCHERS_PER_REGION or gateway.place.name in chosen


def followed_addresses(gateway: gateway_state.Gateway) -> tuple[str, ...]:
    """Return the addresses of the daemons to follow; none for a watcher."""
    if is_watcher(gateway):
        return ()
    names = watchers(gateway)[:FOLLOWED_WATCHERS]
    return tuple(gateway.members[name].address for name in names)
