"""Quantities that grow with a size, and measurement of time and memory."""

import gc
import time
import tracemalloc
from collections.abc import Callable
from typing import Final, NamedTuple, TypeVar

REPEATS: Final = 3

T = TypeVar("T")


class Quantity(NamedTuple):
    """A quantity to be measured at several sizes.

    Attributes
    ----------
    name, unit, per : str
        What is measured, its unit, and what the size counts.
    sizes : tuple of int
        At least four sizes, in ascending order.
    target_size : int
        The size that the system is designed for.
    measure : callable
        Given a size and a seed, returns the value.
    fit_from : int
        Smaller sizes are measured but excluded from the fitted line.
    """

    name: str
    unit: str
    per: str
    sizes: tuple[int, ...]
    target_size: int
    measure: Callable[[int, int], float]
    fit_from: int = 0


def allocated_bytes(build: Callable[[], object]) -> int:
    """Return the memory that the result of `build` occupies, in bytes."""
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        built = build()
        gc.collect()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    del built
    return after - before


def minimum_cpu_ms(prepare: Callable[[], T], work: Callable[[T], object]) -> float:
    """Return the lowest processor time of `work` in `REPEATS` runs, in milliseconds.

    Parameters
    ----------
    prepare : callable
        Returns the argument of `work`; its time is not measured.
    work : callable
        The work to measure.
    """
    lowest_s = float("inf")
    for _ in range(REPEATS):
        subject = prepare()
        gc.collect()
        started = time.process_time()
        work(subject)
        lowest_s = min(lowest_s, time.process_time() - started)
    return lowest_s * 1_000
