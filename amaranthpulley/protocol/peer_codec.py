"""Codec of messages between daemons: MessagePack with a version and a timestamp."""

from typing import Final, NamedTuple

import msgspec

from amaranthpulley.coordination.control import peer_messages
from amaranthpulley.protocol import errors

VERSION: Final = 1
MAXIMUM_MESSAGE_BYTES: Final = 4 * 1024 * 1024


class _Envelope(NamedTuple):
    """Envelope of a message; `stamp` is the sender's hybrid logical timestamp."""

    version: int
    name: str
    content: msgspec.Raw
    stamp: int = 0


_CALLS: Final = {kind.__name__: kind for kind in peer_messages.CALLS}
_REPLIES: Final = {kind.__name__: kind for kind in peer_messages.REPLIES}
_DECODERS: Final = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (*peer_messages.CALLS, *peer_messages.REPLIES)
}
_ENCODER: Final = msgspec.msgpack.Encoder()
_ENVELOPE: Final = msgspec.msgpack.Decoder(_Envelope)


def encode(message: tuple, stamp: int = 0) -> bytes:
    """Return the encoded call or reply.

    Parameters
    ----------
    message : tuple
        The message.
    stamp : int
        The sender's hybrid logical timestamp, which orders the events of both sides.
    """
    content = msgspec.Raw(_ENCODER.encode(message))
    return _ENCODER.encode(_Envelope(VERSION, type(message).__name__, content, stamp))


def stamp_of(body: bytes) -> int:
    """Return a message's hybrid logical timestamp, or 0 if it cannot be decoded."""
    try:
        return _ENVELOPE.decode(body).stamp
    except msgspec.MsgspecError:
        return 0


def decode_call(body: bytes) -> tuple:
    """Return the decoded message of a peer's call.

    Raises
    ------
    MalformedMessageError
        When the version or the message is unknown, or its content is invalid.
    """
    return _decode(body, _CALLS)


def decode_reply(body: bytes) -> tuple:
    """Return the decoded message of a reply; raises like `decode_call`."""
    return _decode(body, _REPLIES)


def _decode(body: bytes, kinds: dict[str, type]) -> tuple:
    try:
        version, name, content, _ = _ENVELOPE.decode(body)
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(f"no message of a peer: {error}") from error
    if version != VERSION:
        raise errors.UnknownVersionError(
            f"the peer speaks version {version}, this daemon version {VERSION}; "
            "replace the older one"
        )
    kind = kinds.get(name)
    if kind is None:
        raise errors.MalformedMessageError(f"no message is named {name[:40]!r} here")
    try:
        return _DECODERS[kind].decode(content)
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(f"{name}: {error}") from error
