"""Tests of the pools of HTTP connections."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import unittest  # noqa: E402
from typing import Final  # noqa: E402

import eventlet  # noqa: E402
import eventlet.wsgi  # noqa: E402
import urllib3  # noqa: E402

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


class WholeAnswerTest(unittest.TestCase):
    """Answers that break off or never end, as read by `call`."""

    HEAD: Final = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
    LIMIT_BYTES: Final = 100_000
    ENDLESS: Final = {
        "head": (b"HTTP/1.1 200 OK\r\n", b"X-More: a\r\n"),
        "header line": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"a" * 1_000),
        "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        "body": (b"HTTP/1.1 200 OK\r\n\r\n", b"b" * 1_000),
        "chunks": (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"3\r\nabc\r\n" * 100,
        ),
    }

    def setUp(self) -> None:
        self.first = self.repeated = b""
        self.pause_s = 0.0
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
            eventlet.spawn_n(self._answer, connection)

    def _answer(self, connection: eventlet.greenio.GreenSocket) -> None:
        connection.recv(65_536)
        try:
            connection.sendall(self.first)
            while self.repeated:
                connection.sendall(self.repeated)
                eventlet.sleep(self.pause_s)
        except OSError:
            pass
        connection.close()

    def _call(self, timeout_ms: int = 5_000) -> http_connections.Answer:
        return http_connections.call(
            self.pool, "GET", "/", timeout_ms, self.LIMIT_BYTES
        )

    def test_whole_answer_is_returned(self) -> None:
        self.first = self.HEAD + b"ok"
        answer = self._call()
        self.assertEqual((answer.status, answer.body), (200, b"ok"))

    def test_answer_cut_at_any_byte_is_an_error(self) -> None:
        whole = self.HEAD + b"ok"
        for end in range(len(whole)):
            with self.subTest(end=end):
                self.first = whole[:end]
                with self.assertRaises((urllib3.exceptions.HTTPError, OSError)):
                    self._call()

    def test_endless_answers_are_errors(self) -> None:
        for name, (first, repeated) in self.ENDLESS.items():
            with self.subTest(name):
                self.first, self.repeated = first, repeated
                with self.assertRaises(urllib3.exceptions.HTTPError) as caught:
                    self._call()
                self.assertNotIsInstance(
                    caught.exception, urllib3.exceptions.TimeoutError
                )
                self.repeated = b""

    def test_answer_that_trickles_ends_with_the_call_s_time(self) -> None:
        self.first, self.repeated = self.ENDLESS["body"][0], b"b"
        self.pause_s = 0.05
        with self.assertRaises(urllib3.exceptions.ReadTimeoutError):
            self._call(timeout_ms=200)
        self.repeated = b""
