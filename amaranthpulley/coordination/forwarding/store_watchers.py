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
# A read of the store fails when its answer is overdue by this time.
READ_TIMEOUT_MS: Final = 1_000
# Pause between two watches, so that one answer carries a burst of changes: a fifth of
# the 3 s within which a change must be in force.
WATCH_PAUSE_MS: Final = 600
# Bounds of the wait of one watch. Within them it is as long as the users' bounds allow:
# a lost watch must be noticed and replaced in time.
LONGEST_WATCH_WAIT_MS: Final = 5_000
SHORTEST_WATCH_WAIT_MS: Final = 500
# After so many failed calls, each watch waits longer than the one before by a step.
QUICK_RECHECKS: Final = 2
RECHECK_WAIT_STEP_MS: Final = 500
# Time that the answer of a slow store takes, or a message on a busy VM.
ANSWER_MS: Final = 250
# Bounds of a watcher's exponential backoff after failed calls.
WATCHER_RETRY_MS: Final = 100
WATCHER_MAXIMUM_RETRY_MS: Final = 800
# How often a daemon that follows others checks whether it must watch the store itself,
# and for how long it must have had to.
FALLBACK_CHECK_MS: Final = 250
FOLLOWER_FALLBACK_DELAY_MS: Final = 500
# A watcher whose next confirmation is overdue by this time is not up to date.
CONFIRMATION_MARGIN_MS: Final = 900
# Lifetime of a daemon's registration. By its own clock it ends within this time of its
# last renewal, so that a daemon that is cut off knows when others stop counting it.
REGISTRATION_LIFETIME_MS: Final = 30_000
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
    maximum_recheck_wait_ms : int
        Bound of the wait of a watch after failed calls.
    """

    wait_ms: int
    fallback_delay_ms: int
    retry_ms: int
    maximum_retry_ms: int
    maximum_recheck_wait_ms: int = 0

    def recheck_wait_ms(self, failures: int) -> int:
        """Return the wait of a watch after so many failed calls.

        A store that did not answer may return at any moment, so the first watches do
        not wait. Later ones give a slow store more time.
        """
        if not failures:
            return self.wait_ms
        longer_ms = RECHECK_WAIT_STEP_MS * (failures - QUICK_RECHECKS)
        return max(0, min(self.maximum_recheck_wait_ms, longer_ms))


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
    limits = gateway.limits
    wait_ms = _followed_wait_ms(limits) if has_followers else _lone_wait_ms(limits)
    # A call that fails as the store returns is followed by a pause and another call.
    in_time_ms = limits.contact_ms - READ_TIMEOUT_MS - 2 * ANSWER_MS
    if is_watcher(gateway):
        maximum_ms = WATCHER_MAXIMUM_RETRY_MS
        recheck_ms = max(0, in_time_ms - maximum_ms)
        return WatchTiming(wait_ms, 0, WATCHER_RETRY_MS, maximum_ms, recheck_ms)
    maximum_ms = max(FOLLOWER_RETRY_MS, min(FOLLOWER_MAXIMUM_RETRY_MS, in_time_ms))
    return WatchTiming(
        wait_ms,
        FOLLOWER_FALLBACK_DELAY_MS,
        FOLLOWER_RETRY_MS,
        maximum_ms,
        max(0, in_time_ms - maximum_ms),
    )


def confirmation_age_ms(limits: gateway_state.Limits) -> int:
    """Return the age of its last confirmation at which a watcher is out of date."""
    return _followed_wait_ms(limits) + WATCH_PAUSE_MS + CONFIRMATION_MARGIN_MS


def _lone_wait_ms(limits: gateway_state.Limits) -> int:
    """Return the wait of a watch on whose answers no other daemon relies.

    It is lost in an outage that ends at once: it has to fail, and the next call has to
    be answered, within the contact time.
    """
    in_time_ms = limits.contact_ms - READ_TIMEOUT_MS - WATCHER_RETRY_MS - 2 * ANSWER_MS
    return max(SHORTEST_WATCH_WAIT_MS, min(LONGEST_WATCH_WAIT_MS, in_time_ms))


def _followed_wait_ms(limits: gateway_state.Limits) -> int:
    """Return the wait of a watch on whose answers other daemons rely.

    When both followed watchers lose the store or fall silent, their followers are not
    affected, so that a change must reach them as on any other day.
    """
    to_fall_back_ms = FALLBACK_CHECK_MS + FOLLOWER_FALLBACK_DELAY_MS + ANSWER_MS
    lost_ms = READ_TIMEOUT_MS + ANSWER_MS
    silent_ms = WATCH_PAUSE_MS + CONFIRMATION_MARGIN_MS
    bound_ms = min(limits.configuration_ms, limits.contact_ms)
    in_time_ms = bound_ms - max(lost_ms, silent_ms) - to_fall_back_ms
    wait_ms = max(SHORTEST_WATCH_WAIT_MS, in_time_ms)
    return min(_lone_wait_ms(limits), wait_ms)


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
