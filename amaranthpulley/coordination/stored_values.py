"""The values that daemons keep in the store, as bytes.

They are the daemons' own records and are read by nothing else, so that their form is
part of the decisions and not of a protocol.
"""

import msgspec

from amaranthpulley.coordination import errors
from amaranthpulley.state import orders, topology


def encode_claim(claim: orders.Claim) -> bytes:
    """Return the stored form of a claim."""
    return msgspec.msgpack.encode(claim)


def decode_claim(value: bytes) -> orders.Claim:
    """Return the claim of a stored value."""
    return _decode(value, orders.Claim)


def encode_ticket(ticket: topology.ChangeTicket) -> bytes:
    """Return the stored form of a change ticket."""
    return msgspec.msgpack.encode(ticket)


def decode_ticket(value: bytes) -> topology.ChangeTicket:
    """Return the change ticket of a stored value."""
    return _decode(value, topology.ChangeTicket)


def _decode(value: bytes, kind: type) -> object:
    try:
        return msgspec.msgpack.decode(value, type=kind)
    except msgspec.MsgspecError as error:
        raise errors.CorruptStoreValueError(
            f"stored {kind.__name__} cannot be read ({error}); was it written by "
            "another release?"
        ) from error
