"""Exact histograms of whole numbers."""

import collections
import math
from collections.abc import Iterable


class Histogram:
    """Counts how often each value occurs.

    Parameters
    ----------
    values : iterable of int or float
        Initial values.
    """

    def __init__(self, values: Iterable[float] = ()) -> None:
        self._counts: collections.Counter[float] = collections.Counter(values)

    def __len__(self) -> int:
        return self._counts.total()

    def add(self, value: float) -> None:
        """Add a value."""
        self._counts[value] += 1

    def update(self, other: "Histogram") -> None:
        """Add all values of another histogram."""
        self._counts.update(other._counts)

    @property
    def mean(self) -> float:
        """The mean, or NaN if the histogram is empty."""
        if not self._counts:
            return math.nan
        return sum(v * n for v, n in self._counts.items()) / len(self)

    @property
    def minimum(self) -> float:
        """The smallest value, or NaN if the histogram is empty."""
        return min(self._counts, default=math.nan)

    @property
    def maximum(self) -> float:
        """The largest value, or NaN if the histogram is empty."""
        return max(self._counts, default=math.nan)

    def quantile(self, share: float) -> float:
        """Return the smallest value that `share` of all values do not exceed.

        Parameters
        ----------
        share : float
            From 0.0 to 1.0, for example 0.99 for the 99th percentile.

        Returns
        -------
        float
            NaN if the histogram is empty.
        """
        rank = max(1, math.ceil(share * len(self)))
        for value in sorted(self._counts):
            rank -= self._counts[value]
            if rank <= 0:
                return value
        return math.nan
