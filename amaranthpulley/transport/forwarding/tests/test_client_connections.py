"""Tests of connections of clients that pipeline, do not read, or send garbage."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import contextlib  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402
from typing import Final  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.protocol.forwarding import (  # noqa: E402
    client_answers,
    client_requests,
)
from amaranthpulley.state import counters  # noqa: E402
from amaranthpulley.state.forwarding import client_budget, routes  # noqa: E402
from amaranthpulley.transport import system_clock  # noqa: E402
from amaranthpulley.transport.forwarding import (  # noqa: E402
    client_connections,
    client_guard,
)

REQUEST: Final = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
LARGE_BYTES: Final = 8_000_000
WAIT_S: Final = 5.0
# Work for clients that have left ends within this time.
NOTICED_S: Final = 0.5


class BudgetTest(unittest.TestCase):
    """What is closed or refused when the budget is spent, over sockets."""

    BODY: Final = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"

    def setUp(self) -> None:
        self.begun: list[client_connections.ClientConnection] = []
        self.counters = counters.Counters()
        # A socket that nothing refers to is closed.
        self.clients: list[socket.socket] = []

    def _serve(self, memory_bytes: int, connections: int = 100) -> None:
        limits = dict.fromkeys(client_budget.Server, connections)
        clock = system_clock.system_clock()
        self.guard = client_guard.ClientGuard(
            clock, client_budget.Budget(memory_bytes, limits), self.counters
        )
        handler = client_connections.Handler(
            lambda connection, _request: self.begun.append(connection),
            lambda _connection: None,
        )
        self.server = client_connections.HttpServer(
            "127.0.0.1:0", clock, handler, guard=self.guard
        )
        self.addCleanup(self.server.stop_listening)

    def _connect(self, data: bytes = b"") -> socket.socket:
        host, port = self.server.address.rsplit(":", 1)
        client = socket.create_connection((host, int(port)), timeout=WAIT_S)
        self.addCleanup(client.close)
        self.clients.append(client)
        client.sendall(data)
        eventlet.sleep(0.05)
        return client

    def _count(self, limit: str) -> float:
        return self.counters.total("clients_cut_total", server="front", limit=limit)

    def test_an_incomplete_request_is_refused_as_not_run(self) -> None:
        self._serve(250_000)
        first = self._connect(self.BODY + b"x" * 150_000)
        self._connect(self.BODY + b"x" * 120_000)
        received = first.recv(65_536)
        self.assertTrue(received.startswith(b"HTTP/1.1 503 "), received)
        self.assertIn(b"Retry-After: 1.000", received)
        self.assertEqual(first.recv(100), b"")
        self.assertEqual(self.server.connections, 1)
        self.assertEqual(self._count("memory"), 1)
        self.assertLess(self.guard.holdings.total_bytes, 200_000)

    def test_a_request_in_progress_is_not_aborted(self) -> None:
        self._serve(330_000)
        working = self._connect(self.BODY + b"x" * 200_000)
        self._connect(self.BODY + b"x" * 150_000)
        self.assertEqual(self.server.connections, 1)
        data = client_answers.encode_status(200, "ok", False)
        self.begun[0].answer(data, False)
        self.assertTrue(working.recv(65_536).startswith(b"HTTP/1.1 200 "))

    def test_what_comes_behind_a_request_in_progress_is_refused(self) -> None:
        self._serve(330_000)
        client = self._connect(self.BODY + b"x" * 200_000)
        client.sendall(self.BODY + b"x" * 60_000)
        eventlet.sleep(0.05)
        self._connect(self.BODY + b"x" * 50_000)
        self.assertEqual(self._count("memory"), 1)
        self.assertEqual(self.server.connections, 2)
        data = client_answers.encode_status(200, "ok", False)
        self.begun[0].answer(data, False)
        received = b""
        while part := client.recv(65_536):
            received += part
        self.assertTrue(received.startswith(b"HTTP/1.1 200 "))
        self.assertIn(b"HTTP/1.1 503 ", received)
        self.assertEqual(len(self.begun), 1)

    def test_no_request_begins_without_room(self) -> None:
        self._serve(500_000)
        self._connect(self.BODY + b"x" * 200_000)
        second = self._connect(self.BODY + b"x" * 200_000)
        self.assertTrue(second.recv(65_536).startswith(b"HTTP/1.1 503 "))
        self.assertEqual(len(self.begun), 1)
        self.assertEqual(self._count("in_progress"), 1)

    def test_reading_stops_behind_a_request_in_progress(self) -> None:
        # Guards against a client that fills the memory with pipelined bodies.
        self._serve(50_000_000)
        client = self._connect(REQUEST)
        client.setblocking(False)
        request = self.BODY + b"x" * 200_000
        for _ in range(20):
            with contextlib.suppress(OSError):
                client.send(request)
            eventlet.sleep(0.01)
        held_bytes = self.guard.holdings.total_bytes
        limit_bytes = client_connections.PIPELINED_BYTES + 65_536 + 30_000
        self.assertLess(held_bytes, limit_bytes)
        data = client_answers.encode_status(200, "ok", False)
        self.begun[0].answer(data, False)
        eventlet.sleep(0.1)
        self.assertEqual(len(self.begun), 2)

    def test_a_connection_too_many_replaces_an_idle_one(self) -> None:
        self._serve(50_000_000, connections=2)
        working = self._connect(REQUEST)
        idle = self._connect()
        self._connect(REQUEST)
        self.assertEqual(idle.recv(100), b"")
        self.assertEqual(len(self.begun), 2)
        self.assertEqual(self._connect(REQUEST).recv(100), b"")
        self.assertEqual(self._count("connections"), 2)
        data = client_answers.encode_status(200, "ok", False)
        self.begun[0].answer(data, False)
        self.assertTrue(working.recv(65_536).startswith(b"HTTP/1.1 200 "))

    def test_closed_connections_hold_nothing(self) -> None:
        self._serve(50_000_000)
        clients = [
            self._connect(self.BODY + b"x" * 50_000),
            self._connect(self.BODY + b"x" * 200_000),
            self._connect(),
        ]
        self.assertGreater(self.guard.holdings.total_bytes, 250_000)
        for client in clients:
            client.close()
        eventlet.sleep(0.1)
        self.assertEqual(self.guard.holdings.total_bytes, 0)


class ClientConnectionTest(unittest.TestCase):
    """Memory and answers of connections whose client misbehaves."""

    def setUp(self) -> None:
        self.body = b"ok"
        self.holds = False
        self.received = 0
        self.disconnected = 0
        handler = client_connections.Handler(self._answer, self._count_disconnect)
        self.server = client_connections.HttpServer(
            "127.0.0.1:0", system_clock.system_clock(), handler
        )
        self.addCleanup(self.server.stop_listening)
        host, port = self.server.address.rsplit(":", 1)
        self.client = socket.create_connection((host, int(port)))
        self.addCleanup(self.client.close)
        eventlet.sleep(0.02)

    def _count_disconnect(self, _connection: object) -> None:
        self.disconnected += 1

    def _answer(
        self,
        connection: client_connections.ClientConnection,
        request: client_requests.ClientRequest,
    ) -> None:
        self.received += 1
        self.connection = connection
        if self.holds:
            return
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(self.body)
        connection.answer(head + self.body, not request.keep_alive)

    def _read_until_closed(self) -> bytes:
        # Appending to bytes copies all of it for each part: 1 s for 24 MB.
        received = bytearray()
        with eventlet.Timeout(WAIT_S):
            while part := self.client.recv(65_536):
                received += part
        return bytes(received)

    def test_client_that_does_not_read_gets_no_further_answers(self) -> None:
        self.body = b"b" * LARGE_BYTES
        self.client.sendall(REQUEST * 10)
        eventlet.sleep(0.2)
        self.assertEqual(self.received, 1)
        self.assertLessEqual(self.connection.unsent_bytes, LARGE_BYTES + 100)

    def test_client_that_reads_gets_all_answers(self) -> None:
        self.body = b"b" * LARGE_BYTES
        self.client.sendall(REQUEST * 2)
        self.client.sendall(
            REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
        )
        received = self._read_until_closed()
        self.assertEqual(received.count(b"HTTP/1.1 200 OK"), 3)
        self.assertGreater(len(received), 3 * LARGE_BYTES)

    def test_a_request_behind_an_unread_answer_is_not_timed_out(self) -> None:
        # Guards against an answer that is cut because the next request is not complete.
        self.server.limits = routes.ClientLimits(header_timeout_ms=200)
        self.body = b"b" * LARGE_BYTES
        self.client.sendall(REQUEST + REQUEST[:-2])
        eventlet.sleep((200 + 2 * client_connections.SWEEP_INTERVAL_MS) / 1000)
        self.assertEqual(self.server.connections, 1)
        received = 0
        with eventlet.Timeout(WAIT_S):
            while received < LARGE_BYTES:
                received += len(self.client.recv(65_536))
        self.body = b"ok"
        self.client.sendall(b"\r\n")
        self.assertIn(b"HTTP/1.1 200 ", self.client.recv(65_536)[-100:])

    def test_the_end_of_a_client_whose_request_is_in_progress_is_noticed(self) -> None:
        # Guards against work for a client that has left, after a request that is
        # larger than what is held of the next ones.
        self.holds = True
        address = self.client.getpeername()
        size = 2 * client_connections.PIPELINED_BYTES
        post = REQUEST.replace(b"GET", b"POST")[:-2]
        bodies = {
            "none": REQUEST,
            "whole": post + b"Content-Length: %d\r\n\r\n" % size + b"x" * size,
            "chunked": post
            + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % size
            + b"x" * size
            + b"\r\n0\r\n\r\n",
        }
        for name, data in bodies.items():
            with self.subTest(name):
                self.client = socket.create_connection(address)
                received, disconnected = self.received, self.disconnected
                self.client.sendall(data)
                with eventlet.Timeout(WAIT_S):
                    while self.received == received:
                        eventlet.sleep(0.01)
                self.client.close()
                with eventlet.Timeout(NOTICED_S):
                    while self.disconnected == disconnected:
                        eventlet.sleep(0.01)

    def test_connection_without_progress_is_closed(self) -> None:
        self.server.limits = routes.ClientLimits(idle_timeout_ms=300)
        self.body = b"b" * LARGE_BYTES
        self.client.sendall(REQUEST)
        with eventlet.Timeout(WAIT_S):
            while self.server.connections:
                eventlet.sleep(0.05)
        self.assertEqual(self.received, 1)

    def test_endless_pipelining_ends_in_an_error(self) -> None:
        self.holds = True
        for _ in range(5):
            self.client.sendall(REQUEST * 10)
            eventlet.sleep(0.02)
        self.holds = False
        data = client_answers.encode_status(200, "ok", False)
        self.connection.answer(data, False)
        received = self._read_until_closed()
        answered = received.count(b"HTTP/1.1 200 OK")
        self.assertLessEqual(answered, 3 * client_requests.MAXIMUM_PIPELINED_REQUESTS)
        self.assertEqual(received.count(b"HTTP/1.1 400 "), 1)

    def test_answers_to_head_requests_have_no_body(self) -> None:
        head = REQUEST.replace(b"GET", b"HEAD")
        limits = routes.ClientLimits(
            header_bytes=100, body_bytes=5, header_timeout_ms=300
        )
        cases = {
            "answered": (
                head.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"),
                200,
            ),
            "no host": (b"HEAD /a HTTP/1.1\r\n\r\n", 400),
            "large head": (head[:-2] + b"X: " + b"x" * 200 + b"\r\n\r\n", 431),
            "large body": (head[:-2] + b"Content-Length: 9\r\n\r\n", 413),
            "unfinished": (head[:-2], 408),
        }
        self.server.limits = limits
        for name, (data, status) in cases.items():
            with self.subTest(name):
                self.client = socket.create_connection(self.client.getpeername())
                self.addCleanup(self.client.close)
                self.client.sendall(data)
                received = self._read_until_closed()
                self.assertTrue(received.startswith(b"HTTP/1.1 %d " % status))
                self.assertEqual(received.partition(b"\r\n\r\n")[2], b"")

    def _ask(self, data: bytes) -> bytes:
        """Send bytes on the kept connection; return the head of the answer."""
        self.client.sendall(data)
        return self.client.recv(65_536).partition(b"\r\n")[0]

    def test_a_kept_connection_has_the_limits_in_force(self) -> None:
        # Guards against a proper request that is denied because its connection was
        # accepted under lower limits (DENIED).
        large_head = REQUEST[:-2] + b"X: " + b"x" * 200 + b"\r\n\r\n"
        large_body = REQUEST[:-2] + b"Content-Length: 90\r\n\r\n" + b"x" * 90
        narrow = routes.ClientLimits(header_bytes=100, body_bytes=50)
        cases = (
            (large_head, narrow._replace(header_bytes=1_000), b"431"),
            (large_body, narrow._replace(body_bytes=100), b"413"),
        )
        for data, wide, refusal in cases:
            with self.subTest(refusal):
                self.server.limits = narrow
                self.client = socket.create_connection(self.client.getpeername())
                self.addCleanup(self.client.close)
                self.assertIn(b" 200 ", self._ask(REQUEST))
                self.server.limits = wide
                self.assertIn(b" 200 ", self._ask(data))
                self.server.limits = narrow
                self.assertIn(b" %b " % refusal, self._ask(data))

    def test_a_lower_limit_does_not_end_a_body_that_is_being_received(self) -> None:
        self.assertIn(b" 200 ", self._ask(REQUEST))
        self.client.sendall(REQUEST[:-2] + b"Content-Length: 90\r\n\r\n" + b"x" * 40)
        eventlet.sleep(0.05)
        self.server.limits = routes.ClientLimits(body_bytes=50)
        self.assertIn(b" 200 ", self._ask(b"x" * 50))

    def test_time_limits_in_force_hold_for_open_connections(self) -> None:
        self.server.limits = routes.ClientLimits(
            header_timeout_ms=200, idle_timeout_ms=200
        )
        eventlet.sleep(0.1)
        self.server.limits = routes.ClientLimits()
        grace_ms = client_connections.IDLE_GRACE_MS
        sweep_ms = client_connections.SWEEP_INTERVAL_MS
        self.client.sendall(REQUEST[:-2])
        eventlet.sleep((200 + grace_ms + 2 * sweep_ms) / 1000)
        self.assertIn(b" 200 ", self._ask(b"\r\n"))
        self.server.limits = routes.ClientLimits(idle_timeout_ms=200)
        with eventlet.Timeout((200 + grace_ms + 2 * sweep_ms) / 1000):
            self.assertEqual(self.client.recv(100), b"")

    def test_invalid_bytes_after_a_request_are_refused_at_once(self) -> None:
        self.client.sendall(REQUEST + b"\x00 no request\r\n\r\n")
        received = self._read_until_closed()
        self.assertEqual(received.count(b"HTTP/1.1 200 OK"), 1)
        self.assertEqual(received.count(b"HTTP/1.1 400 "), 1)
