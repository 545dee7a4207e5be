"""Applies what leaves ask for in their answers.

A demand holds for this daemon alone: another one learns it from the leaf's answer to a
request of its own. Telling it to others would save them a request each, but a report
may be late or false, and would keep a leaf from getting requests that it could take.
"""

from typing import Final

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.state import log_events, rendezvous
from amaranthpulley.state.forwarding import backpressure, leaves, requests
from amaranthpulley.state.forwarding import gateway as gateway_state

# A limit is logged again after a change by this share.
LOGGED_CHANGE: Final = 0.25


def apply_answer(
    gateway: gateway_state.Gateway,
    start: leaves.LeafStart,
    answer: requests.LeafAnswer,
    now_ms: int,
) -> list[commands.Command]:
    """Apply the demands in an answer to a request that was sent to a start of a leaf.

    A rejection without a limit ends none: it may be written before the leaf knows how
    busy it is.
    """
    if answer.status == requests.WRONG_LEAF_STATUS:
        return []
    return apply(gateway, start, answer.demands, not answer.not_run, now_ms)


def apply(
    gateway: gateway_state.Gateway,
    start: leaves.LeafStart,
    demands: requests.LeafDemands,
    ran: bool,
    now_ms: int,
) -> list[commands.Command]:
    """Apply the demands of a start of a leaf, whose entry may be gone.

    Parameters
    ----------
    ran : bool
        Whether the leaf ran a request. Only then does it end a limit or the steps after
        a pause.
    """
    pressure = gateway.directory.pressure_of(start)
    if pressure is None:
        if demands == requests.NO_DEMANDS:
            return []
        phase = rendezvous.fraction_of(gateway.place.name, start.leaf_id)
        pressure = backpressure.Backpressure(phase)
    changes = [
        ("leaving", _apply_leaving(pressure, demands, now_ms)),
        ("pause", _apply_pause(gateway, start, pressure, demands, ran, now_ms)),
        ("limit", _apply_limit(pressure, demands, ran, now_ms)),
    ]
    gateway.directory.set_pressure(start, pressure)
    return [
        common.log(
            log_events.LEAF_DEMAND_CHANGED,
            target=start.leaf_id,
            service=start.service,
            demand=demand,
            value=value,
        )
        for demand, value in changes
        if value is not None
    ]


def _apply_leaving(
    pressure: backpressure.Backpressure, demands: requests.LeafDemands, now_ms: int
) -> str | None:
    if not demands.leaving or pressure.leaving_since_ms is not None:
        return None
    pressure.leaving_since_ms = now_ms
    return ""


def _apply_pause(
    gateway: gateway_state.Gateway,
    start: leaves.LeafStart,
    pressure: backpressure.Backpressure,
    demands: requests.LeafDemands,
    ran: bool,
    now_ms: int,
) -> str | None:
    if demands.pause_ms is None:
        leaf = gateway.directory.get(start.leaf_id)
        if ran and leaf is not None:
            pressure.step_up(leaf.entry.slots)
        return None
    was_paused = pressure.paused_until_ms > now_ms
    pressure.pause(demands.pause_ms, now_ms)
    return None if was_paused else f"{demands.pause_ms} ms"


def _apply_limit(
    pressure: backpressure.Backpressure,
    demands: requests.LeafDemands,
    ran: bool,
    now_ms: int,
) -> str | None:
    """Set the limit that a leaf names, or end it when the leaf names none any more."""
    demanded, known = demands.limit_per_s, pressure.limit_per_s
    if demanded is None and (known is None or not ran):
        return None
    pressure.set_limit(demanded, now_ms)
    if demanded is None:
        return "ended"
    if known is not None and abs(demanded - known) <= LOGGED_CHANGE * known:
        return None
    return f"{demanded:g}/s"
