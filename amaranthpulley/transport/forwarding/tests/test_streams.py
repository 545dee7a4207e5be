"""Tests of streams whose peer reads slowly."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import os  # noqa: E402
import resource  # noqa: E402
import socket  # noqa: E402
import sys  # noqa: E402
import tracemalloc  # noqa: E402
import unittest  # noqa: E402

import eventlet  # noqa: E402
import eventlet.patcher  # noqa: E402
import hypothesis  # noqa: E402
from hypothesis import strategies  # noqa: E402

from amaranthpulley.transport.forwarding import streams  # noqa: E402

_plain_socket = eventlet.patcher.original("socket")


class StreamTest(unittest.TestCase):
    """Bytes that the kernel does not accept at once."""

    def _stream(self) -> tuple[streams.Stream, socket.socket]:
        near, far = _plain_socket.socketpair()
        near.setblocking(False)
        far.setblocking(False)
        self.addCleanup(far.close)
        stream = streams.Stream(near, lambda _data: None, streams.ignore)
        self.addCleanup(stream.close)
        return stream, far

    def _read_all(self, stream: streams.Stream, far: socket.socket) -> bytes:
        received = []
        with eventlet.Timeout(5.0):
            while True:
                try:
                    received.append(far.recv(100_000))
                except BlockingIOError:
                    if not stream.unsent_bytes:
                        return b"".join(received)
                    eventlet.sleep(0)

    @hypothesis.settings(
        derandomize=True, deadline=None, database=None, max_examples=50
    )
    @hypothesis.given(
        strategies.lists(
            strategies.lists(strategies.sampled_from((0, 1, 3_000, 200_000))),
            max_size=8,
        )
    )
    def test_parts_arrive_whole_and_in_order(self, writes: list[list[int]]) -> None:
        stream, far = self._stream()
        sent = b""
        for number, sizes in enumerate(writes):
            parts = [bytes([number + n]) * size for n, size in enumerate(sizes)]
            stream.write(*parts)
            sent += b"".join(parts)
        self.assertEqual(self._read_all(stream, far), sent)
        self.assertEqual(stream.unsent_bytes, 0)

    def test_a_body_is_not_copied(self) -> None:
        # Guards against a copy of a body for each leaf to which it is sent.
        body = bytes(5_000_000)
        before = sys.getrefcount(body)
        found = [self._stream()[0] for _ in range(20)]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for stream in found:
            stream.write(b"head", body)
        self.assertLess(tracemalloc.get_traced_memory()[1], 500_000)
        self.assertGreater(sum(s.unsent_bytes for s in found), 10 * len(body))
        for stream in found:
            stream.close()
        self.assertEqual(sys.getrefcount(body), before)

    def test_nothing_is_read_while_paused(self) -> None:
        near, far = _plain_socket.socketpair()
        near.setblocking(False)
        self.addCleanup(far.close)
        received: list[bytes] = []
        stream = streams.Stream(near, received.append, streams.ignore)
        self.addCleanup(stream.close)
        stream.start()
        stream.pause()
        far.sendall(b"data")
        eventlet.sleep(0.02)
        self.assertEqual(received, [])
        stream.start()
        stream.start()
        eventlet.sleep(0.02)
        self.assertEqual(received, [b"data"])


class ListenerTest(unittest.TestCase):
    """A listening socket without free descriptors."""

    def test_accepting_pauses_and_resumes(self) -> None:
        # Guards against a loop that is busy with connections it cannot accept.
        accepted: list[socket.socket] = []
        listener = streams.listen("127.0.0.1:0", accepted.append)
        self.addCleanup(listener.close)
        self.addCleanup(lambda: [found.close() for found in accepted])
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        host, port = listener.address.rsplit(":", 1)
        client = _plain_socket.socket()
        self.addCleanup(client.close)
        lowest_free = os.dup(client.fileno())
        os.close(lowest_free)
        logs = self.assertLogs("amaranthpulley.streams", "WARNING")
        resource.setrlimit(resource.RLIMIT_NOFILE, (lowest_free, hard))
        try:
            client.connect((host, int(port)))
            with logs:
                eventlet.sleep(streams.ACCEPT_PAUSE_MS / 2_000)
            self.assertEqual(len(logs.watcher.records), 1)
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        with eventlet.Timeout(5.0):
            while not accepted:
                eventlet.sleep(0.02)
