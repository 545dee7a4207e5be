"""Pool of persistent HTTP connections to leaves, each with one request at a time."""

from collections.abc import Callable, Collection
from typing import Final

import eventlet.hubs

from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.protocol.forwarding import header_names, leaf_messages
from amaranthpulley.state import clock as clock_state
from amaranthpulley.state.forwarding import requests
from amaranthpulley.transport.forwarding import streams

# Connecting takes one round trip and 6 ms in the leaf. After this time the SYN packet
# counts as lost, since TCP sends it again only after a second.
CONNECT_TIMEOUT_MS: Final = 300
# A connection is not reused this shortly before the leaf's idle timeout.
IDLE_MARGIN_MS: Final = 500
# A leaf with too many connections closes a new one at once. Nothing is sent on a new
# connection before this time has passed, so that after such a close it is certain that
# nothing ran.
SETTLE_MS: Final = 3
# Idle limit of connections to a leaf that does not send its idle timeout. If the leaf
# closes the connection earlier, the close is detected.
DEFAULT_IDLE_LIMIT_MS: Final = 30_000
# A request that must not run twice is sent only on a connection that was idle for at
# most this long: a leaf may have dropped an older one without a notification.
MAXIMUM_RECENT_IDLE_MS: Final = 400
# Bytes of all incomplete answers together; the smallest VM has 200 MB.
BUFFER_LIMIT_BYTES: Final = 33_554_432

OnAnswer = Callable[[requests.LeafAnswer], None]
OnFailure = Callable[[requests.AttemptEnd], None]


class LeafConnection:
    """One connection to a leaf.

    Parameters
    ----------
    address : str
        ``IP:port`` of the leaf.
    names : HeaderNames
        Names of the headers that the gateway interprets.
    pool : LeafConnections
        The pool to which it returns when idle.
    """

    def __init__(
        self, address: str, names: header_names.HeaderNames, pool: "LeafConnections"
    ) -> None:
        self.address = address
        self.used = False
        self._reused = False
        self._without_body = False
        self._buffered_bytes = 0
        # Whether it may be reused after the answer.
        self.keep = True
        self.idle_since_ms = 0
        self.idle_limit_ms = pool.idle_limits_ms.get(address, pool.idle_limit_ms)
        self._pool = pool
        # Called when the first request is sent, if it had to wait for the connection.
        self.on_sent: Callable[[], None] = streams.ignore
        # Called after an interim answer.
        self.on_interim: Callable[[], None] | None = None
        self._reader = leaf_messages.AnswerReader(names, pool.answer_limits)
        self._request_id = b""
        self._on_answer: OnAnswer | None = None
        self._on_failure: OnFailure | None = None
        self._connected = False
        self._settled = False
        self._unsent: tuple[bytes, ...] = ()
        self._stream = streams.connect(
            address, self._on_data, self._on_end, self._on_connected
        )
        self._timer = eventlet.hubs.get_hub().schedule_call_global(
            CONNECT_TIMEOUT_MS / 1000, self._time_out_connecting
        )

    @property
    def closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self._stream.closed

    @property
    def opening(self) -> bool:
        """Whether a request waits for the connection and nothing has been sent."""
        return bool(self._unsent)

    def exchange(
        self,
        data: bytes,
        request_id: bytes,
        without_body: bool,
        on_answer: OnAnswer,
        on_failure: OnFailure,
        body: bytes = b"",
    ) -> None:
        """Send a request; calls one of the callbacks once, or none after `close`.

        Parameters
        ----------
        data : bytes
            The whole request, or all of it before `body`.
        request_id : bytes
            Answers with a different request id are skipped. One without an id is
            accepted only on a new connection: on another it may be a late copy of an
            earlier answer. An id is used once on a connection.
        without_body : bool
            The answer has no body, whatever its headers say (``HEAD``).
        body : bytes
            The end of the request. It is not copied, and may be sent to several leaves.
        """
        self._reused, self.used = self.used, True
        self._request_id = request_id
        self._without_body = without_body
        self._on_answer, self._on_failure = on_answer, on_failure
        self._reader.expect(without_body)
        parts = (data, body) if body else (data,)
        if self._settled:
            self._stream.write(*parts)
        else:
            self._unsent = parts

    def read_pending(self) -> None:
        """Read what has come since."""
        self._stream.read_pending()

    def close(self) -> None:
        """Close the connection."""
        self._timer.cancel()
        self._on_answer = self._on_failure = None
        self._unsent = ()
        self._count_buffered(0)
        self._stream.close()
        self._pool.forget(self)

    def _on_connected(self) -> None:
        self._connected = True
        self._timer.cancel()
        hub = eventlet.hubs.get_hub()
        self._timer = hub.schedule_call_global(SETTLE_MS / 1000, self._settle)

    def _settle(self) -> None:
        self._settled = True
        if self._unsent:
            unsent, self._unsent = self._unsent, ()
            self._stream.write(*unsent)
            self.on_sent()

    def _time_out_connecting(self) -> None:
        if not self._connected:
            self._fail(requests.AttemptEnd.UNREACHABLE)

    def _on_data(self, data: bytes) -> None:
        if self._on_answer is None:
            # Data without a request in progress.
            self.close()
            return
        interim_total = self._reader.interim_total
        answers, valid = self._reader.feed(data)
        if self.on_interim is not None and self._reader.interim_total > interim_total:
            self.on_interim()
        for raw in answers:
            if self._is_expected(raw):
                self._complete(raw, valid and raw is answers[-1])
                return
            if self._without_body or not raw.request_id:
                # The end of this answer, or the request that it belongs to, is unknown.
                valid = False
            # Else a late answer to an earlier request; the expected one follows.
        self._count_buffered(self._reader.buffered_bytes)
        if self._reader.oversized or self._pool.is_over_limit():
            self._fail(requests.AttemptEnd.OVERSIZED)
        elif not valid:
            self._fail(requests.AttemptEnd.MALFORMED)

    def _is_expected(self, raw: leaf_messages.RawAnswer) -> bool:
        if raw.request_id == self._request_id:
            return True
        return not raw.request_id and not self._reused

    def _count_buffered(self, size: int) -> None:
        self._pool.buffered_bytes += size - self._buffered_bytes
        self._buffered_bytes = size

    def _complete(self, raw: leaf_messages.RawAnswer, valid: bool) -> None:
        answer, on_answer = raw.answer, self._on_answer
        self._count_buffered(0)
        self._on_answer = self._on_failure = None
        if raw.idle_timeout_s is not None:
            self.idle_limit_ms = raw.idle_timeout_s * 1000
            self._pool.idle_limits_ms[self.address] = self.idle_limit_ms
        usable = raw.keep_alive and valid and not self._reader.in_answer
        usable = usable and not self._without_body
        if usable and self.keep:
            self._pool.release(self)
        else:
            self.close()
        if on_answer is not None:
            on_answer(answer)

    def _on_end(self, was_reset: bool) -> None:
        self._timer.cancel()
        self._pool.forget(self)
        if self._on_failure is None:
            return
        if not self._settled:
            turned_away = requests.AttemptEnd.TURNED_AWAY
            unreachable = requests.AttemptEnd.UNREACHABLE
            self._fail(turned_away if self._connected else unreachable)
            return
        raw = None if was_reset else self._reader.finish()
        if raw is not None and self._is_expected(raw):
            self._complete(raw, False)
        else:
            self._fail(requests.AttemptEnd.LOST)

    def _fail(self, end: requests.AttemptEnd) -> None:
        on_failure = self._on_failure
        self.close()
        if on_failure is not None:
            on_failure(end)


class LeafConnections:
    """A pool of connections to all leaves.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers that the gateway interprets.
    clock : Clock
        Source of time.
    answer_limits : AnswerLimits
        Largest answer that is read.
    idle_limit_ms : int
        Idle limit of connections to a server that does not send its idle timeout.

    Attributes
    ----------
    idle_limits_ms : dict
        Idle timeout of each leaf's connections, from its latest Keep-Alive header.
    opened : int
        Number of connections opened so far.
    buffered_bytes, buffer_limit_bytes : int
        Size of all incomplete answers, and its limit.
    """

    def __init__(
        self,
        names: header_names.HeaderNames,
        clock: clock_state.Clock,
        answer_limits: leaf_messages.AnswerLimits = leaf_messages.DEFAULT_ANSWER_LIMITS,
        idle_limit_ms: int = DEFAULT_IDLE_LIMIT_MS,
    ) -> None:
        self._names = names
        self.answer_limits = answer_limits
        self.idle_limit_ms = idle_limit_ms
        self._now_ms = clock.monotonic_ms
        self._idle: dict[str, list[LeafConnection]] = {}
        self.idle_limits_ms: dict[str, int] = {}
        self.opened = 0
        self.buffer_limit_bytes = BUFFER_LIMIT_BYTES
        self.buffered_bytes = 0

    def is_over_limit(self) -> bool:
        """Return whether the incomplete answers together take too much memory."""
        return self.buffered_bytes > self.buffer_limit_bytes

    def acquire(
        self,
        address: str,
        reuse: commands.Reuse,
        excluded: Collection[LeafConnection] = (),
    ) -> LeafConnection:
        """Return an idle connection to a leaf, or a new one.

        Parameters
        ----------
        reuse : Reuse
            Which idle connection may be returned.
        excluded : collection of LeafConnection
            Connections that may not be returned: those on which the same request was
            sent before. A late copy of its answer there has the request's id as well.
        """
        now_ms = self._now_ms()
        idle = self._idle.get(address, [])
        position = 0 if reuse is commands.Reuse.NONE else len(idle)
        while position:
            position -= 1
            connection = idle[position]
            if connection in excluded:
                continue
            del idle[position]
            if connection.closed:
                continue
            maximum_idle_ms = connection.idle_limit_ms - IDLE_MARGIN_MS
            if reuse is commands.Reuse.RECENT:
                maximum_idle_ms = min(MAXIMUM_RECENT_IDLE_MS, maximum_idle_ms)
            if now_ms - connection.idle_since_ms <= maximum_idle_ms:
                return connection
            connection.close()
        self.opened += 1
        return LeafConnection(address, self._names, self)

    def preconnect(self, address: str) -> None:
        """Open a connection to a leaf unless the pool has an idle one."""
        if not self._idle.get(address):
            self.opened += 1
            self.release(LeafConnection(address, self._names, self))

    def release(self, connection: LeafConnection) -> None:
        """Return a connection to the pool for the next request."""
        connection.idle_since_ms = self._now_ms()
        self._idle.setdefault(connection.address, []).append(connection)

    def forget(self, connection: LeafConnection) -> None:
        """Remove a closed connection from the pool."""
        idle = self._idle.get(connection.address)
        if idle and connection in idle:
            idle.remove(connection)

    def close_expired(self) -> None:
        """Close connections before they reach their leaf's idle timeout."""
        now_ms = self._now_ms()
        for connections in list(self._idle.values()):
            for connection in list(connections):
                idle_ms = now_ms - connection.idle_since_ms
                if idle_ms > connection.idle_limit_ms - IDLE_MARGIN_MS:
                    connection.close()
