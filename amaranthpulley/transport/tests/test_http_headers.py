"""Tests of the header parser."""

import http.client
import io
import unittest

from amaranthpulley.transport import http_headers


class HttpHeadersTest(unittest.TestCase):
    """Header lines of requests and responses."""

    def test_reads_headers_up_to_the_empty_line(self) -> None:
        cases = {
            "none": (b"\r\n", []),
            "one": (b"A: b\r\n\r\n", [("A", "b")]),
            "no space": (b"A:b\r\n\r\n", [("A", "b")]),
            "empty value": (b"A:\r\n\r\n", [("A", "")]),
            "colon in the value": (b"Host: a:1\r\n\r\n", [("Host", "a:1")]),
            "repeated": (b"A: 1\r\na: 2\r\n\r\n", [("A", "1"), ("a", "2")]),
            "bare line feeds": (b"A: b\n\n", [("A", "b")]),
            "not ASCII": (b"A: \xe9\r\n\r\n", [("A", "\xe9")]),
        }
        for name, (text, expected) in cases.items():
            with self.subTest(name):
                stream = io.BytesIO(text + b"body")
                self.assertEqual(http_headers.parse_headers(stream).items(), expected)
                self.assertEqual(stream.read(), b"body")

    def test_names_are_case_insensitive(self) -> None:
        message = http_headers.parse_headers(io.BytesIO(b"Content-Length: 3\r\n\r\n"))
        self.assertEqual(message.get("content-length"), "3")

    def test_rejects_ambiguous_or_oversized_headers(self) -> None:
        long = http_headers.MAXIMUM_HEADER_BYTES
        cases = {
            "no colon": b"GET / HTTP/1.1\r\n\r\n",
            "continued line": b"A: b\r\n c: d\r\n\r\n",
            "space before the colon": b"Content-Length : 3\r\n\r\n",
            "empty name": b": b\r\n\r\n",
            "too long": b"A: " + b"b" * long + b"\r\n\r\n",
            "too many": b"A: b\r\n" * (http_headers.MAXIMUM_HEADERS + 1) + b"\r\n",
        }
        for name, text in cases.items():
            with self.subTest(name), self.assertRaises(http.client.HTTPException):
                http_headers.parse_headers(io.BytesIO(text))
