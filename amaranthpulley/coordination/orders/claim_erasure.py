"""Erasure of customer data from the stored claims of orders.

The claims stay because their keys are needed to recognise repeated orders; the record
and the target's reply are erased. A write to an open segment fences the range's owner
like any other write, and the owner reads the segment again.
"""

from collections.abc import Callable, Generator, Iterable
from typing import Final

from amaranthpulley.coordination import stored_values
from amaranthpulley.state import store
from amaranthpulley.state.accounts import journal
from amaranthpulley.state.orders import claims

CutoffOf = Callable[[str], int]
Steps = Generator[store.Operation, store.Result, None]

ERASED: Final = journal.JournalRecord("", "", "", "", 0, "", "", "")


def erase(segment: claims.Segment, cutoff_ms_of: CutoffOf) -> claims.Segment:
    """Return a segment without the expired data.

    Parameters
    ----------
    segment : Segment
        The stored segment.
    cutoff_ms_of : callable
        Returns, for a customer, the time in milliseconds since the Unix epoch before
        which its requests are erased.
    """
    kept = tuple(
        claim._replace(record=ERASED, result="")
        if _is_expired(claim.record, cutoff_ms_of)
        else claim
        for claim in segment.claims
    )
    return segment._replace(claims=kept)


def erase_all(keys: Iterable[str], cutoff_ms_of: CutoffOf) -> Steps:
    """Yield the store operations that erase expired data; each result is sent back.

    A segment that changes between the read and the write is left for the next sweep.
    """
    for key in keys:
        found = yield store.Get(key)
        if found.value is None:
            continue
        segment = stored_values.decode_segment(found.value)
        erased = erase(segment, cutoff_ms_of)
        if erased != segment:
            value = stored_values.encode_segment(erased)
            yield store.Swap(key, found.revision, value)


def _is_expired(record: journal.JournalRecord, cutoff_ms_of: CutoffOf) -> bool:
    return record != ERASED and record.received_ms < cutoff_ms_of(record.customer)
