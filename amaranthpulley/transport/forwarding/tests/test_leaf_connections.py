"""Tests of connections to leaves."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import socket  # noqa: E402
import unittest  # noqa: E402
from typing import Final  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import commands  # noqa: E402
from amaranthpulley.protocol.forwarding import header_names  # noqa: E402
from amaranthpulley.state.forwarding import requests  # noqa: E402
from amaranthpulley.transport import system_clock  # noqa: E402
from amaranthpulley.transport.forwarding import (  # noqa: E402
    leaf_connections,
    streams,
)

NAMES: Final = header_names.HeaderNames(
    *(b"x-id", b"x-left", b"x-signed", b"x-wanted", b"x-load", b"x-not-run"),
    *(b"x-leaf", b"x-parts", b"x-missing", b"retry-after", b"x-limit", b"x-leaving"),
)
ANSWER: Final = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 2\r\n\r\nok"
WAIT_S: Final = 5.0


class LeafConnectionsTest(unittest.TestCase):
    """Outcomes of requests, and whether the connection is reused afterwards."""

    def setUp(self) -> None:
        self.clock = system_clock.system_clock()
        self.pool = leaf_connections.LeafConnections(NAMES, self.clock)
        self.accepted: list[streams.Stream] = []
        self.received: list[bytes] = []
        self.replies: list[bytes] = []
        self.turns_away = False
        self.listener = streams.listen("127.0.0.1:0", self._accept)
        self.addCleanup(self.listener.close)
        self.ended: list[object] = []

    def _accept(self, connection: socket.socket) -> None:
        if self.turns_away:
            connection.close()
            return
        stream = streams.Stream(connection, self._receive, lambda was_reset: None)
        self.accepted.append(stream)
        stream.start()

    def _receive(self, data: bytes) -> None:
        self.received.append(data)
        if self.replies:
            self.accepted[-1].write(self.replies.pop(0))

    def _exchange(
        self, request_id: bytes = b"r1", reuse: commands.Reuse = commands.Reuse.ANY
    ) -> object:
        connection = self.pool.acquire(self.listener.address, reuse)
        count = len(self.ended)
        connection.exchange(
            b"request", request_id, False, self.ended.append, self.ended.append
        )
        with eventlet.Timeout(WAIT_S):
            while len(self.ended) == count:
                eventlet.sleep(0.005)
        return self.ended[-1]

    def test_connection_is_reused_after_a_complete_answer(self) -> None:
        for _ in range(3):
            self.replies.append(ANSWER % b"r1")
            self.assertEqual(self._exchange().body, b"ok")
        self.assertEqual(self.pool.opened, 1)

    def test_late_answer_to_another_request_is_skipped(self) -> None:
        self.replies.append(ANSWER % b"r0" + ANSWER % b"r1")
        self.assertEqual(self._exchange().body, b"ok")

    def test_an_excluded_connection_stays_in_the_pool(self) -> None:
        for _ in range(2):
            self.replies.append(ANSWER % b"r1")
            self._exchange()
        idle = self.pool.acquire(self.listener.address, commands.Reuse.ANY)
        self.pool.release(idle)
        other = self.pool.acquire(self.listener.address, commands.Reuse.ANY, {idle})
        self.addCleanup(other.close)
        self.assertIsNot(other, idle)
        again = self.pool.acquire(self.listener.address, commands.Reuse.ANY)
        self.assertIs(again, idle)

    def test_unsolicited_bytes_close_the_connection(self) -> None:
        self.replies.append(ANSWER % b"r1")
        self._exchange()
        self.accepted[-1].write(ANSWER % b"r1")
        eventlet.sleep(0.05)
        self.replies.append(ANSWER % b"r2")
        self.assertEqual(self._exchange(b"r2").body, b"ok")
        self.assertEqual(self.pool.opened, 2)

    def test_nothing_is_sent_on_a_connection_that_is_turned_away(self) -> None:
        self.turns_away = True
        self.assertIs(self._exchange(), requests.AttemptEnd.TURNED_AWAY)
        self.assertEqual(self.received, [])

    def test_nothing_is_sent_on_a_connection_that_is_closed_while_it_opens(
        self,
    ) -> None:
        connection = self.pool.acquire(self.listener.address, commands.Reuse.NONE)
        connection.exchange(b"x", b"r", False, self.ended.append, self.ended.append)
        self.assertTrue(connection.opening)
        connection.close()
        eventlet.sleep(0.1)
        self.assertEqual((self.received, self.ended), ([], []))

    def test_a_request_that_waited_for_its_connection_is_reported_as_sent(self) -> None:
        sent: list[bool] = []
        self.replies.append(ANSWER % b"r1")
        connection = self.pool.acquire(self.listener.address, commands.Reuse.NONE)
        connection.on_sent = lambda: sent.append(connection.opening)
        connection.exchange(b"x", b"r1", False, self.ended.append, self.ended.append)
        with eventlet.Timeout(WAIT_S):
            while not self.ended:
                eventlet.sleep(0.005)
        self.assertEqual(sent, [False])

    def test_leaf_that_does_not_listen_is_unreachable(self) -> None:
        with socket.socket() as closed:
            closed.bind(("127.0.0.1", 0))
            host, port = closed.getsockname()
        connection = self.pool.acquire(f"{host}:{port}", commands.Reuse.ANY)
        connection.exchange(b"x", b"r", False, self.ended.append, self.ended.append)
        with eventlet.Timeout(WAIT_S):
            while not self.ended:
                eventlet.sleep(0.005)
        self.assertIs(self.ended[0], requests.AttemptEnd.UNREACHABLE)

    def test_truncated_and_malformed_answers_fail(self) -> None:
        cases = {
            ANSWER[:-1] % b"r1": requests.AttemptEnd.LOST,
            b"\x00\x01\r\n\r\n": requests.AttemptEnd.MALFORMED,
        }
        for data, end in cases.items():
            with self.subTest(data):
                self.replies.append(data)
                eventlet.spawn_after(0.1, lambda: self.accepted[-1].close())
                self.assertIs(self._exchange(), end)

    def test_fresh_request_does_not_reuse_an_old_connection(self) -> None:
        self.replies.append(ANSWER % b"r1")
        self._exchange()
        eventlet.sleep(leaf_connections.MAXIMUM_RECENT_IDLE_MS / 1000 + 0.1)
        self.replies.append(ANSWER % b"r1")
        self._exchange(reuse=commands.Reuse.RECENT)
        self.assertEqual(self.pool.opened, 2)
