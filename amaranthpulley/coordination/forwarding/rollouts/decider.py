"""Which daemons decide about a roll-out, and when each may write a step.

The first daemons of a rendezvous hash over the registered ones get the evidence of all
and come to the same decisions. The first writes at once, each later one when a decision
has been due for longer. Which of them still runs need not be known: a write has the
condition that the step before is still in the store, so that only one can succeed.
"""

from typing import Final

from amaranthpulley.coordination.forwarding import delegates
from amaranthpulley.state import rendezvous
from amaranthpulley.state.forwarding import gateway as gateway_state

# Daemons that get the evidence of all, in different failure domains where there are.
JUDGES: Final = 3
# Each later daemon writes a decision so much later than the one before, as a part of
# the time for a reversal. At 5,000 ms it is 1 s: the one before has written by then and
# its step has been read, which takes some 700 ms.
TURN_PART: Final = 5
# Daemons without evidence write what depends on time only, after the judges.
LAST_TURN: Final = 5


def judges(gateway: gateway_state.Gateway, service: str) -> list[str]:
    """Return the daemons that decide about a service's roll-out, in their turn."""
    ranked = rendezvous.ranking(gateway.members, f"rollout/{service}")
    selected: list[str] = []
    domains: set[str] = set()
    for name in ranked:
        domain = gateway.members[name].failure_domain
        if domain not in domains and len(selected) < JUDGES:
            domains.add(domain)
            selected.append(name)
    for name in ranked:
        if len(selected) < JUDGES and name not in selected:
            selected.append(name)
    return selected


def is_judge(gateway: gateway_state.Gateway, service: str) -> bool:
    """Return whether this daemon gets the evidence of all."""
    return not gateway.members or gateway.place.name in judges(gateway, service)


def turn_ms(gateway: gateway_state.Gateway, service: str, now_ms: int) -> int | None:
    """Return how long a decision must be due before this daemon writes it.

    None for a daemon whose registration has lapsed: the others do not count on it.
    """
    if not delegates.is_registered(gateway, now_ms):
        return None
    if not gateway.members:
        return 0
    selected = judges(gateway, service)
    one_ms = gateway.limits.rollback_ms // TURN_PART
    if gateway.place.name in selected:
        return one_ms * selected.index(gateway.place.name)
    # Spread, so that a large fleet does not write all at once.
    spread = rendezvous.fraction_of(gateway.place.name, f"rollout/{service}")
    return int(one_ms * (JUDGES + (LAST_TURN - JUDGES) * spread))
