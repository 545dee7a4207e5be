"""Selects the daemons that run sharded requests for the others.

Load pattern: many daemons with little traffic each. A daemon that runs a search only
now and then knows little about the leaves and has no open connections to them, and all
daemons together would need more connections than the leaves accept. So in a failure
domain with many daemons, a few delegates run the sharded requests of all of them.

Every daemon selects the same delegates from the registrations. Delegates have most of
what the fleet may spend on sharded services, such as retries and connections. The rest
is for daemons whose delegates do not answer.
"""

import collections
from collections.abc import Iterable
from typing import Final

from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import delegations
from amaranthpulley.state.forwarding import gateway as gateway_state

# Failure domains with fewer daemons have no delegates: there each daemon has enough
# traffic to know the leaves.
MINIMUM_DAEMONS: Final = 8
# A delegate of the smallest VMs can run the sharded requests of so many daemons.
DAEMONS_PER_DELEGATE: Final = 10
# One delegate may be lost or stopped at any time.
MINIMUM_DELEGATES: Final = 2
# Share of the fleet's allowances that is divided among the runners alone.
RUNNERS_SHARE: Final = 0.75
# Assumed until the daemons have been read from the store; the users' smallest sites.
DEFAULT_DAEMON_COUNT: Final = 8


def daemon_count(gateway: gateway_state.Gateway) -> int:
    """Return the number of daemons that share connections and budgets."""
    return len(gateway.members) or DEFAULT_DAEMON_COUNT


def fleet_of(gateway: gateway_state.Gateway) -> delegations.Fleet:
    """Return the division of sharded requests among the registered daemons."""
    if gateway.fleet is None:
        gateway.fleet = _divide(gateway)
    return gateway.fleet


def own_delegates(gateway: gateway_state.Gateway) -> tuple[str, ...]:
    """Return the delegates of this daemon's domain, its preferred one first.

    There are none for a daemon that runs sharded requests itself.
    """
    own_name = gateway.place.name
    names = fleet_of(gateway).delegates.get(gateway.place.failure_domain, ())
    if own_name in names:
        return ()
    return tuple(rendezvous.ranking(names, own_name))


def runs_searches(gateway: gateway_state.Gateway) -> bool:
    """Return whether this daemon runs sharded requests regularly."""
    fleet = fleet_of(gateway)
    return not fleet.runners or gateway.place.name in fleet.runners


def allowance(gateway: gateway_state.Gateway, service: str, now_ms: int) -> float:
    """Return this daemon's share of what all may spend on a service, from 0 to 1.

    A daemon whose registration has lapsed, also while it was paused, has no share: the
    others have divided it among themselves.
    """
    return share_of(gateway, service) if is_registered(gateway, now_ms) else 0.0


def share_of(gateway: gateway_state.Gateway, service: str) -> float:
    """Return a registered daemon's share of the requests to a service, from 0 to 1."""
    equal = 1.0 / daemon_count(gateway)
    fleet = fleet_of(gateway)
    if not fleet.delegates or service not in gateway.sharded_services:
        return equal
    share = (1.0 - RUNNERS_SHARE) * equal
    if gateway.place.name in fleet.runners:
        share += RUNNERS_SHARE / len(fleet.runners)
    return share


def phase_of(gateway: gateway_state.Gateway, leaf_id: str) -> float:
    """Return a number from 0 to 1 for a leaf that all daemons have evenly spaced."""
    offset = rendezvous.fraction_of(leaf_id, "phase")
    return (fleet_of(gateway).position + offset) % 1.0


def is_registered(gateway: gateway_state.Gateway, now_ms: int) -> bool:
    """Return whether the other daemons count this one."""
    if gateway.members and gateway.place.name not in gateway.members:
        return False
    until_ms = gateway.registered_until_ms
    return until_ms is None or now_ms < until_ms


def _divide(gateway: gateway_state.Gateway) -> delegations.Fleet:
    by_domain: dict[str, list[str]] = collections.defaultdict(list)
    for name, member in gateway.members.items():
        by_domain[member.failure_domain].append(name)
    selected: dict[str, tuple[str, ...]] = {}
    runners: set[str] = set()
    for domain, names in by_domain.items():
        able = [name for name in names if gateway.members[name].delegate_address]
        if len(able) < MINIMUM_DAEMONS:
            runners.update(names)
            continue
        count = max(MINIMUM_DELEGATES, len(able) // DAEMONS_PER_DELEGATE)
        # The sort is stable, so that the ranking decides among VMs of the same speed.
        ranked = rendezvous.ranking(able, domain)
        ranked.sort(key=lambda name: -gateway.members[name].speed)
        selected[domain] = tuple(ranked[:count])
        runners.update(ranked[:count])
    return delegations.Fleet(
        selected,
        frozenset(runners),
        _count_by_region(gateway, runners),
        _count_by_region(gateway, gateway.members),
        _position(gateway),
    )


def _position(gateway: gateway_state.Gateway) -> float:
    before = sum(name < gateway.place.name for name in gateway.members)
    return before / max(1, len(gateway.members))


def _count_by_region(
    gateway: gateway_state.Gateway, names: Iterable[str]
) -> dict[str, int]:
    regions = gateway.place.regions
    domains = (gateway.members[name].failure_domain for name in names)
    return dict(collections.Counter(regions.get(domain, "") for domain in domains))
