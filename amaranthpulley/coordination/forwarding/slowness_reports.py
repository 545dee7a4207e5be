"""Exchanges reports of slow leaves between the daemons of a region.

A daemon with few requests would need seconds to notice by itself that a leaf has become
slow. One late answer is no proof, because leaves pause, so a received report weighs as
much as one answer to the daemon itself.

The reported slowness includes the part of the leaf's machine: other daemons have not
heard the figure by which the leaf states it.
"""

from typing import Final

from amaranthpulley.coordination.forwarding import (
    commands,
    events,
    leaf_health,
    leaf_pace,
    leaf_selection,
    machine_slowness,
    store_watchers,
)
from amaranthpulley.state.forwarding import gateway as gateway_state

# An answer is reported if it took at least this multiple of the route's mean time.
REPORTED_SLOWNESS: Final = 2.5
# Recipients of one report. A leaf that is slow for all is reported by many daemons, so
# every daemon of the region gets a report, and traffic does not grow with the fleet.
MAXIMUM_RECIPIENTS: Final = 8
# At 8 recipients this is 80 datagrams of about 100 B a second, a third of the 30 KB/s
# allowed for control traffic.
MINIMUM_REPORT_INTERVAL_MS: Final = 100


def report_late_answer(
    gateway: gateway_state.Gateway,
    leaf_id: str,
    slowness: float,
    now_ms: int,
    random: leaf_selection.RandomSource,
) -> list[commands.Command]:
    """Report a late answer of a leaf of this region to some daemons of the region."""
    leaf = gateway.directory.get(leaf_id)
    if (
        leaf is None
        or slowness < REPORTED_SLOWNESS
        or now_ms < gateway.next_slowness_report_ms
    ):
        return []
    if leaf.region != gateway.place.region:
        return []
    addresses = _recipients(gateway, random)
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
    """Record the slowness of a leaf that another daemon has reported."""
    leaf = gateway.directory.get(event.leaf_id)
    if leaf is not None:
        gateway.counters.add("forward_slowness_heard_total")
        if gateway.paces.by_service:
            # As far as this daemon has heard how slow the leaf's machine is.
            machine = machine_slowness.current(leaf, now_ms)
            leaf_pace.record_time(gateway, leaf, event.slowness / machine, now_ms)
        leaf_health.record_slowness(leaf, event.slowness, now_ms)
    return []


def _recipients(
    gateway: gateway_state.Gateway, random: leaf_selection.RandomSource
) -> tuple[str, ...]:
    region_addresses = [
        gateway.members[name].address
        for name in store_watchers.region_members(gateway)
        if name != gateway.place.name
    ]
    if len(region_addresses) > MAXIMUM_RECIPIENTS:
        region_addresses.sort(key=lambda _: random())
    return tuple(region_addresses[:MAXIMUM_RECIPIENTS])
