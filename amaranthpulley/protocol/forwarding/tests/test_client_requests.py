"""Tests of the parser of client requests."""

import unittest

from amaranthpulley.protocol.forwarding import client_requests, errors, key_digests
from amaranthpulley.state.forwarding import routes

HEAD = b"POST /a/1?x=%20 HTTP/1.1\r\nHost: h\r\n"


def _reader() -> client_requests.RequestReader:
    limits = routes.ClientLimits(header_bytes=1_000, body_bytes=100)
    return client_requests.RequestReader(lambda: limits)


class RequestReaderTest(unittest.TestCase):
    """Framing of requests, and requests that are rejected."""

    def test_requests_are_parsed_from_any_split_of_the_bytes(self) -> None:
        whole = HEAD + b"Content-Length: 4\r\n\r\nbody"
        for size in (1, 3, 7, len(whole)):
            with self.subTest(size):
                reader = _reader()
                found = []
                for start in range(0, len(whole), size):
                    found += reader.feed(whole[start : start + size])
                (request,) = found
                self.assertEqual(request.method, b"POST")
                self.assertEqual(request.target, b"/a/1?x=%20")
                self.assertEqual(request.body, b"body")
                self.assertTrue(request.keep_alive)
                self.assertFalse(reader.in_request)

    def test_chunks_are_joined(self) -> None:
        data = (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n"
        )
        (request,) = _reader().feed(data)
        self.assertEqual(request.body, b"abcd")

    def test_pipelined_requests_are_separated(self) -> None:
        data = (HEAD + b"Content-Length: 1\r\n\r\nx") * 3
        self.assertEqual([r.body for r in _reader().feed(data)], [b"x"] * 3)

    def test_an_offer_to_upgrade_is_declined(self) -> None:
        # Guards against a second answer, 400, after the answer to such a request.
        offer = (
            b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade, HTTP2-Settings\r\n"
            b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n"
        )
        plain = b"GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
        for data, count in ((offer, 1), (offer + plain, 2)):
            for size in (1, 50, 1_000):
                with self.subTest(data=data, size=size):
                    reader = _reader()
                    found: list[client_requests.ClientRequest] = []
                    for start in range(0, len(data), size):
                        found += reader.feed(data[start : start + size])
                    self.assertEqual(len(found), count)
                    self.assertTrue(found[0].keep_alive)
                    self.assertIsNone(reader.error)
                    self.assertFalse(reader.in_request)

    def test_tunnels_and_offers_with_a_body_are_refused(self) -> None:
        offer = (
            b"POST /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n"
        )
        cases = (
            b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
            offer + b"Content-Length: 2\r\n\r\nxy",
            offer + b"Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n",
        )
        for data in cases:
            with self.subTest(data), self.assertRaises(errors.BadRequestError):
                _reader().feed(data)

    def test_ambiguous_and_oversized_requests_are_refused(self) -> None:
        cases = {
            "two lengths": (b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nx", 400),
            "length and chunks": (
                b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                400,
            ),
            "bad length": (b"Content-Length: -1\r\n\r\n", 400),
            "bad chunk": (b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
            "second host": (b"Host: other\r\n\r\n", 400),
            "space before the colon": (b"Content-Length : 1\r\n\r\nx", 400),
            "long body": (b"Content-Length: 101\r\n\r\n", 413),
            "long chunks": (
                b"Transfer-Encoding: chunked\r\n\r\n65\r\n" + b"x" * 101,
                413,
            ),
            "long head": (b"X: " + b"y" * 1_000 + b"\r\n\r\n", 431),
        }
        for name, (rest, status) in cases.items():
            with self.subTest(name):
                with self.assertRaises(errors.BadRequestError) as caught:
                    _reader().feed(HEAD + rest)
                self.assertEqual(caught.exception.status, status)

    def test_a_request_without_a_host_is_refused(self) -> None:
        with self.assertRaises(errors.BadRequestError):
            _reader().feed(b"GET / HTTP/1.1\r\n\r\n")

    def test_complete_request_before_an_invalid_one_is_returned(self) -> None:
        reader = _reader()
        good = b"GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n"
        self.assertEqual(len(reader.feed(good + b"\x00\x01")), 1)
        with self.assertRaises(errors.BadRequestError):
            reader.feed(b"GET / HTTP/1.1\r\n")


class TrailerTest(unittest.TestCase):
    """Fields after a chunked body."""

    def test_trailers_are_no_headers(self) -> None:
        # Guards against an account or a key that a client sends after the body, past
        # the place where headers are replaced.
        body = b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"
        trailers = b"X-Client: forged\r\nX-Other: 1\r\n\r\n"
        whole = HEAD + b"X-Client: k\r\n" + body + trailers
        for size in (1, 7, len(whole)):
            with self.subTest(size):
                reader = _reader()
                found: list[client_requests.ClientRequest] = []
                for start in range(0, len(whole), size):
                    found += reader.feed(whole[start : start + size])
                (request,) = found
                names = [name for name, _ in request.headers]
                self.assertEqual(names, [b"Host", b"X-Client", b"Transfer-Encoding"])
                fields = ((b"X-Client", b"forged"), (b"X-Other", b"1"))
                self.assertEqual(request.trailers, fields)
                merged = client_requests.with_trailers(request)
                self.assertEqual(merged.headers, [*request.headers, *fields])

    def test_trailers_of_one_request_are_not_those_of_the_next(self) -> None:
        body = b"Transfer-Encoding: chunked\r\n\r\n0\r\n"
        first, second = _reader().feed(
            HEAD + body + b"X-T: 1\r\n\r\n" + HEAD + b"X-H: 2\r\n\r\n"
        )
        self.assertEqual(first.trailers, ((b"X-T", b"1"),))
        self.assertEqual(second.headers, [(b"Host", b"h"), (b"X-H", b"2")])
        self.assertEqual(second.trailers, ())

    def test_trailers_count_as_part_of_the_head(self) -> None:
        body = b"Transfer-Encoding: chunked\r\n\r\n0\r\nX-T: "
        with self.assertRaises(errors.BadRequestError):
            _reader().feed(HEAD + body + b"x" * 1_000 + b"\r\n\r\n")


class KeyDigestTest(unittest.TestCase):
    """The key in a request."""

    def test_one_key_has_its_digest_and_others_have_none(self) -> None:
        digest = key_digests.digest_of(b"secret")
        cases: tuple[tuple[bytes, bytes | None], ...] = (
            (b"", None),
            (b"X-Client:\r\n", None),
            (b"X-Client:  \t \r\n", None),
            (b"X-Client: secret\r\n", digest),
            (b"x-CLIENT:\t secret \t\r\n", digest),
            (b"X-Client: secret\r\nx-client: secret\r\n", digest),
            (b"X-Client: secret\r\nx-client: other\r\n", None),
            (b"X-Client: secret\r\nX-Client:\r\n", None),
            (b"X-Clients: secret\r\n", None),
            (b"X-Client: Secret\r\n", key_digests.digest_of(b"Secret")),
            (b"X-Client: secret, secret\r\n", key_digests.digest_of(b"secret, secret")),
        )
        for lines, expected in cases:
            with self.subTest(lines):
                (request,) = _reader().feed(HEAD + lines + b"\r\n")
                found = client_requests.key_digest_of(request, b"x-client")
                self.assertEqual(found, expected)

    def test_the_digest_does_not_show_the_key(self) -> None:
        self.assertNotIn(b"secret", key_digests.digest_of(b"secret"))
        self.assertNotEqual(key_digests.digest_of(b"a"), key_digests.digest_of(b"b"))


class FingerprintTest(unittest.TestCase):
    """What makes two requests the same one, sent again."""

    def _fingerprints(self, text: bytes) -> tuple[int, ...]:
        (request,) = _reader().feed(text)
        return client_requests.fingerprints_of(request)

    def test_a_repeat_has_the_fingerprint_of_the_first(self) -> None:
        first = HEAD + b"X-Request-Id: 1\r\nContent-Length: 1\r\n\r\nx"
        repeat = (
            b"POST /a/1?x=%20 HTTP/1.1\r\nhost: H:80\r\nX-Request-Id: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
        )
        self.assertEqual(self._fingerprints(first), self._fingerprints(repeat))

    def test_it_is_the_same_in_every_process(self) -> None:
        first = HEAD + b"Content-Length: 1\r\n\r\nx"
        expected = (7629747431312452807, 4840904960698436945)
        self.assertEqual(self._fingerprints(first), expected)

    def test_other_requests_have_other_fingerprints(self) -> None:
        others = (
            HEAD + b"Content-Length: 1\r\n\r\nx",
            HEAD + b"Content-Length: 1\r\n\r\ny",
            HEAD + b"\r\n",
            HEAD.replace(b"POST", b"PUT") + b"\r\n",
            HEAD.replace(b"/a/1", b"/a/2") + b"\r\n",
            HEAD.replace(b"x=%20", b"x=%21") + b"\r\n",
            HEAD.replace(b"Host: h", b"Host: g") + b"\r\n",
        )
        found = {self._fingerprints(other)[0] for other in others}
        self.assertEqual(len(found), len(others))

    def test_requests_that_differ_in_their_query_share_the_second_one(self) -> None:
        first = self._fingerprints(HEAD + b"\r\n")
        other = self._fingerprints(HEAD.replace(b"?x=%20", b"?y=2") + b"\r\n")
        plain = self._fingerprints(HEAD.replace(b"?x=%20", b"") + b"\r\n")
        self.assertNotEqual(first[0], other[0])
        self.assertEqual(first[1], other[1])
        self.assertEqual(plain, first[1:])
