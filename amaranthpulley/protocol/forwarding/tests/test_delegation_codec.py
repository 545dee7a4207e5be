"""Tests of the codec of requests between daemons."""

import unittest

from amaranthpulley.protocol.forwarding import (
    client_requests,
    delegation_codec,
    header_names,
)
from amaranthpulley.state.forwarding import delegations, requests, routes

NAMES = header_names.HeaderNames(
    *(b"x-id", b"x-left", b"x-signed", b"x-wanted", b"x-load", b"x-not-run"),
    *(b"x-leaf", b"x-parts", b"x-missing", b"retry-after", b"x-limit", b"x-leaving"),
)
HEAD = b"GET /wide/1 HTTP/1.1\r\nHost: search.example\r\n"


class DelegationCodecTest(unittest.TestCase):
    """Requests with an origin, and the missing parts of answers."""

    def _parse(self, data: bytes) -> client_requests.ClientRequest:
        (request,) = client_requests.RequestReader(routes.ClientLimits).feed(data)
        return request

    def test_origin_round_trip(self) -> None:
        origin = delegations.Origin(7, 25)
        data = delegation_codec.encode_request(HEAD, b"", NAMES, 400, origin)
        request, found = delegation_codec.split_origin(self._parse(data))
        self.assertEqual(found, origin)
        self.assertEqual(request.first(NAMES.deadline_ms), b"400")
        self.assertIsNone(request.first(delegation_codec.ORIGIN_HEADER))

    def test_account_round_trip(self) -> None:
        for account in ("red", "red, blue", "r\u00f6t & co", "a%2Cb", "7,8"):
            with self.subTest(account):
                origin = delegations.Origin(7, 25, account)
                data = delegation_codec.encode_request(HEAD, b"", NAMES, 400, origin)
                found = delegation_codec.split_origin(self._parse(data))[1]
                self.assertEqual(found, origin)

    def test_without_an_account_the_form_is_that_of_earlier_daemons(self) -> None:
        origin = delegations.Origin(7, 25)
        data = delegation_codec.encode_request(HEAD, b"", NAMES, 400, origin)
        line = delegation_codec.ORIGIN_HEADER + b": 7,25\r\n"
        self.assertIn(line, data)

    def test_malformed_origins(self) -> None:
        for value in (b"", b"7", b"7,", b",7", b"-1,7", b"7,x", b"7;8"):
            with self.subTest(value):
                line = delegation_codec.ORIGIN_HEADER + b": " + value
                request = self._parse(HEAD + line + b"\r\n\r\n")
                self.assertIsNone(delegation_codec.split_origin(request)[1])

    def test_the_last_origin_counts_since_clients_may_send_one(self) -> None:
        line = delegation_codec.ORIGIN_HEADER + b": 1,1\r\n"
        origin = delegations.Origin(7, 25)
        data = delegation_codec.encode_request(HEAD + line, b"", NAMES, 400, origin)
        request, found = delegation_codec.split_origin(self._parse(data))
        self.assertEqual(found, origin)
        self.assertIsNone(request.first(delegation_codec.ORIGIN_HEADER))

    def test_missing_parts(self) -> None:
        parts = (b"X-Parts", b"a, b")
        cases = [
            (200, (parts, (b"X-Missing", b"2")), 2),
            (200, (parts,), 0),
            (200, (parts, (b"X-Missing", b"two")), None),
            (200, (), None),
            (502, (parts,), None),
        ]
        for status, headers, expected in cases:
            with self.subTest(status=status, headers=headers):
                answer = requests.LeafAnswer(
                    status, headers, b"", b"", False, False, None
                )
                found = delegation_codec.missing_parts(answer, NAMES)
                self.assertEqual(found, expected)
