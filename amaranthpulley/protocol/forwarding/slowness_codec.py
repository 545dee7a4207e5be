"""Codec of the datagrams in which daemons report slow leaves: MessagePack."""

import math
from typing import NamedTuple

import msgspec

from amaranthpulley.protocol import errors


class SlownessMessage(NamedTuple):
    """A report of a slow leaf.

    Attributes
    ----------
    leaf_id : str
        Identity of the leaf.
    slowness : float
        Ratio of the leaf's answer time to the usual answer time.
    """

    leaf_id: str
    slowness: float


def encode(message: SlownessMessage) -> bytes:
    """Return the encoded datagram."""
    return msgspec.msgpack.encode(message)


def decode(data: bytes) -> SlownessMessage:
    """Return the decoded datagram.

    Raises
    ------
    MalformedMessageError
        When the bytes are not a report, or its slowness is not a positive number.
    """
    try:
        message = msgspec.msgpack.decode(data, type=SlownessMessage)
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(str(error)) from error
    if not (math.isfinite(message.slowness) and message.slowness > 0.0):
        raise errors.MalformedMessageError(f"slowness: {message.slowness}")
    return message
