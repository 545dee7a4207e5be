"""Codec of the datagrams in which daemons tell each other losses: MessagePack."""

from typing import Final

import msgspec

from amaranthpulley.protocol import errors
from amaranthpulley.state.forwarding import crashes

# First byte of these datagrams; others begin with a MessagePack array.
PREFIX: Final = b"L"
_LARGEST_HASH: Final = 2**64 - 1


def encode(losses: tuple[crashes.Loss, ...]) -> bytes:
    """Return the encoded datagram."""
    return PREFIX + msgspec.msgpack.encode(losses)


def decode(data: bytes) -> tuple[crashes.Loss, ...]:
    """Return the losses of a datagram.

    Raises
    ------
    MalformedMessageError
        When the bytes are not losses.
    """
    try:
        losses = msgspec.msgpack.decode(
            data.removeprefix(PREFIX), type=tuple[crashes.Loss, ...]
        )
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(str(error)) from error
    for loss in losses:
        if not 0 <= min(loss.fingerprint, loss.start):
            raise errors.MalformedMessageError("loss: negative hash")
        if max(loss.fingerprint, loss.start) > _LARGEST_HASH:
            raise errors.MalformedMessageError("loss: hash of more than 64 bits")
    return losses
