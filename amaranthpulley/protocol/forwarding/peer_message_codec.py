"""Codec of the datagrams between daemons: MessagePack with a number for each kind.

The other datagrams, of losses and slow leaves, have codecs of their own. They begin
with other bytes, so a daemon can tell all of them apart.
"""

from typing import Final

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.state.forwarding import peer_messages

# First byte of these datagrams; MessagePack never begins with it.
PREFIX: Final = b"\xc1"
# The numbers are sent, so they are never reused.
_KINDS: Final[dict[int, type]] = {
    1: peer_messages.TokenRequest,
    2: peer_messages.TokenGrant,
    6: peer_messages.MembershipQuery,
    7: peer_messages.MembershipConfirmation,
}
_NUMBERS: Final = {kind: number for number, kind in _KINDS.items()}
_ENCODER: Final = msgspec.msgpack.Encoder()


def encode(message: peer_messages.PeerMessage) -> bytes:
    """Return the encoded datagram."""
    return PREFIX + bytes((_NUMBERS[type(message)],)) + _ENCODER.encode(message)


def decode(data: bytes) -> peer_messages.PeerMessage | None:
    """Return the message of a datagram; None for a kind of a later version.

    Raises
    ------
    MalformedMessageError
        When the bytes are not such a datagram.
    """
    if len(data) <= len(PREFIX) or not data.startswith(PREFIX):
        raise errors.MalformedMessageError("no peer message")
    kind = _KINDS.get(data[len(PREFIX)])
    if kind is None:
        return None
    try:
        return msgspec.msgpack.decode(data[len(PREFIX) + 1 :], type=kind)
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(str(error)) from error
