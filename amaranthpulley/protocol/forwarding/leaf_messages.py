"""Encoding of requests to leaves, and parsing of their answers."""

import math
import re
from typing import Final, NamedTuple

import httptools

from amaranthpulley.protocol.forwarding import client_requests, header_names
from amaranthpulley.state.forwarding import leaves, requests

_FIRST_FINAL_STATUS: Final = 200
_BODYLESS_STATUSES: Final = frozenset({204, 304})
# Bytes of a chunked answer, framing included, per byte of the body limit.
MAXIMUM_RAW_RATIO: Final = 2
# Colon, space and line end of a header line.
_HEADER_SEPARATORS_BYTES: Final = 4
# Statuses with which a leaf that is busy turns a request away.
_REJECTING_STATUSES: Final = frozenset({429, 503})
# Longer pauses count as this long.
LONGEST_PAUSE_MS: Final = 3_600_000
# The value with which a leaf says that it leaves; others are ignored.
_LEAVING: Final = b"1"
# Figures of a load; longer ones are invalid.
_FIGURE: Final = re.compile(rb"\d{1,9}")
# The fourth figure of a load for a machine on which work takes the usual time.
USUAL_PERCENT: Final = 100
_EMPTY_LOAD: Final = leaves.Load(None, None, None)
# A decimal number without a sign, an exponent or a special value.
_DECIMAL: Final = re.compile(rb"\d{1,12}(\.\d{0,12})?")


class AnswerLimits(NamedTuple):
    """Largest answer that is read from a leaf.

    The configuration limits requests only, so these are fixed: a head of four times
    the usual limit of requests, and a body that fits the smallest VM many times.

    Attributes
    ----------
    head_bytes, head_lines : int
        Size and number of the header and trailer lines.
    interim_answers : int
        Interim answers before the final one.
    body_bytes : int
        Size of the body without chunk framing.
    """

    head_bytes: int = 65_536
    head_lines: int = 256
    interim_answers: int = 16
    body_bytes: int = 4_194_304


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
    request: client_requests.ClientRequest,
    names: header_names.HeaderNames,
    hides_key: bool = False,
) -> bytes:
    """Return the part of a request's head that does not depend on the leaf.

    Parameters
    ----------
    hides_key : bool
        Whether the client's headers with its key and account are left out.
    """
    replaced = {names.deadline_ms, names.wanted_leaf}
    if hides_key:
        replaced |= _spellings(names.key) | _spellings(names.account)
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
    account: str | None = None,
) -> bytes:
    """Return a complete request to one leaf.

    Parameters
    ----------
    account : str or None
        Name of the client account, which the leaf is told; may be empty.
    """
    line = b"%b: %b\r\n" % (names.account, account.encode()) if account else b""
    return b"%b%b: %d\r\n%b: %b\r\n%b\r\n%b" % (
        head,
        names.deadline_ms,
        budget_ms,
        names.wanted_leaf,
        leaf_id.encode(),
        line,
        body,
    )


def _spellings(name: bytes) -> set[bytes]:
    """Return a header's name and the one that WSGI and CGI programs take for it."""
    return {name, name.replace(b"-", b"_")}


def encode_health_request(address: str, path: str) -> bytes:
    """Return a health check request."""
    return f"GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n".encode()


DEFAULT_ANSWER_LIMITS: Final = AnswerLimits()


class AnswerReader:
    """Incremental parser of the answers on one connection to a leaf.

    Parameters
    ----------
    names : HeaderNames
        Names of the headers that the gateway interprets.
    limits : AnswerLimits
        Largest answer that is read.

    Attributes
    ----------
    interim_total : int
        Number of interim answers on the connection so far.
    """

    def __init__(
        self,
        names: header_names.HeaderNames,
        limits: AnswerLimits = DEFAULT_ANSWER_LIMITS,
    ) -> None:
        self._names = names
        self._limits = limits
        self._oversized = False
        self._interim_count = 0
        self.interim_total = 0
        # Bytes since the parser last called back: an incomplete line.
        self._line_bytes = 0
        # Bytes of the current answer with its framing.
        self._raw_bytes = 0
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

    @property
    def oversized(self) -> bool:
        """Whether an answer exceeded the limits; no more bytes may be fed."""
        return self._oversized

    @property
    def buffered_bytes(self) -> int:
        """Size of the incomplete answer in memory."""
        if not self._started:
            return 0
        return self._head_bytes + self._body_bytes + self._line_bytes

    def expect(self, without_body: bool) -> None:
        """Prepare for the answer to the next request."""
        self._without_body = without_body

    def feed(self, data: bytes) -> tuple[list[RawAnswer], bool]:
        """Return the answers that these bytes complete, and whether all were valid.

        After invalid bytes, also those that follow a complete answer, the connection
        cannot be reused.
        """
        valid = True
        self._line_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_raw_size(len(data))
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError):
            valid = False
        valid = valid and not self._oversized
        completed, self._answers = self._answers, []
        return completed, valid

    def finish(self) -> RawAnswer | None:
        """Return the answer that is terminated by the connection's end, if any."""
        if not self._started or not self._has_head or self._has_framing:
            return None
        if self._oversized:
            return None
        self.on_message_complete()
        return self._answers.pop()._replace(keep_alive=False)

    def on_message_begin(self) -> None:
        """Handle the parser's callback."""
        self._reset()
        self._started = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle the parser's callback."""
        self._line_bytes = 0
        self._head_bytes += len(name) + len(value) + _HEADER_SEPARATORS_BYTES
        self._head_lines += 1
        if (
            self._head_bytes > self._limits.head_bytes
            or self._head_lines > self._limits.head_lines
        ):
            self._fail_oversized()
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Handle the parser's callback."""
        self._has_head = True
        self._line_bytes = 0
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
        self._line_bytes = 0
        self._body_bytes += len(part)
        if self._body_bytes > self._limits.body_bytes:
            self._fail_oversized()
        self._body += part

    def on_message_complete(self) -> None:
        """Handle the parser's callback."""
        if not self._started:
            return
        self._started = False
        self._line_bytes = 0
        status = self._parser.get_status_code()
        if status >= _FIRST_FINAL_STATUS:
            self._interim_count = 0
            self._answers.append(self._build_answer(status))
            return
        self._interim_count += 1
        self.interim_total += 1
        if self._interim_count > self._limits.interim_answers:
            self._fail_oversized()

    def _build_answer(self, status: int) -> RawAnswer:
        names = self._names
        first_values: dict[bytes, bytes] = {}
        for name, value in self._headers:
            first_values.setdefault(name.lower(), value)
        answer = requests.LeafAnswer(
            status,
            tuple(self._headers),
            bytes(self._body),
            first_values.get(names.signature, b""),
            names.not_run in first_values or status == 421,
            header_names.CONTENT_ENCODING in first_values,
            _parse_load(first_values.get(names.load)),
            self._demands(status, first_values),
        )
        idle_timeout_s = _parse_idle_timeout(first_values.get(b"keep-alive"))
        keep_alive = self._has_framing and self._parser.should_keep_alive()
        request_id = first_values.get(names.request_id, b"")
        return RawAnswer(request_id, answer, keep_alive, idle_timeout_s)

    def _demands(
        self, status: int, first_values: dict[bytes, bytes]
    ) -> requests.LeafDemands:
        names = self._names
        asks_pause = status in _REJECTING_STATUSES and names.retry_after in first_values
        if not (
            asks_pause or names.limit in first_values or names.leaving in first_values
        ):
            return requests.NO_DEMANDS
        leaving = [value.strip() for value in self._values_of(names.leaving)]
        return requests.LeafDemands(
            _parse_limit(self._values_of(names.limit)),
            _LEAVING in leaving,
            _parse_pause_ms(self._values_of(names.retry_after)) if asks_pause else None,
        )

    def _values_of(self, wanted: bytes) -> list[bytes]:
        """Return all values of a header, also those that stand in one line."""
        values = [value for name, value in self._headers if name.lower() == wanted]
        return b",".join(values).split(b",")

    def _check_raw_size(self, size: int) -> None:
        """Limit an incomplete line, and the chunk framing beside the body."""
        self._raw_bytes += size
        if not self._started:
            self._raw_bytes = 0
        limits = self._limits
        raw_limit_bytes = limits.head_bytes + MAXIMUM_RAW_RATIO * limits.body_bytes
        if self._line_bytes > limits.head_bytes or self._raw_bytes > raw_limit_bytes:
            self._oversized = True

    def _fail_oversized(self) -> None:
        self._oversized = True
        # The parser stops and reports the error to `feed`.
        raise ValueError("the answer exceeds the limits")

    def _reset(self) -> None:
        self._headers: header_names.Headers = []
        self._body = bytearray()
        self._head_bytes = 0
        self._head_lines = 0
        self._body_bytes = 0
        self._has_head = False
        self._has_framing = False


def _parse_load(value: bytes | None) -> leaves.Load | None:
    """Return the load of a header with three or four figures.

    Invalid figures are ignored one by one. With another number of figures it is not
    known which is which, so the whole header is ignored.
    """
    parts = [] if value is None else value.split(b",")
    if len(parts) not in (3, 4):
        return None
    running, waiting, slots, *rest = (_parse_figure(part) for part in parts)
    percent = rest[0] if rest else None
    slowness = percent / USUAL_PERCENT if percent else None
    load = leaves.Load(running, waiting, slots or None, slowness)
    return None if load == _EMPTY_LOAD else load


def _parse_figure(part: bytes) -> int | None:
    return int(part) if _FIGURE.fullmatch(part.strip()) else None


def _parse_idle_timeout(value: bytes | None) -> int | None:
    if value is None:
        return None
    for part in value.split(b","):
        name, _, number = part.strip().partition(b"=")
        if name.lower() == b"timeout" and number.isdigit():
            return int(number)
    return None


def _parse_limit(values: list[bytes]) -> float | None:
    """Return the smallest limit; values that are no decimal number are ignored."""
    limits = [float(value) for value in values if _DECIMAL.fullmatch(value.strip())]
    return min(limits, default=None)


def _parse_pause_ms(values: list[bytes]) -> int | None:
    """Return the longest pause; None if no value is a positive number of seconds.

    A date is no number of seconds, and is ignored as well.
    """
    pauses = [float(value) for value in values if _DECIMAL.fullmatch(value.strip())]
    longest_ms = min(LONGEST_PAUSE_MS, math.ceil(1000 * max(pauses, default=0.0)))
    return longest_ms or None
