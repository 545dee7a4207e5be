"""The daemon's metrics, in the text format of prometheus_client."""

from collections.abc import Iterable
from typing import Final

import prometheus_client
from prometheus_client import core as prometheus_core

from amaranthpulley.coordination import commands
from amaranthpulley.state import counters, requests

PREFIX: Final = "amaranthpulley_"
LATENCY_BUCKETS_SECONDS: Final = (
    *(0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.22),
    *(0.3, 0.5, 1.0, 2.0, 5.0),
)
COVERAGE_BUCKETS: Final = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0)


class Metrics:
    """The metrics of one daemon.

    Parameters
    ----------
    totals : Counters
        Totals that the decisions keep.
    """

    def __init__(self, totals: counters.Counters) -> None:
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(_CounterCollector(totals))
        self._latency = prometheus_client.Histogram(
            f"{PREFIX}request_seconds",
            "Time from a request's arrival to its answer",
            ("service", "outcome"),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._coverage = prometheus_client.Histogram(
            f"{PREFIX}search_coverage_ratio",
            "Covered share of the asked part of the key space",
            ("service",),
            buckets=COVERAGE_BUCKETS,
            registry=self._registry,
        )

    def observe(self, command: commands.AnswerCaller) -> None:
        """Enter the end of a request."""
        service = command.request.service
        outcome = type(command.outcome).__name__
        if _is_unknown_service(command.outcome):
            service = "unknown"
        self._latency.labels(service, outcome).observe(command.elapsed_ms / 1000)
        if isinstance(command.outcome, requests.SearchAnswer):
            self._coverage.labels(service).observe(command.outcome.coverage)

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self._registry)


class _CounterCollector:
    """Exposes the decisions' totals."""

    def __init__(self, totals: counters.Counters) -> None:
        self._totals = totals

    def collect(self) -> Iterable[prometheus_core.Metric]:
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


def _is_unknown_service(outcome: requests.Outcome) -> bool:
    unknown = requests.RefusalCode.UNKNOWN_SERVICE
    return isinstance(outcome, requests.Refusal) and outcome.code is unknown
