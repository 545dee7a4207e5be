"""Estimates how slow a leaf's machine is now, from the figures that the leaf reports.

Load pattern: leaves share machines with others, so the time that the same work takes
changes many times a second. A leaf reports it with its answers. The last figure decays
within moments to the mean of the recent ones, and the mean decays to the usual value
while the leaf reports nothing.
"""

import math
from typing import Final

from amaranthpulley.state.forwarding import leaves

# Time constant with which the last figure decays to the mean. The figure changes many
# times a second: after 150 ms it is worth 0.37, after 600 ms nothing.
FIGURE_DECAY_MS: Final = 150.0
FIGURE_VALID_MS: Final = 600
# Time constant with which the mean decays to the usual value, the same as that of a
# leaf's learned slowness.
MEAN_DECAY_MS: Final = 4_000.0
# Weights of one figure in the mean, as for the learned slowness.
MINIMUM_WEIGHT: Final = 0.15
MAXIMUM_WEIGHT: Final = 0.35
# Figures are clipped, so that an implausible one neither hides nor attracts a leaf.
LEAST_SLOWNESS: Final = 0.25
GREATEST_SLOWNESS: Final = 10.0


def current(leaf: leaves.Leaf, now_ms: int) -> float:
    """Return the ratio of the machine's time to its usual time, as expected now."""
    machine = leaf.machine
    if machine is None:
        return leaves.INITIAL_SLOWNESS
    mean = mean_of(leaf, now_ms)
    age_ms = now_ms - machine.reported_ms
    if age_ms >= FIGURE_VALID_MS:
        return mean
    return mean + (machine.latest - mean) * math.exp(-age_ms / FIGURE_DECAY_MS)


def mean_of(leaf: leaves.Leaf, now_ms: int) -> float:
    """Return the mean of the recent figures, decayed to now."""
    machine = leaf.machine
    if machine is None:
        return leaves.INITIAL_SLOWNESS
    passed_ms = now_ms - machine.reported_ms
    return 1.0 + (machine.mean - 1.0) * math.exp(-passed_ms / MEAN_DECAY_MS)


def record(leaf: leaves.Leaf, load: leaves.Load | None, now_ms: int) -> float:
    """Record the load of an answer and return the machine's slowness in it.

    The result is 1.0 when the leaf did not report a figure.
    """
    if load is None:
        return leaves.INITIAL_SLOWNESS
    if load.has_counts:
        leaf.load, leaf.load_reported_ms = load, now_ms
    if load.slowness is None:
        return leaves.INITIAL_SLOWNESS
    latest = _clip(load.slowness)
    _record_figure(leaf, latest, now_ms)
    return latest


def record_of_probe(leaf: leaves.Leaf, load: leaves.Load | None, now_ms: int) -> None:
    """Record the load of a health check's answer.

    Such answers may be false, so they never make a leaf better than its answers do.
    """
    if load is None:
        return
    if load.has_counts and load.occupied > _valid_occupied(leaf, now_ms):
        leaf.load, leaf.load_reported_ms = load, now_ms
    if load.slowness is not None and _clip(load.slowness) > current(leaf, now_ms):
        _record_figure(leaf, _clip(load.slowness), now_ms)


def _record_figure(leaf: leaves.Leaf, latest: float, now_ms: int) -> None:
    mean, weight = mean_of(leaf, now_ms), MAXIMUM_WEIGHT
    if leaf.machine is not None:
        elapsed_ms = now_ms - leaf.machine.reported_ms
        weight = 1.0 - math.exp(-elapsed_ms / MEAN_DECAY_MS)
        weight = min(MAXIMUM_WEIGHT, max(MINIMUM_WEIGHT, weight))
    leaf.machine = leaves.Machine(latest, mean + weight * (latest - mean), now_ms)


def _valid_occupied(leaf: leaves.Leaf, now_ms: int) -> int:
    if leaf.load is None or now_ms - leaf.load_reported_ms >= FIGURE_VALID_MS:
        return -1
    return leaf.load.occupied


def _clip(slowness: float) -> float:
    return min(GREATEST_SLOWNESS, max(LEAST_SLOWNESS, slowness))
