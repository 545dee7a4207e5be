"""Encoding of the values that daemons keep in the store.

Only daemons read these values, so their format belongs to the decisions and not to a
protocol.
"""

import hashlib
import zlib
from typing import Final

import msgspec

from amaranthpulley.coordination import errors
from amaranthpulley.state.accounts import journal
from amaranthpulley.state.control import tickets, topology
from amaranthpulley.state.orders import claims

COMPRESSION_LEVEL: Final = 6


def encode_segment(segment: claims.Segment) -> bytes:
    """Return the stored form of a segment of claims."""
    return msgspec.msgpack.encode(segment)


def decode_segment(value: bytes) -> claims.Segment:
    """Return the segment in a stored value."""
    return _decode(value, claims.Segment)


def journal_records(value: bytes) -> list[journal.JournalRecord]:
    """Return the records of the orders in a stored segment of claims.

    Each record has the latest outcome within the segment. A later segment may hold the
    same order, by its request, with a newer outcome. Erased records are excluded.
    """
    records = [claim.record for claim in decode_segment(value).claims]
    return [record for record in records if record.request_id]


def encode_head(head: tickets.Head) -> bytes:
    """Return the stored form of the head of the change tickets."""
    return msgspec.msgpack.encode(head)


def decode_head(value: bytes) -> tickets.Head:
    """Return the head in a stored value."""
    return _decode(value, tickets.Head)


def encode_tickets(entries: tuple[topology.ChangeTicket, ...]) -> bytes:
    """Return the stored form of a chunk, whose entries are grouped by ticket number."""
    return msgspec.msgpack.encode(entries)


def decode_tickets(value: bytes) -> tuple[topology.ChangeTicket, ...]:
    """Return the configured entries of a chunk, grouped by ticket number."""
    return _decode(value, tuple[topology.ChangeTicket, ...])


def digest_of(ticket: topology.ChangeTicket) -> str:
    """Return a digest that is equal for equal tickets."""
    encoded = msgspec.msgpack.encode(ticket)
    return hashlib.blake2b(encoded, digest_size=8).hexdigest()


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
    """Return the life in a stored value."""
    return _decode(value, journal.Life)


def encode_batch(batch: journal.Batch) -> bytes:
    """Return the stored form of a batch of journal records."""
    return msgspec.msgpack.encode(batch)


def decode_batch(value: bytes) -> journal.Batch:
    """Return the batch in a stored value; its segments stay compressed."""
    return _decode(value, journal.Batch)


def compress_records(records: list[journal.NumberedRecord]) -> bytes:
    """Return records in compressed columnar form.

    Values of one column are more alike than those of one record, so columns compress
    better.
    """
    rows = [(sequence, at_ms, *record) for sequence, at_ms, record in records]
    columns = tuple(zip(*rows, strict=True))
    return zlib.compress(msgspec.msgpack.encode(columns), COMPRESSION_LEVEL)


def decompress_records(data: bytes) -> list[journal.NumberedRecord]:
    """Return the records that `compress_records` has compressed."""
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
