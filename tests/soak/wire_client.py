"""A client of raw bytes: it sees whatever comes on its connection, as it comes."""

import re
import select
import socket
import time
from typing import Final, NamedTuple

_STATUS_LINE: Final = re.compile(rb"HTTP/1\.1 (\d{3}) [^\r\n]*")
_READ_BYTES: Final = 65_536


class WireError(Exception):
    """Bytes that are no answer in the protocol."""


class EndedError(Exception):
    """The connection ended, or nothing came in time, before the answer was whole."""


class LostError(EndedError):
    """The server closed the connection while an answer was due."""


class Answer(NamedTuple):
    """An answer.

    Attributes
    ----------
    headers : dict
        Headers by name in lower case.
    """

    status: int
    headers: dict[str, str]
    body: bytes


class WireClient:
    """A connection that is kept open for many requests.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    """

    def __init__(self, address: str, timeout_s: float) -> None:
        host, port = address.rsplit(":", 1)
        self._timeout_s = timeout_s
        self._socket = socket.create_connection((host, int(port)), timeout_s)
        self._received = b""

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()

    def send(self, data: bytes) -> None:
        """Send bytes.

        Raises
        ------
        EndedError
            When the connection has ended.
        """
        try:
            self._socket.sendall(data)
        except OSError as error:
            raise EndedError(repr(error)) from error

    def surplus(self) -> bytes:
        """Return bytes that have come though no answer is due."""
        ready, _, _ = select.select([self._socket], [], [], 0)
        if ready and not self._received:
            try:
                self._received = self._socket.recv(_READ_BYTES)
            except OSError as error:
                raise EndedError(repr(error)) from error
            if not self._received:
                raise EndedError("closed while idle")
        return self._received

    def read_answer(self, method: str) -> Answer:
        """Read the answer to a request.

        Raises
        ------
        EndedError
            When the connection ends, or the time passes, before it is whole.
        WireError
            When the bytes are no answer.
        """
        end_s = time.monotonic() + self._timeout_s
        while b"\r\n\r\n" not in self._received:
            self._read_more(end_s)
        head, _, self._received = self._received.partition(b"\r\n\r\n")
        first, *lines = head.split(b"\r\n")
        matched = _STATUS_LINE.fullmatch(first)
        if matched is None:
            raise WireError(f"{first[:80]!r} in place of a status line")
        headers = {
            name.decode("latin-1").lower(): value.strip().decode("latin-1")
            for name, _, value in (line.partition(b":") for line in lines)
        }
        status = int(matched[1])
        length = int(headers.get("content-length", "0"))
        if method == "HEAD" or status in (204, 304):
            length = 0
        while len(self._received) < length:
            self._read_more(end_s)
        body, self._received = self._received[:length], self._received[length:]
        return Answer(status, headers, body)

    def _read_more(self, end_s: float) -> None:
        left_s = end_s - time.monotonic()
        if left_s <= 0:
            raise EndedError("no answer in time")
        self._socket.settimeout(left_s)
        try:
            data = self._socket.recv(_READ_BYTES)
        except OSError as error:
            raise EndedError(repr(error)) from error
        if not data:
            raise LostError("closed before the answer was whole")
        self._received += data
