"""Exposes the daemon's counters as metrics of prometheus_client."""

from collections.abc import Iterable
from typing import Final

from prometheus_client import core as prometheus_core

from amaranthpulley.state import counters

PREFIX: Final = "amaranthpulley_"


class CounterCollector:
    """A prometheus_client collector of counters.

    Parameters
    ----------
    totals : Counters
        The counters; they are only read.
    """

    def __init__(self, totals: counters.Counters) -> None:
        self._totals = totals

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Return the current totals; called by the registry."""
        families: dict[str, prometheus_core.CounterMetricFamily] = {}
        for counter, total in self._totals.items():
            names = [name for name, _ in counter.labels]
            family = families.setdefault(
                counter.name,
                prometheus_core.CounterMetricFamily(
                    PREFIX + counter.name, counter.name.replace("_", " "), labels=names
                ),
            )
            family.add_metric([value for _, value in counter.labels], total)
        return families.values()
