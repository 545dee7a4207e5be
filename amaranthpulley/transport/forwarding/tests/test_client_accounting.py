"""Tests of what stays accounted for connections that have ended."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import contextlib  # noqa: E402
import random  # noqa: E402
import socket  # noqa: E402
import struct  # noqa: E402
import unittest  # noqa: E402
from typing import Final  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.protocol.forwarding import client_answers  # noqa: E402
from amaranthpulley.state import counters  # noqa: E402
from amaranthpulley.state.forwarding import client_budget, routes  # noqa: E402
from amaranthpulley.transport import system_clock  # noqa: E402
from amaranthpulley.transport.forwarding import (  # noqa: E402
    client_connections,
    client_guard,
)

CONNECTIONS: Final = 3_000
WAIT_S: Final = 10.0
# Closes a socket with a reset.
NO_LINGER: Final = struct.pack("ii", 1, 0)
REQUEST: Final = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
POST: Final = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
WHOLE: Final = POST + b"x" * 200_000
SENT: Final = (
    b"",
    REQUEST[:-2],
    REQUEST,
    REQUEST * 20,
    REQUEST + POST + b"x" * 90_000,
    POST + b"x" * 90_000,
    WHOLE,
    WHOLE + REQUEST,
    REQUEST + b"\0 no request\r\n\r\n",
    REQUEST.replace(b"GET", b"HEAD"),
    REQUEST[:-2] + b"Content-Length: 999999999\r\n\r\n",
    REQUEST[:-2] + b"X: " + b"x" * 20_000,
)


class ClientAccountingTest(unittest.TestCase):
    """Connections that end in every way, over sockets."""

    def setUp(self) -> None:
        self.random = random.Random(1)
        self.counters = counters.Counters()
        self.begun: list[client_connections.ClientConnection] = []
        self.clients: list[socket.socket] = []
        limits = dict.fromkeys(client_budget.Server, 8)
        clock = system_clock.system_clock()
        self.guard = client_guard.ClientGuard(
            clock, client_budget.Budget(400_000, limits), self.counters
        )
        handler = client_connections.Handler(
            lambda connection, _request: self.begun.append(connection),
            lambda _connection: None,
        )
        self.server = client_connections.HttpServer(
            "127.0.0.1:0",
            clock,
            handler,
            routes.ClientLimits(header_timeout_ms=300, idle_timeout_ms=300),
            self.guard,
        )
        self.addCleanup(self.server.stop_listening)

    def _connect(self, data: bytes) -> None:
        host, port = self.server.address.rsplit(":", 1)
        client = socket.create_connection((host, int(port)))
        client.setblocking(False)
        with contextlib.suppress(OSError):
            client.send(data)
        self.clients.append(client)
        eventlet.sleep(0)

    def _answer_one(self) -> None:
        if not self.begun or self.random.random() < 0.4:
            return
        begun = self.begun.pop(self.random.randrange(len(self.begun)))
        if begun.current is not None:
            body = b"b" * self.random.choice((0, 3_000_000))
            answer = client_answers.encode_status(200, "ok", False) + body
            begun.answer(answer, self.random.random() < 0.5)

    def _leave_some(self) -> None:
        while len(self.clients) > self.random.randrange(40):
            client = self.clients.pop(self.random.randrange(len(self.clients)))
            if self.random.random() < 0.5:
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
            client.close()

    def test_nothing_stays_accounted(self) -> None:
        # Guards against bytes that stay counted, so that the budget is spent by and by
        # without clients.
        for number in range(CONNECTIONS):
            self._connect(SENT[number % len(SENT)])
            self._answer_one()
            self._leave_some()
        for client in self.clients:
            client.close()
        with eventlet.Timeout(WAIT_S):
            while self.server.connections:
                # The end of a client that has sent much more is noticed by the answer.
                self._answer_one()
                eventlet.sleep(0.01)
        holdings = self.guard.holdings
        self.assertEqual((holdings.total_bytes, holdings.in_progress_bytes), (0, 0))
        self.assertEqual(list(holdings.all()), [])
        self.assertEqual(self.guard._callbacks, {})
        for limit in ("memory", "connections"):
            cut = self.counters.total("clients_cut_total", server="front", limit=limit)
            self.assertGreater(cut, 0, limit)
