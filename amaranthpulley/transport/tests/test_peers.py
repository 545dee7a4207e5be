"""Tests of messages between peers, over real loopback connections."""

import contextlib
import http
import unittest
from collections.abc import Callable
from typing import Any, Final, NamedTuple
from unittest import mock

from amaranthpulley.transport import loop

loop.prepare_loop()

import eventlet  # noqa: E402
import eventlet.event  # noqa: E402

from amaranthpulley.transport import errors, peers, web  # noqa: E402
from amaranthpulley.transport.tests import fake_peer  # noqa: E402

LOOPBACK: Final = "127.0.0.1:0"
LIMIT_BYTES: Final = 1 << 20
LONG_TIMEOUT_MS: Final = 20_000
SHORT_TIMEOUT_MS: Final = 200


def _echo(_sender_ip: str, message: bytes) -> bytes:
    return message


def _fail(_sender_ip: str, message: bytes) -> bytes:
    raise ValueError(f"cannot handle {message!r}")


def _time_out(_sender_ip: str, _message: bytes) -> bytes:
    raise eventlet.Timeout()


class Refusal(NamedTuple):
    """A handler and a message that the server answers with an error."""

    name: str
    handle: Callable[[str, bytes], bytes]
    message: bytes
    text: str


class Failure(NamedTuple):
    """A peer's behaviour on a request, and the text of the call's error."""

    name: str
    behaviour: Callable[[Any], None]
    text: str


REFUSALS: Final = (
    Refusal("over the limit", _echo, b"x" * (LIMIT_BYTES + 1), "over 1048576 bytes"),
    Refusal("far over the limit", _echo, b"x" * (LIMIT_BYTES * 8), "status 413"),
    Refusal("failing handler", _fail, b"a", "ValueError: cannot handle b'a'"),
    Refusal("timeout in the handler", _time_out, b"a", "Timeout"),
    Refusal(
        "reply over the limit",
        lambda _ip, _message: b"x" * (LIMIT_BYTES + 1),
        b"a",
        "the reply is over",
    ),
)
FAILURES: Final = (
    Failure("silent", fake_peer.never_reply, "no reply"),
    Failure("trickling", fake_peer.trickle, "no reply"),
    Failure("closed before the reply", fake_peer.close, "ended before the reply"),
    Failure(
        "closed within the reply", fake_peer.truncate_reply, "ended before the reply"
    ),
    Failure("other protocol", fake_peer.send_other_protocol, "ended before the reply"),
)
MALFORMED_ADDRESSES: Final = (
    "",
    "127.0.0.1",
    ":1",
    "127.0.0.1:",
    "127.0.0.1:x",
    "127.0.0.1:-1",
    "127.0.0.1:65536",
)


class PeersTest(unittest.TestCase):
    """Calls between peers."""

    def setUp(self) -> None:
        self.channels = peers.PeerChannels()
        self.addCleanup(self.channels.close)
        guard = eventlet.Timeout(3 * LONG_TIMEOUT_MS / 1000)
        self.addCleanup(guard.cancel)

    def _serve(
        self,
        handle: Callable[[str, bytes], bytes] = _echo,
        address: str = LOOPBACK,
    ) -> web.WebServer:
        server = peers.serve_peers(address, handle, LIMIT_BYTES)
        self.addCleanup(server.stop, 0)
        return server

    def _fake(self, *scripts: tuple[Callable[[Any], None], ...]) -> fake_peer.FakePeer:
        fake = fake_peer.FakePeer(*scripts)
        self.addCleanup(fake.close)
        return fake

    def _call(self, address: str, message: bytes = b"a") -> bytes:
        return self.channels.call(address, message, LONG_TIMEOUT_MS)

    def test_reply_is_that_of_the_handler(self) -> None:
        server = self._serve(lambda ip, message: ip.encode() + message[::-1])
        for message in (b"", b"ab", bytes(range(256)), b"xy" * (LIMIT_BYTES // 4)):
            with self.subTest(size=len(message)):
                reply = self._call(server.address, message)
                self.assertEqual(reply, b"127.0.0.1" + message[::-1])

    def test_server_keeps_serving_after_an_error(self) -> None:
        for case in REFUSALS:
            with self.subTest(case.name):

                def handle(ip: str, message: bytes, case: Refusal = case) -> bytes:
                    if message == b"good":
                        return b"fine"
                    return case.handle(ip, message)

                server = self._serve(handle)
                with self.assertRaises(errors.PeerRejectedError) as caught:
                    self._call(server.address, case.message)
                self.assertIn(case.text, str(caught.exception))
                self.assertEqual(self._call(server.address, b"good"), b"fine")

    def test_message_over_the_limit_is_not_handled(self) -> None:
        handle = mock.Mock(return_value=b"")
        server = self._serve(handle)
        with self.assertRaises(errors.PeerRejectedError):
            self._call(server.address, b"x" * (LIMIT_BYTES + 1))
        handle.assert_not_called()

    def test_unknown_path_is_rejected(self) -> None:
        server = self._serve()
        with (
            mock.patch.object(peers, "_PATH", "/other"),
            self.assertRaises(errors.PeerRejectedError) as caught,
        ):
            self._call(server.address)
        self.assertIn(str(http.HTTPStatus.NOT_FOUND.value), str(caught.exception))

    def test_failed_call_may_have_been_handled(self) -> None:
        for case in FAILURES:
            with self.subTest(case.name):
                fake = self._fake((case.behaviour,), (fake_peer.send_ok_reply,))
                with self.assertRaises(errors.PeerTimedOutError) as caught:
                    self.channels.call(fake.address, b"a", SHORT_TIMEOUT_MS)
                self.assertIn(case.text, str(caught.exception))
                self.assertEqual((fake.accepted, fake.requests), (1, 1))
                self.assertEqual(self._call(fake.address), b"ok")
                self.assertEqual((fake.accepted, fake.requests), (2, 2))

    def test_unresponsive_connection_is_replaced(self) -> None:
        fake = self._fake(
            (fake_peer.send_ok_reply, fake_peer.send_ok_reply, fake_peer.never_reply),
            (fake_peer.send_ok_reply, fake_peer.send_ok_reply),
        )
        for _ in range(2):
            self.assertEqual(self._call(fake.address), b"ok")
        with self.assertRaises(errors.PeerTimedOutError):
            self.channels.call(fake.address, b"a", SHORT_TIMEOUT_MS)
        for _ in range(2):
            self.assertEqual(self._call(fake.address), b"ok")
        self.assertEqual((fake.accepted, fake.requests), (2, 5))

    def test_idle_connections_are_replaced_with_the_unresponsive_one(self) -> None:
        both_received = eventlet.event.Event()

        def answer_together(connection: Any) -> None:
            if fake.requests == 2:
                both_received.send(None)
            both_received.wait()
            fake_peer.send_ok_reply(connection)

        silent = (answer_together, fake_peer.never_reply)
        fake = self._fake(
            silent, silent, (fake_peer.send_ok_reply,), (fake_peer.send_ok_reply,)
        )
        first = eventlet.spawn(self._call, fake.address)
        self.assertEqual(self._call(fake.address), b"ok")
        self.assertEqual(first.wait(), b"ok")
        with self.assertRaises(errors.PeerTimedOutError):
            self.channels.call(fake.address, b"a", SHORT_TIMEOUT_MS)
        calls = [eventlet.spawn(self._call, fake.address) for _ in range(2)]
        self.assertEqual([call.wait() for call in calls], [b"ok", b"ok"])
        self.assertEqual((fake.accepted, fake.requests), (4, 5))

    def test_restarted_peer_is_called_on_a_new_connection(self) -> None:
        first = self._serve()
        self.assertEqual(self._call(first.address), b"a")
        first.stop(LONG_TIMEOUT_MS)
        self._serve(lambda _ip, _message: b"second", first.address)
        self.assertEqual(self._call(first.address), b"second")

    def test_refused_connection(self) -> None:
        server = self._serve()
        server.stop(0)
        with self.assertRaises(errors.PeerUnreachableError):
            self._call(server.address)

    def test_malformed_address(self) -> None:
        for address in MALFORMED_ADDRESSES:
            with (
                self.subTest(address),
                self.assertRaises(errors.PeerUnreachableError),
            ):
                self._call(address)

    def test_connection_that_is_never_accepted(self) -> None:
        listener = eventlet.listen(("127.0.0.1", 0), backlog=0)
        self.addCleanup(listener.close)
        host, port = listener.getsockname()
        with self.assertRaises(errors.PeerUnreachableError):
            # The kernel ignores new connections once its accept queue is full.
            for _ in range(8):
                with contextlib.suppress(errors.PeerTimedOutError):
                    self.channels.call(f"{host}:{port}", b"a", SHORT_TIMEOUT_MS)

    def test_blocked_handler_does_not_block_other_calls(self) -> None:
        release = eventlet.event.Event()

        def handle(_ip: str, message: bytes) -> bytes:
            if message == b"release":
                release.send(b"released")
                return b""
            return release.wait()

        server = self._serve(handle)
        blocked = [eventlet.spawn(self._call, server.address) for _ in range(5)]
        eventlet.sleep(0)
        self._call(server.address, b"release")
        self.assertEqual([thread.wait() for thread in blocked], [b"released"] * 5)

    def test_concurrent_calls_get_their_own_replies(self) -> None:
        def handle(_ip: str, message: bytes) -> bytes:
            eventlet.sleep(int(message) % 7 / 1000)
            return b"reply " + message

        server = self._serve(handle)
        messages = [str(number).encode() for number in range(60)]
        pool = eventlet.GreenPool(30)
        replies = pool.imap(lambda m: self._call(server.address, m), messages)
        self.assertEqual(list(replies), [b"reply " + m for m in messages])

    def test_late_reply_is_not_given_to_the_next_call(self) -> None:
        def handle(_ip: str, message: bytes) -> bytes:
            if message == b"late":
                eventlet.sleep(3 * SHORT_TIMEOUT_MS / 1000)
            return message

        server = self._serve(handle)
        with self.assertRaises(errors.PeerTimedOutError):
            self.channels.call(server.address, b"late", SHORT_TIMEOUT_MS)
        for number in range(10):
            message = str(number).encode()
            self.assertEqual(self._call(server.address, message), message)
            eventlet.sleep(SHORT_TIMEOUT_MS / 2000)

    def test_timeout_of_the_caller_passes_through(self) -> None:
        fake = self._fake((fake_peer.never_reply,), (fake_peer.send_ok_reply,))
        with (
            self.assertRaises(eventlet.Timeout),
            eventlet.Timeout(SHORT_TIMEOUT_MS / 1000),
        ):
            self._call(fake.address)
        self.assertEqual(self._call(fake.address), b"ok")

    def test_connection_is_kept_between_calls(self) -> None:
        fake = self._fake((fake_peer.send_ok_reply,) * 10)
        for _ in range(10):
            self._call(fake.address)
        self.assertEqual((fake.accepted, fake.requests), (1, 10))

    def test_closed_channels_reopen(self) -> None:
        closings = {
            "close_channel": lambda address: self.channels.close_channel(address),
            "close": lambda _address: self.channels.close(),
        }
        for name, close in closings.items():
            with self.subTest(name):
                fake = self._fake(
                    (fake_peer.send_ok_reply,) * 2, (fake_peer.send_ok_reply,) * 2
                )
                self._call(fake.address)
                close(fake.address)
                close(fake.address)
                self._call(fake.address)
                self.assertEqual((fake.accepted, fake.requests), (2, 2))

    def test_closing_a_channel_keeps_waiting_calls(self) -> None:
        release = eventlet.event.Event()
        entered = eventlet.event.Event()

        def handle(_ip: str, _message: bytes) -> bytes:
            entered.send(None)
            return release.wait()

        server = self._serve(handle)
        waiting = eventlet.spawn(self._call, server.address)
        entered.wait()
        self.channels.close_channel(server.address)
        release.send(b"whole")
        self.assertEqual(waiting.wait(), b"whole")

    def test_channels_are_bounded(self) -> None:
        _, port = self._serve(address="0.0.0.0:0").address.split(":")
        with mock.patch.object(peers, "MAXIMUM_CHANNELS", 3):
            for number in (1, 2, 3, 1, 4):
                self._call(f"127.0.0.{number}:{port}")
            kept = [address.split(":")[0] for address in self.channels._pools]
        self.assertEqual(kept, ["127.0.0.3", "127.0.0.1", "127.0.0.4"])

    def test_stop_waits_for_a_message_in_the_handler(self) -> None:
        entered = eventlet.event.Event()
        release = eventlet.event.Event()

        def handle(_ip: str, _message: bytes) -> bytes:
            entered.send(None)
            return release.wait()

        server = self._serve(handle)
        waiting = eventlet.spawn(self._call, server.address)
        entered.wait()
        stopping = eventlet.spawn(server.stop, LONG_TIMEOUT_MS)
        eventlet.sleep(0.05)
        with self.assertRaises(errors.PeerUnreachableError):
            peers.PeerChannels().call(server.address, b"a", LONG_TIMEOUT_MS)
        self.assertFalse(stopping.dead)
        release.send(b"whole")
        self.assertEqual(waiting.wait(), b"whole")
        stopping.wait()

    def test_stop_aborts_a_handler_after_the_grace_period(self) -> None:
        entered = eventlet.event.Event()

        def handle(_ip: str, message: bytes) -> bytes:
            entered.send(None)
            eventlet.sleep(3600)
            return message

        server = self._serve(handle)

        def stop() -> None:
            entered.wait()
            server.stop(SHORT_TIMEOUT_MS)

        stopping = eventlet.spawn(stop)
        with self.assertRaises(errors.PeerTimedOutError) as caught:
            self._call(server.address)
        self.assertIn("ended before the reply", str(caught.exception))
        stopping.wait()

    def test_address_in_use(self) -> None:
        server = self._serve()
        with self.assertRaises(errors.AddressInUseError):
            self._serve(address=server.address)


if __name__ == "__main__":
    unittest.main()
