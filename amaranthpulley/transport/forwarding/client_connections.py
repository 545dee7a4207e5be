"""HTTP server for clients: reads pipelined requests and answers them in order."""

import collections
import http
import socket
from collections.abc import Callable
from typing import Final, NamedTuple

import eventlet.hubs

from amaranthpulley.coordination.forwarding import client_limits
from amaranthpulley.protocol.forwarding import (
    client_answers,
    client_requests,
    errors,
)
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state.forwarding import client_budget, routes
from amaranthpulley.transport.forwarding import client_guard, streams

# Interval between checks for connections that exceeded a timeout.
SWEEP_INTERVAL_MS: Final = 500
# While draining, a connection without a first request is kept for this time, because
# the request may already be in transit.
FIRST_REQUEST_GRACE_MS: Final = 500
# Idle connections are kept this much longer than the idle timeout, because the client's
# next request may already be in transit.
IDLE_GRACE_MS: Final = 1_000
_TIMEOUT_STATUS: Final = 408
# After this time, connections that hold memory and have stalled are recognised.
_RETRY_AFTER: Final = b"Retry-After: %.3f\r\n" % (client_limits.STALLED_MS / 1000)
# While a request is in progress, reading stops once this much of the next ones is held.
PIPELINED_BYTES: Final = 65_536
# Memory of a request in progress beside its text: its encoded head and its state.
REQUEST_OVERHEAD_BYTES: Final = 16_384
# A request with 54 calls and as many attempts takes 77 KB.
CALL_BYTES: Final = 1_430
# A request and the memory that it takes.
_Queued = tuple[client_requests.ClientRequest, int]
OnRequest = Callable[["ClientConnection", client_requests.ClientRequest], None]


class Handler(NamedTuple):
    """Callbacks of a server.

    Attributes
    ----------
    on_request : callable
        Called with a connection and a complete request; the answer is passed to the
        connection's `answer`.
    on_disconnect : callable
        Called with a connection whose client disconnected before the answer.
    """

    on_request: OnRequest
    on_disconnect: Callable[["ClientConnection"], None]


class ClientConnection:
    """One client connection.

    Parameters
    ----------
    connection : socket
        The accepted socket.
    server : HttpServer
        The server that accepted it.
    """

    def __init__(self, connection: socket.socket, server: "HttpServer") -> None:
        self._server = server
        self._reader = client_requests.RequestReader(lambda: server.limits)
        self._queued: collections.deque[_Queued] = collections.deque()
        self._queued_bytes = 0
        self.current: client_requests.ClientRequest | None = None
        self._current_bytes = self._call_bytes = 0
        self.key = 0
        # Start of the idle time or of the request that is being received.
        self.since_ms = server.now_ms()
        # Whether it has had a request.
        self._used = False
        # The last answer has been sent or buffered.
        self._closing = False
        # Unsent bytes at the last sweep, and when they last changed.
        self.swept_unsent_bytes = 0
        self.progressed_ms = self.since_ms
        self._pending_error: errors.BadRequestError | None = None
        self._stream = streams.Stream(connection, self._on_data, self._on_end)
        self._stream.start()
        self._holding = server.guard.add(server.kind)

    @property
    def idle(self) -> bool:
        """Whether no request is being read or answered and no answer is being sent."""
        return (
            self.current is None
            and not self._queued
            and not self._reader.in_request
            and not self._stream.unsent_bytes
        )

    @property
    def closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self._stream.closed

    @property
    def unsent_bytes(self) -> int:
        """Size of the part of an answer that the client has not accepted."""
        return self._stream.unsent_bytes

    @property
    def in_request(self) -> bool:
        """Whether a request has been read in part, and nothing comes before it."""
        return (
            self.current is None
            and not self._queued
            and self._reader.in_request
            and not self._stream.unsent_bytes
        )

    def answer(self, data: bytes, closes: bool) -> None:
        """Send the answer to the current request, without its body to HEAD."""
        method = self.current.method if self.current is not None else b""
        self.current = None
        self._current_bytes = self._call_bytes = 0
        self.since_ms = self._holding.moved_ms = self._server.now_ms()
        self._holding.served = True
        self._write(data, method)
        self._closing = closes
        self._update_holding()
        # A client that does not read gets no further answers to buffer.
        self._stream.when_sent(self.close if closes else self._continue)

    def count_calls(self, number: int) -> None:
        """Account for the calls of the request in progress."""
        if self.current is not None:
            self._call_bytes = number * CALL_BYTES
            self._update_holding()

    def read_pending(self) -> None:
        """Read what has come since, which shows whether the client has disconnected."""
        self._stream.read_pending()

    def write_interim(self, data: bytes) -> None:
        """Send an interim answer to the current request."""
        self._stream.write(data)

    def close(self) -> None:
        """Close the connection."""
        self._stream.close()
        self._forget()

    def watch(self) -> None:
        """Let the guard of the process close or empty the connection."""
        callbacks = client_guard.Callbacks(
            self._release, self._close_unused, self.close
        )
        self._server.guard.watch(self._holding, callbacks)

    def note_progress(self, now_ms: int) -> None:
        """Note that the client has accepted a part of the answer."""
        self._holding.moved_ms = self.progressed_ms = now_ms
        self._update_holding()

    def close_if_idle(self) -> None:
        """Close the connection unless a request has come or may be on its way."""
        self.read_pending()
        open_ms = self._server.now_ms() - self.since_ms
        if self.idle and (self._used or open_ms >= FIRST_REQUEST_GRACE_MS):
            self.close()

    def time_out(self) -> None:
        """Answer 408 Request Timeout and close the connection."""
        data = client_answers.encode_status(_TIMEOUT_STATUS, "request_timeout", True)
        self._write(data, self._reader.method)
        self.close()

    def _on_data(self, data: bytes) -> None:
        if self._pending_error is not None or self._closing:
            return
        now_ms = self._holding.moved_ms = self._server.now_ms()
        if self.idle:
            self.since_ms = now_ms
        try:
            for request in self._reader.feed(data):
                size_bytes = client_requests.size_of(request)
                self._queued.append((request, size_bytes))
                self._queued_bytes += size_bytes
        except errors.BadRequestError as error:
            self._pending_error = error
            if self.current is None and not self._queued:
                self._refuse(error, self._reader.method)
                return
        if self._pending_error is None:
            self._pending_error = self._reader.error or self._surplus_error()
        if self._reader.pop_expect_continue() and self.current is None:
            self._stream.write(client_answers.CONTINUE)
        if self.current is None and self._queued:
            self._stream.when_sent(self._continue)
        self._update_holding()

    def _update_holding(self) -> None:
        """Account for what is held; stop or resume reading."""
        if self._stream.closed:
            return
        unsent_bytes = self._stream.unsent_bytes
        held_bytes = self._queued_bytes + self._reader.held_bytes
        waits = self.current is not None or self._queued or unsent_bytes
        if waits and (
            held_bytes >= PIPELINED_BYTES
            or len(self._queued) >= client_requests.MAXIMUM_PIPELINED_REQUESTS
        ):
            self._stream.pause()
        else:
            self._stream.start()
        begun_bytes = self._current_bytes + self._call_bytes
        self._server.guard.update(self._holding, begun_bytes, held_bytes + unsent_bytes)

    def _release(self) -> None:
        """Give up all but a request in progress; what was not begun has not run."""
        error = errors.MemorySpentError()
        if self.current is None:
            if not self._stream.unsent_bytes:
                self._write_error(error, self._reader.method)
            self.close()
        else:
            self._drop_unstarted()
            self._pending_error = error
            self._update_holding()

    def _drop_unstarted(self) -> None:
        self._queued.clear()
        self._queued_bytes = 0
        self._reader.discard()

    def _close_unused(self) -> None:
        self.read_pending()
        if self.current is None:
            self.close()

    def _surplus_error(self) -> errors.BadRequestError | None:
        if len(self._queued) <= client_requests.MAXIMUM_PIPELINED_REQUESTS:
            return None
        return errors.BadRequestError(http.HTTPStatus.BAD_REQUEST)

    def _continue(self) -> None:
        if self._stream.closed or self.current is not None:
            return
        if self._queued:
            request, size_bytes = self._queued.popleft()
            self._queued_bytes -= size_bytes
            self._begin(request, REQUEST_OVERHEAD_BYTES + size_bytes)
        elif self._pending_error is not None:
            self._refuse(self._pending_error, self._reader.method)
        else:
            self.since_ms = self._server.now_ms()
            self._update_holding()

    def _begin(self, request: client_requests.ClientRequest, size_bytes: int) -> None:
        if not self._server.guard.may_begin(self._holding, size_bytes):
            self._drop_unstarted()
            self._pending_error = errors.MemorySpentError()
            self._refuse(self._pending_error, request.method)
            return
        self.current = request
        self._current_bytes = size_bytes
        self._update_holding()
        self._used = True
        self._server.handler.on_request(self, request)

    def _refuse(self, error: errors.BadRequestError, method: bytes) -> None:
        self._write_error(error, method)
        self._stream.when_sent(self.close)

    def _write_error(self, error: errors.BadRequestError, method: bytes) -> None:
        status = error.status
        extra = _RETRY_AFTER if status == http.HTTPStatus.SERVICE_UNAVAILABLE else b""
        data = client_answers.encode_status(status.value, error.code, True, extra)
        self._write(data, method)

    def _write(self, data: bytes, method: bytes) -> None:
        if method == client_requests.HEAD:
            data = client_answers.without_body(data)
        self._stream.write(data)

    def _forget(self) -> None:
        self._server.guard.remove(self._holding)
        self._server.forget(self)
        # The connection and its stream refer to each other: without this, the memory
        # would be held until the next collection of cycles.
        self._drop_unstarted()

    def _on_end(self, was_reset: bool) -> None:
        self._forget()
        if self.current is not None:
            self._server.handler.on_disconnect(self)


class HttpServer:
    """An HTTP server on one address.

    Parameters
    ----------
    address : str
        ``IP:port`` to listen on.
    clock : Clock
        Source of time.
    handler : Handler
        Callbacks for requests and disconnects.
    limits : ClientLimits
        Limits of requests and connections.
    guard : ClientGuard or None
        The budget that it shares with the other servers of the process.
    kind : Server
        Which server of the process it is.

    Attributes
    ----------
    limits : ClientLimits
        Limits in force, also on connections that are open.
    """

    def __init__(
        self,
        address: str,
        clock: clock_state.Clock,
        handler: Handler,
        limits: routes.ClientLimits = routes.DEFAULT_LIMITS,
        guard: client_guard.ClientGuard | None = None,
        kind: client_budget.Server = client_budget.Server.FRONT,
    ) -> None:
        self.handler = handler
        self.guard = guard or client_guard.ClientGuard(clock)
        self.kind = kind
        self.limits = limits
        self.now_ms = clock.monotonic_ms
        self._connections: set[ClientConnection] = set()
        self._listener: streams.Listener | None = streams.listen(address, self._accept)
        self._address = self._listener.address
        self._sweep()

    @property
    def address(self) -> str:
        """The ``IP:port`` that it listens on."""
        return self._address

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def forget(self, connection: ClientConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def stop_listening(self) -> None:
        """Stop accepting connections."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    def close_idle(self) -> int:
        """Close the idle connections; return the number that remain open."""
        for connection in list(self._connections):
            connection.close_if_idle()
        return len(self._connections)

    def _accept(self, connection: socket.socket) -> None:
        accepted = ClientConnection(connection, self)
        self._connections.add(accepted)
        accepted.watch()

    def _sweep(self) -> None:
        now_ms = self.now_ms()
        for connection in list(self._connections):
            elapsed_ms = now_ms - connection.since_ms
            if connection.in_request:
                if elapsed_ms > self.limits.header_timeout_ms:
                    connection.time_out()
            elif connection.idle:
                if elapsed_ms > self.limits.idle_timeout_ms + IDLE_GRACE_MS:
                    connection.close()
            self._close_if_stalled(connection, now_ms)
        eventlet.hubs.get_hub().schedule_call_global(
            SWEEP_INTERVAL_MS / 1000, self._sweep
        )

    def _close_if_stalled(self, connection: ClientConnection, now_ms: int) -> None:
        """Close a connection whose client has stopped reading its answer."""
        unsent_bytes = connection.unsent_bytes
        if unsent_bytes != connection.swept_unsent_bytes:
            connection.swept_unsent_bytes = unsent_bytes
            connection.note_progress(now_ms)
        elif unsent_bytes:
            if now_ms - connection.progressed_ms > self.limits.idle_timeout_ms:
                connection.close()
