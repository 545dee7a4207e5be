"""Tests of the codec of the losses that daemons tell each other."""

import unittest

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.protocol.forwarding import loss_codec
from amaranthpulley.state.forwarding import crashes


class LossCodecTest(unittest.TestCase):
    """Round trips, and bytes that are not losses."""

    def test_losses_round_trip(self) -> None:
        losses = (crashes.Loss(2**64 - 1, 0), crashes.Loss(1, 2, True, True))
        self.assertEqual(loss_codec.decode(loss_codec.encode(losses)), losses)

    def test_malformed_messages_are_rejected(self) -> None:
        values = (7, {"a": 1}, [[1]], [[1, "2"]], [[-1, 2]], [[1, 2**64]], [[1, 2, 3]])
        for value in values:
            body = b"" if value == [[1, 2**64]] else msgspec.msgpack.encode(value)
            with self.subTest(value), self.assertRaises(errors.MalformedMessageError):
                loss_codec.decode(loss_codec.PREFIX + body)
