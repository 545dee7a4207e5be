"""Tests of datagrams between daemons."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import socket  # noqa: E402
import unittest  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import commands, events  # noqa: E402
from amaranthpulley.transport import errors  # noqa: E402
from amaranthpulley.transport.forwarding import datagrams  # noqa: E402

ADDRESS = "127.0.0.1:0"


class DatagramsTest(unittest.TestCase):
    """Two daemons, and a sender that is none."""

    def setUp(self) -> None:
        self.heard: list[events.Event] = []
        self.sender = datagrams.DatagramSocket(ADDRESS, self.heard.append)
        self.receiver = datagrams.DatagramSocket(ADDRESS, self.heard.append)

    def _wait(self) -> None:
        with eventlet.Timeout(5):
            while not self.heard:
                eventlet.sleep(0.01)

    def test_what_is_told_is_heard(self) -> None:
        addresses = ("127.0.0.1:9", self.receiver.address)
        self.sender.send_slowness(commands.ReportSlowness("leaf", 4.0, addresses))
        self._wait()
        self.assertEqual(self.heard, [events.SlownessReported("leaf", 4.0)])

    def test_other_bytes_are_passed_over(self) -> None:
        host, port = self.receiver.address.split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
            for data in (b"", b"x" * 1_000):
                stranger.sendto(data, (host, int(port)))
        told = commands.ReportSlowness("leaf", 4.0, (self.receiver.address,))
        self.sender.send_slowness(told)
        self._wait()
        self.assertEqual(len(self.heard), 1)

    def test_an_address_in_use_is_said(self) -> None:
        with self.assertRaises(errors.AddressInUseError):
            datagrams.DatagramSocket(self.receiver.address, self.heard.append)
