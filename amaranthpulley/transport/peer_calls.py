"""Calls to and from peers: from bytes on a connection to events and back."""

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
    """Ends a waiting call without a reply."""

    reason: str


class PeerCalls:
    """Open channels to peers, and the calls of peers that wait for a reply.

    Parameters
    ----------
    feed : callable
        Takes the events.
    refused : callable
        Told of the sender's IP number and the reason when a message is refused.
    stamps : MessageStamps
        Gives and takes the hybrid stamps of messages.
    """

    def __init__(
        self, feed: Feed, refused: OnRefused, stamps: message_stamps.MessageStamps
    ) -> None:
        self._stamps = stamps
        self._feed = feed
        self._refused = refused
        self._channels = peers.PeerChannels()
        self._waiting: dict[str, eventlet.event.Event] = {}
        self._numbers = itertools.count(1)

    def call(self, command: commands.CallPeer) -> None:
        """Send a message to a peer and feed the end of the call."""
        reply = self._call(command)
        self._feed(events.PeerReplied(command.purpose, command.address, reply))

    def handle_call(self, sender_ip: str, body: bytes) -> bytes:
        """Feed a peer's message and wait for the reply.

        Raises
        ------
        MalformedMessageError
            When it is no message of this version.
        PeerRejectedError
            When the daemon refuses it.
        """
        self._stamps.observe(peer_codec.stamp_of(body))
        try:
            message = peer_codec.decode_call(body)
        except protocol_errors.MalformedMessageError as error:
            is_version = isinstance(error, protocol_errors.UnknownVersionError)
            self._refused(sender_ip, "version" if is_version else "malformed")
            raise
        call_id = f"call-{next(self._numbers)}"
        done = self._waiting[call_id] = eventlet.event.Event()
        try:
            self._feed(events.PeerCalled(call_id, sender_ip, message))
            reply = done.wait()
        finally:
            self._waiting.pop(call_id, None)
        if isinstance(reply, _Rejection):
            raise errors.PeerRejectedError(reply.reason)
        return peer_codec.encode(reply, self._stamps.next_stamp())

    def reply(self, command: commands.ReplyPeer) -> None:
        """Give a waiting call its reply."""
        self._end(command.call_id, command.reply)

    def reject(self, command: commands.RejectPeer) -> None:
        """Refuse a waiting call."""
        self._end(command.call_id, _Rejection(command.reason))

    def close(self) -> None:
        """Close all channels."""
        self._channels.close()

    def _end(self, call_id: str, reply: tuple) -> None:
        done = self._waiting.pop(call_id, None)
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
