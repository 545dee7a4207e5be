"""Simulation of targets and of the connections to them, including their faults."""

from __future__ import annotations

import typing
from collections.abc import Callable
from typing import Final

from amaranthpulley.coordination import commands, events
from amaranthpulley.state import standin_leaf
from amaranthpulley.state.searches import searches

if typing.TYPE_CHECKING:
    from amaranthpulley.transport.emulation import virtual_network

# How long a daemon waits for a target to confirm a cancellation.
CANCEL_GRACE_MS: Final = 200

ServiceTime = Callable[[standin_leaf.StandInLeaf, commands.SendAttempt], int]
Reply = Callable[[events.Event], None]


class Connection:
    """The open connections between a daemon and a leaf.

    Attributes
    ----------
    boot_id : str
        The leaf's boot id when the connections were opened; empty until the first
        attempt arrives.
    """

    def __init__(self) -> None:
        self.boot_id = ""


class VirtualTargets:
    """The stand-in leaves of a `VirtualNetwork`, by address.

    A daemon's connection to a leaf breaks when the leaf restarts: the first attempt
    sent over it afterwards is lost before it reaches the leaf, and the next attempt
    opens a new connection.

    Attributes
    ----------
    service_ms : callable
        Given a leaf and an attempt, returns the service time in milliseconds, to
        which the leaf adds the delays of its own faults.
    duplicate_share : float
        Share of the answers, from 0.0 to 1.0, that arrive twice; the second copy also
        arrives when the attempt has ended.
    started_requests : set of str
        IDs of the requests that some leaf has started to run.
    """

    def __init__(self, network: virtual_network.VirtualNetwork) -> None:
        self.leaves: dict[str, standin_leaf.StandInLeaf] = {}
        self.service_ms: ServiceTime = lambda leaf, command: 5
        self.duplicate_share = 0.0
        self.started_requests: set[str] = set()
        self._network = network
        self._connections: dict[tuple[str, str, str], Connection] = {}
        self._abandon_callbacks: dict[str, Callable[[], None]] = {}
        self._replies: dict[str, Reply] = {}
        self._cancelled_ms: dict[str, int] = {}

    def send(
        self, daemon: virtual_network.VirtualDaemon, command: commands.SendAttempt
    ) -> None:
        """Deliver an attempt to its target and the outcome to the daemon."""
        network = self._network
        daemon_address = daemon.state.identity.address
        address = command.target.address
        ended = False
        connection = self._connections.setdefault(_key(daemon, address), Connection())

        def end(event: events.Event) -> None:
            nonlocal ended
            if not ended:
                ended = True
                self._cancelled_ms.pop(command.attempt_id, None)
                network.feed(daemon, event)
                self._drop_lost_connection(daemon, address, connection, event)

        def send_back(event: events.Event) -> None:
            reply_delay_ms = network.delay(address, daemon_address)
            if reply_delay_ms is None:
                return
            network.after(reply_delay_ms, lambda: end(event))
            if network.random.random() < self.duplicate_share:
                network.after(reply_delay_ms + 1, lambda: network.feed(daemon, event))

        def time_out() -> None:
            grace_ms = self._remaining_grace_ms(command.attempt_id)
            if grace_ms > 0:
                network.after(grace_ms, time_out)
                return
            timed_out = events.Failure.TIMED_OUT
            end(events.AttemptFailed(command.attempt_id, timed_out))

        delay_ms = network.delay(daemon_address, address)
        if delay_ms is not None:
            network.after(
                delay_ms, lambda: self._receive(daemon, command, connection, send_back)
            )
        network.after(command.timeout_ms, time_out)

    def _remaining_grace_ms(self, attempt_id: str) -> int:
        """Return how long the target still has to confirm the cancellation.

        The result is 0 for an attempt that is not cancelled, and may be negative.
        """
        cancelled_ms = self._cancelled_ms.get(attempt_id)
        if cancelled_ms is None:
            return 0
        return cancelled_ms + CANCEL_GRACE_MS - self._network.now_ms

    def connect(self, daemon: virtual_network.VirtualDaemon, address: str) -> None:
        """Open a daemon's connection to a leaf."""
        connection = self._connections.setdefault(_key(daemon, address), Connection())
        connection.boot_id = self.leaves[address].boot_id

    def break_connections(self, address: str) -> None:
        """Break all connections to a leaf without restarting it."""
        for connection_key, connection in self._connections.items():
            if connection_key[2] == address:
                connection.boot_id = "broken"

    def cancel(
        self, daemon: virtual_network.VirtualDaemon, command: commands.CancelAttempt
    ) -> None:
        """Send a target the cancellation of an attempt."""
        self._cancelled_ms[command.attempt_id] = self._network.now_ms
        daemon_address = daemon.state.identity.address
        delay_ms = self._network.delay(daemon_address, command.target.address)
        if delay_ms is not None:
            self._network.after(
                delay_ms, lambda: self._receive_cancellation(command.attempt_id)
            )

    def _receive(
        self,
        daemon: virtual_network.VirtualDaemon,
        command: commands.SendAttempt,
        connection: Connection,
        reply: Reply,
    ) -> None:
        leaf = self.leaves.get(command.target.address)
        failures = events.Failure
        if leaf is None:
            reply(events.AttemptFailed(command.attempt_id, failures.UNREACHABLE))
            return
        connection.boot_id = connection.boot_id or leaf.boot_id
        if connection.boot_id != leaf.boot_id:
            # The connection was opened before the leaf restarted.
            reply(events.AttemptFailed(command.attempt_id, failures.CONNECTION_LOST))
            return
        if leaf.faults.lost:
            return
        admission = leaf.begin()
        if admission is standin_leaf.AdmissionResult.SHEDS:
            refused = failures.REFUSED
            reply(events.AttemptFailed(command.attempt_id, refused, leaf.load))
        elif admission is standin_leaf.AdmissionResult.FALLS_OVER:
            reply(events.AttemptFailed(command.attempt_id, failures.CONNECTION_LOST))
        else:
            self._start_attempt(leaf, command, reply)

    def _drop_lost_connection(
        self,
        daemon: virtual_network.VirtualDaemon,
        address: str,
        connection: Connection,
        event: events.Event,
    ) -> None:
        failure = getattr(event, "failure", None)
        if failure not in (events.Failure.CONNECTION_LOST, events.Failure.TIMED_OUT):
            return
        connection_key = _key(daemon, address)

        def drop() -> None:
            if self._connections.get(connection_key) is connection:
                del self._connections[connection_key]

        # A paused daemon detects the loss and reconnects only after its pause.
        self._network.at(max(self._network.now_ms, daemon.paused_until_ms), drop)

    def _start_attempt(
        self,
        leaf: standin_leaf.StandInLeaf,
        command: commands.SendAttempt,
        reply: Reply,
    ) -> None:
        boot_id = leaf.boot_id
        attempt_id = command.attempt_id
        # A leaf selects the index version when the attempt starts.
        part = _search(leaf, command)
        if part is not None or isinstance(command.call, commands.OrderCall):
            self.started_requests.add(command.request_id)

        def finish() -> None:
            if self._abandon_callbacks.pop(attempt_id, None) is None:
                return
            del self._replies[attempt_id]
            if leaf.boot_id == boot_id:
                leaf.crash_on(_request_text(command.call))
            if leaf.end(boot_id, finished=True):
                reply(_attempt_event(leaf, command, part))
                return
            connection_lost = events.Failure.CONNECTION_LOST
            reply(events.AttemptFailed(attempt_id, connection_lost))

        self._replies[attempt_id] = reply
        self._abandon_callbacks[attempt_id] = lambda: leaf.end(boot_id, finished=False)
        work_ms = leaf.work_ms(self.service_ms(leaf, command))
        self._network.after(work_ms, finish)
        # A target abandons a request whose deadline has passed.
        self._network.after(
            command.timeout_ms, lambda: self._abandon_attempt(attempt_id)
        )

    def _receive_cancellation(self, attempt_id: str) -> None:
        reply = self._replies.get(attempt_id)
        if reply is not None:
            self._abandon_attempt(attempt_id)
            cancelled = events.Failure.CANCELLED
            reply(events.AttemptFailed(attempt_id, cancelled))

    def _abandon_attempt(self, attempt_id: str) -> None:
        self._replies.pop(attempt_id, None)
        stop = self._abandon_callbacks.pop(attempt_id, None)
        if stop is not None:
            stop()


def _key(daemon: virtual_network.VirtualDaemon, address: str) -> tuple[str, str, str]:
    identity = daemon.state.identity
    return identity.name, identity.life, address


def _request_text(call: commands.SearchCall | commands.OrderCall) -> str:
    return call.payload if isinstance(call, commands.OrderCall) else call.query


def _search(
    leaf: standin_leaf.StandInLeaf, command: commands.SendAttempt
) -> searches.SearchPart | None:
    call = command.call
    if isinstance(call, commands.OrderCall):
        return None
    return leaf.search(call.query, call.key, call.version)


def _attempt_event(
    leaf: standin_leaf.StandInLeaf,
    command: commands.SendAttempt,
    part: searches.SearchPart | None,
) -> events.AttemptAnswered | events.AttemptFailed:
    call = command.call
    if isinstance(call, commands.OrderCall):
        receipt = leaf.order(call.idempotency_key, call.payload)
        answer = events.OrderReceipt(receipt)
        return events.AttemptAnswered(command.attempt_id, answer, leaf.load)
    if part is None:
        version_gone = events.Failure.VERSION_GONE
        return events.AttemptFailed(command.attempt_id, version_gone, leaf.load)
    return events.AttemptAnswered(command.attempt_id, part, leaf.load)
