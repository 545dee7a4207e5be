"""The metrics of a daemon in Prometheus's text format."""

import collections
from collections.abc import Iterable
from typing import Final

import prometheus_client
from prometheus_client import core as prometheus_core

from amaranthpulley.coordination import commands, responses
from amaranthpulley.protocol import status_api
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import requests
from amaranthpulley.transport import counter_collector

LATENCY_BUCKETS_SECONDS: Final = (
    *(0.005, 0.01, 0.02, 0.03, 0.05, 0.075, 0.1, 0.15, 0.22),
    *(0.3, 0.5, 1.0, 2.0, 5.0),
)
COVERAGE_BUCKETS: Final = (0.0, 0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1.0)


class Metrics:
    """The registry of one daemon's metrics.

    Parameters
    ----------
    daemon : Daemon
        The daemon's state; it is only read.
    """

    def __init__(self, daemon: daemon_state.Daemon) -> None:
        self._daemon = daemon
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(counter_collector.CounterCollector(daemon.counters))
        self._registry.register(_StateCollector(daemon))
        prometheus_client.ProcessCollector(registry=self._registry)
        self._latency = prometheus_client.Histogram(
            f"{counter_collector.PREFIX}request_seconds",
            "Time from a request's arrival to its answer",
            ("service", "outcome"),
            buckets=LATENCY_BUCKETS_SECONDS,
            registry=self._registry,
        )
        self._coverage = prometheus_client.Histogram(
            f"{counter_collector.PREFIX}search_coverage_ratio",
            "Covered share of the asked part of the key space",
            ("service",),
            buckets=COVERAGE_BUCKETS,
            registry=self._registry,
        )

    def observe(self, command: commands.AnswerCaller) -> None:
        """Record the latency and the coverage of an answered request."""
        service = responses.service_label(self._daemon, command.request)
        outcome = type(command.outcome).__name__
        self._latency.labels(service, outcome).observe(command.elapsed_ms / 1000)
        if isinstance(command.outcome, requests.SearchAnswer):
            self._coverage.labels(service).observe(command.outcome.coverage)

    def text(self) -> bytes:
        """Return all metrics in the text format."""
        return prometheus_client.generate_latest(self._registry)


class _StateCollector:
    """A collector of gauges that are computed from the daemon's state when read."""

    def __init__(self, daemon: daemon_state.Daemon) -> None:
        self._daemon = daemon

    def collect(self) -> Iterable[prometheus_core.Metric]:
        daemon = self._daemon
        yield _targets(daemon)
        yield _members(daemon)
        gauges = {
            "requests_in_progress": daemon.requests_in_progress,
            "configuration_ticket_number": daemon.configuration.highest_number,
            "configuration_confirmed": not daemon.configuration.suspended,
            "ready": daemon.ready,
            "journal_unwritten_records": daemon.journal.unwritten_records,
            "journal_unwritten_bytes": daemon.journal.size_bytes,
        }
        for name, value in gauges.items():
            yield prometheus_core.GaugeMetricFamily(
                counter_collector.PREFIX + name,
                name.replace("_", " "),
                value=float(value),
            )


def _targets(daemon: daemon_state.Daemon) -> prometheus_core.Metric:
    family = prometheus_core.GaugeMetricFamily(
        f"{counter_collector.PREFIX}targets",
        "Configured targets by failure domain, and why they get no work",
        labels=("failure_domain", "state"),
    )
    for body in status_api.count_targets(daemon):
        family.add_metric((body["failure_domain"], body["state"]), body["count"])
    return family


def _members(daemon: daemon_state.Daemon) -> prometheus_core.Metric:
    family = prometheus_core.GaugeMetricFamily(
        f"{counter_collector.PREFIX}members",
        "Known daemons by standing",
        labels=("standing",),
    )
    standings = collections.Counter(m.standing for m in daemon.members.all())
    for standing, count in sorted(standings.items()):
        family.add_metric((standing.name.lower(),), count)
    return family
