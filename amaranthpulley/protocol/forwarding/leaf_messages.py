"""Encoding of requests to leaves, and parsing of their answers."""

from typing import Final, NamedTuple

import httptools

from amaranthpulley.protocol.forwarding import client_requests, header_names
from amaranthpulley.state.forwarding import requests

_FIRST_FINAL_STATUS: Final = 200
_BODYLESS_STATUSES: Final = frozenset({204, 304})


class RawAnswer(NamedTuple):
    """A parsed answer of a leaf, with the fields that the connection uses.

    Attributes
    ----------
    request_id : bytes
        The request id in the answer; empty when there is none.
    answer : LeafAnswer
        The answer.
    keep_alive : bool
        Whether the connection may be reused.
    idle_timeout_s : int or None
        Idle timeout from the ``Keep-Alive`` header.
    """

    request_id: bytes
    answer: requests.LeafAnswer
    keep_alive: bool
    idle_timeout_s: int | None


def encode_request_head(
    request: client_requests.ClientRequest, names: header_names.HeaderNames
) -> bytes:
    """Return the part of a request's head that does not depend on the leaf."""
    replaced = (names.deadline_ms, names.wanted_leaf)
    lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
    for name, value in header_names.end_to_end(request.headers):
        lowered = name.lower()
        if lowered not in replaced and lowered != b"expect":
            lines.append(b"%b: %b\r\n" % (name, value))
    if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
        lines.append(b"Content-Length: %d\r\n" % len(request.body))
    return b"".join(lines)


def encode_request(
    head: bytes,
    body: bytes,
    names: header_names.HeaderNames,
    leaf_id: str,
    budget_ms: int,
) -> bytes:
    """Return a complete request to one leaf."""
    return b"%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
        head,
        names.deadline_ms,
        budget_ms,
        names.wanted_leaf,
        leaf_id.encode(),
        body,
    )


def encode_health_request(address: str, path: str) -> bytes:
    """Return a health check request."""
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


class AnswerReader:
    """Incremental parser of the answers on one connection to a leaf.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers that the gateway interprets.
    """

    def __init__(self, names: header_names.HeaderNames) -> None:
        self._names = names
        self._parser = httptools.HttpResponseParser(self)
        self._answers: list[RawAnswer] = []
        self._started = False
        self._has_head = False
        self._without_body = False
        self._reset()

    @property
    def in_answer(self) -> bool:
        """Whether an answer has been received in part."""
        return self._started

    def expect(self, without_body: bool) -> None:
        """Prepare for the answer to the next request."""
        self._without_body = without_body

    def feed(self, data: bytes) -> tuple[list[RawAnswer], bool]:
        """Return the answers that these bytes complete, and whether all were valid.

        After invalid bytes, also those that follow a complete answer, the connection
        cannot be reused.
        """
        valid = True
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError):
            valid = False
        completed, self._answers = self._answers, []
        return completed, valid

    def finish(self) -> RawAnswer | None:
        """Return the answer that is terminated by the connection's end, if any."""
        if not self._started or not self._has_head or self._has_framing:
            return None
        self.on_message_complete()
        return self._answers.pop()._replace(keep_alive=False)

    def on_message_begin(self) -> None:
        """Handle the parser's callback."""
        self._reset()
        self._started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle the parser's callback."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Handle the parser's callback."""
        self._has_head = True
        for name, value in self._headers:
            lowered = name.lower()
            if lowered == header_names.CONTENT_LENGTH:
                self._has_framing = True
            elif lowered == b"transfer-encoding":
                self._has_framing = value.lower().endswith(b"chunked")
        status = self._parser.get_status_code()
        if status < _FIRST_FINAL_STATUS or status in _BODYLESS_STATUSES:
            self._has_framing = True
        if self._without_body and status >= _FIRST_FINAL_STATUS:
            self.on_message_complete()
            self._without_body = False

    def on_body(self, part: bytes) -> None:
        """Handle the parser's callback."""
        self._body.append(part)

    def on_message_complete(self) -> None:
        """Handle the parser's callback."""
        if not self._started:
            return
        self._started = False
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS:
            self._answers.append(self._build_answer(status))

    def _build_answer(self, status: int) -> RawAnswer:
        names = self._names
        first_values: dict[bytes, bytes] = {}
        for name, value in self._headers:
            first_values.setdefault(name.lower(), value)
        answer = requests.LeafAnswer(
            status,
            tuple(self._headers),
            b"".join(self._body),
            first_values.get(names.signature, b""),
            names.not_run in first_values or status == 421,
            header_names.CONTENT_ENCODING in first_values,
            _parse_load(first_values.get(names.load)),
        )
        idle_timeout_s = _parse_idle_timeout(first_values.get(b"keep-alive"))
        keep_alive = self._has_framing and self._parser.should_keep_alive()
        request_id = first_values.get(names.request_id, b"")
        return RawAnswer(request_id, answer, keep_alive, idle_timeout_s)

    def _reset(self) -> None:
        self._headers: header_names.Headers = []
        self._body: list[bytes] = []
        self._has_head = False
        self._has_framing = False


def _parse_load(value: bytes | None) -> tuple[int, int, int] | None:
    if value is None:
        return None
    numbers = value.split(b",")
    if len(numbers) != 3 or not all(part.strip().isdigit() for part in numbers):
        return None
    running, waiting, slots = (int(part) for part in numbers)
    return running, waiting, slots


def _parse_idle_timeout(value: bytes | None) -> int | None:
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number)
    return None
