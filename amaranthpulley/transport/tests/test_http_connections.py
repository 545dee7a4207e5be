"""Tests of the pools of HTTP connections."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import unittest  # noqa: E402

import eventlet  # noqa: E402
import eventlet.wsgi  # noqa: E402

from amaranthpulley.transport import http_connections  # noqa: E402


class ConnectionPoolTest(unittest.TestCase):
    """Connections that are kept open between calls."""

    def setUp(self) -> None:
        self.accepted = 0
        self.sockets: list = []
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        self.pool = http_connections.connection_pool(f"{host}:{port}", 4)
        self.addCleanup(self.pool.close)
        thread = eventlet.spawn(self._accept, listener)
        self.addCleanup(thread.kill)

    def _accept(self, listener: eventlet.greenio.GreenSocket) -> None:
        while True:
            connection, _ = listener.accept()
            self.accepted += 1
            self.sockets.append(connection)
            eventlet.spawn_n(self._answer, connection)

    def _answer(self, connection: eventlet.greenio.GreenSocket) -> None:
        while connection.recv(65_536):
            connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

    def _call(self) -> bytes:
        return self.pool.urlopen("GET", "/", retries=False, timeout=5).data

    def test_keeps_a_connection_open(self) -> None:
        self.assertEqual([self._call() for _ in range(3)], [b"ok"] * 3)
        self.assertEqual(self.accepted, 1)

    def test_replaces_a_connection_that_the_server_closed(self) -> None:
        self._call()
        self.sockets[0].shutdown(2)
        eventlet.sleep(0.01)
        self.assertEqual(self._call(), b"ok")
        self.assertEqual(self.accepted, 2)

    def test_replaces_a_connection_with_unsolicited_bytes(self) -> None:
        self._call()
        self.sockets[0].sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong")
        eventlet.sleep(0.01)
        self.assertEqual(self._call(), b"ok")
        self.assertEqual(self.accepted, 2)
