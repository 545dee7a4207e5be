"""Tests of the codec of messages between daemons."""

import unittest

from amaranthpulley.protocol import errors
from amaranthpulley.protocol.forwarding import peer_message_codec
from amaranthpulley.state.forwarding import peer_messages

MESSAGES = (
    peer_messages.TokenRequest(7, "front-desk", 3),
    peer_messages.TokenGrant(7, 2, 40),
    peer_messages.MembershipQuery(8, "vm-1"),
    peer_messages.MembershipConfirmation(8, "vm-2"),
)


class PeerMessageCodecTest(unittest.TestCase):
    """A field that is lost or mixed up on the way grants what nobody granted."""

    def test_messages_are_decoded_as_they_were_sent(self) -> None:
        for message in MESSAGES:
            with self.subTest(message=message):
                data = peer_message_codec.encode(message)
                self.assertEqual(peer_message_codec.decode(data), message)

    def test_kind_of_a_later_version_is_left_out(self) -> None:
        data = peer_message_codec.PREFIX + b"\xff\x90"
        self.assertIsNone(peer_message_codec.decode(data))

    def test_malformed_datagrams_raise(self) -> None:
        whole = peer_message_codec.encode(MESSAGES[0])
        for data in (b"", b"L", peer_message_codec.PREFIX, whole[:-1], whole + b"x"):
            with self.subTest(data=data):
                with self.assertRaises(errors.MalformedMessageError):
                    peer_message_codec.decode(data)
