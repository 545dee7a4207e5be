"""What the daemons of a region tell each other about slow leaves.

A daemon with few requests would need seconds to learn by itself that a leaf has turned
slow. One late answer is no proof, since leaves pause: what is told counts as much as an
answer of the daemon's own.
"""

from typing import Final

from amaranthpulley.coordination.forwarding import (
    choosing,
    commands,
    events,
    learning,
    relaying,
)
from amaranthpulley.state.forwarding import gateway as gateway_state

# An answer that took so many usual times is told.
TOLD_SLOWNESS: Final = 2.5
# Daemons that one answer is told to: every daemon of a region hears of a leaf that is
# slow for all, and the messages do not grow with the fleet.
TOLD_DAEMONS: Final = 8
# Shortest time between two answers that are told: 80 datagrams a second of some 100 B
# are a third of the 30 KB/s that control may take. In milliseconds.
TELL_GAP_MS: Final = 100


def tell(
    gateway: gateway_state.Gateway,
    leaf_id: str,
    slowness: float,
    now_ms: int,
    random: choosing.Random,
) -> list[commands.Command]:
    """Tell some daemons of the region of a leaf of this region that was late."""
    leaf = gateway.directory.get(leaf_id)
    if leaf is None or slowness < TOLD_SLOWNESS or now_ms < gateway.next_tell_ms:
        return []
    if leaf.region != gateway.place.region:
        return []
    addresses = _listeners(gateway, random)
    if not addresses:
        return []
    gateway.next_tell_ms = now_ms + TELL_GAP_MS
    return [commands.TellSlowness(leaf_id, slowness, addresses)]


def hear(
    gateway: gateway_state.Gateway,
    event: events.SlownessTold,
    now_ms: int,
    random: choosing.Random,
) -> list[commands.Command]:
    """Take over what another daemon has seen of a leaf."""
    leaf = gateway.directory.get(event.leaf_id)
    if leaf is not None:
        gateway.counters.add("forward_slowness_heard_total")
        learning.note_slowness(leaf, event.slowness, now_ms)
    return []


def _listeners(
    gateway: gateway_state.Gateway, random: choosing.Random
) -> tuple[str, ...]:
    near = [
        gateway.members[name].address
        for name in relaying.near_members(gateway)
        if name != gateway.place.name
    ]
    if len(near) > TOLD_DAEMONS:
        near.sort(key=lambda _: random())
    return tuple(near[:TOLD_DAEMONS])
