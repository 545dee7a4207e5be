"""Datagrams by which daemons tell each other of slow leaves: MessagePack."""

import math
from typing import NamedTuple

import msgspec

from amaranthpulley.protocol import errors


class SlownessMessage(NamedTuple):
    """What one datagram says.

    Attributes
    ----------
    leaf_id : str
        The leaf.
    slowness : float
        How many usual times its answer took.
    """

    leaf_id: str
    slowness: float


def encode(message: SlownessMessage) -> bytes:
    """Return the bytes of a datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> SlownessMessage:
    """Return what a datagram says.

    Raises
    ------
    MalformedMessageError
        When it is no such datagram.
    """
    try:
        message = msgspec.msgpack.decode(data, type=SlownessMessage)
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(str(error)) from error
    if not (math.isfinite(message.slowness) and message.slowness > 0.0):
        raise errors.MalformedMessageError(f"slowness: {message.slowness}")
    return message
