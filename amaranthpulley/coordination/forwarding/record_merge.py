"""The greatest records of several parts."""

import heapq
from collections.abc import Iterable
from typing import Final

RECORD_BYTES: Final = 16


def greatest_records(parts: Iterable[bytes], count: int) -> bytes:
    """Return the greatest records of all parts, greatest first.

    Records are compared byte by byte; equal ones all count. A rest of a part that is
    shorter than a record is left out.

    Parameters
    ----------
    parts : iterable of bytes
        Bodies with records in no order.
    count : int
        Most records to return.
    """
    records = [
        part[start : start + RECORD_BYTES]
        for part in parts
        for start in range(0, len(part) - RECORD_BYTES + 1, RECORD_BYTES)
    ]
    return b"".join(heapq.nlargest(count, records))
