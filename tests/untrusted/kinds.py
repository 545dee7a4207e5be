"""The kinds of clients; sizes are relative to the limits of `site`."""

import itertools
from collections.abc import Callable, Iterator
from typing import Final

from amaranthpulley.platform.tests import wire_samples
from amaranthpulley.protocol.forwarding import relay_codec
from tests.untrusted import crowd, site

_BODY_BYTES: Final = site.BODY_LIMIT_BYTES - 144
_LARGE_CHUNK_BYTES: Final = 32_000
_SMALL_PIECE_BYTES: Final = 4_000
# Endless clients stop sending here, so that the test itself ends.
_ENDLESS_BYTES: Final = 16_000_000
_HOST: Final = b"Host: " + wire_samples.HOST.encode() + b"\r\n"
_DEADLINE: Final = b"X-Deadline-Ms: 2000\r\n"

Pieces = Callable[[], Iterator[bytes]]


def head(
    method: bytes = b"POST", path: bytes = b"/visit/1", extra: bytes = b""
) -> bytes:
    """Return the head of a request without the empty line at its end."""
    return b"%b %b HTTP/1.1\r\n%b%b%b" % (method, path, _HOST, _DEADLINE, extra)


def once(*pieces: bytes) -> Pieces:
    """Return a client that sends pieces and stays open."""
    return lambda: iter(pieces)


def endless(first: bytes, part: bytes) -> Pieces:
    """Return a client that goes on after its first piece."""

    def pieces() -> Iterator[bytes]:
        yield first
        yield from itertools.repeat(part, _ENDLESS_BYTES // len(part))

    return pieces


def chunked(start: bytes, chunk_bytes: int, size_bytes: int, batch: int) -> Pieces:
    """Return a client whose chunked body lacks its end.

    Parameters
    ----------
    batch : int
        Number of chunks in one piece.
    """
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"x" * chunk_bytes)
    piece = chunk * batch

    def pieces() -> Iterator[bytes]:
        yield start + b"Transfer-Encoding: chunked\r\n\r\n"
        yield from itertools.repeat(piece, size_bytes // (chunk_bytes * batch))

    return pieces


def sized(start: bytes, piece_bytes: int, missing_bytes: int) -> Pieces:
    """Return a client whose body has a length, in pieces, and lacks some bytes."""
    lines = b"Content-Length: %d\r\n\r\n" % _BODY_BYTES
    body = b"x" * (_BODY_BYTES - missing_bytes)

    def pieces() -> Iterator[bytes]:
        yield start + lines
        for position in range(0, len(body), piece_bytes):
            yield body[position : position + piece_bytes]

    return pieces


def pipelined(start: bytes, count: int) -> Pieces:
    """Return a client that sends whole requests with bodies without waiting."""
    whole = b"%bContent-Length: %d\r\n\r\n%b" % (start, _BODY_BYTES, b"x" * _BODY_BYTES)
    return lambda: itertools.repeat(whole, count)


def byte_by_byte(start: bytes, count: int) -> Pieces:
    """Return a client that sends single bytes of a head that does not end."""
    text = start + b"X-Slow: " + b"y" * count
    return lambda: (text[position : position + 1] for position in range(len(text)))


def many_headers(start: bytes) -> Pieces:
    """Return a client whose unfinished head has the shortest headers allowed."""
    return once(start + b"a:b\r\n" * 2_500)


HEAD: Final = head()
OVER_LIMIT: Final = once(HEAD + b"X-Large: " + b"y" * 2 * site.HEAD_LIMIT_BYTES)
ENDLESS_HEAD: Final = endless(HEAD + b"X-Large: ", b"y" * 64_000)
ENDLESS_TRAILER: Final = endless(
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Large: ", b"y" * 64_000
)
EMPTY_LINES: Final = endless(b"\r\n", b"\r\n" * 32_000)
LARGE_CHUNKS: Final = chunked(HEAD, _LARGE_CHUNK_BYTES, _BODY_BYTES, 1)
TINY_CHUNKS: Final = chunked(HEAD, 1, 43_000, 500)
WHOLE: Final = sized(HEAD, _BODY_BYTES, 8)
PIECES: Final = sized(HEAD, _SMALL_PIECE_BYTES, 8)
EXPECTING: Final = once(
    HEAD + b"Expect: 100-continue\r\nContent-Length: %d\r\n\r\n" % _BODY_BYTES
)


def mixture(start: bytes) -> tuple[crowd.Kind, ...]:
    """Return some clients of every kind, whose requests begin with `start`."""
    large = b"X-Large: "
    asking = start.replace(b"POST", b"GET", 1) + b"\r\n"
    return (
        crowd.Kind(20, once(start + large + b"y" * 2 * site.HEAD_LIMIT_BYTES)),
        crowd.Kind(4, endless(start + large, b"y" * 64_000)),
        crowd.Kind(4, EMPTY_LINES),
        crowd.Kind(40, many_headers(start)),
        crowd.Kind(150, chunked(start, _LARGE_CHUNK_BYTES, _BODY_BYTES, 1)),
        crowd.Kind(20, chunked(start, 1, 43_000, 500)),
        crowd.Kind(80, sized(start, _BODY_BYTES, 8)),
        crowd.Kind(40, pipelined(start, 6), reads=False),
        crowd.Kind(40, once(*[asking * 16] * 20), reads=False),
        crowd.Kind(40, byte_by_byte(start, 100)),
        crowd.Kind(
            40, once(start + b"Expect: 100-continue\r\nContent-Length: 9\r\n\r\n")
        ),
    )


READINESS: Final = mixture(head(path=b"/api/ready"))
METRICS: Final = mixture(head(path=b"/metrics"))
RELAY: Final = mixture(head(path=relay_codec.encode_target(0, 0).encode()))
DELEGATED: Final = mixture(
    head(path=b"/wide/1", extra=b"x-amaranthpulley-origin: 1,0\r\n")
)
