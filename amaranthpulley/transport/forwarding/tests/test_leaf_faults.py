"""Tests of leaves whose answers break off, come twice, or never end."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import socket  # noqa: E402
import struct  # noqa: E402
import unittest  # noqa: E402
from typing import Final  # noqa: E402

import eventlet  # noqa: E402
import eventlet.patcher  # noqa: E402

from amaranthpulley.coordination.forwarding import commands  # noqa: E402
from amaranthpulley.protocol.forwarding import (  # noqa: E402
    header_names,
)
from amaranthpulley.state.forwarding import requests  # noqa: E402
from amaranthpulley.transport import system_clock  # noqa: E402
from amaranthpulley.transport.forwarding import (  # noqa: E402
    leaf_connections,
    streams,
)

_plain_socket: Final = eventlet.patcher.original("socket")
NAMES: Final = header_names.HeaderNames(
    *(b"x-id", b"x-left", b"x-signed", b"x-wanted", b"x-load", b"x-not-run"),
    *(b"x-leaf", b"x-parts", b"x-missing", b"retry-after", b"x-limit", b"x-leaving"),
)
WAIT_S: Final = 5.0
HEAD: Final = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\n"
# Closes with a reset: the kernel drops unsent bytes and lingers for 0 s.
RESET_ON_CLOSE: Final = struct.pack("ii", 1, 0)


def _whole(request_id: bytes, body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: %d\r\n\r\n%b" % (
        request_id,
        len(body),
        body,
    )


class _LeafFaultTest(unittest.TestCase):
    """A leaf that writes scripted bytes after each request."""

    def setUp(self) -> None:
        self.pool = leaf_connections.LeafConnections(NAMES, system_clock.system_clock())
        self.accepted: list[socket.socket] = []
        self.script: list[list[bytes]] = []
        self.endless = b""
        self.written = 0
        self.listener = streams.listen("127.0.0.1:0", self._accept)
        self.addCleanup(self.listener.close)
        self.addCleanup(self._close_all)
        self.ended: list[object] = []

    def _close_all(self) -> None:
        for connection in self.accepted:
            connection.close()

    def _accept(self, connection: socket.socket) -> None:
        self.accepted.append(connection)
        eventlet.spawn_n(self._serve, connection)

    def _serve(self, connection: socket.socket) -> None:
        while connection.fileno() >= 0:
            eventlet.sleep(0.002)
            try:
                if not connection.recv(65_536):
                    return
            except BlockingIOError:
                continue
            except OSError:
                return
            for part in self.script.pop(0) if self.script else []:
                connection.send(part)
                eventlet.sleep(0.01)
            self._write_endlessly(connection)

    def _write_endlessly(self, connection: socket.socket) -> None:
        while self.endless:
            try:
                self.written += connection.send(self.endless)
            except BlockingIOError:
                pass
            except OSError:
                return
            eventlet.sleep(0)

    def begin(self, request_id: bytes = b"r1", is_head: bool = False) -> None:
        """Send a request without waiting for its end."""
        connection = self.pool.acquire(self.listener.address, commands.Reuse.ANY)
        connection.exchange(
            b"request", request_id, is_head, self.ended.append, self.ended.append
        )

    def wait(self, count: int = 1) -> object:
        """Wait for a number of ends and return the last."""
        with eventlet.Timeout(WAIT_S):
            while len(self.ended) < count:
                eventlet.sleep(0.002)
        return self.ended[-1]

    def exchange(self, request_id: bytes = b"r1", is_head: bool = False) -> object:
        """Send a request and return its end."""
        count = len(self.ended)
        self.begin(request_id, is_head)
        return self.wait(count + 1)


class BrokenOffAnswerTest(_LeafFaultTest):
    """A leaf that closes or resets the connection within its answer."""

    FRAMINGS: Final = {
        "length": HEAD + b"Content-Length: 4\r\n\r\nbody",
        "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
    }

    def _end_at(self, data: bytes, reset: bool) -> object:
        self.accepted.clear()
        self.script = [[data]] if data else [[]]
        count = len(self.ended)
        self.begin()
        with eventlet.Timeout(WAIT_S):
            while self.script or not self.accepted:
                eventlet.sleep(0.002)
        eventlet.sleep(0.012)
        if reset:
            option = _plain_socket.SO_LINGER
            level = _plain_socket.SOL_SOCKET
            self.accepted[-1].setsockopt(level, option, RESET_ON_CLOSE)
        self.accepted[-1].close()
        return self.wait(count + 1)

    def test_answer_cut_at_any_byte_is_lost(self) -> None:
        for name, whole in self.FRAMINGS.items():
            for end in range(len(whole)):
                for reset in (False, True):
                    with self.subTest(name, end=end, reset=reset):
                        found = self._end_at(whole[:end], reset)
                        self.assertIs(found, requests.AttemptEnd.LOST)

    def test_unframed_answer_that_is_reset_is_lost(self) -> None:
        found = self._end_at(HEAD + b"\r\nbody", reset=True)
        self.assertIs(found, requests.AttemptEnd.LOST)

    def test_unframed_answer_ends_with_its_connection(self) -> None:
        found = self._end_at(HEAD + b"\r\nbody", reset=False)
        self.assertEqual(found.body, b"body")


class SecondCopyTest(_LeafFaultTest):
    """Copies of an earlier answer arrive where the next answer is due."""

    OLD: Final = _whole(b"r1", b"old")
    NEW: Final = _whole(b"r2", b"new")
    UNMARKED: Final = OLD.replace(b"X-Id: r1\r\n", b"")
    COPIES: Final = {
        "whole": [OLD, NEW],
        "whole, in one packet": [OLD + NEW],
        "in two packets": [OLD[:30], OLD[30:], NEW],
        "in two packets, around the answer's start": [OLD[:30], OLD[30:] + NEW],
        "twice": [OLD, OLD, NEW],
        "cut short": [OLD[:-2], NEW],
        "its rest only": [OLD[30:], NEW],
        "without an id": [UNMARKED, NEW],
        "between interim answers": [
            b"HTTP/1.1 100 Continue\r\n\r\n" + OLD,
            b"HTTP/1.1 103 Early Hints\r\n\r\n" + NEW,
        ],
    }

    def _is_own(self, found: object) -> bool:
        if isinstance(found, requests.AttemptEnd):
            return True
        return found.body in (b"new", b"")

    def test_next_caller_never_gets_the_copy(self) -> None:
        for name, parts in self.COPIES.items():
            with self.subTest(name):
                self.script = [[self.OLD], parts, [_whole(b"r3", b"3")]]
                self.assertEqual(self.exchange(b"r1").body, b"old")
                count = len(self.ended)
                self.begin(b"r2")
                try:
                    found = self.wait(count + 1)
                except eventlet.Timeout:
                    # The rest of a copy that was cut short holds back the answer.
                    self.assertEqual(name, "cut short")
                    self.ended.append(requests.AttemptEnd.LOST)
                    continue
                self.assertTrue(self._is_own(found), found)
                self.script = [[_whole(b"r3", b"3")]]
                self.assertEqual(self.exchange(b"r3").body, b"3")

    def test_copy_of_an_answer_with_a_body_is_not_that_to_head(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: r2\r\nContent-Length: 3\r\n\r\n"
        self.script = [[self.OLD], [self.OLD + head], [_whole(b"r3", b"3")]]
        self.assertEqual(self.exchange(b"r1").body, b"old")
        found = self.exchange(b"r2", is_head=True)
        self.assertIs(found, requests.AttemptEnd.MALFORMED)
        self.assertEqual(self.exchange(b"r3").body, b"3")

    def test_connection_is_not_reused_after_head(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: r1\r\nContent-Length: 3\r\n\r\n"
        self.script = [[head], [_whole(b"r2", b"new")]]
        self.assertEqual(self.exchange(b"r1", is_head=True).body, b"")
        self.assertEqual(self.exchange(b"r2").body, b"new")


class EndlessAnswerTest(_LeafFaultTest):
    """A leaf that sends bytes without end until the connection is closed."""

    CASES: Final = {
        "head": (HEAD, b"X-More: a\r\n" * 1_000),
        "header line": (HEAD + b"X-Long: ", b"a" * 10_000),
        "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 400),
        "body": (HEAD + b"\r\n", b"b" * 60_000),
        "chunks": (
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
            b"ea60\r\n" + b"b" * 60_000 + b"\r\n",
        ),
    }

    def test_connection_is_closed_and_the_attempt_fails(self) -> None:
        for name, (first, repeated) in self.CASES.items():
            with self.subTest(name):
                self.script, self.endless, self.written = [[first]], repeated, 0
                found = self.exchange()
                self.endless = b""
                self.assertIs(found, requests.AttemptEnd.OVERSIZED)
                self.assertEqual(self.pool.buffered_bytes, 0)

    def test_answers_in_progress_share_a_limit(self) -> None:
        self.pool.buffer_limit_bytes = 100_000
        first = HEAD + b"Content-Length: 1000000\r\n\r\n" + b"b" * 40_000
        self.script = [[first] for _ in range(4)]
        for _ in range(4):
            self.begin()
        self.wait(2)
        self.assertEqual(self.ended, [requests.AttemptEnd.OVERSIZED] * 2)
        self.assertLessEqual(self.pool.buffered_bytes, 100_000)
        self.assertGreater(self.pool.buffered_bytes, 0)
