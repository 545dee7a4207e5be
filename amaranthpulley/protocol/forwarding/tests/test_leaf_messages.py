"""Tests of requests to leaves and of the parser of their answers."""

import unittest

from amaranthpulley.protocol.forwarding import (
    client_requests,
    header_names,
    leaf_messages,
)
from amaranthpulley.state.forwarding import leaves

NAMES = header_names.HeaderNames(
    request_id=b"x-id",
    deadline_ms=b"x-left",
    signature=b"x-signed",
    wanted_leaf=b"x-wanted",
    load=b"x-load",
    not_run=b"x-not-run",
    leaf=b"x-leaf",
    part_signatures=b"x-parts",
    missing_parts=b"x-missing",
    retry_after=b"retry-after",
    limit=b"x-limit",
    leaving=b"x-leaving",
    key=b"x-client",
    account=b"x-account",
)

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nX-Signed: s1\r\n"


def _reader() -> leaf_messages.AnswerReader:
    return leaf_messages.AnswerReader(NAMES)


class WholeRequestTest(unittest.TestCase):
    """Requests as they are sent to a leaf."""

    def test_only_end_to_end_headers_are_passed_on(self) -> None:
        request = client_requests.ClientRequest(
            b"POST",
            b"/a/%20?q=1",
            [
                (b"Host", b"h.example"),
                (b"Connection", b"keep-alive, X-Hop"),
                (b"X-Hop", b"1"),
                (b"X-Kept", b"2"),
                (b"Transfer-Encoding", b"chunked"),
                (b"X-Left", b"900"),
                (b"X-Wanted", b"forged"),
            ],
            b"body",
            True,
        )
        head = leaf_messages.encode_request_head(request, NAMES)
        whole = leaf_messages.encode_request(head, request.body, NAMES, "leaf-1", 250)
        expected = (
            b"POST /a/%20?q=1 HTTP/1.1\r\nHost: h.example\r\nX-Kept: 2\r\n"
            b"Content-Length: 4\r\nx-left: 250\r\n"
            b"x-wanted: leaf-1\r\n\r\nbody"
        )
        self.assertEqual(whole, expected)


class AccountHeaderTest(unittest.TestCase):
    """The key and the account in requests to a leaf."""

    def _lines(self, sent: list[tuple[bytes, bytes]], account: str | None) -> list:
        headers = [(b"Host", b"h"), *sent, (b"X-Kept", b"2")]
        request = client_requests.ClientRequest(b"GET", b"/a", headers, b"", True)
        head = leaf_messages.encode_request_head(request, NAMES, account is not None)
        whole = leaf_messages.encode_request(head, b"", NAMES, "leaf-1", 9, account)
        lines = whole.partition(b"\r\n\r\n")[0].split(b"\r\n")[1:]
        own = (b"x-left", b"x-wanted")
        return [line for line in lines if not line.startswith(own)]

    def test_the_account_is_ours_whatever_the_client_sent(self) -> None:
        # Guards against a leaf that takes a client's word for its account, or sees a
        # key. Some leaves read underscores in names as hyphens.
        sent = [
            (b"X-Client", b"secret"),
            (b"x-account", b"forged"),
            (b"X-ACCOUNT", b"forged"),
            (b"X_Account", b"forged"),
            (b"x_CLIENT", b"secret"),
            (b"Connection", b"X-Account, X-Client"),
        ]
        kept = [b"Host: h", b"X-Kept: 2"]
        for forged in (sent, sent[:2], []):
            with self.subTest(forged):
                named = [*kept, b"x-account: red, blue"]
                self.assertEqual(self._lines(forged, "red, blue"), named)
                self.assertEqual(self._lines(forged, ""), kept)

    def test_a_name_beyond_ascii_is_sent_as_utf_8(self) -> None:
        lines = self._lines([], "r\u00f6t")
        self.assertIn(b"x-account: r\xc3\xb6t", lines)

    def test_without_accounts_headers_are_passed_on_as_they_are(self) -> None:
        sent = [(b"X-Client", b"a"), (b"X-Account", b"b"), (b"x_client", b"c")]
        expected = [
            *(b"Host: h", b"X-Client: a", b"X-Account: b", b"x_client: c"),
            b"X-Kept: 2",
        ]
        self.assertEqual(self._lines(sent, None), expected)


class AnswerReaderTest(unittest.TestCase):
    """Complete, incomplete and invalid answers."""

    def test_framed_answers(self) -> None:
        cases = {
            "length": HEAD + b"Content-Length: 4\r\n\r\nbody",
            "chunks": HEAD
            + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
            "after an interim one": (
                b"HTTP/1.1 103 Early Hints\r\n\r\n"
                + HEAD
                + b"Content-Length: 4\r\n\r\nbody"
            ),
        }
        for name, data in cases.items():
            for size in (1, len(data)):
                with self.subTest(name, size=size):
                    reader = _reader()
                    found = []
                    for start in range(0, len(data), size):
                        answers, valid = reader.feed(data[start : start + size])
                        self.assertTrue(valid)
                        found += answers
                    (raw,) = found
                    self.assertEqual(raw.request_id, b"r1")
                    self.assertEqual(raw.answer.body, b"body")
                    self.assertEqual(raw.answer.signature, b"s1")
                    self.assertTrue(raw.keep_alive)

    def test_an_answer_without_a_length_ends_with_its_connection(self) -> None:
        reader = _reader()
        self.assertEqual(reader.feed(HEAD + b"\r\nbo"), ([], True))
        reader.feed(b"dy")
        raw = reader.finish()
        self.assertEqual(raw.answer.body, b"body")
        self.assertFalse(raw.keep_alive)

    def test_truncated_answers_are_not_returned(self) -> None:
        cases = {
            "in the head": HEAD,
            "in the body": HEAD + b"Content-Length: 4\r\n\r\nbod",
            "in the chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
        }
        for name, data in cases.items():
            with self.subTest(name):
                reader = _reader()
                self.assertEqual(reader.feed(data)[0], [])
                self.assertIsNone(reader.finish())

    def test_invalid_bytes_are_reported(self) -> None:
        for data in (b"\x00\x01\r\n\r\n", b"HELLO\r\n\r\n", HEAD + b"bad line\r\n\r\n"):
            with self.subTest(data):
                self.assertFalse(_reader().feed(data)[1])

    def test_answer_to_head_has_no_body(self) -> None:
        reader = _reader()
        reader.expect(True)
        answers, _ = reader.feed(HEAD + b"Content-Length: 4\r\n\r\n")
        self.assertEqual(answers[0].answer.body, b"")

    def test_headers_are_interpreted(self) -> None:
        cases = {
            b"X-Not-Run: 1\r\n": ("not_run", True),
            b"X-Load: 3,1,8\r\n": ("load", leaves.Load(3, 1, 8)),
            b"X-Load: 3,x\r\n": ("load", None),
            b"Content-Encoding: gzip\r\n": ("encoded", True),
        }
        for line, (field, value) in cases.items():
            with self.subTest(line):
                data = HEAD + line + b"Content-Length: 0\r\n\r\n"
                (raw,), _ = _reader().feed(data)
                self.assertEqual(getattr(raw.answer, field), value)


class LoadHeaderTest(unittest.TestCase):
    """One invalid figure hides the other three, or is taken for a load."""

    CASES = {
        b"3,1,8,250": leaves.Load(3, 1, 8, 2.5),
        b" 3 , 1 , 8 , 100 ": leaves.Load(3, 1, 8, 1.0),
        b"3,1,8,0": leaves.Load(3, 1, 8),
        b"3,1,8,-5": leaves.Load(3, 1, 8),
        b"3,1,8,fast": leaves.Load(3, 1, 8),
        b"3,1,8,": leaves.Load(3, 1, 8),
        b"x,1,8,250": leaves.Load(None, 1, 8, 2.5),
        b"3,1,0,250": leaves.Load(3, 1, None, 2.5),
        b"3,,8": leaves.Load(3, None, 8),
        b"3," + b"9" * 5_000 + b",8,90": leaves.Load(3, None, 8, 0.9),
        b"x,x,x,x": None,
        b"x,x,0,0": None,
        b"3,1": None,
        b"3,1,8,250,1": None,
        b"": None,
    }

    def test_figures_are_taken_one_by_one(self) -> None:
        for value, expected in self.CASES.items():
            with self.subTest(value[:20]):
                data = HEAD + b"X-Load: " + value + b"\r\nContent-Length: 0\r\n\r\n"
                (raw,), valid = _reader().feed(data)
                self.assertTrue(valid)
                self.assertEqual(raw.answer.load, expected)


class LimitHeaderTest(unittest.TestCase):
    """The limit that a leaf names in an answer."""

    CASES = {
        b"X-Limit: 14.4\r\n": 14.4,
        b"x-limit:  7 \r\n": 7.0,
        b"X-Limit: 0\r\n": 0.0,
        b"X-Limit: 20\r\nX-Limit: 12.5\r\n": 12.5,
        b"X-Limit: 20, 12.5\r\n": 12.5,
        b"X-Limit: many, 9\r\n": 9.0,
        b"": None,
        b"X-Limit:\r\n": None,
        b"X-Limit: -3\r\n": None,
        b"X-Limit: nan\r\n": None,
        b"X-Limit: inf\r\n": None,
        b"X-Limit: 1e3\r\n": None,
        b"X-Limit: 99999999999999999999\r\n": None,
    }

    def test_odd_values_are_no_limit(self) -> None:
        for lines, expected in self.CASES.items():
            for status in (b"200", b"500", b"503"):
                with self.subTest(lines, status=status):
                    reader = _reader()
                    head = HEAD.replace(b"200", status, 1) + lines
                    ((raw,), valid) = reader.feed(head + b"Content-Length: 0\r\n\r\n")
                    self.assertTrue(valid)
                    self.assertEqual(raw.answer.demands.limit_per_s, expected)


class LeavingHeaderTest(unittest.TestCase):
    """The word of a leaf that it leaves."""

    CASES = {
        b"X-Leaving: 1\r\n": True,
        b"x-leaving:  1 \r\n": True,
        b"X-Leaving: 0\r\nX-Leaving: 1\r\n": True,
        b"": False,
        b"X-Leaving:\r\n": False,
        b"X-Leaving: 0\r\n": False,
        b"X-Leaving: true\r\n": False,
        b"X-Leaving: 11\r\n": False,
    }

    def test_only_one_means_leaving(self) -> None:
        for lines, expected in self.CASES.items():
            for status in (b"200", b"404", b"500", b"503"):
                with self.subTest(lines, status=status):
                    reader = _reader()
                    head = HEAD.replace(b"200", status, 1) + lines
                    ((raw,), valid) = reader.feed(head + b"Content-Length: 0\r\n\r\n")
                    self.assertTrue(valid)
                    self.assertEqual(raw.answer.demands.leaving, expected)


class PauseHeaderTest(unittest.TestCase):
    """The pause that a leaf asks for when it turns a request away."""

    CASES = {
        b"Retry-After: 2\r\n": 2_000,
        b"retry-after:  0.25 \r\n": 250,
        b"Retry-After: 0.0001\r\n": 1,
        b"Retry-After: 1\r\nRetry-After: 3\r\n": 3_000,
        b"Retry-After: 1, 3\r\n": 3_000,
        b"Retry-After: 86400\r\n": leaf_messages.LONGEST_PAUSE_MS,
        b"Retry-After: 999999999999\r\n": leaf_messages.LONGEST_PAUSE_MS,
        b"": None,
        b"Retry-After:\r\n": None,
        b"Retry-After: 0\r\n": None,
        b"Retry-After: -2\r\n": None,
        b"Retry-After: nan\r\n": None,
        b"Retry-After: inf\r\n": None,
        b"Retry-After: soon\r\n": None,
        b"Retry-After: Sat, 05 Dec 2026 03:00:00 GMT\r\n": None,
    }

    def test_only_a_positive_number_of_seconds_is_a_pause(self) -> None:
        for lines, expected in self.CASES.items():
            with self.subTest(lines):
                self.assertEqual(self._pause_ms(b"503", lines), expected)

    def test_only_a_rejection_asks_for_a_pause(self) -> None:
        for status in (b"200", b"404", b"421", b"500", b"502"):
            with self.subTest(status):
                self.assertIsNone(self._pause_ms(status, b"Retry-After: 2\r\n"))
        self.assertEqual(self._pause_ms(b"429", b"Retry-After: 2\r\n"), 2_000)

    def _pause_ms(self, status: bytes, lines: bytes) -> int | None:
        reader = _reader()
        head = HEAD.replace(b"200", status, 1) + lines
        ((raw,), valid) = reader.feed(head + b"Content-Length: 0\r\n\r\n")
        self.assertTrue(valid)
        return raw.answer.demands.pause_ms
