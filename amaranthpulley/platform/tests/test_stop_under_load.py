"""Tests of a planned stop at every step of a request."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import socket  # noqa: E402
import unittest  # noqa: E402
from collections.abc import Callable  # noqa: E402
from typing import Final  # noqa: E402

import eventlet  # noqa: E402
import eventlet.patcher  # noqa: E402

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
