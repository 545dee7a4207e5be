"""Tests of the codec of messages between daemons."""

import unittest

import hypothesis
import hypothesis.strategies as st
import msgspec

from amaranthpulley.coordination.control import peer_messages
from amaranthpulley.protocol import errors, peer_codec
from amaranthpulley.state.control import facts, topology

_SETTINGS = hypothesis.settings(derandomize=True, deadline=None, database=None)
_PROBE = peer_messages.ProbeAsked("10.0.0.1:1", "10.0.0.2:1")
_TARGET = topology.Target("leaf-1", "stock", 0, "s0", "Pokhara", "10.1.0.1:80")
_FACT = facts.Fact(facts.FactKind.TARGET_COLD, "leaf-1", 7, "boot-2")


class PeerCodecTest(unittest.TestCase):
    """Encoding and decoding of calls and replies."""

    def test_call_round_trip(self) -> None:
        ticket = topology.ChangeTicket(3, targets=(_TARGET,))
        spread = facts.SpreadFact(_FACT, 1_000)
        exchange = peer_messages.Exchange("a:1", (spread,), (ticket,), (1, 2), 3, True)
        for message in (_PROBE, exchange):
            with self.subTest(type(message).__name__):
                body = peer_codec.encode(message)
                self.assertEqual(peer_codec.decode_call(body), message)

    def test_reply_round_trip(self) -> None:
        message = peer_messages.Probed(True)
        body = peer_codec.encode(message)
        self.assertEqual(peer_codec.decode_reply(body), message)

    def test_malformed_calls_are_rejected(self) -> None:
        encode = msgspec.msgpack.encode
        content = msgspec.Raw(encode(_PROBE))
        cases = {
            "empty": (b"", "no message"),
            "text": (b"GET / HTTP/1.1", "no message"),
            "cut": (peer_codec.encode(_PROBE)[:-1], "no message"),
            "other version": (encode((2, "ProbeAsked", content)), "version 2"),
            "unknown name": (encode((1, "Vote", content)), "'Vote'"),
            "reply": (peer_codec.encode(peer_messages.Probed(True)), "'Probed'"),
            "wrong content": (encode((1, "ProbeAsked", [1, 2])), "ProbeAsked"),
            "more than a message": (peer_codec.encode(_PROBE) + b"\x00", "no message"),
        }
        for name, (body, text) in cases.items():
            with self.subTest(name):
                with self.assertRaises(errors.MalformedMessageError) as caught:
                    peer_codec.decode_call(body)
                self.assertIn(text, str(caught.exception))

    @_SETTINGS
    @hypothesis.given(st.binary(max_size=200))
    def test_any_bytes_raise_malformed_message_error(self, body: bytes) -> None:
        with self.assertRaises(errors.MalformedMessageError):
            peer_codec.decode_call(body)
