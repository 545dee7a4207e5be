"""Size and compression time of the journal by number of records."""

import random
from typing import Final

from amaranthpulley.coordination import stored_values
from amaranthpulley.coordination.accounts import request_journal
from amaranthpulley.state.accounts import journal
from amaranthpulley.transport.bench import quantities

RECORDS: Final = (256, 2_560, 25_600, 102_400)
# Searches per second of one daemon: 4.1 million spread over 8,300 daemons.
TARGET_RECORDS: Final = 494
CUSTOMERS: Final = 2
ITEMS: Final = 100_000
WORDS: Final = ("egg", "sand", "hour", "glass", "timer", "blue", "steel", "wood")


def _records(count: int, seed: int) -> list[journal.NumberedRecord]:
    rng = random.Random(seed)
    numbered_records = []
    for sequence in range(count):
        arrived_ms = 1_700_000_000_000 + 2 * sequence + int(rng.random() * 5)
        record = journal.JournalRecord(
            f"request-vm-17-a1b2c3d4-{sequence}",
            f"customer-{rng.randrange(CUSTOMERS)}",
            "stock",
            "search",
            arrived_ms,
            f"item-{rng.randrange(ITEMS):05d} {rng.choice(WORDS)}",
            "",
            "vm-17",
            "SearchAnswer",
            7,
            1.0 if rng.random() < 0.98 else 80 / 81,
            81 + (rng.random() < 0.3),
        )
        ended_ms = arrived_ms + int(rng.lognormvariate(4, 0.5))
        numbered_records.append(journal.NumberedRecord(sequence, ended_ms, record))
    return numbered_records


def _chunks(
    records: list[journal.NumberedRecord],
) -> list[list[journal.NumberedRecord]]:
    size = request_journal.MAXIMUM_CHUNK_RECORDS
    return [records[begin : begin + size] for begin in range(0, len(records), size)]


def _compressed_bytes(count: int, seed: int) -> float:
    return sum(
        len(stored_values.compress_records(chunk))
        for chunk in _chunks(_records(count, seed))
    )


def _compress_ms(count: int, seed: int) -> float:
    def compress(chunks: list[list[journal.NumberedRecord]]) -> None:
        for chunk in chunks:
            stored_values.compress_records(chunk)

    return quantities.minimum_cpu_ms(lambda: _chunks(_records(count, seed)), compress)


QUANTITIES: Final = (
    quantities.Quantity(
        "journal records, compressed",
        "bytes",
        "records",
        RECORDS,
        TARGET_RECORDS,
        _compressed_bytes,
    ),
    quantities.Quantity(
        "compression of journal records",
        "cpu ms",
        "records",
        RECORDS,
        TARGET_RECORDS,
        _compress_ms,
    ),
)
