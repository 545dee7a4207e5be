"""Feeds events to the forwarding engine and executes the commands that it returns."""

import collections
from collections.abc import Callable
from typing import Final, NamedTuple

import eventlet.hubs

from amaranthpulley.coordination import commands as common
from amaranthpulley.coordination.forwarding import commands, engine, events
from amaranthpulley.protocol.forwarding import (
    client_answers,
    client_requests,
    delegation_codec,
    header_names,
    leaf_messages,
)
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state import log_events
from amaranthpulley.state.forwarding import delegations, leaves, requests
from amaranthpulley.state.forwarding import gateway as gateway_state
from amaranthpulley.transport import log_sink
from amaranthpulley.transport.forwarding import (
    client_connections,
    delegate_calls,
    leaf_connections,
)

# A health check without an answer after this time has failed.
PROBE_TIMEOUT_MS: Final = 400
TICK_INTERVAL_MS: Final = 100
_HEAD: Final = client_requests.HEAD


class _PendingRequest(NamedTuple):
    """A request that has not been answered yet.

    Attributes
    ----------
    request : ClientRequest
        The request.
    heads : dict
        The part of its head that does not depend on the recipient, without and with
        the client's headers with its key and account, by whether they are left out.
    request_id : bytes
        The client's identifier of it.
    connections : set of LeafConnection
        Connections on which it was sent to leaves.
    """

    request: client_requests.ClientRequest
    heads: dict[bool, bytes]
    request_id: bytes
    connections: set[leaf_connections.LeafConnection]


class Runtime:
    """The forwarding engine of one daemon on the event loop.

    Parameters
    ----------
    gateway : Gateway
        The daemon's state.
    clock : Clock
        Source of time.
    random : callable
        Returns a random number from 0 to 1.
    names : HeaderNames
        Names of the headers that the gateway interprets.
    write_log : callable
        Writes log events.
    message_handlers : dict
        By type, what executes the commands that tell other daemons something.
    """

    def __init__(
        self,
        gateway: gateway_state.Gateway,
        clock: clock_state.Clock,
        random: Callable[[], float],
        names: header_names.HeaderNames,
        write_log: log_sink.WriteLog,
        message_handlers: dict[type, Callable],
    ) -> None:
        self.gateway = gateway
        self.names = names
        self.leaves = leaf_connections.LeafConnections(names, clock)
        self.delegates = delegate_calls.DelegateCalls(names, clock, self.feed)
        self.handler = client_connections.Handler(self._receive, self._on_disconnect)
        self.delegated_handler = client_connections.Handler(
            self._receive_delegated, self._on_disconnect
        )
        self._now_ms = clock.monotonic_ms
        self._random = random
        self._write_log = write_log
        self._hub = eventlet.hubs.get_hub()
        self._events: collections.deque[events.Event] = collections.deque()
        self._processing = False
        self._next_key = 1
        self._clients: dict[int, client_connections.ClientConnection] = {}
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._attempts: dict[int, leaf_connections.LeafConnection] = {}
        self._wake_timers: dict[int, object] = {}
        # Connections to delegates by request.
        self._delegations: dict[int, leaf_connections.LeafConnection] = {}
        self._handlers = {**self._command_handlers(), **message_handlers}

    def _command_handlers(self) -> dict[type, Callable]:
        return {
            commands.SendAttempt: self._send,
            commands.SendToDelegate: self._send_to_delegate,
            commands.CancelAttempt: self._cancel,
            commands.PassAnswer: self._forward_answer,
            commands.SendMerged: self._send_merged,
            commands.Refuse: self._refuse,
            commands.WakeAt: self._wake_at,
            commands.ProbeLeaf: self._probe,
            commands.OpenConnection: self._open_connection,
            common.Log: self._write_log,
        }

    def start(self) -> None:
        """Start the periodic housekeeping."""
        self._tick()

    def feed(self, event: events.Event) -> None:
        """Pass an event to the engine and execute the resulting commands.

        Events that are raised during this call are queued and processed before it
        returns.
        """
        self._events.append(event)
        if self._processing:
            return
        self._processing = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._processing = False

    @property
    def requests_in_progress(self) -> int:
        """Number of requests that have not been answered yet."""
        return len(self._clients)

    def _step(self, event: events.Event) -> None:
        try:
            decided = engine.step(self.gateway, event, self._now_ms(), self._random)
            for command in decided:
                self._handlers[type(command)](command)
        except Exception as error:
            # Only this event is lost; the daemon continues with the next one.
            self._write_log(
                common.log(
                    log_events.INTERNAL_ERROR,
                    error=repr(error),
                    cause=type(event).__name__,
                )
            )

    def _tick(self) -> None:
        self._hub.schedule_call_global(TICK_INTERVAL_MS / 1000, self._tick)
        self.feed(events.TickDue())
        self.leaves.close_expired()
        self.delegates.connections.close_expired()

    def _receive_delegated(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
    ) -> None:
        forwarded, origin = delegation_codec.split_origin(request)
        if origin is None:
            data = client_answers.encode_status(400, "no_origin", True)
            connection.answer(data, True)
            return
        # After a pause of this process the sender may have given the request to others.
        connection.read_pending()
        if connection.closed:
            return
        delegate_calls.send_signs_of_life(connection, request)
        self._accept(connection, forwarded, origin)

    def _receive(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
    ) -> None:
        self._accept(connection, request, None)

    def _accept(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
        origin: delegations.Origin | None,
    ) -> None:
        key = self._next_key
        self._next_key += 1
        connection.key = key
        self._clients[key] = connection
        configuration = self.gateway.configuration
        if configuration is None or configuration.accounts is None:
            request = client_requests.with_trailers(request)
        request_id = request.first(self.names.request_id) or b""
        self._pending_requests[key] = _PendingRequest(request, {}, request_id, set())
        incoming = client_requests.incoming_of(request, self.names, key, origin)
        self.feed(events.RequestArrived(incoming))

    def _on_disconnect(self, connection: client_connections.ClientConnection) -> None:
        self._clients.pop(connection.key, None)
        self._end_request(connection.key)
        self.feed(events.ClientLeft(connection.key))

    def _send(self, command: commands.SendAttempt) -> None:
        pending = self._pending_requests[command.request_key]
        request, _, request_id, used = pending
        data = leaf_messages.encode_request(
            self._head_of(pending, command.account is not None),
            request.body,
            self.names,
            command.leaf_id,
            command.budget_ms,
            command.account,
        )
        number = command.attempt
        connection = self.leaves.acquire(command.address, command.reuse, used)
        used.add(connection)
        self._attempts[number] = connection
        opened = not connection.used
        connection.keep = command.keep

        def on_answer(answer: requests.LeafAnswer) -> None:
            self._attempts.pop(number, None)
            self.feed(events.AttemptAnswered(number, answer, opened))

        def on_failure(end: requests.AttemptEnd) -> None:
            self._attempts.pop(number, None)
            self.feed(events.AttemptFailed(number, end))

        is_head = request.method == _HEAD
        connection.exchange(data, request_id, is_head, on_answer, on_failure)
        if connection.opening:
            connection.on_sent = lambda: self.feed(events.AttemptSent(number))
            self.feed(events.AttemptOpening(number))

    def _head_of(self, pending: _PendingRequest, hides_key: bool) -> bytes:
        head = pending.heads.get(hides_key)
        if head is None:
            head = leaf_messages.encode_request_head(
                pending.request, self.names, hides_key
            )
            pending.heads[hides_key] = head
        return head

    def _send_to_delegate(self, command: commands.SendToDelegate) -> None:
        pending = self._pending_requests[command.request_key]
        request, request_id = pending.request, pending.request_id
        head = self._head_of(pending, command.hides_key)
        number = command.delegation
        key = command.request_key

        def on_end() -> None:
            self._attempts.pop(number, None)
            self._delegations.pop(key, None)

        connection = self.delegates.send(command, request, head, request_id, on_end)
        self._attempts[number] = self._delegations[key] = connection

    def _cancel(self, command: commands.CancelAttempt) -> None:
        connection = self._attempts.pop(command.attempt, None)
        if connection is not None:
            connection.close()

    def _forward_answer(self, command: commands.PassAnswer) -> None:
        def encode(request: client_requests.ClientRequest, closes: bool) -> bytes:
            is_head = request.method == _HEAD
            return client_answers.encode_forwarded(command.answer, closes, is_head)

        self._answer(command.request_key, encode)

    def _send_merged(self, command: commands.SendMerged) -> None:
        request_id = self._pending_requests[command.request_key].request_id
        self._answer(
            command.request_key,
            lambda request, closes: client_answers.encode_merged(
                command, request_id, self.names, closes, request.method == _HEAD
            ),
        )

    def _refuse(self, command: commands.Refuse) -> None:
        request_id = self._pending_requests[command.request_key].request_id
        self._answer(
            command.request_key,
            lambda _, closes: client_answers.encode_refusal(
                command, request_id, self.names, closes
            ),
        )

    def _answer(
        self,
        key: int,
        encode: Callable[[client_requests.ClientRequest, bool], bytes],
    ) -> None:
        connection = self._clients.pop(key, None)
        pending = self._pending_requests.get(key)
        self._end_request(key)
        if connection is None or pending is None:
            return
        request = pending.request
        draining = self.gateway.draining_since_ms is not None
        closes = draining or not request.keep_alive
        connection.answer(encode(request, closes), closes)

    def _end_request(self, key: int) -> None:
        self._pending_requests.pop(key, None)
        self._delegations.pop(key, None)
        timer = self._wake_timers.pop(key, None)
        if timer is not None:
            timer.cancel()

    def _wake_at(self, command: commands.WakeAt) -> None:
        key = command.request_key
        timer = self._wake_timers.pop(key, None)
        if timer is not None:
            timer.cancel()
        delay_ms = max(0, command.due_ms - self._now_ms())
        self._wake_timers[key] = self._hub.schedule_call_global(
            delay_ms / 1000, self._wake, key
        )

    def _wake(self, key: int) -> None:
        self._wake_timers.pop(key, None)
        delegate = self._delegations.get(key)
        if delegate is not None:
            # In a late loop the timer comes before a message that is already here.
            delegate.read_pending()
        self.feed(events.WakeDue(key))

    def _open_connection(self, command: commands.OpenConnection) -> None:
        self.leaves.preconnect(command.address)

    def _probe(self, command: commands.ProbeLeaf) -> None:
        connection = self.leaves.acquire(command.address, commands.Reuse.RECENT)
        # Health checks have no id that tells a late copy of their answer from others.
        connection.keep = False
        timer = None

        def end(
            healthy: bool,
            replaced: bool = False,
            demands: requests.LeafDemands = requests.NO_DEMANDS,
            load: leaves.Load | None = None,
        ) -> None:
            timer.cancel()
            leaf_id = command.leaf_id
            self.feed(events.ProbeEnded(leaf_id, healthy, replaced, demands, load))

        def on_answer(answer: requests.LeafAnswer) -> None:
            named = self._leaf_named_in(answer)
            replaced = named not in ("", command.leaf_id)
            healthy = answer.status == 200 and not replaced
            end(healthy, replaced, answer.demands, answer.load)

        def give_up() -> None:
            connection.close()
            end(False)

        timer = self._hub.schedule_call_global(PROBE_TIMEOUT_MS / 1000, give_up)
        connection.exchange(
            leaf_messages.encode_health_request(command.address, command.path),
            b"",
            False,
            on_answer,
            lambda _end: end(False),
        )

    def _leaf_named_in(self, answer: requests.LeafAnswer) -> str:
        named = dict((name.lower(), value) for name, value in answer.headers)
        return named.get(self.names.leaf, b"").decode("latin-1")
