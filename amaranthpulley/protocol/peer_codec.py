"""Messages between daemons as MessagePack: version, name of the message, content."""

from typing import Final

import msgspec

from amaranthpulley.coordination import peer_messages
from amaranthpulley.protocol import errors

VERSION: Final = 1
MAXIMUM_MESSAGE_BYTES: Final = 4 * 1024 * 1024

_CALLS: Final = {kind.__name__: kind for kind in peer_messages.CALLS}
_REPLIES: Final = {kind.__name__: kind for kind in peer_messages.REPLIES}
_DECODERS: Final = {
    kind: msgspec.msgpack.Decoder(kind)
    for kind in (*peer_messages.CALLS, *peer_messages.REPLIES)
}
_ENCODER: Final = msgspec.msgpack.Encoder()
_ENVELOPE: Final = msgspec.msgpack.Decoder(tuple[int, str, msgspec.Raw])


def encode(message: tuple) -> bytes:
    """Return the bytes of a call or a reply."""
    content = msgspec.Raw(_ENCODER.encode(message))
    return _ENCODER.encode((VERSION, type(message).__name__, content))


def decode_call(body: bytes) -> tuple:
    """Return the message of a peer's call.

    Raises
    ------
    MalformedMessageError
        When the version or the message is not known, or its content is wrong.
    """
    return _decode(body, _CALLS)


def decode_reply(body: bytes) -> tuple:
    """Return the message of a reply; raises as `decode_call` does."""
    return _decode(body, _REPLIES)


def _decode(body: bytes, kinds: dict[str, type]) -> tuple:
    try:
        version, name, content = _ENVELOPE.decode(body)
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(f"no message of a peer: {error}") from error
    if version != VERSION:
        raise errors.MalformedMessageError(
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
