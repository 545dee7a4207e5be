"""Tests of a planned stop at every step of a request."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import socket  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Callable  # noqa: E402
from typing import Final  # noqa: E402

import eventlet  # noqa: E402
import eventlet.patcher  # noqa: E402
import urllib3  # noqa: E402

from amaranthpulley.platform.tests import platform_site, wire_samples  # noqa: E402

_plain_socket: Final = eventlet.patcher.original("socket")
HEAD: Final = (
    f"POST /visit/1 HTTP/1.1\r\nHost: {wire_samples.HOST}\r\n"
    "X-Request-Id: stopped\r\nX-Deadline-Ms: 1000\r\nContent-Length: 4\r\n\r\n"
).encode()
REQUEST: Final = HEAD + b"oven"


class StopUnderLoadTest(unittest.TestCase):
    """Connections at the moment in which the daemon stops to listen.

    The steps run without a switch to the event loop, as in a daemon that is busy.
    """

    def setUp(self) -> None:
        self.site = platform_site.PlatformSite()
        self.address = self.site.daemon.front_address

    def _connect(self) -> socket.socket:
        host, port = self.address.rsplit(":", 1)
        connection = _plain_socket.create_connection((host, int(port)))
        connection.setblocking(False)
        self.addCleanup(connection.close)
        return connection

    def _accepted(self) -> socket.socket:
        """Return a connection that the daemon has accepted."""
        connection = self._connect()
        before = self.site.daemon._front.connections
        self.site.wait_for(
            lambda: self.site.daemon._front.connections > before, "it is accepted"
        )
        return connection

    def _read(self, connection: socket.socket) -> bytes:
        data = b""
        with eventlet.Timeout(platform_site.WAIT_S):
            while not data.endswith(b'oven"}') and b"503" not in data[:12]:
                try:
                    part = connection.recv(65_536)
                except BlockingIOError:
                    eventlet.sleep(0.002)
                    continue
                if not part:
                    break
                data += part
        return data

    def _stop(self) -> None:
        self.site.daemon.gateway.draining_since_ms = 0
        self.site.daemon._front.stop_listening()
        self.site.daemon._front.close_idle()

    def _check(self, begin: Callable[[], socket.socket], rest: bytes = b"") -> None:
        connection = begin()
        self._stop()
        if rest:
            connection.send(rest)
        data = self._read(connection)
        self.assertTrue(data.startswith(b"HTTP/1.1 200"), data)
        self.assertIn(b"Connection: close", data)

    def test_a_connection_that_was_not_accepted_yet(self) -> None:
        def begin() -> socket.socket:
            connection = self._connect()
            connection.send(REQUEST)
            return connection

        self._check(begin)

    def test_a_request_that_was_not_read_yet(self) -> None:
        def begin() -> socket.socket:
            connection = self._accepted()
            connection.send(REQUEST)
            return connection

        self._check(begin)

    def test_a_new_connection_whose_request_is_on_its_way(self) -> None:
        self._check(self._accepted, REQUEST)

    def test_a_request_read_in_part(self) -> None:
        for length in (1, 20, len(HEAD), len(REQUEST) - 1):
            with self.subTest(length=length):
                self.setUp()

                def begin(length: int = length) -> socket.socket:
                    connection = self._accepted()
                    connection.send(REQUEST[:length])
                    eventlet.sleep(0.02)
                    return connection

                self._check(begin, REQUEST[length:])

    def test_a_request_that_waits_for_its_leaf(self) -> None:
        for leaf in self.site.leaves:
            leaf.work_ms = 100

        def begin() -> socket.socket:
            connection = self._accepted()
            connection.send(REQUEST)
            eventlet.sleep(0.03)
            return connection

        self._check(begin)


class LateRequestTest(unittest.TestCase):
    """Requests that come late in the grace of a planned stop, in calm."""

    DEADLINE_MS = 4_000
    # The daemon listens until 0.6 of its grace.
    LATE_S = 0.55 * wire_samples.GRACE_S

    def setUp(self) -> None:
        self.routes = (
            wire_samples.route(TimeoutMs=self.DEADLINE_MS),
            wire_samples.visit_route(
                RouteType="non_idempotent", TimeoutMs=self.DEADLINE_MS
            ),
        )

    def _answer_late(self, work_ms: int, path: str, learned: int = 0) -> tuple:
        """Return the answer to a late request, or None, and how often it ran.

        There is no answer if it has not come when the process would end.
        """
        site = platform_site.PlatformSite(*self.routes)
        for leaf in site.leaves:
            leaf.work_ms = work_ms
        for _ in range(learned):
            site.request(path, "POST", b"oven")
        runs = sum(sum(leaf.runs.values()) for leaf in site.leaves)
        site.daemon.drain()
        eventlet.sleep(self.LATE_S)
        answers: list[urllib3.BaseHTTPResponse] = []

        def ask() -> None:
            answers.append(site.request(path, "POST", b"oven", self.DEADLINE_MS))

        asking = eventlet.spawn(ask)
        site.daemon.wait()
        answer = answers[0] if answers else None
        asking.kill()
        ran = sum(sum(leaf.runs.values()) for leaf in site.leaves) - runs
        return answer, ran

    def test_one_that_outlasts_the_grace_gets_an_answer(self) -> None:
        for path in ("/visit/1", "/wide/1"):
            with self.subTest(path):
                answer, ran = self._answer_late(3_000, path)
                self.assertIsNotNone(answer)
                self.assertIn(answer.status, (502, 504) if ran else (503,))

    def test_one_that_is_known_not_to_fit_is_refused_as_not_run(self) -> None:
        answer, ran = self._answer_late(900, "/visit/1", learned=3)
        self.assertIsNotNone(answer)
        self.assertEqual((answer.status, ran), (503, 0))

    def test_one_that_fits_is_served(self) -> None:
        answer, ran = self._answer_late(50, "/visit/1", learned=3)
        self.assertEqual((answer.status, ran), (200, 1))
