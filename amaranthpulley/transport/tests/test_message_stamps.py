"""Tests of the hybrid-clock stamps on messages between processes."""

import unittest

from amaranthpulley.coordination import commands, events
from amaranthpulley.coordination.control import peer_messages
from amaranthpulley.protocol import errors, peer_codec
from amaranthpulley.state import clock, hybrid_clock
from amaranthpulley.transport import message_stamps, peer_calls


def _stamps(skew_ms: int = 0) -> message_stamps.MessageStamps:
    readings = clock.VirtualClock(10_000_000 + skew_ms).as_clock()
    return message_stamps.from_hybrid_clock(hybrid_clock.HybridClock(), readings)


class MessageStampsTest(unittest.TestCase):
    """A message orders the events of both sides despite clock skew."""

    def test_call_and_reply_order_events_of_both_sides(self) -> None:
        for skew_ms in (0, 5_000, -5_000):
            with self.subTest(skew_ms=skew_ms):
                caller = _stamps()
                sent = caller.next_stamp()
                message = peer_messages.ProbeAsked("10.0.0.1:1", "10.0.0.2:1")
                seen, reply = _handle_call(
                    peer_codec.encode(message, sent), _stamps(skew_ms)
                )
                self.assertGreater(seen, sent)
                self.assertGreater(peer_codec.stamp_of(reply), seen)
                caller.observe(peer_codec.stamp_of(reply))
                self.assertGreater(caller.next_stamp(), peer_codec.stamp_of(reply))

    def test_malformed_message_has_no_stamp(self) -> None:
        for body in (b"", b"\xc1", b"\x90", b"\x93\x01\xa1x\xc0"):
            with self.subTest(body=body):
                self.assertEqual(peer_codec.stamp_of(body), 0)
                with self.assertRaises(errors.MalformedMessageError):
                    peer_codec.decode_call(body)


def _handle_call(
    body: bytes, stamps: message_stamps.MessageStamps
) -> tuple[int, bytes]:
    """Return a stamp issued while the call is handled, and the reply."""
    seen: list[int] = []

    def feed(event: events.PeerCalled) -> None:
        seen.append(stamps.next_stamp())
        calls.reply(commands.ReplyPeer(event.call_id, peer_messages.Probed(True)))

    calls = peer_calls.PeerCalls(feed, lambda ip, why: None, stamps)
    reply = calls.handle_call("10.0.0.1", body)
    return seen[0], reply
