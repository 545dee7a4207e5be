"""Which daemons follow the store, and from whom the others learn of changes.

Calls of the store do not grow with the fleet: a few daemons of each region watch it,
chosen by rendezvous over the registered ones, and the others follow two of them.
"""

from typing import Final

from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state

# Daemons of a region that watch the store: one may be lost and one be cut off.
WATCHERS: Final = 3
# Watchers that every other daemon follows, so that one of them may be behind.
FOLLOWED: Final = 2


# Longest wait of one watch, in milliseconds: a store that has gone silent is noticed
# after it. Shorter where others follow, which must hear of a change within 5 s.
WATCH_MS: Final = 5_000
FOLLOWED_WATCH_MS: Final = 2_500


def watch_wait_ms(gateway: gateway_state.Gateway) -> int:
    """Return how long one watch of this daemon waits at the most."""
    regions = gateway.place.regions
    near = sum(
        regions.get(member.failure_domain) == gateway.place.region
        for member in gateway.members.values()
    )
    return FOLLOWED_WATCH_MS if near > WATCHERS else WATCH_MS


def watchers(gateway: gateway_state.Gateway) -> list[str]:
    """Return the daemons of the own region that watch the store, best first."""
    regions = gateway.place.regions
    members = [
        name
        for name, member in gateway.members.items()
        if regions.get(member.failure_domain) == gateway.place.region
    ]
    return rendezvous.ranking(members, gateway.place.region)[:WATCHERS]


def is_watcher(gateway: gateway_state.Gateway) -> bool:
    """Tell whether this daemon watches the store; so does one that knows no other."""
    chosen = watchers(gateway)
    return len(chosen) < WATCHERS or gateway.place.name in chosen


def followed(gateway: gateway_state.Gateway) -> tuple[str, ...]:
    """Return the addresses of the daemons to follow; none for a watcher."""
    if is_watcher(gateway):
        return ()
    names = watchers(gateway)[:FOLLOWED]
    return tuple(gateway.members[name].address for name in names)
