"""Tests of the HTTP servers."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import http  # noqa: E402
import io  # noqa: E402
import socket  # noqa: E402
import unittest  # noqa: E402

import eventlet  # noqa: E402
import eventlet.event  # noqa: E402
import urllib3  # noqa: E402

from amaranthpulley.state.forwarding import (  # noqa: E402
    client_budget,
    client_holdings,
)
from amaranthpulley.transport import errors, http_connections, web  # noqa: E402

_LONG_GRACE_MS = 30_000
_ANSWER_TIME_S = 0.1


class HeadRequestTest(unittest.TestCase):
    """HEAD requests on a connection that is kept open."""

    def test_the_answer_has_no_body(self) -> None:
        # Guards against a body that the client finds in front of its next answer.
        routes = {("GET", "/"): lambda _: web.Reply(http.HTTPStatus.OK, b"whole")}
        listener = web.listen("127.0.0.1:0")
        server = web.WebServer(listener, web.application(routes))
        self.addCleanup(server.stop)
        host, port = server.address.rsplit(":", 1)
        kept = socket.create_connection((host, int(port)))
        self.addCleanup(kept.close)
        received = []
        for method in ("HEAD", "GET"):
            kept.sendall(f"{method} / HTTP/1.1\r\nHost: h\r\n\r\n".encode())
            eventlet.sleep(_ANSWER_TIME_S)
            received.append(kept.recv(65_536).partition(b"\r\n\r\n"))
        self.assertTrue(received[0][0].startswith(b"HTTP/1.1 404 "))
        self.assertEqual([body for _, _, body in received], [b"", b"whole"])


class ReadBodyTest(unittest.TestCase):
    """Bodies that a process receives at the same time."""

    BUDGET = client_budget.budget_of()._replace(memory_bytes=20_000)

    def _environ(self, body: bytes) -> web.Environ:
        return {"CONTENT_LENGTH": str(len(body)), "wsgi.input": io.BytesIO(body)}

    def test_a_body_beyond_the_budget_is_refused(self) -> None:
        # Guards against bodies that stop short and together fill the memory.
        holdings = client_holdings.ClientHoldings(self.BUDGET)
        other = client_holdings.Holding(client_budget.Server.FRONT, 0)
        holdings.add(other)
        holdings.update(other, 0, 12_000)
        with self.assertRaises(errors.BodyMemorySpentError):
            web.read_body(self._environ(b"x" * 5_000), 10_000, holdings)
        holdings.remove(other)
        read = web.read_body(self._environ(b"x" * 5_000), 10_000, holdings)
        self.assertEqual(read, b"x" * 5_000)
        self.assertEqual(holdings.total_bytes, 0)


class WebServerTest(unittest.TestCase):
    """The shutdown of a server."""

    def setUp(self) -> None:
        self.started = eventlet.event.Event()
        self.release = eventlet.event.Event()
        routes = {("GET", "/"): self._answer}
        listener = web.listen("127.0.0.1:0")
        self.server = web.WebServer(listener, web.application(routes))
        self.pool = http_connections.connection_pool(self.server.address, 1)
        self.addCleanup(self.pool.close)

    def _answer(self, environ: web.Environ) -> web.Reply:
        if not self.started.ready():
            self.started.send()
        self.release.wait()
        return web.Reply(http.HTTPStatus.OK, b"whole")

    def _call(self) -> bytes:
        return self.pool.urlopen("GET", "/", retries=False, timeout=30).data

    def test_stop_waits_for_the_answer(self) -> None:
        call = eventlet.spawn(self._call)
        self.started.wait()
        stop = eventlet.spawn(self.server.stop, _LONG_GRACE_MS)
        eventlet.sleep(0)
        self.release.send()
        self.assertEqual(call.wait(), b"whole")
        stop.wait()

    def test_stop_aborts_the_answer_after_the_grace_period(self) -> None:
        call = eventlet.spawn(self._call)
        self.started.wait()
        self.server.stop(grace_ms=1)
        with self.assertRaises(urllib3.exceptions.ProtocolError):
            call.wait()

    def test_stop_closes_idle_connections(self) -> None:
        self.release.send()
        self._call()
        self.server.stop(_LONG_GRACE_MS)
        with self.assertRaises(urllib3.exceptions.HTTPError):
            self._call()
