"""JSON to and from the typed dictionaries of the protocols."""

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
        The `TypedDict` or `NamedTuple` that the message must have.

    Raises
    ------
    MalformedMessageError
        When the text is not JSON or does not fit `kind`; names the path.
    """
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.MalformedMessageError(str(error)) from error
