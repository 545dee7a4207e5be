"""Tests of answers that exceed the limits of the parser, or have no end."""

import unittest
from collections.abc import Iterator
from typing import Final

from amaranthpulley.protocol.forwarding import header_names, leaf_messages

NAMES: Final = header_names.HeaderNames(
    *(b"x-id", b"x-left", b"x-signed", b"x-wanted", b"x-load", b"x-not-run"),
    *(b"x-leaf", b"x-parts", b"x-missing", b"retry-after", b"x-limit", b"x-leaving"),
)
LIMITS: Final = leaf_messages.AnswerLimits(
    head_bytes=2_000, head_lines=20, interim_answers=4, body_bytes=4_000
)
PIECE_BYTES: Final = 500
# The endless answers are read up to this size.
MAXIMUM_READ_BYTES: Final = 1_000_000
STATUS: Final = b"HTTP/1.1 200 OK\r\n"
INTERIM: Final = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED: Final = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"


def _endless(first: bytes, repeated: bytes) -> Iterator[bytes]:
    """Yield pieces of an answer that never ends."""
    buffered = first
    for _ in range(MAXIMUM_READ_BYTES // PIECE_BYTES):
        while len(buffered) < PIECE_BYTES:
            buffered += repeated
        yield buffered[:PIECE_BYTES]
        buffered = buffered[PIECE_BYTES:]


class AnswerLimitsTest(unittest.TestCase):
    """Answers without end are given up after a bounded number of bytes."""

    CASES: Final = {
        "head in one line": (STATUS + b"X-Long: ", b"a" * 100),
        "head in many lines": (STATUS, b"X-Short: a\r\n"),
        "status line": (b"HTTP/1.1 200 ", b"OK"),
        "interim answers": (INTERIM, INTERIM),
        "body with a length": (STATUS + b"Content-Length: 999999\r\n\r\n", b"b"),
        "body in chunks": (CHUNKED, b"3\r\nabc\r\n"),
        "body in empty pieces": (CHUNKED, b"1;" + b"e" * 90 + b"\r\nx\r\n"),
        "chunk extension": (CHUNKED + b"1;", b"e"),
        "trailers": (CHUNKED + b"0\r\n", b"X-Trailer: a\r\n"),
        "body without a length": (STATUS + b"\r\n", b"b"),
    }

    def test_endless_answers_are_given_up(self) -> None:
        for name, (first, repeated) in self.CASES.items():
            with self.subTest(name):
                reader = leaf_messages.AnswerReader(NAMES, LIMITS)
                fed = 0
                for piece in _endless(first, repeated):
                    fed += len(piece)
                    answers, valid = reader.feed(piece)
                    self.assertEqual(answers, [])
                    if not valid:
                        break
                self.assertTrue(reader.oversized)
                self.assertLess(fed, 20_000)
                self.assertIsNone(reader.finish())

    def test_answers_at_the_limits_are_read(self) -> None:
        body = b"b" * LIMITS.body_bytes
        heads = b"".join(b"X-%d: a\r\n" % number for number in range(18))
        whole = INTERIM * LIMITS.interim_answers + STATUS + heads
        whole += b"Content-Length: %d\r\n\r\n" % len(body) + body
        reader = leaf_messages.AnswerReader(NAMES, LIMITS)
        for _ in range(3):
            (raw,), valid = reader.feed(whole)
            self.assertTrue(valid)
            self.assertEqual(raw.answer.body, body)
        self.assertEqual(reader.buffered_bytes, 0)

    def test_buffered_bytes_are_those_of_an_incomplete_answer(self) -> None:
        reader = leaf_messages.AnswerReader(NAMES, LIMITS)
        reader.feed(STATUS + b"Content-Length: 900\r\n\r\n" + b"b" * 600)
        self.assertGreaterEqual(reader.buffered_bytes, 600)
        reader.feed(b"b" * 300)
        self.assertEqual(reader.buffered_bytes, 0)


class TruncatedAnswerTest(unittest.TestCase):
    """Answers whose connection ends at any byte."""

    BODY: Final = b"0123456789abcdef"
    HEADERS: Final = STATUS + b"X-Id: r1\r\nX-Signed: s1\r\n"
    FRAMINGS: Final = {
        "length": (b"Content-Length: 16\r\n\r\n", BODY),
        "length first": (b"content-length:16\r\nX-Last: a\r\n\r\n", BODY),
        "chunks": (
            b"Transfer-Encoding: chunked\r\n\r\n",
            b"8\r\n01234567\r\n8\r\n89abcdef\r\n0\r\n\r\n",
        ),
        "empty": (b"Content-Length: 0\r\n\r\n", b""),
    }

    def test_truncated_answer_is_never_returned(self) -> None:
        for name, (framing, body) in self.FRAMINGS.items():
            whole = self.HEADERS + framing + body
            for end in range(len(whole)):
                with self.subTest(name, end=end):
                    reader = leaf_messages.AnswerReader(NAMES)
                    self.assertEqual(reader.feed(whole[:end])[0], [])
                    self.assertIsNone(reader.finish())

    def test_unframed_answer_is_whole_only_after_its_head(self) -> None:
        whole = self.HEADERS + b"\r\n"
        for end in range(len(whole)):
            with self.subTest(end=end):
                reader = leaf_messages.AnswerReader(NAMES)
                reader.feed(whole[:end])
                self.assertIsNone(reader.finish())
        reader = leaf_messages.AnswerReader(NAMES)
        reader.feed(whole + self.BODY)
        self.assertEqual(reader.finish().answer.body, self.BODY)
