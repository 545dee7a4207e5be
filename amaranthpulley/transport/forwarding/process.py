"""The gateway process: its sockets, its copy of the store, and its shutdown."""

import random
import signal
import sys
from collections.abc import Callable
from typing import Final, NamedTuple

import eventlet
import eventlet.event

from amaranthpulley.coordination import commands
from amaranthpulley.coordination.forwarding import (
    cluster_updates,
    events,
    store_watchers,
)
from amaranthpulley.coordination.forwarding import commands as forwarding_commands
from amaranthpulley.protocol.forwarding import (
    client_answers,
    client_requests,
    header_names,
)
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import hybrid_clock, log_events
from amaranthpulley.state.forwarding import client_budget, requests, routes
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.transport import line_writer, log_sink, process_signals
from amaranthpulley.transport.forwarding import (
    client_connections,
    client_guard,
    datagrams,
    loss_publisher,
    peer_feed,
    relay,
    rollout_publisher,
    runtime,
    store_feed,
    store_view,
    streams,
)

# Shares of the grace period after which a draining daemon closes idle connections, and
# after which it exits. By the first one, load balancers no longer use the daemon.
CLOSE_IDLE_SHARE: Final = 0.6
EXIT_SHARE: Final = 0.9
# Interval between checks for whether a draining daemon can exit.
DRAIN_CHECK_INTERVAL_MS: Final = 100
LOG_FLUSH_INTERVAL_MS: Final = 200
# Other daemons have checked their clients' requests, perhaps by another version of the
# configuration, and add headers to them.
DELEGATION_HEADER_BYTES: Final = 256
DELEGATED_LIMITS: Final = routes.STARTING_LIMITS._replace(
    header_bytes=routes.STARTING_LIMITS.header_bytes + DELEGATION_HEADER_BYTES
)
METRICS_HEADERS: Final = (
    (b"Content-Type", b"text/plain; version=0.0.4; charset=utf-8"),
)


class ProcessSettings(NamedTuple):
    """Settings with which a gateway process starts.

    Attributes
    ----------
    place : Place
        The daemon's name and location.
    limits : Limits
        Its retry and drain limits.
    front_address : str
        ``IP:port`` for clients.
    ready_address : str
        ``IP:port`` of the load balancer's readiness check.
    ready_path : bytes
        Path of the readiness check.
    metrics_address : str
        ``IP:port`` of the metrics.
    peer_address, delegate_address : str
        ``IP:port`` for other daemons: of the store's changes, and of the requests that
        this daemon runs for them.
    speed : float
        Processor time that the process gets in a second, in seconds of one core.
    names : HeaderNames
        Names of the headers that the gateway interprets.
    budget : Budget
        What it may hold for its clients.
    """

    place: gateway_state.Place
    limits: gateway_state.Limits
    front_address: str
    ready_address: str
    ready_path: bytes
    metrics_address: str
    peer_address: str
    delegate_address: str
    speed: float
    names: header_names.HeaderNames
    budget: client_budget.Budget = client_guard.DEFAULT_BUDGET


def member_of(setup: ProcessSettings) -> gateway_state.Member:
    """Return what the process registers for the other daemons."""
    return gateway_state.Member(
        setup.place.failure_domain,
        setup.peer_address,
        setup.delegate_address,
        setup.speed,
    )


class GatewayProcess:
    """A daemon that forwards requests.

    Parameters
    ----------
    setup : ProcessSettings
        Settings of the process.
    clock : Clock
        Source of time.
    store_calls : StoreCalls
        Calls to the store.
    reload : callable
        Checks the settings file again; returns the result as text for the log.
    """

    def __init__(
        self,
        setup: ProcessSettings,
        clock: clock_state.Clock,
        store_calls: store_feed.StoreCalls,
        reload: Callable[[], str],
    ) -> None:
        self._clock = clock
        self._reload = reload
        self._ready_path = setup.ready_path
        self._lines = line_writer.LineWriter(sys.stdout.fileno())
        self._write_log = log_sink.open_nonblocking_log(
            setup.place.name, clock, hybrid_clock.HybridClock(), self._lines
        )
        self.gateway = gateway_state.Gateway(
            setup.place, setup.limits, clock.monotonic_ms()
        )
        self._view = store_view.StoreView(store_calls.decode, self._handle)
        self._guard = client_guard.ClientGuard(
            clock, setup.budget, self.gateway.counters
        )
        self._relay = relay.Relay(setup.peer_address, self._view, clock, self._guard)
        self._datagrams = datagrams.DatagramSocket(self._relay.address, self._handle)
        self._losses, self._rollouts = self._publishers(store_calls)
        self.runtime = self._open_runtime(setup.names)
        self._open_servers(setup)
        self._metrics_text: Callable[[], bytes] | None = None
        self._peers = self._peer_feed()
        self._feed = self._store_feed(store_calls)
        self._ended = eventlet.event.Event()

    def _publishers(
        self, store_calls: store_feed.StoreCalls
    ) -> tuple[loss_publisher.LossPublisher, rollout_publisher.RolloutPublisher]:
        return (
            loss_publisher.LossPublisher(store_calls.losses, self._handle, self._clock),
            rollout_publisher.RolloutPublisher(
                store_calls.rollouts, self._view, self._handle
            ),
        )

    def _open_servers(self, setup: ProcessSettings) -> None:
        kinds = client_budget.Server
        self._front = self._open_server(
            setup.front_address,
            self.runtime.handler,
            kinds.FRONT,
            routes.STARTING_LIMITS,
        )
        self._delegated = self._open_server(
            setup.delegate_address,
            self.runtime.delegated_handler,
            kinds.DELEGATED,
            DELEGATED_LIMITS,
        )
        ready = client_connections.Handler(self._answer_ready, streams.ignore)
        self._ready = self._open_server(setup.ready_address, ready, kinds.READINESS)
        metrics = client_connections.Handler(self._answer_metrics, streams.ignore)
        self._metrics = self._open_server(setup.metrics_address, metrics, kinds.METRICS)

    def _open_runtime(self, names: header_names.HeaderNames) -> runtime.Runtime:
        message_handlers = {
            forwarding_commands.ReportSlowness: self._datagrams.send_slowness,
            forwarding_commands.SendToPeers: self._datagrams.send_message,
            forwarding_commands.PublishGrants: self._publish_grants,
            forwarding_commands.PublishLosses: self._publish_losses,
            forwarding_commands.WithdrawLosses: self._losses.withdraw,
            forwarding_commands.WriteRolloutStep: self._rollouts.write,
        }
        return runtime.Runtime(
            self.gateway,
            self._clock,
            random.Random().random,
            names,
            self._write_log,
            message_handlers,
        )

    def _publish_grants(self, command: forwarding_commands.PublishGrants) -> None:
        self._feed.publish_grants()

    def _publish_losses(self, command: forwarding_commands.PublishLosses) -> None:
        self._datagrams.send_losses(command)
        self._losses.publish(command)

    def _peer_feed(self) -> peer_feed.PeerFeed:
        return peer_feed.PeerFeed(
            self._view,
            self._clock,
            lambda: store_watchers.followed_addresses(self.gateway),
            store_watchers.confirmation_age_ms(self.gateway.limits),
        )

    def _store_feed(self, store_calls: store_feed.StoreCalls) -> store_feed.StoreFeed:
        return store_feed.StoreFeed(
            store_calls,
            self._view,
            self._handle,
            self._clock,
            self._must_watch_store,
            lambda: store_watchers.watch_timing(self.gateway),
        )

    def _open_server(
        self,
        address: str,
        handler: client_connections.Handler,
        kind: client_budget.Server,
        limits: routes.ClientLimits = routes.DEFAULT_LIMITS,
    ) -> client_connections.HttpServer:
        return client_connections.HttpServer(
            address, self._clock, handler, limits, self._guard, kind
        )

    @property
    def front_address(self) -> str:
        """The ``IP:port`` for clients."""
        return self._front.address

    @property
    def delegate_address(self) -> str:
        """The ``IP:port`` for the requests of other daemons."""
        return self._delegated.address

    @property
    def ready(self) -> bool:
        """Whether load balancers should open new connections to the daemon."""
        return cluster_updates.is_ready(self.gateway)

    def start(self) -> None:
        """Start serving requests and following the store."""
        self._log(log_events.DAEMON_STARTED, life=str(self._clock.wall_ms()))
        self._log(
            log_events.DAEMON_LISTENING,
            callers=self._front.address,
            admin=self._metrics.address,
            peers=self._relay.address,
        )
        self.runtime.start()
        eventlet.spawn_n(self._flush_log_lines)
        self._feed.start()
        self._losses.start()
        self._rollouts.start()
        self._peers.start()
        process_signals.on_termination_signals(self.drain)
        process_signals.on_signal(signal.SIGHUP, self._reload_settings)

    def wait(self) -> int:
        """Serve until the process has drained, and return the exit code."""
        return self._ended.wait()

    def drain(self) -> None:
        """Shut down without interrupting requests in progress."""
        if self.gateway.draining_since_ms is not None:
            return
        self.runtime.feed(events.DrainRequested())
        eventlet.spawn_n(self._shut_down)

    def _handle(self, event: events.Event) -> None:
        self.runtime.feed(event)
        if event == events.MemberChanged(self.gateway.place.name, None):
            self._feed.renew_registration()
        if isinstance(event, events.StoreRestored):
            self._feed.renew_registration()
            self._losses.publish_again()
        if isinstance(event, events.ConfigurationRead):
            configuration = self.gateway.configuration
            if configuration is not None:
                self._front.limits = configuration.client_limits

    def _flush_log_lines(self) -> None:
        reported = 0
        while True:
            dropped = self._lines.dropped + self.gateway.logs_dropped
            if dropped > reported:
                self._log(log_events.LOG_LINES_DROPPED, lines=dropped - reported)
                reported = dropped
            self._guard.report(self._write_log)
            self._lines.flush()
            eventlet.sleep(LOG_FLUSH_INTERVAL_MS / 1000)

    def _must_watch_store(self) -> bool:
        return store_watchers.is_watcher(self.gateway) or not self._peers.is_fresh()

    def _shut_down(self) -> None:
        grace_ms = self.gateway.limits.grace_ms
        eventlet.sleep(CLOSE_IDLE_SHARE * grace_ms / 1000)
        end_ms = self._clock.monotonic_ms() + int(
            (EXIT_SHARE - CLOSE_IDLE_SHARE) * grace_ms
        )
        self._front.stop_listening()
        if store_watchers.serves_others(self.gateway):
            self._feed.stop()
        self._delegated.stop_listening()
        while self._close_idle() and self._clock.monotonic_ms() < end_ms:
            eventlet.sleep(DRAIN_CHECK_INTERVAL_MS / 1000)
        if self.runtime.requests_in_progress:
            self._log(
                log_events.DRAIN_CUT_SHORT,
                requests=self.runtime.requests_in_progress,
                records=0,
            )
        self._log(log_events.DAEMON_STOPPED)
        self._lines.flush()
        self._ended.send(0)

    def _close_idle(self) -> int:
        """Close idle connections of clients and daemons; return how many remain."""
        return self._front.close_idle() + self._delegated.close_idle()

    def _answer_ready(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
    ) -> None:
        if request.target.partition(b"?")[0] != self._ready_path:
            status, reason = 404, "no_such_path"
        elif cluster_updates.is_ready(self.gateway):
            status, reason = 200, "ready"
        else:
            status, reason = 503, "not_ready"
        closes = not request.keep_alive
        data = client_answers.encode_status(status, reason, closes)
        connection.answer(data, closes)

    def _answer_metrics(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
    ) -> None:
        if self._metrics_text is None:
            # Imported on first use: the import takes a fifth of the start-up time.
            from amaranthpulley.transport.forwarding import gateway_metrics

            metrics = gateway_metrics.GatewayMetrics(
                self.gateway, self.runtime, self._guard.holdings
            )
            self._metrics_text = metrics.text
        closes = not request.keep_alive
        answer = requests.LeafAnswer(
            200, METRICS_HEADERS, self._metrics_text(), b"", False, False, None
        )
        data = client_answers.encode_forwarded(answer, closes, False)
        connection.answer(data, closes)

    def _reload_settings(self) -> None:
        self._log(log_events.SETTINGS_RELOADED, result=self._reload())

    def _log(self, event: log_events.LogEvent, **fields: str | int) -> None:
        self._write_log(commands.log(event, **fields))
