"""Reads and writes HTTP/1.1 messages on asyncio streams."""

import asyncio
from collections.abc import Mapping
from typing import NamedTuple


class Message(NamedTuple):
    """A request or an answer.

    Attributes
    ----------
    start : str
        The request line or status line.
    headers : dict
        Values by name in lower case; the last one of a name.
    body : bytes
        The body without chunk framing.
    names : tuple of str
        Names of all headers in lower case, repeated ones too.
    """

    start: str
    headers: dict[str, str]
    body: bytes
    names: tuple[str, ...]

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split(" ")[1])

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return a message without its body; None at the end of the connection.

    Raises
    ------
    asyncio.IncompleteReadError
        When the connection ends inside the head.
    """
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if not error.partial:
            return None
        raise
    start, *lines = raw.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.partition(":")[::2] for line in lines]
    headers = {name.lower(): value.strip() for name, value in pairs}
    return Message(start, headers, b"", tuple(name.lower() for name, _ in pairs))


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole message; None at the end of the connection.

    Raises
    ------
    asyncio.IncompleteReadError
        When the connection ends inside the message.
    """
    head = await read_head(reader)
    if head is None:
        return None
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        return head._replace(body=await _read_chunks(reader))
    size = int(head.headers.get("content-length", "0"))
    return head._replace(body=await reader.readexactly(size))


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    parts = []
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        part = await reader.readexactly(size + 2)
        if not size:
            return b"".join(parts)
        parts.append(part[:-2])


def encode(start: str, headers: Mapping[str, str], body: bytes = b"") -> bytes:
    """Return a message with a body of known length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    if body or not start.startswith("GET "):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
