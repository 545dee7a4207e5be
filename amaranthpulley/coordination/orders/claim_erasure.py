"""Erasure of customers' data from the stored claims of orders.

The claims themselves stay, as their keys must be remembered: what goes is the record
and the target's reply. A write to an open segment fences the range's owner like any
other, and the owner reads the segment again.
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
    """Return a segment without the data that is to be erased.

    Parameters
    ----------
    segment : Segment
        What the store holds.
    cutoff_ms_of : callable
        Given a customer returns the time since the Unix epoch, in milliseconds, before
        which its requests are erased.
    """
    kept = tuple(
        claim._replace(record=ERASED, result="")
        if _is_due(claim.record, cutoff_ms_of)
        else claim
        for claim in segment.claims
    )
    return segment._replace(claims=kept)


def erase_all(keys: Iterable[str], cutoff_ms_of: CutoffOf) -> Steps:
    """Yield the store operations that erase data in segments, and take their results.

    A segment that changes meanwhile is left to the next time.
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


def _is_due(record: journal.JournalRecord, cutoff_ms_of: CutoffOf) -> bool:
    return record != ERASED and record.received_ms < cutoff_ms_of(record.customer)
