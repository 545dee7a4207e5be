"""Tests of the codec of reports of slow leaves."""

import math
import unittest

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.protocol.forwarding import slowness_codec


class SlownessCodecTest(unittest.TestCase):
    """Round trips, and bytes that are not a report."""

    def test_message_round_trip(self) -> None:
        message = slowness_codec.SlownessMessage("leaf", 3.5)
        data = slowness_codec.encode(message)
        self.assertEqual(slowness_codec.decode(data), message)

    def test_malformed_messages_are_rejected(self) -> None:
        values = (("leaf",), ("leaf", "3"), (7, 3.0), {"leaf": 3.0})
        numbers = (math.nan, math.inf, 0.0, -1.0)
        bodies = [msgspec.msgpack.encode(value) for value in values]
        bodies += [msgspec.msgpack.encode(("leaf", number)) for number in numbers]
        for body in (b"", b"\xc1", b"GET / HTTP/1.1\r\n", *bodies):
            with self.subTest(body), self.assertRaises(errors.MalformedMessageError):
                slowness_codec.decode(body)
