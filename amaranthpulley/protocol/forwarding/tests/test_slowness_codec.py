"""Tests of the datagrams about slow leaves."""

import math
import unittest

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.protocol.forwarding import slowness_codec


class SlownessCodecTest(unittest.TestCase):
    """Datagrams there and back."""

    def test_a_message_comes_back_as_it_was(self) -> None:
        message = slowness_codec.SlownessMessage("leaf", 3.5)
        data = slowness_codec.encode(message)
        self.assertEqual(slowness_codec.decode(data), message)

    def test_what_is_no_message_is_refused(self) -> None:
        values = (("leaf",), ("leaf", "3"), (7, 3.0), {"leaf": 3.0})
        numbers = (math.nan, math.inf, 0.0, -1.0)
        bodies = [msgspec.msgpack.encode(value) for value in values]
        bodies += [msgspec.msgpack.encode(("leaf", number)) for number in numbers]
        for body in (b"", b"\xc1", b"GET / HTTP/1.1\r\n", *bodies):
            with self.subTest(body), self.assertRaises(errors.MalformedMessageError):
                slowness_codec.decode(body)
