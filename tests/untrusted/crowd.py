"""Drives many client connections of one kind against one address."""

import selectors
import socket
import time
from collections.abc import Callable, Iterator
from typing import Final, NamedTuple

# Endless clients are stopped after this time.
DRIVE_S: Final = 5.0
_READ_BYTES: Final = 65_536
_SMALL_BUFFER_BYTES: Final = 4_096


class Kind(NamedTuple):
    """Clients of one kind.

    Attributes
    ----------
    count : int
        Number of concurrent connections.
    pieces : callable
        Returns what one client sends, one piece after the other.
    reads : bool
        Whether the clients read their answers.
    """

    count: int
    pieces: Callable[[], Iterator[bytes]]
    reads: bool = True


class _Client:
    """One connection; what it has sent is taken from `pieces`."""

    def __init__(self, address: tuple[str, int], kind: Kind) -> None:
        self.socket = socket.socket()
        self.reads = kind.reads
        self._pieces = kind.pieces()
        self._unsent = memoryview(b"")
        if not kind.reads:
            buffer = socket.SO_RCVBUF
            self.socket.setsockopt(socket.SOL_SOCKET, buffer, _SMALL_BUFFER_BYTES)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.socket.setblocking(False)
        self.socket.connect_ex(address)

    def send(self) -> bool:
        """Send the next piece; return whether there may be more to send."""
        if not self._unsent:
            piece = next(self._pieces, None)
            if piece is None:
                return False
            self._unsent = memoryview(piece)
        try:
            sent = self.socket.send(self._unsent)
        except BlockingIOError:
            return True
        self._unsent = self._unsent[sent:]
        return True

    def receive(self) -> bool:
        """Discard what has come; return whether the connection is still open."""
        try:
            return bool(self.socket.recv(_READ_BYTES))
        except BlockingIOError:
            return True


class Crowd:
    """Open connections of several kinds; they stay open until `close`.

    Parameters
    ----------
    address : tuple
        IP and port.
    kinds : Kind
        The clients.
    """

    def __init__(self, address: tuple[str, int], *kinds: Kind) -> None:
        self._selector = selectors.DefaultSelector()
        self._clients = [
            _Client(address, kind) for kind in kinds for _ in range(kind.count)
        ]
        self._sending = set(self._clients)
        for client in self._clients:
            events = selectors.EVENT_WRITE
            if client.reads:
                events |= selectors.EVENT_READ
            self._selector.register(client.socket, events, client)

    def drive(self, observe: Callable[[], None]) -> None:
        """Send until all is sent or refused, and for `DRIVE_S` at most.

        Parameters
        ----------
        observe : callable
            Called again and again meanwhile.
        """
        end_s = time.monotonic() + DRIVE_S
        while self._sending and time.monotonic() < end_s:
            for key, events in self._selector.select(0.05):
                self._handle(key.data, events)
            observe()

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.socket.close()
        self._selector.close()

    def _handle(self, client: _Client, events: int) -> None:
        try:
            if events & selectors.EVENT_READ and not client.receive():
                raise ConnectionResetError
            if events & selectors.EVENT_WRITE and not client.send():
                self._sending.discard(client)
                if client.reads:
                    self._selector.modify(client.socket, selectors.EVENT_READ, client)
                else:
                    self._selector.unregister(client.socket)
        except OSError:
            self._sending.discard(client)
            self._selector.unregister(client.socket)
            client.socket.close()
