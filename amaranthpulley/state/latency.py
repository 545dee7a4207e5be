"""A latency histogram in which old observations lose weight."""

import bisect
import itertools
from typing import Final

BUCKET_GROWTH: Final = 1.1
MAXIMUM_LATENCY_MS: Final = 60_000
HALVING_COUNT: Final = 4_000
QUANTILE_REFRESH_COUNT: Final = 32


def _upper_bounds() -> list[float]:
    bounds = [1.0]
    while bounds[-1] < MAXIMUM_LATENCY_MS:
        bounds.append(bounds[-1] * BUCKET_GROWTH)
    return bounds


_BOUNDS: Final = _upper_bounds()


class LatencyHistogram:
    """Counts by bucket; each bucket is a tenth wider than the one before it.

    All counts are halved when their sum reaches `HALVING_COUNT`, so that the quantiles
    follow the latest thousands of observations. A quantile is computed again after
    every `QUANTILE_REFRESH_COUNT` observations.
    """

    def __init__(self) -> None:
        self._counts = [0.0] * (len(_BOUNDS) + 1)
        self._total = 0.0
        self._observed = 0
        self._quantiles: dict[float, int] = {}

    @property
    def observed(self) -> int:
        """The number of observations so far."""
        return self._observed

    def observe(self, elapsed_ms: int) -> None:
        """Count a latency, in milliseconds."""
        self._counts[bisect.bisect_left(_BOUNDS, elapsed_ms)] += 1.0
        self._total += 1.0
        self._observed += 1
        if self._total >= HALVING_COUNT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        if self._observed % QUANTILE_REFRESH_COUNT == 0:
            self._quantiles.clear()

    def quantile_ms(self, share: float, default_ms: int) -> int:
        """Return the latency that a share of the observations does not exceed.

        Parameters
        ----------
        share : float
            From 0.0 to 1.0.
        default_ms : int
            Returned until there are `QUANTILE_REFRESH_COUNT` observations.
        """
        if self._observed < QUANTILE_REFRESH_COUNT:
            return default_ms
        known = self._quantiles.get(share)
        if known is None:
            known = self._quantiles[share] = self._compute(share)
        return known

    def _compute(self, share: float) -> int:
        wanted = share * self._total
        sums = itertools.accumulate(self._counts)
        for bound, total in zip(_BOUNDS, sums, strict=False):
            if total >= wanted:
                return round(bound)
        return MAXIMUM_LATENCY_MS
