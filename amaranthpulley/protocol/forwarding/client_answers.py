"""Encoding of answers to clients: forwarded, merged, and the daemon's own."""

import http
from typing import Final

from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.protocol.forwarding import header_names
from amaranthpulley.state.forwarding import requests

CONTINUE: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
_REASON_PHRASES: Final = {
    status.value: status.phrase.encode() for status in http.HTTPStatus
}
_BODYLESS_STATUSES: Final = frozenset({204, 304})

# A status that means "not run" is used only where that is certain.
_STATUSES: Final = {
    commands.Refusal.NO_CONFIGURATION: 503,
    commands.Refusal.NO_ROUTE: 404,
    commands.Refusal.NO_LEAF: 503,
    commands.Refusal.NO_REGION: 503,
    commands.Refusal.UNAUTHORIZED: 401,
    commands.Refusal.OVERLOADED: 503,
    commands.Refusal.CRASHES_LEAVES: 503,
    commands.Refusal.TIMED_OUT: 504,
    commands.Refusal.TOO_FEW_SHARDS: 502,
    commands.Refusal.OUTCOME_UNKNOWN: 502,
    commands.Refusal.OTHER_VERSION: 503,
    commands.Refusal.DRAINING: 503,
    commands.Refusal.OVER_QUOTA: 429,
}
_BAD_GATEWAY: Final = 502
_STATUSES_WITH_RETURN: Final = frozenset({429, 503})
_UNAUTHORIZED: Final = 401


def without_body(answer: bytes) -> bytes:
    """Return an encoded answer as it is sent to a HEAD request."""
    head, end, _ = answer.partition(b"\r\n\r\n")
    return head + end


def encode_forwarded(answer: requests.LeafAnswer, closes: bool, is_head: bool) -> bytes:
    """Return a leaf's answer as it is sent to the client.

    The length of the body that a HEAD request asks about is not known.
    """
    lines = [_status_line(answer.status)]
    forwarded = header_names.end_to_end(answer.headers)
    lines += [b"%b: %b\r\n" % header for header in forwarded]
    if answer.status not in _BODYLESS_STATUSES and not is_head:
        lines.append(b"Content-Length: %d\r\n" % len(answer.body))
    if closes:
        lines.append(b"Connection: close\r\n")
    lines += [b"\r\n", answer.body]
    return b"".join(lines)


def encode_merged(
    merged: commands.SendMerged,
    request_id: bytes,
    names: header_names.HeaderNames,
    closes: bool,
    is_head: bool,
) -> bytes:
    """Return the answer that merges the records of several shards."""
    length = b"" if is_head else b"Content-Length: %d\r\n" % len(merged.body)
    head = b"HTTP/1.1 200 OK\r\n%b: %b\r\n%b: %b\r\n%b: %d\r\n%b%b\r\n"
    return (
        head
        % (
            names.request_id,
            request_id,
            names.part_signatures,
            b", ".join(merged.signatures),
            names.missing_parts,
            merged.missing,
            length,
            b"Connection: close\r\n" if closes else b"",
        )
        + merged.body
    )


def status_of(refusal: commands.Refuse) -> int:
    """Return the HTTP status of a refusal.

    A 429 or 503, which means "not run", becomes 502 when that is not certain; a 502
    becomes 503 when it is.
    """
    status = _STATUSES[refusal.reason]
    if status in _STATUSES_WITH_RETURN and not refusal.not_run:
        return _BAD_GATEWAY
    if refusal.not_run and status == _BAD_GATEWAY:
        return 503
    return status


def encode_refusal(
    refusal: commands.Refuse,
    request_id: bytes,
    names: header_names.HeaderNames,
    closes: bool,
) -> bytes:
    """Return the answer to a refused request."""
    status = status_of(refusal)
    extra = b""
    if request_id:
        extra = b"%b: %b\r\n" % (names.request_id, request_id)
    if refusal.retry_after_ms and status in _STATUSES_WITH_RETURN:
        seconds = refusal.retry_after_ms / 1000
        extra += b"%b: %.3f\r\n" % (names.retry_after, seconds)
    if status == _UNAUTHORIZED:
        # HTTP asks for a challenge; the scheme is our own, since the key has a header.
        extra += b'WWW-Authenticate: ApiKey header="%b"\r\n' % names.key
    if refusal.reason is commands.Refusal.DRAINING:
        # Only other daemons get this refusal.
        extra += b"%b: 1\r\n" % names.leaving
    return encode_status(status, refusal.reason.value, closes, extra)


def encode_status(status: int, reason: str, closes: bool, extra: bytes = b"") -> bytes:
    """Return an answer that the daemon creates itself.

    Parameters
    ----------
    reason : str
        Short name of the reason, for the body.
    extra : bytes
        Additional header lines.
    """
    body = b'{"code":"%b"}\n' % reason.encode()
    return b"%bContent-Type: application/json\r\nContent-Length: %d\r\n%b%b\r\n%b" % (
        _status_line(status),
        len(body),
        extra,
        b"Connection: close\r\n" if closes else b"",
        body,
    )


def _status_line(status: int) -> bytes:
    return b"HTTP/1.1 %d %b\r\n" % (status, _REASON_PHRASES.get(status, b""))
