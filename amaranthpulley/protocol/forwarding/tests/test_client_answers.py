"""Tests of the answers that the daemon creates itself."""

import unittest

from amaranthpulley.coordination.forwarding import commands
from amaranthpulley.protocol.forwarding import client_answers, header_names

NAMES = header_names.HeaderNames(
    *(b"x-id", b"x-left", b"x-signed", b"x-wanted", b"x-load", b"x-not-run"),
    *(b"x-leaf", b"x-parts", b"x-missing", b"retry-after", b"x-limit", b"x-leaving"),
    key=b"x-client",
)
PROMISING = (408, 421, 429, 503)


class RefusalTest(unittest.TestCase):
    """Statuses and headers of refused requests."""

    def _answer(self, reason: commands.Refusal, not_run: bool = True) -> bytes:
        refused = commands.Refuse(1, reason, not_run, 250)
        return client_answers.encode_refusal(refused, b"r1", NAMES, False)

    def test_an_unauthorized_client_is_challenged(self) -> None:
        answer = self._answer(commands.Refusal.UNAUTHORIZED)
        self.assertTrue(answer.startswith(b"HTTP/1.1 401 Unauthorized\r\n"))
        self.assertIn(b'\r\nWWW-Authenticate: ApiKey header="x-client"\r\n', answer)
        self.assertIn(b"\r\nx-id: r1\r\n", answer)
        # The client does not repeat the request, so no time is named.
        self.assertNotIn(b"retry-after", answer)
        self.assertNotIn(b"Connection: close", answer)

    def test_only_an_unauthorized_client_is_challenged(self) -> None:
        for reason in commands.Refusal:
            if reason is not commands.Refusal.UNAUTHORIZED:
                with self.subTest(reason):
                    self.assertNotIn(b"WWW-Authenticate", self._answer(reason))

    def test_a_request_without_a_region_has_not_run(self) -> None:
        answer = self._answer(commands.Refusal.NO_REGION)
        self.assertTrue(answer.startswith(b"HTTP/1.1 503 "))
        self.assertIn(b"\r\nretry-after: 0.250\r\n", answer)

    def test_every_reason_has_a_status_that_promises_no_more_than_is_known(
        self,
    ) -> None:
        for reason in commands.Refusal:
            with self.subTest(reason):
                refused = commands.Refuse(1, reason, False, 0)
                self.assertNotIn(client_answers.status_of(refused), PROMISING)
