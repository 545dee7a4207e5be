"""Usual times of routes and distances of failure domains, learnt from answers."""

from typing import Final

# Weight of one answer in a moving mean: some 30 answers replace what was known.
MEAN_WEIGHT: Final = 0.03
# The first answers count more, so that a new route is known after a few of them.
FIRST_ANSWERS: Final = 30
# How fast the shortest known time of a failure domain follows longer ones.
FLOOR_DRIFT: Final = 0.01
# A time beyond this many usual times is a pause or a fault, and is cut to it.
OUTLIER_FACTOR: Final = 3.0
# Share of a route's objective that its work is expected to take before it is measured.
UNMEASURED_SHARE: Final = 0.1
# Deviation in relation to the mean before it is measured.
UNMEASURED_DEVIATION_SHARE: Final = 0.3


class RouteLatency:
    """Mean and mean deviation of the time that leaves take for a route.

    Parameters
    ----------
    first_guess_ms : float
        Used until the first answers have been seen.
    """

    def __init__(self, first_guess_ms: float) -> None:
        self.mean_ms = first_guess_ms
        self.deviation_ms = first_guess_ms * UNMEASURED_DEVIATION_SHARE
        self._observed = 0

    def observe(self, elapsed_ms: float) -> None:
        """Count the time of an answer, less the way to the leaf and back."""
        self._observed += 1
        weight = max(MEAN_WEIGHT, 1.0 / (self._observed + 1))
        if self._observed > FIRST_ANSWERS:
            elapsed_ms = min(elapsed_ms, OUTLIER_FACTOR * self.mean_ms)
        difference = elapsed_ms - self.mean_ms
        self.mean_ms += weight * difference
        self.deviation_ms += weight * (abs(difference) - self.deviation_ms)


class Distances:
    """Shortest times to the leaves of each failure domain."""

    def __init__(self) -> None:
        self._floors: dict[str, float] = {}
        self._nearest = 0.0

    def observe(self, failure_domain: str, elapsed_ms: float) -> None:
        """Count the time of an answer from a failure domain."""
        floor = self._floors.get(failure_domain)
        if floor is None or elapsed_ms < floor:
            floor = elapsed_ms
        else:
            floor += FLOOR_DRIFT * (elapsed_ms - floor)
        self._floors[failure_domain] = floor
        self._nearest = min(self._floors.values())

    def farthest_ms(self, default_ms: float) -> float:
        """Return how much longer the way to the farthest failure domain is."""
        if len(self._floors) < 2:
            return default_ms
        return max(self._floors.values()) - self._nearest

    def extra_ms(self, failure_domain: str, default_ms: float) -> float:
        """Return how much longer the way is than to the nearest failure domain."""
        floor = self._floors.get(failure_domain)
        return default_ms if floor is None else floor - self._nearest
