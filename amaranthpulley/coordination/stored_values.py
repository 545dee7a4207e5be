"""The values that daemons keep in the store, as bytes.

They are the daemons' own records and are read by nothing else, so that their form is
part of the decisions and not of a protocol.
"""

import msgspec

from amaranthpulley.coordination import errors
from amaranthpulley.state import claims, journal, topology


def encode_segment(segment: claims.Segment) -> bytes:
    """Return the stored form of a segment of claims."""
    return msgspec.msgpack.encode(segment)


def decode_segment(value: bytes) -> claims.Segment:
    """Return the segment of a stored value."""
    return _decode(value, claims.Segment)


def journal_records(value: bytes) -> list[journal.JournalRecord]:
    """Return the records of the orders in a stored segment of claims.

    Each one has the latest outcome that the segment knows. A later segment may hold
    the same order, by its request, with a newer outcome.
    """
    return [claim.record for claim in decode_segment(value).claims]


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
