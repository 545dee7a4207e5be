"""Counters that the coordination layer updates and the metrics expose."""

import collections
from typing import NamedTuple


class Counter(NamedTuple):
    """The name and label values of one total.

    Attributes
    ----------
    name : str
        Metric name without the project's prefix, for example ``"attempts_total"``.
    labels : tuple of (str, str)
        Label names and values; their number must be bounded by the configuration.
    """

    name: str
    labels: tuple[tuple[str, str], ...] = ()


class Counters:
    """Totals since the start of the daemon."""

    def __init__(self) -> None:
        self._totals: collections.Counter[Counter] = collections.Counter()

    def add(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add to a total.

        Parameters
        ----------
        name : str
            Metric name, with its unit, without the project's prefix.
        amount : float
            How much to add.
        **labels : str
            Values of the labels.
        """
        self._totals[Counter(name, tuple(sorted(labels.items())))] += amount

    def total(self, name: str, **labels: str) -> float:
        """Return a total, 0 when nothing was counted."""
        return self._totals[Counter(name, tuple(sorted(labels.items())))]

    def items(self) -> list[tuple[Counter, float]]:
        """Return all totals in ascending order of their names."""
        return sorted(self._totals.items())
