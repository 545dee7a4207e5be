"""Connection pools for HTTP to targets, peers and the platform.

A connection differs from urllib3's own in two ways. Its check for a closed connection
does not switch green threads before each call, which took a fourteenth of the processor
time of a fan-out. And it requires a whole head of limited length: reading an endless
series of interim answers would not yield to the event loop.
"""

import http.client
import socket
from collections.abc import Mapping
from typing import BinaryIO, Final, NamedTuple

import eventlet
import urllib3
import urllib3.connection

MAXIMUM_HEAD_LINES: Final = 256
# Time past the deadline after which a call is cut off, whatever still arrives.
CUT_OFF_MS: Final = 50
_READ_BYTES: Final = 65_536


class Answer(NamedTuple):
    """A whole answer.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The body without chunk framing.
    headers : mapping
        The headers; names are compared without their case.
    """

    status: int
    body: bytes
    headers: Mapping[str, str]


class OversizedAnswerError(urllib3.exceptions.HTTPError):
    """An answer exceeds the limit of the call; its connection is closed."""


def connection_pool(
    address: str, maximum_idle: int
) -> urllib3.connectionpool.HTTPConnectionPool:
    """Return a pool of connections to one address.

    Parameters
    ----------
    address : str
        ``IP:port`` of the server.
    maximum_idle : int
        Number of idle connections that are kept open.
    """
    host, port = address.rsplit(":", 1)
    return _Pool(host, int(port), maxsize=maximum_idle)


def call(
    pool: urllib3.connectionpool.HTTPConnectionPool,
    method: str,
    target: str,
    timeout_ms: int,
    maximum_bytes: int,
    body: bytes | None = None,
    headers: Mapping[str, str] | None = None,
) -> Answer:
    """Send a request once and return the answer; only the green thread is blocked.

    Parameters
    ----------
    pool, method, target, body, headers
        Connections to the server, and the request.
    timeout_ms : int
        Time for the whole call.
    maximum_bytes : int
        Size limit of the answer's body.

    Raises
    ------
    HTTPError
        When the call failed, took too long, or its answer is too large.
    """
    seconds = max(timeout_ms, 1) / 1000
    late = urllib3.exceptions.ReadTimeoutError(pool, target, "the call took too long")
    # urllib3 limits the connect and each single read; this limits the whole call.
    with eventlet.Timeout(seconds + CUT_OFF_MS / 1000, late):
        response = pool.urlopen(
            method,
            target,
            body=body,
            headers=headers or {},
            timeout=urllib3.Timeout(total=seconds),
            redirect=False,
            retries=False,
            preload_content=False,
        )
        return _read_answer(response, maximum_bytes)


def _read_answer(response: urllib3.BaseHTTPResponse, maximum_bytes: int) -> Answer:
    body = _read_body(response, maximum_bytes)
    return Answer(response.status, body, response.headers)


def _read_body(response: urllib3.BaseHTTPResponse, maximum_bytes: int) -> bytes:
    received = bytearray()
    try:
        # One byte beyond the limit shows that it is exceeded; a server that sends tiny
        # chunks would take long to fill a larger read.
        wanted = min(_READ_BYTES, maximum_bytes + 1)
        while part := response.read(wanted, decode_content=False):
            received += part
            if len(received) > maximum_bytes:
                raise OversizedAnswerError(f"the answer is over {maximum_bytes} bytes")
            wanted = min(_READ_BYTES, maximum_bytes + 1 - len(received))
    except BaseException:
        response.close()
        raise
    response.release_conn()
    return bytes(received)


class _HeadLines:
    """The lines of an answer's head, interim answers included.

    Parameters
    ----------
    file : BinaryIO
        The file of the connection.
    """

    def __init__(self, file: BinaryIO) -> None:
        self._file = file
        self._count = 0

    def readline(self, limit: int) -> bytes:
        """Return the next line; raise an error where the head breaks off."""
        self._count += 1
        if self._count > MAXIMUM_HEAD_LINES:
            raise http.client.HTTPException("the answer's head is too long")
        line = self._file.readline(limit)
        if not line.endswith(b"\n") and len(line) < limit:
            # `http.client` would take the end of the connection for that of the head.
            raise http.client.RemoteDisconnected("the answer's head breaks off")
        return line

    def close(self) -> None:
        """Close the file of the connection."""
        self._file.close()


class _Response(http.client.HTTPResponse):
    """A response whose head is read to its end, but not without one."""

    def begin(self) -> None:
        """Read the head."""
        file = self.fp
        self.fp = _HeadLines(file)
        try:
            super().begin()
        finally:
            if self.fp is not None:
                self.fp = file


class _Connection(urllib3.connection.HTTPConnection):
    """A connection that checks whether it is closed without switching threads."""

    response_class = _Response

    @property
    def is_connected(self) -> bool:
        """Whether the connection is open and holds no unread data."""
        return self.sock is not None and not _is_readable(self.sock)


def _is_readable(connection: socket.socket) -> bool:
    # The system sockets below eventlet's are non-blocking, so `recv` returns at once.
    system_socket = getattr(connection, "fd", connection)
    try:
        system_socket.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return False
    except OSError:
        return True
    return True


class _Pool(urllib3.connectionpool.HTTPConnectionPool):
    """A pool of `_Connection`."""

    ConnectionCls = _Connection
