"""The values that daemons keep in the store, as bytes.

They are the daemons' own records and are read by nothing else, so that their form is
part of the decisions and not of a protocol.
"""

import zlib
from typing import Final

import msgspec

from amaranthpulley.coordination import errors
from amaranthpulley.state import journal, orders, topology

COMPRESSION_LEVEL: Final = 6


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


def encode_life(life: journal.Life) -> bytes:
    """Return the stored form of a daemon's life."""
    return msgspec.msgpack.encode(life)


def decode_life(value: bytes) -> journal.Life:
    """Return the life of a stored value."""
    return _decode(value, journal.Life)


def encode_batch(batch: journal.Batch) -> bytes:
    """Return the stored form of a batch of journal records."""
    return msgspec.msgpack.encode(batch)


def decode_batch(value: bytes) -> journal.Batch:
    """Return the batch of a stored value; its segments stay compressed."""
    return _decode(value, journal.Batch)


def compress_records(records: list[journal.NumberedRecord]) -> bytes:
    """Return records column by column, compressed.

    Values of one column resemble each other more than those of one record do, which
    is what the compression lives on.
    """
    rows = [(sequence, at_ms, *record) for sequence, at_ms, record in records]
    columns = tuple(zip(*rows, strict=True))
    return zlib.compress(msgspec.msgpack.encode(columns), COMPRESSION_LEVEL)


def decompress_records(data: bytes) -> list[journal.NumberedRecord]:
    """Return the records of `compress_records`."""
    try:
        columns = msgspec.msgpack.decode(zlib.decompress(data))
        rows = list(zip(*columns, strict=True))
    except (zlib.error, msgspec.MsgspecError, TypeError, ValueError) as error:
        raise errors.CorruptStoreValueError(
            f"stored journal records cannot be read ({error})"
        ) from error
    return [
        journal.NumberedRecord(
            sequence, recorded_ms, msgspec.convert(fields, journal.JournalRecord)
        )
        for sequence, recorded_ms, *fields in rows
    ]
