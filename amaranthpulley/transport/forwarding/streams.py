"""Non-blocking TCP sockets with callbacks on the event loop.

A green thread per connection would need two context switches per message; a hub
listener calls a function instead.
"""

import collections
import errno
import itertools
import logging
import socket
from collections.abc import Callable, Sequence
from typing import Final

import eventlet.hubs
import eventlet.patcher

from amaranthpulley.transport import errors

_plain_socket: Final = eventlet.patcher.original("socket")
_READ_BYTES: Final = 65_536
# Buffers that are given to the kernel at once.
_SENT_BUFFERS: Final = 16
# The operation would block; it is repeated when the hub reports the socket as ready.
WOULD_BLOCK_ERRNOS: Final = frozenset({errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR})
# Without free descriptors, a listening socket stays readable: it is not looked at for
# this time.
ACCEPT_PAUSE_MS: Final = 250
_EXHAUSTED_ERRNOS: Final = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS})
_LOGGER: Final = logging.getLogger("amaranthpulley.streams")

OnData = Callable[[bytes], None]
OnEnd = Callable[[bool], None]
OnConnected = Callable[[], None]
OnSent = Callable[[], None]


def ignore(*_: object) -> None:
    """Do nothing; given to the hub in place of callbacks that resume a thread."""


class Stream:
    """A connected or connecting socket.

    Parameters
    ----------
    connection : socket
        A non-blocking socket that eventlet has not patched.
    on_data : callable
        Called with bytes as they arrive.
    on_end : callable
        Called once when the peer closed the connection or it failed, with True if it
        was reset or could not be opened.
    """

    def __init__(
        self, connection: socket.socket, on_data: OnData, on_end: OnEnd
    ) -> None:
        self._socket = connection
        self._on_data = on_data
        self._on_end = on_end
        # Not joined, so that a body that is sent to several leaves is held once.
        self._unsent: collections.deque[memoryview] = collections.deque()
        self._unsent_bytes = 0
        self._hub = eventlet.hubs.get_hub()
        self._reader: object | None = None
        self._writer: object | None = None
        self._on_connected: OnConnected | None = None
        self._on_sent: OnSent | None = None
        self._closed = False

    @property
    def closed(self) -> bool:
        """Whether either side has closed the connection."""
        return self._closed

    @property
    def unsent_bytes(self) -> int:
        """Number of bytes that the kernel has not accepted yet."""
        return self._unsent_bytes

    def start(self) -> None:
        """Start reading, or resume it."""
        if self._reader is None and not self._closed:
            self._reader = self._add_listener(self._hub.READ, self._read)

    def pause(self) -> None:
        """Stop reading; the end of the connection is not noticed meanwhile."""
        if self._reader is not None:
            self._hub.remove(self._reader)
            self._reader = None

    def await_connected(self, on_connected: OnConnected) -> None:
        """Call a function once the connection is open."""
        self._on_connected = on_connected
        self._writer = self._add_listener(self._hub.WRITE, self._finish_connecting)

    def read_pending(self) -> None:
        """Read what the kernel holds now instead of in a later turn of the loop."""
        if self._reader is not None:
            self._read(self._socket.fileno())

    def write(self, *parts: bytes) -> None:
        """Send bytes, or keep them until the kernel accepts them."""
        if self._closed:
            return
        if self._unsent or self._on_connected is not None:
            self._keep(parts, 0)
            return
        size = len(parts[0]) if len(parts) == 1 else sum(map(len, parts))
        sent = self._send(parts)
        if sent < size and not self._closed:
            self._keep(parts, sent)
            self._writer = self._add_listener(self._hub.WRITE, self._flush)

    def when_sent(self, on_sent: OnSent) -> None:
        """Call a function once the kernel has accepted all bytes, or now if it has."""
        if self._unsent and not self._closed:
            self._on_sent = on_sent
        else:
            on_sent()

    def close(self) -> None:
        """Close the connection; `on_end` is not called."""
        if self._closed:
            return
        self._closed = True
        for listener in (self._reader, self._writer):
            if listener is not None:
                self._hub.remove(listener)
        self._reader = self._writer = None
        self._unsent.clear()
        self._unsent_bytes = 0
        self._socket.close()

    def _add_listener(self, kind: str, callback: Callable[[int], None]) -> object:
        return self._hub.add(kind, self._socket.fileno(), callback, ignore, ignore)

    def _read(self, _fileno: int) -> None:
        if self._closed:
            return
        try:
            data = self._socket.recv(_READ_BYTES)
        except OSError as error:
            if error.errno not in WOULD_BLOCK_ERRNOS:
                self._end(True)
            return
        if not data:
            self._end(False)
            return
        try:
            self._on_data(data)
        except Exception:
            # An error in one connection must not stop the event loop.
            _LOGGER.exception("error while handling a connection's data")
            self._end(True)

    def _finish_connecting(self, _fileno: int) -> None:
        if self._closed or self._on_connected is None:
            return
        kind, option = _plain_socket.SOL_SOCKET, _plain_socket.SO_ERROR
        if self._socket.getsockopt(kind, option):
            self._end(True)
            return
        self._stop_writer()
        connected, self._on_connected = self._on_connected, None
        self.start()
        connected()
        if self._unsent and not self._closed:
            unsent = tuple(self._unsent)
            self._drop_unsent(self._unsent_bytes)
            self.write(*unsent)

    def _flush(self, _fileno: int) -> None:
        if self._closed:
            return
        sent = self._send(self._unsent)
        if self._closed:
            return
        self._drop_unsent(sent)
        if not self._unsent:
            self._stop_writer()
            on_sent, self._on_sent = self._on_sent, None
            if on_sent is not None:
                on_sent()

    def _keep(self, parts: Sequence[bytes], sent: int) -> None:
        """Keep parts, the first bytes of which have been sent."""
        self._unsent.extend(memoryview(part) for part in parts if part)
        self._unsent_bytes += sum(map(len, parts))
        self._drop_unsent(sent)

    def _drop_unsent(self, size: int) -> None:
        """Drop the first bytes of those that are kept."""
        self._unsent_bytes -= size
        while size:
            first = self._unsent.popleft()
            if len(first) > size:
                self._unsent.appendleft(first[size:])
                return
            size -= len(first)

    def _send(self, parts: Sequence[bytes | memoryview]) -> int:
        try:
            if len(parts) == 1:
                return self._socket.send(parts[0])
            return self._socket.sendmsg(itertools.islice(parts, _SENT_BUFFERS))
        except OSError as error:
            if error.errno not in WOULD_BLOCK_ERRNOS:
                self._end(True)
            return 0

    def _stop_writer(self) -> None:
        if self._writer is not None:
            self._hub.remove(self._writer)
            self._writer = None

    def _end(self, was_reset: bool) -> None:
        if self._closed:
            return
        self.close()
        # Deferred, because the error may occur while a command is being executed.
        self._hub.schedule_call_global(0, self._on_end, was_reset)


def connect(
    address: str, on_data: OnData, on_end: OnEnd, on_connected: OnConnected
) -> Stream:
    """Open a connection.

    Parameters
    ----------
    address : str
        ``IP:port``.
    """
    connection = _plain_socket.socket()
    connection.setblocking(False)
    _disable_nagle(connection)
    stream = Stream(connection, on_data, on_end)
    host, port = address.rsplit(":", 1)
    connection.connect_ex((host, int(port)))
    stream.await_connected(on_connected)
    return stream


def listen(address: str, on_accepted: Callable[[socket.socket], None]) -> "Listener":
    """Accept connections.

    Parameters
    ----------
    address : str
        ``IP:port``; port 0 selects a free port.

    Raises
    ------
    AddressInUseError
        When the address cannot be bound.
    """
    host, port = address.rsplit(":", 1)
    listener = _plain_socket.socket()
    listener.setsockopt(_plain_socket.SOL_SOCKET, _plain_socket.SO_REUSEADDR, 1)
    try:
        listener.bind((host, int(port)))
    except OSError as error:
        listener.close()
        raise address_in_use(address, error) from error
    listener.listen(1024)
    listener.setblocking(False)
    return Listener(listener, on_accepted)


def address_in_use(address: str, error: OSError) -> errors.AddressInUseError:
    """Return the error for an address that cannot be bound."""
    return errors.AddressInUseError(
        f"cannot listen on {address}: {error}; free the port or change the settings"
    )


class Listener:
    """A listening socket.

    Parameters
    ----------
    listener : socket
        A non-blocking listening socket that eventlet has not patched.
    on_accepted : callable
        Called with each new connection.
    """

    def __init__(
        self, listener: socket.socket, on_accepted: Callable[[socket.socket], None]
    ) -> None:
        self._socket = listener
        self._on_accepted = on_accepted
        self._hub = eventlet.hubs.get_hub()
        self._closed = False
        self._reader: object | None = None
        self._resume()

    @property
    def address(self) -> str:
        """The ``IP:port`` that it listens on."""
        host, port = self._socket.getsockname()[:2]
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop accepting connections, after those that are already established."""
        self._accept(self._socket.fileno())
        self._closed = True
        self._stop_reading()
        self._socket.close()

    def _resume(self) -> None:
        if not self._closed:
            self._reader = self._hub.add(
                self._hub.READ, self._socket.fileno(), self._accept, ignore, ignore
            )

    def _stop_reading(self) -> None:
        if self._reader is not None:
            self._hub.remove(self._reader)
            self._reader = None

    def _accept(self, _fileno: int) -> None:
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError as error:
                if error.errno not in WOULD_BLOCK_ERRNOS:
                    _LOGGER.warning("cannot accept a connection: %s", error)
                if error.errno in _EXHAUSTED_ERRNOS and self._reader is not None:
                    self._stop_reading()
                    delay_s = ACCEPT_PAUSE_MS / 1000
                    self._hub.schedule_call_global(delay_s, self._resume)
                return
            connection.setblocking(False)
            _disable_nagle(connection)
            self._on_accepted(connection)


def _disable_nagle(connection: socket.socket) -> None:
    connection.setsockopt(_plain_socket.IPPROTO_TCP, _plain_socket.TCP_NODELAY, 1)
