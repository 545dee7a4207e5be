"""Latencies of routes and distances of failure domains, estimated from answers."""

from typing import Final

# Weight of one answer in the moving averages, which cover about the last 30 answers.
MEAN_WEIGHT: Final = 0.03
# The first answers weigh more and are not clipped, so that a few suffice for a new
# route.
FIRST_ANSWERS: Final = 30
# Weight with which the shortest time of a failure domain follows longer times.
FLOOR_DRIFT: Final = 0.01
# Times above this multiple of the mean come from pauses or faults and are clipped.
OUTLIER_FACTOR: Final = 3.0
# Share of a route's objective that is assumed as its mean time before it is measured.
UNMEASURED_SHARE: Final = 0.1
# Ratio of the deviation to the mean that is assumed before it is measured.
UNMEASURED_DEVIATION_SHARE: Final = 0.3


class RouteLatency:
    """Moving mean and mean deviation of the time that leaves take for a route.

    Parameters
    ----------
    first_guess_ms : float
        Mean that is assumed before the first answer.
    """

    def __init__(self, first_guess_ms: float) -> None:
        self.mean_ms = first_guess_ms
        self.deviation_ms = first_guess_ms * UNMEASURED_DEVIATION_SHARE
        self._observed_count = 0

    def observe(self, elapsed_ms: float) -> None:
        """Record the time of an answer without the round trip to the leaf."""
        self._observed_count += 1
        weight = max(MEAN_WEIGHT, 1.0 / (self._observed_count + 1))
        if self._observed_count > FIRST_ANSWERS:
            elapsed_ms = min(elapsed_ms, OUTLIER_FACTOR * self.mean_ms)
        difference_ms = elapsed_ms - self.mean_ms
        self.mean_ms += weight * difference_ms
        self.deviation_ms += weight * (abs(difference_ms) - self.deviation_ms)


class Distances:
    """Shortest answer times of the leaves of each failure domain."""

    def __init__(self) -> None:
        self._floors_ms: dict[str, float] = {}
        self._nearest_ms = 0.0

    def observe(self, failure_domain: str, elapsed_ms: float) -> None:
        """Record the time of an answer from a failure domain."""
        floor_ms = self._floors_ms.get(failure_domain)
        if floor_ms is None or elapsed_ms < floor_ms:
            floor_ms = elapsed_ms
        else:
            floor_ms += FLOOR_DRIFT * (elapsed_ms - floor_ms)
        self._floors_ms[failure_domain] = floor_ms
        self._nearest_ms = min(self._floors_ms.values())

    def farthest_ms(self, default_ms: float) -> float:
        """Return the extra time to the farthest failure domain over the nearest."""
        if len(self._floors_ms) < 2:
            return default_ms
        return max(self._floors_ms.values()) - self._nearest_ms

    def extra_ms(self, failure_domain: str, default_ms: float) -> float:
        """Return the extra time to a failure domain over the nearest one."""
        floor_ms = self._floors_ms.get(failure_domain)
        return default_ms if floor_ms is None else floor_ms - self._nearest_ms
