"""Merges the record lists of several shards."""

import heapq
from collections.abc import Iterable
from typing import Final

RECORD_BYTES: Final = 16


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all parts in descending order.

    Records are compared byte by byte, and equal records are all kept. An incomplete
    record at the end of a part is dropped.

    Parameters
    ----------
    parts : iterable of bytes
        Bodies with unsorted records.
    count : int
        Maximum number of records to return.
    """
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(count, records))
