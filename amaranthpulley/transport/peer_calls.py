"""Calls to and from peers, translated between message bytes and events."""

import itertools
from collections.abc import Callable
from typing import NamedTuple

import eventlet.event

from amaranthpulley.coordination import commands, events
from amaranthpulley.protocol import errors as protocol_errors
from amaranthpulley.protocol import peer_codec
from amaranthpulley.transport import errors, message_stamps, peers

Feed = Callable[[events.Event], None]
OnRefused = Callable[[str, str], None]


class _Rejection(NamedTuple):
    """The result of a peer's call that the daemon rejects."""

    reason: str


class PeerCalls:
    """The channels to peers, and the calls from peers that wait for a reply.

    Parameters
    ----------
    feed : callable
        Passes an event to the engine.
    on_refused : callable
        Called with the sender's IP address and the reason when a message is refused.
    stamps : MessageStamps
        Creates and observes the hybrid stamps of messages.
    """

    def __init__(
        self, feed: Feed, on_refused: OnRefused, stamps: message_stamps.MessageStamps
    ) -> None:
        self._stamps = stamps
        self._feed = feed
        self._on_refused = on_refused
        self._channels = peers.PeerChannels()
        self._waiting_calls: dict[str, eventlet.event.Event] = {}
        self._call_numbers = itertools.count(1)

    def call(self, command: commands.CallPeer) -> None:
        """Send a message to a peer and feed the reply or the failure."""
        reply = self._call(command)
        self._feed(events.PeerReplied(command.purpose, command.address, reply))

    def handle_call(self, sender_ip: str, body: bytes) -> bytes:
        """Feed a peer's message and return the encoded reply.

        Raises
        ------
        MalformedMessageError
            When the message cannot be decoded or is of an unknown version.
        PeerRejectedError
            When the daemon rejects the message.
        """
        self._stamps.observe(peer_codec.stamp_of(body))
        try:
            message = peer_codec.decode_call(body)
        except protocol_errors.MalformedMessageError as error:
            is_unknown_version = isinstance(error, protocol_errors.UnknownVersionError)
            self._on_refused(
                sender_ip, "version" if is_unknown_version else "malformed"
            )
            raise
        call_id = f"call-{next(self._call_numbers)}"
        done = self._waiting_calls[call_id] = eventlet.event.Event()
        try:
            self._feed(events.PeerCalled(call_id, sender_ip, message))
            reply = done.wait()
        finally:
            self._waiting_calls.pop(call_id, None)
        if isinstance(reply, _Rejection):
            raise errors.PeerRejectedError(reply.reason)
        return peer_codec.encode(reply, self._stamps.next_stamp())

    def reply(self, command: commands.ReplyPeer) -> None:
        """Send the reply to a waiting call of a peer."""
        self._complete(command.call_id, command.reply)

    def reject(self, command: commands.RejectPeer) -> None:
        """Reject a waiting call of a peer."""
        self._complete(command.call_id, _Rejection(command.reason))

    def close(self) -> None:
        """Close all channels."""
        self._channels.close()

    def _complete(self, call_id: str, reply: tuple) -> None:
        done = self._waiting_calls.pop(call_id, None)
        if done is not None:
            done.send(reply)

    def _call(self, command: commands.CallPeer) -> tuple | events.PeerFailure:
        body = peer_codec.encode(command.message, self._stamps.next_stamp())
        try:
            reply = self._channels.call(command.address, body, command.timeout_ms)
            self._stamps.observe(peer_codec.stamp_of(reply))
            return peer_codec.decode_reply(reply)
        except errors.PeerUnreachableError:
            return events.PeerFailure.UNREACHABLE
        except errors.PeerTimedOutError:
            return events.PeerFailure.TIMED_OUT
        except (errors.PeerRejectedError, protocol_errors.MalformedMessageError):
            return events.PeerFailure.REJECTED
