"""Prometheus metrics of a gateway process."""

from collections.abc import Iterable
from typing import Final

import prometheus_client
from prometheus_client import core as prometheus_core

from amaranthpulley.state.forwarding import client_budget, client_holdings
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.transport import counter_collector
from amaranthpulley.transport.forwarding import runtime

_QUANTILES: Final = (0.5, 0.9, 0.99, 0.999)


class GatewayMetrics:
    """The metrics of one daemon.

    Parameters
    ----------
    gateway : Gateway
        The daemon's state; read only.
    gateway_runtime : Runtime
        The runtime; read only.
    holdings : ClientHoldings
        What is held for clients; read only.
    """

    def __init__(
        self,
        gateway: gateway_state.Gateway,
        gateway_runtime: runtime.Runtime,
        holdings: client_holdings.ClientHoldings,
    ) -> None:
        self._holdings = holdings
        self._gateway = gateway
        self._runtime = gateway_runtime
        self._registry = prometheus_client.CollectorRegistry()
        self._registry.register(counter_collector.CounterCollector(gateway.counters))
        self._registry.register(self)
        prometheus_client.ProcessCollector(registry=self._registry)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return prometheus_client.generate_latest(self._registry)

    def collect(self) -> Iterable[prometheus_core.Metric]:
        """Yield the current values; called by the registry."""
        gateway = self._gateway
        configuration = gateway.configuration
        values = {
            "forward_in_progress": (
                self._runtime.requests_in_progress,
                "Requests without an answer",
            ),
            "forward_leaves": (len(gateway.directory.all()), "Known leaves"),
            "forward_leaves_suspected": (
                sum(leaf.suspected for leaf in gateway.directory.all()),
                "Leaves that did not answer and wait for a health check",
            ),
            "forward_daemons": (len(gateway.members), "Registered daemons"),
            "forward_connections_opened": (
                self._runtime.leaves.opened,
                "Connections opened to leaves",
            ),
            "client_held_bytes": (
                self._holdings.total_bytes,
                "Bytes held for clients, of those in client_budget_bytes",
            ),
            "client_budget_bytes": (
                self._holdings.budget.memory_bytes,
                "Bytes that may be held for clients",
            ),
            "configuration_version": (
                configuration.version if configuration is not None else 0,
                "Version of the configuration in force",
            ),
        }
        for name, (value, text) in values.items():
            full_name = counter_collector.PREFIX + name
            yield prometheus_core.GaugeMetricFamily(full_name, text, value)
        yield self._connections()
        yield self._latencies()

    def _connections(self) -> prometheus_core.Metric:
        family = prometheus_core.GaugeMetricFamily(
            f"{counter_collector.PREFIX}client_connections",
            "Open connections of each server of the process",
            labels=("server",),
        )
        for server in client_budget.Server:
            family.add_metric((server.value,), self._holdings.count(server))
        return family

    def _latencies(self) -> prometheus_core.Metric:
        family = prometheus_core.GaugeMetricFamily(
            f"{counter_collector.PREFIX}forward_latency_ms",
            "Quantiles of the time from a request's arrival to its end",
            labels=("kind", "quantile"),
        )
        for kind, histogram in self._gateway.latency_by_kind.items():
            for quantile in _QUANTILES:
                value = histogram.quantile_ms(quantile, 0)
                family.add_metric((kind, str(quantile)), value)
        return family
