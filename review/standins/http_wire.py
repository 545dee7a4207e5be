"""A minimal HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import Final, NamedTuple

_LIMIT_BYTES: Final = 4_194_304


class Message(NamedTuple):
    """A request or an answer.

    Attributes
    ----------
    start : str
        The request line or the status line.
    headers : dict
        Values by lower-case name.
    """

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ")[1])


class Connection:
    """A connection that a server has accepted."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader, self.writer = reader, writer
        # Bytes in both directions are lost from now on, without a reset.
        self.silent = False
        # Sent before the next answer: a copy of an earlier one.
        self.late_copy = b""

    def send(self, data: bytes) -> None:
        """Send bytes, unless the connection is silent or closed."""
        if not self.silent and not self.writer.is_closing():
            self.writer.write(data)


OnRequest = Callable[[Connection, Message], Awaitable[bool]]


class Server:
    """Accepts connections and passes their requests on, one after the other.

    Parameters
    ----------
    on_request : callable
        Answers a request; returns False to close the connection.
    """

    def __init__(self, on_request: OnRequest) -> None:
        self._on_request = on_request
        self._server: asyncio.Server | None = None
        self.connections: set[Connection] = set()
        self.address = ""

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen on a loopback address."""
        self._server = await asyncio.start_server(
            self._serve, ip, port, limit=_LIMIT_BYTES
        )
        host, used = self._server.sockets[0].getsockname()
        self.address = f"{host}:{used}"

    def crash(self) -> None:
        """Stop listening and drop all connections, as a killed process does."""
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = Connection(reader, writer)
        self.connections.add(connection)
        try:
            while (message := await read_message(reader)) is not None:
                if connection.silent:
                    continue
                if not await self._on_request(connection, message):
                    break
                if not connection.silent:
                    await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.connections.discard(connection)
            writer.close()


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    start, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Message(start, headers, body)


def encode(start: str, headers: dict[str, str], body: bytes) -> bytes:
    """Return the bytes of a message."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class Client:
    """A client's connection to one daemon; it is opened again where needed."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def request(
        self,
        start: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 5.0,
    ) -> Message | str:
        """Send a request; return its answer, or the name of the failure."""
        try:
            async with asyncio.timeout(timeout_s):
                return await self._exchange(encode(start, headers, body))
        except (OSError, TimeoutError) as error:
            self.close()
            return type(error).__name__

    async def _exchange(self, data: bytes) -> Message | str:
        if self._reader is None or self._reader.at_eof():
            self.close()
            self._reader, self._writer = await asyncio.open_connection(
                self._host, self._port
            )
        self._writer.write(data)
        message = await read_message(self._reader)
        if message is None:
            self.close()
            return "ConnectionClosed"
        if message.headers.get("connection", "").lower() == "close":
            self.close()
        return message

    def close(self) -> None:
        """Close the connection."""
        if self._writer is not None:
            with contextlib.suppress(OSError):
                self._writer.close()
        self._reader = self._writer = None
