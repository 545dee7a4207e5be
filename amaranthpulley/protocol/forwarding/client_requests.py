"""Strict parser of client requests: requests with ambiguous framing are rejected."""

import hashlib
import http
from collections.abc import Callable
from typing import Final, NamedTuple

import httptools

from amaranthpulley.protocol.forwarding import errors, header_names, key_digests
from amaranthpulley.state.forwarding import delegations, requests, routes

MAXIMUM_PIPELINED_REQUESTS: Final = 16
HEAD: Final = b"HEAD"
_CONNECT: Final = b"CONNECT"
_FINGERPRINT_BYTES: Final = 8


class ClientRequest(NamedTuple):
    """A complete client request.

    Attributes
    ----------
    method : bytes
        The method.
    target : bytes
        Path and query, not decoded.
    headers : list of (bytes, bytes)
        All headers in the order received, without trailers.
    body : bytes
        The body without chunk framing.
    keep_alive : bool
        Whether the connection may be reused.
    trailers : tuple of (bytes, bytes)
        Fields after a chunked body.
    """

    method: bytes
    target: bytes
    headers: header_names.Headers
    body: bytes
    keep_alive: bool
    trailers: tuple[tuple[bytes, bytes], ...] = ()

    def first(self, name: bytes) -> bytes | None:
        """Return the first value of a header, whose name is given in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None


def host_of(request: ClientRequest) -> str:
    """Return the host of a request in lower case, without its port."""
    host = (request.first(header_names.HOST) or b"").decode("latin-1").lower()
    return host.partition(":")[0]


def incoming_of(
    request: ClientRequest,
    names: header_names.HeaderNames,
    key: int,
    origin: delegations.Origin | None,
) -> requests.IncomingRequest:
    """Return the parts of a request that decisions depend on.

    Parameters
    ----------
    key : int
        Number of the request, unique in this process.
    origin : Origin or None
        Set when another daemon accepted the request.
    """
    deadline = request.first(names.deadline_ms)
    return requests.IncomingRequest(
        key,
        (request.first(names.request_id) or b"").decode("latin-1"),
        host_of(request),
        request.target.partition(b"?")[0].decode("latin-1"),
        fingerprints_of(request),
        int(deadline) if deadline is not None and deadline.isdigit() else None,
        origin,
        key_digest_of(request, names.key),
    )


def with_trailers(request: ClientRequest) -> ClientRequest:
    """Return a request whose trailers are headers.

    They are forwarded like this where there are no client accounts.
    """
    if not request.trailers:
        return request
    return request._replace(headers=[*request.headers, *request.trailers])


def key_digest_of(request: ClientRequest, name: bytes) -> bytes | None:
    """Return the digest of a request's key; None for no key, or several ones.

    Parameters
    ----------
    name : bytes
        Name of the header with the key, in lower case.
    """
    size = len(name)
    keys = {
        value.strip()
        for key, value in request.headers
        if len(key) == size and key.lower() == name
    }
    if len(keys) != 1:
        return None
    key = keys.pop()
    return key_digests.digest_of(key) if key else None


def fingerprints_of(request: ClientRequest) -> tuple[int, ...]:
    """Return hashes of what a request asks for, the same at every daemon.

    The first one covers the method, host, path, query and body, the second one all but
    the query, if there is one. No identifier is covered, so that a repeated request has
    the fingerprints of the first.
    """
    path, _, query = request.target.partition(b"?")
    whole = _fingerprint(request, path, query)
    return (whole, _fingerprint(request, path, b"")) if query else (whole,)


def _fingerprint(request: ClientRequest, path: bytes, query: bytes) -> int:
    digest = hashlib.blake2b(digest_size=_FINGERPRINT_BYTES)
    host = host_of(request).encode("latin-1")
    for part in (request.method, host, path, query, request.body):
        digest.update(b"%d:" % len(part))
        digest.update(part)
    return int.from_bytes(digest.digest())


class RequestReader:
    """Incremental parser of the requests of one connection.

    Parameters
    ----------
    limits : callable
        Returns the limits in force. The limit of a body is taken when its head is
        complete, so that a change does not end a body that is being received.
    """

    def __init__(self, limits: Callable[[], routes.ClientLimits]) -> None:
        self._limits = limits
        self._body_bytes = 0
        self._parser = httptools.HttpRequestParser(self)
        self._requests: list[ClientRequest] = []
        self._error: errors.BadRequestError | None = None
        self._started = False
        self._expects_continue = False
        self._reset()

    @property
    def in_request(self) -> bool:
        """Whether a request has been received in part."""
        return self._started

    @property
    def method(self) -> bytes:
        """Method of the request that is being received; empty until it is known."""
        return self._method

    @property
    def error(self) -> errors.BadRequestError | None:
        """The error in the bytes after the last complete request, if there is one."""
        return self._error

    def pop_expect_continue(self) -> bool:
        """Return once whether the client waits for ``100 Continue``."""
        expected, self._expects_continue = self._expects_continue, False
        return expected and self._started

    def feed(self, data: bytes) -> list[ClientRequest]:
        """Parse bytes and return the requests that they complete.

        Requests that are complete before an error are returned; the next call raises.

        Raises
        ------
        BadRequestError
            When the bytes are not a valid request, or a request is too large.
        """
        while data:
            self._started = True
            data = self._parse(data)
        completed, self._requests = self._requests, []
        if self._error is not None and not completed:
            raise self._error
        return completed

    def _parse(self, data: bytes) -> bytes:
        """Parse bytes; return those after a request that offers another protocol."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as offer:
            # The offer is declined: the client goes on with the same protocol.
            self._parser = httptools.HttpRequestParser(self)
            return data[offer.args[0] :]
        except httptools.HttpParserError as error:
            if self._error is None:
                self._error = errors.BadRequestError(http.HTTPStatus.BAD_REQUEST)
                self._error.__cause__ = error
        return b""

    def on_message_begin(self) -> None:
        """Handle the parser's callback."""
        self._reset()
        self._started = True

    def on_url(self, part: bytes) -> None:
        """Handle the parser's callback."""
        self._method = self._parser.get_method()
        self._target += part
        self._count_head(len(part))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle the parser's callback."""
        fields = self._trailers if self._has_head else self._headers
        fields.append((name, value))
        self._count_head(len(name) + len(value) + 4)

    def on_headers_complete(self) -> None:
        """Handle the parser's callback."""
        self._has_head = True
        self._body_bytes = self._limits().body_bytes
        host_count = 0
        has_body = False
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == header_names.HOST:
                host_count += 1
            elif lowered == b"expect" and value.lower() == b"100-continue":
                self._expects_continue = True
            elif lowered == header_names.TRANSFER_ENCODING:
                has_body = True
            elif lowered == header_names.CONTENT_LENGTH:
                has_body = int(value) > 0
                if int(value) > self._body_bytes:
                    self._fail(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)
        if host_count != 1 or self._method == _CONNECT:
            self._fail(http.HTTPStatus.BAD_REQUEST)
        if has_body and self._parser.should_upgrade():
            # The parser ends such a request after its head.
            self._fail(http.HTTPStatus.BAD_REQUEST)

    def on_body(self, part: bytes) -> None:
        """Handle the parser's callback."""
        self._body.append(part)
        self._body_size += len(part)
        if self._body_size > self._body_bytes:
            self._fail(http.HTTPStatus.REQUEST_ENTITY_TOO_LARGE)

    def on_message_complete(self) -> None:
        """Handle the parser's callback."""
        request = ClientRequest(
            self._parser.get_method(),
            self._target,
            self._headers,
            b"".join(self._body),
            self._parser.should_keep_alive(),
            tuple(self._trailers),
        )
        self._requests.append(request)
        self._started = False
        if len(self._requests) > MAXIMUM_PIPELINED_REQUESTS:
            self._fail(http.HTTPStatus.BAD_REQUEST)

    def _reset(self) -> None:
        self._method = b""
        self._target = b""
        self._headers: header_names.Headers = []
        self._trailers: header_names.Headers = []
        self._has_head = False
        self._body: list[bytes] = []
        self._body_size = 0
        self._head_size = 0

    def _count_head(self, size: int) -> None:
        self._head_size += size
        if self._head_size > self._limits().header_bytes:
            self._fail(http.HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE)

    def _fail(self, status: http.HTTPStatus) -> None:
        if self._error is None:
            self._error = errors.BadRequestError(status)
        raise self._error
