"""Tests of datagrams between daemons."""

from amaranthpulley.transport import loop

loop.prepare_loop()

import socket  # noqa: E402
import unittest  # noqa: E402

import eventlet  # noqa: E402

from amaranthpulley.coordination.forwarding import commands, events  # noqa: E402
from amaranthpulley.state.forwarding import crashes, peer_messages  # noqa: E402
from amaranthpulley.transport import errors  # noqa: E402
from amaranthpulley.transport.forwarding import datagrams  # noqa: E402

ADDRESS = "127.0.0.1:0"


class DatagramsTest(unittest.TestCase):
    """Datagrams between two daemons, and bytes from a process that is not a daemon."""

    def setUp(self) -> None:
        self.received_events: list[events.Event] = []
        self.sender = datagrams.DatagramSocket(ADDRESS, self.received_events.append)
        self.receiver = datagrams.DatagramSocket(ADDRESS, self.received_events.append)

    def _wait(self) -> None:
        with eventlet.Timeout(5):
            while not self.received_events:
                eventlet.sleep(0.01)

    def test_report_is_received(self) -> None:
        addresses = ("127.0.0.1:9", self.receiver.address)
        self.sender.send_slowness(commands.ReportSlowness("leaf", 4.0, addresses))
        self._wait()
        self.assertEqual(self.received_events, [events.SlownessReported("leaf", 4.0)])

    def test_losses_are_received(self) -> None:
        losses = (crashes.Loss(7, 1), crashes.Loss(7, 2, True, True))
        addresses = (self.receiver.address,)
        self.sender.send_losses(commands.PublishLosses(losses, addresses))
        self._wait()
        expected = [events.LossTold(loss) for loss in losses]
        self.assertEqual(self.received_events, expected)

    def test_messages_are_received_with_their_sender(self) -> None:
        message = peer_messages.TokenRequest(1, "front-desk", 2)
        addresses = (self.receiver.address,)
        self.sender.send_message(commands.SendToPeers(message, addresses))
        self._wait()
        expected = events.PeerMessageReceived(message, self.sender.address)
        self.assertEqual(self.received_events, [expected])

    def test_malformed_datagrams_are_skipped(self) -> None:
        host, port = self.receiver.address.split(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as other_socket:
            for data in (b"", b"x" * 1_000, b"L", b"L" + b"x" * 1_000):
                other_socket.sendto(data, (host, int(port)))
        command = commands.ReportSlowness("leaf", 4.0, (self.receiver.address,))
        self.sender.send_slowness(command)
        self._wait()
        self.assertEqual(len(self.received_events), 1)

    def test_address_in_use_raises(self) -> None:
        with self.assertRaises(errors.AddressInUseError):
            datagrams.DatagramSocket(self.receiver.address, self.received_events.append)
