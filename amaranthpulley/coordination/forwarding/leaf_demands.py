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


def apply(
    gateway: gateway_state.Gateway,
    leaf_id: str,
    answer: requests.LeafAnswer,
    now_ms: int,
) -> list[commands.Command]:
    """Apply the demands in an answer to a request that was sent to a leaf."""
    leaf = gateway.directory.get(leaf_id)
    if leaf is None or answer.status == requests.WRONG_LEAF_STATUS:
        return []
    if leaf.backpressure is None:
        if answer.demands == requests.NO_DEMANDS:
            return []
        phase = rendezvous.fraction_of(gateway.place.name, leaf_id)
        leaf.backpressure = backpressure.Backpressure(phase)
    pressure = leaf.backpressure
    return [
        *_apply_leaving(leaf, pressure, answer, now_ms),
        *_apply_pause(leaf, pressure, answer, now_ms),
        *_apply_limit(leaf, pressure, answer, now_ms),
    ]


def _apply_leaving(
    leaf: leaves.Leaf,
    pressure: backpressure.Backpressure,
    answer: requests.LeafAnswer,
    now_ms: int,
) -> list[commands.Command]:
    if not answer.demands.leaving or pressure.leaving_since_ms is not None:
        return []
    pressure.leaving_since_ms = now_ms
    return [_line(leaf, "leaving", "")]


def _apply_pause(
    leaf: leaves.Leaf,
    pressure: backpressure.Backpressure,
    answer: requests.LeafAnswer,
    now_ms: int,
) -> list[commands.Command]:
    pause_ms = answer.demands.pause_ms
    if pause_ms is None:
        if not answer.not_run:
            pressure.step_up(leaf.entry.slots)
        return []
    was_paused = pressure.paused_until_ms > now_ms
    pressure.pause(pause_ms, now_ms)
    return [] if was_paused else [_line(leaf, "pause", f"{pause_ms} ms")]


def _apply_limit(
    leaf: leaves.Leaf,
    pressure: backpressure.Backpressure,
    answer: requests.LeafAnswer,
    now_ms: int,
) -> list[commands.Command]:
    """Set the limit that the leaf names, or end it when the leaf no longer names one.

    A rejection without a limit ends none: it may be written before the leaf knows how
    busy it is.
    """
    demanded, known = answer.demands.limit_per_s, pressure.limit_per_s
    if demanded is None and (known is None or answer.not_run):
        return []
    pressure.set_limit(demanded, now_ms)
    if demanded is None:
        return [_line(leaf, "limit", "ended")]
    if known is not None and abs(demanded - known) <= LOGGED_CHANGE * known:
        return []
    return [_line(leaf, "limit", f"{demanded:g}/s")]


def _line(leaf: leaves.Leaf, demand: str, value: str) -> commands.Command:
    return common.log(
        log_events.LEAF_DEMAND_CHANGED,
        target=leaf.entry.leaf_id,
        service=leaf.entry.service,
        demand=demand,
        value=value,
    )
