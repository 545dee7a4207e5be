"""Tests of the codec of messages between daemons."""

import unittest

from amaranthpulley.coordination.forwarding.rollouts import evidence
from amaranthpulley.protocol import errors
from amaranthpulley.protocol.forwarding import peer_message_codec
from amaranthpulley.state.forwarding import gateway, peer_messages

EVIDENCE = peer_messages.RolloutEvidence(
    "visits",
    11,
    2,
    "vm-1",
    5,
    (peer_messages.RouteCounts("visit", (4, 1, 0, 40, 0, 2)),),
    (6, 1, 0, 60, 1, 2),
)
MESSAGES = (
    peer_messages.TokenRequest(7, "front-desk", 3),
    peer_messages.TokenGrant(7, 2, 40),
    EVIDENCE,
    peer_messages.MembershipQuery(8, "vm-1"),
    peer_messages.MembershipConfirmation(8, "vm-2"),
)


# A datagram fits one packet.
LARGEST_BYTES = 1_200
# Control traffic that a daemon may cause.
LARGEST_BYTES_PER_S = 30_000
DATAGRAM_HEADER_BYTES = 28
ROLLBACK_MS = gateway.Limits().rollback_ms


class RolloutEvidenceTest(unittest.TestCase):
    """Counts that are too large for a packet are lost with one of its fragments."""

    def test_the_largest_message_fits_a_datagram(self) -> None:
        row = peer_messages.RouteCounts("x" * evidence.LONGEST_ROUTE_NAME, (10**6,) * 6)
        largest = EVIDENCE._replace(
            service="s" * 60,
            source="v" * 60,
            order=2**44 - 1,
            life=2**53,
            routes=(row,) * evidence.MOST_ROUTES,
            total=(10**8,) * 6,
        )
        size = len(peer_message_codec.encode(largest))
        self.assertLessEqual(size, LARGEST_BYTES)

    def test_what_a_judge_gets_is_bounded(self) -> None:
        row = peer_messages.RouteCounts("visit", (1_000, 90, 90, 9_000, 90, 90))
        usual = EVIDENCE._replace(routes=(row, row), total=row.counts)
        size = len(peer_message_codec.encode(usual)) + DATAGRAM_HEADER_BYTES
        for daemons in (24, 77, 300):
            interval_ms = max(
                ROLLBACK_MS // evidence.INTERVAL_PART,
                evidence.INTERVAL_PER_DAEMON_MS * daemons,
            )
            per_s = size * daemons * 1_000 / interval_ms
            with self.subTest(daemons=daemons, bytes_per_s=int(per_s)):
                self.assertLess(per_s, LARGEST_BYTES_PER_S)


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
