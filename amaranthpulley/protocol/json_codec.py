"""JSON encoding and validated decoding of the protocols' messages."""

from typing import TypeVar

import msgspec

from amaranthpulley.protocol import errors

Wire = TypeVar("Wire")


def encode(message: object) -> bytes:
    """Return the JSON text of a message."""
    return msgspec.json.encode(message)


def decode(body: bytes, kind: type[Wire]) -> Wire:
    """Return the message of a JSON text.

    Parameters
    ----------
    body : bytes
        UTF-8 text.
    kind : type
        The type of the message, for example a `TypedDict` or `NamedTuple`.

    Raises
    ------
    MalformedMessageError
        When the text is not JSON or does not match `kind`; names the path.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except (msgspec.MsgspecError, RecursionError) as error:
        # The decoder recurses into nested values, also of unknown fields.
        raise errors.MalformedMessageError(str(error)) from error
