"""Assembles a daemon from its sockets, its runtime and its handlers."""

import itertools
import random
import secrets
import socket
from typing import Final

import eventlet

from amaranthpulley.coordination import commands, events
from amaranthpulley.protocol import peer_codec
from amaranthpulley.protocol import settings as settings_protocol
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import daemon as daemon_state
from amaranthpulley.state import hybrid_clock, log_events
from amaranthpulley.transport import (
    admin,
    callers,
    errors,
    log_sink,
    message_stamps,
    metrics,
    peers,
    process_signals,
    runtime,
    store_client,
    system_clock,
    vm_list_client,
    web,
)

# Time for slow callers to read their answers; all requests have been answered by then.
ANSWER_GRACE_MS: Final = 5_000
PEER_GRACE_MS: Final = 1_000


class DaemonProcess:
    """A running daemon with its listening sockets.

    Parameters
    ----------
    settings : Settings
        The validated settings.

    Raises
    ------
    AddressInUseError
        When an address cannot be bound; all opened sockets are closed again.
    """

    def __init__(self, settings: settings_protocol.Settings) -> None:
        listen = settings["listen"]
        clock = system_clock.system_clock()
        recent = log_sink.RecentEvents()
        stamps = hybrid_clock.HybridClock()
        write_log = _open_log(settings, clock, stamps, recent)
        sockets = _listen_all(listen["ip"], listen["caller_port"], listen["admin_port"])
        self._peers = _serve_peers(
            settings, sockets, self._handle_peer_call, self._record_refused_message
        )
        identity = _identity(settings, self._peers.address)
        daemon = daemon_state.Daemon(identity, settings_protocol.limits_of(settings))
        self._metrics = metrics.Metrics(daemon)
        self.runtime = runtime.Runtime(
            daemon,
            clock,
            random.Random().random,
            write_log,
            store_client.StoreClient(settings["platform"]["store_address"]),
            vm_list_client.VmListClient(settings["platform"]["vm_list_address"]),
            self._metrics.observe,
            message_stamps.from_hybrid_clock(stamps, clock),
        )
        self._callers = web.WebServer(
            sockets[0], web.application(callers.routes(self.runtime))
        )
        clients = settings_protocol.admin_clients_of(settings)
        admin_routes = admin.routes(daemon, clock, self._metrics.text, recent, clients)
        self.runtime.on_stop_listening = self._stop_listening
        self._admin = web.WebServer(sockets[1], web.application(admin_routes))
        self._start(clock, write_log)

    @property
    def caller_address(self) -> str:
        """The ``IP:port`` of the callers' port."""
        return self._callers.address

    @property
    def admin_address(self) -> str:
        """The ``IP:port`` of the admin port."""
        return self._admin.address

    def drain_on_signals(self) -> None:
        """Drain on the first SIGTERM or SIGINT; stop without draining on the next."""
        stop_events = itertools.chain(
            [events.DrainRequested()], itertools.repeat(events.StopRequested())
        )
        process_signals.on_termination_signals(
            lambda: self.runtime.feed(next(stop_events))
        )

    def wait(self) -> int:
        """Serve until the daemon has drained, and return the exit code."""
        code = self.runtime.exit_code.wait()
        self.close()
        return code

    def close(self) -> None:
        """Close all sockets and connections."""
        self._callers.stop(ANSWER_GRACE_MS)
        self._admin.stop()
        self._peers.stop(PEER_GRACE_MS)
        self.runtime.close()

    def _start(self, clock: clock_state.Clock, write_log: log_sink.WriteLog) -> None:
        listening = commands.log(
            log_events.DAEMON_LISTENING,
            callers=self._callers.address,
            admin=self._admin.address,
            peers=self._peers.address,
        )
        write_log(listening)
        life = self.runtime.daemon.identity.life
        write_log(commands.log(log_events.DAEMON_STARTED, life=life))
        wall_offset_ms = clock.wall_ms() - clock.monotonic_ms()
        self.runtime.feed(events.Started(wall_offset_ms))

    def _stop_listening(self) -> None:
        eventlet.spawn_n(self._callers.stop, ANSWER_GRACE_MS)

    def _record_refused_message(self, sender_ip: str, reason: str) -> None:
        self.runtime.record_refused_message(sender_ip, reason)

    def _handle_peer_call(self, sender_ip: str, body: bytes) -> bytes:
        return self.runtime.peers.handle_call(sender_ip, body)


def _open_log(
    settings: settings_protocol.Settings,
    clock: clock_state.Clock,
    stamps: hybrid_clock.HybridClock,
    recent: log_sink.RecentEvents,
) -> log_sink.WriteLog:
    return log_sink.open_log(
        settings["vm_name"],
        clock,
        settings.get("log_file"),
        settings_protocol.log_level_of(settings),
        stamps,
        recent,
    )


def _identity(
    settings: settings_protocol.Settings, address: str
) -> daemon_state.Identity:
    return daemon_state.Identity(
        settings["vm_name"],
        address,
        settings["failure_domain"],
        settings["region"],
        secrets.token_hex(4),
    )


def _serve_peers(
    settings: settings_protocol.Settings,
    opened: list[socket.socket],
    handle: peers.Handle,
    on_refused: peers.OnRefused,
) -> web.WebServer:
    listen = settings["listen"]
    address = f"{listen['ip']}:{listen['peer_port']}"
    try:
        limit = peer_codec.MAXIMUM_MESSAGE_BYTES
        return peers.serve_peers(address, handle, limit, on_refused)
    except errors.AddressInUseError:
        for listener in opened:
            listener.close()
        raise


def _listen_all(ip: str, *ports: int) -> list:
    sockets: list = []
    try:
        for port in ports:
            sockets.append(web.listen(f"{ip}:{port}"))
    except Exception:
        for opened in sockets:
            opened.close()
        raise
    return sockets
