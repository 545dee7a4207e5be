"""Experiment: growth of state, time and messages with the size of the system."""

from collections.abc import Callable, Sequence
from typing import Final, NamedTuple

from amaranthpulley.transport.bench import (
    capacity_control,
    capacity_journal,
    capacity_searches,
    capacity_tables,
    linear_fit,
    quantities,
)

QUICK_SIZES: Final = 3


class PointRow(NamedTuple):
    """One measured value at one size."""

    quantity: str
    unit: str
    per: str
    size: int
    value: float


class SlopeRow(NamedTuple):
    """The line fitted to the values of one quantity.

    Attributes
    ----------
    quantity, unit, per : str
        What is measured, its unit, and what the size counts.
    sizes : str
        The sizes that the line is fitted to.
    intercept, slope, slope_error : float
        The line, and the standard error of its slope.
    largest_residual : float
        Largest distance of a value from the line, as a share of the value.
    target_size : int
        The size that the system is designed for.
    at_target : float
        The line's value at `target_size`: extrapolated if that is beyond `sizes`.
    """

    quantity: str
    unit: str
    per: str
    sizes: str
    intercept: float
    slope: float
    slope_error: float
    largest_residual: float
    target_size: int
    at_target: float


def run(seed: int, quick: bool = False) -> list[tuple]:
    """Measure all quantities; return their slopes, then their points."""
    groups = (
        capacity_tables.QUANTITIES,
        capacity_searches.QUANTITIES,
        capacity_journal.QUANTITIES,
        capacity_control.QUANTITIES,
    )
    rows: list[tuple] = []
    points: list[tuple] = []
    for quantity in (quantity for group in groups for quantity in group):
        sizes = quantity.sizes[:QUICK_SIZES] if quick else quantity.sizes
        measured = measure_points(quantity, sizes, seed)
        rows.append(fit_slope(quantity, measured))
        points += measured
    return [*rows, *points]


def measure_points(
    quantity: quantities.Quantity, sizes: Sequence[int], seed: int
) -> list[PointRow]:
    """Measure a quantity at each size."""
    measure: Callable[[int, int], float] = quantity.measure
    return [
        PointRow(quantity.name, quantity.unit, quantity.per, size, measure(size, seed))
        for size in sizes
    ]


def fit_slope(quantity: quantities.Quantity, points: Sequence[PointRow]) -> SlopeRow:
    """Fit a line to the points of a quantity."""
    fitted = [point for point in points if point.size >= quantity.fit_from]
    line = linear_fit.fit([(point.size, point.value) for point in fitted])
    return SlopeRow(
        quantity.name,
        quantity.unit,
        quantity.per,
        "/".join(str(point.size) for point in fitted),
        line.intercept,
        line.slope,
        line.slope_error,
        line.largest_residual,
        quantity.target_size,
        line.at(quantity.target_size),
    )
