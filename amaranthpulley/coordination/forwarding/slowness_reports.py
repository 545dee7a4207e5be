"""What the daemons of a region tell each other about slow leaves.

A daemon with few requests would need seconds to learn by itself that a leaf has turned
slow. One late answer is no proof, since leaves pause: what is told counts as much as an
answer of the daemon's own.
"""

from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    events,
    leaf_health,
    leaf_selection,
    store_watchers,
)
from amaranthpulley.state.forwarding import gateway as gateway_state

# An answer that took so many usual times is told.
REPORTED_SLOWNESS: Final = 2.5
# Daemons that one answer is told to: every daemon of a region hears of a leaf that is
# slow for all, and the messages do not grow with the fleet.
MAXIMUM_RECIPIENTS: Final = 8
# Shortest time between two answers that are told: 80 datagrams a second of some 100 B
# are a third of the 30 KB/s that control may take. In milliseconds.
MINIMUM_REPORT_INTERVAL_MS: Final = 100


def report_late_answer(
    gateway: gateway_state.Gateway,
    leaf_id: str,
    slowness: float,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Tell some daemons of the region of a leaf of this region that was late."""
    leaf = gateway.directory.get(leaf_id)
    if (
        leaf is None
        or slowness < REPORTED_SLOWNESS
        or now_ms < gateway.next_slowness_report_ms
    ):
        return []
    if leaf.region != gateway.place.region:
        return []
    addresses = _listeners(gateway, random)
    if not addresses:
        return []
    gateway.next_slowness_report_ms = now_ms + MINIMUM_REPORT_INTERVAL_MS
    return [commands.ReportSlowness(leaf_id, slowness, addresses)]


def handle_report(
    gateway: gateway_state.Gateway,
    event: events.SlownessReported,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Take over what another daemon has seen of a leaf."""
    leaf = gateway.directory.get(event.leaf_id)
    if leaf is not None:
        gateway.counters.add("forward_slowness_heard_total")
        leaf_health.record_slowness(leaf, event.slowness, now_ms)
    return []


def _listeners(
    gateway: gateway_state.Gateway, random: leaf_selection.RandomSource
) -> tuple[str, ...]:
    near = [
        gateway.members[name].address
        for name in store_watchers.region_members(gateway)
        if name != gateway.place.name
    ]
    if len(near) > MAXIMUM_RECIPIENTS:
        near.sort(key=lambda _: random())
    return tuple(near[:MAXIMUM_RECIPIENTS])
