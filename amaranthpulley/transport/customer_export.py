"""Export of the journal records of one customer, with a list of the gaps.

An export is a file of JSON lines, one for each request in the order of the journal,
and a summary file beside it. Both depend only on the content of the store, so
repeating an interrupted export gives the same files.
"""

import collections
import pathlib
from collections.abc import Callable, Iterator
from typing import Any, Final, NamedTuple, TypedDict

import eventlet
import msgspec

from amaranthpulley.coordination import stored_values
from amaranthpulley.coordination.accounts import (
    journal_gaps,
    journal_retention,
    journal_writes,
)
from amaranthpulley.coordination.orders import claim_segments
from amaranthpulley.state import requests, store
from amaranthpulley.state.accounts import journal
from amaranthpulley.transport import errors, iso_times, store_client

Call = Callable[[store.Operation], store.Result]
Show = Callable[[str], None]

LIST_LIMIT: Final = 1_000
BUCKETS_PER_PROGRESS_LINE: Final = 6
READ_TIMEOUT_MS: Final = 10_000
MAXIMUM_READ_TRIES: Final = 5
RETRY_DELAY_SECONDS: Final = 1.0
# Outcomes of an order's record that its claim may resolve: a claim can be settled
# after the caller was answered.
UNKNOWN_OUTCOMES: Final = ("", requests.OrderUnknown.__name__)
SUMMARY_SUFFIX: Final = ".summary.json"
PARTIAL_SUFFIX: Final = ".partial"


class Job(NamedTuple):
    """What to export, and how to call the store.

    Attributes
    ----------
    customer : str
        Name of the customer.
    window : Window
        Time window in which the requests arrived.
    call : callable
        Calls the store; raises `PlatformUnreachableError` when there is no reply.
    """

    customer: str
    window: journal_gaps.Window
    call: Call


class GapBody(TypedDict):
    """A gap as it is written in the summary, with times in ISO 8601."""

    vm: str
    life: str
    first_sequence: int | None
    last_sequence: int | None
    since: str
    until: str | None
    reason: str


class Summary(TypedDict):
    """The summary of an export.

    `complete` is true when there are no gaps and no erased records. `erased_records`
    counts the records of all customers in the window's time buckets whose content was
    erased, because erasure also removes the customer's name.
    """

    customer: str
    received_from: str
    received_before: str
    records: int
    records_by_outcome: dict[str, int]
    erased_records: int
    complete: bool
    gaps: list[GapBody]


class Export:
    """The state of one export.

    Parameters
    ----------
    job : Job
        What to export.
    show : callable
        Prints a line of progress.
    """

    def __init__(self, job: Job, show: Show) -> None:
        self._job = job
        self._show = show
        self._gap_detectors: dict[tuple[str, str], journal_gaps.GapDetector] = {}
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._erased = 0
        # Lives are read before the batches, so that every record that a life announces
        # is found in a batch, and none is reported as a gap by mistake.
        self._lives = list(read_lives(job.call))
        horizon = job.call(store.Get(journal_retention.HORIZON_KEY)).value
        self._horizon_ms = int(horizon or 0)
        self._orders = {
            record.request_id: record
            for record in order_records(job.call)
            if record.customer == job.customer
            and job.window.contains(record.received_ms)
        }

    def records(self) -> Iterator[journal.JournalRecord]:
        """Yield each record of the customer once, in the order of the journal.

        Orders that are recorded only by their claims follow in order of arrival.
        """
        window = self._job.window
        buckets = range(
            window.first_bucket_ms,
            window.last_bucket_ms + 1,
            journal_writes.BUCKET_MS,
        )
        for index, bucket_ms in enumerate(buckets):
            prefix = f"{journal_writes.BATCH_PREFIX}{bucket_ms:014d}/"
            for key in keys_with(self._job.call, prefix):
                yield from self._read_batch(key)
            if index % BUCKETS_PER_PROGRESS_LINE == 0:
                done, found = f"{index + 1} of {len(buckets)}", self._outcomes.total()
                self._show(f"export: {done} time buckets read, {found} records")
        for record in sorted(self._orders.values(), key=_arrival_order):
            yield self._count(record)

    def summary(self) -> Summary:
        """Return the summary; valid only after all records have been read."""
        window = self._job.window
        gaps = [_gap_body(gap) for gap in self.gaps()]
        return Summary(
            customer=self._job.customer,
            received_from=iso_times.format_time(window.from_ms),
            received_before=iso_times.format_time(window.to_ms),
            records=self._outcomes.total(),
            records_by_outcome=dict(sorted(self._outcomes.items())),
            erased_records=self._erased,
            complete=not gaps and self._erased == 0,
            gaps=gaps,
        )

    def gaps(self) -> list[journal_gaps.Gap]:
        """Return the gaps; valid only after all records have been read."""
        successors = journal_gaps.successor_start_times(self._lives)
        found = journal_gaps.expired_gaps(self._horizon_ms, self._job.window)
        for life in self._lives:
            if journal_gaps.life_overlaps(life, self._job.window):
                successor_ms = successors.get((life.vm, life.life))
                detector = self._gap_detector(life.vm, life.life)
                found += detector.finish(life, successor_ms)
        return found

    def _read_batch(self, key: str) -> Iterator[journal.JournalRecord]:
        value = self._job.call(store.Get(key)).value
        if value is None:
            return
        batch = stored_values.decode_batch(value)
        for chunk in self._gap_detector(batch.vm, batch.life).add_batch(batch):
            for segment in chunk.segments:
                if segment.customer == self._job.customer:
                    yield from self._read_segment(segment)
                elif not segment.customer:
                    self._erased += segment.count

    def _read_segment(
        self, segment: journal.Segment
    ) -> Iterator[journal.JournalRecord]:
        for numbered in stored_values.decompress_records(segment.data):
            record = numbered.record
            if self._job.window.contains(record.received_ms):
                yield self._count(self._merge_order(record))

    def _merge_order(self, record: journal.JournalRecord) -> journal.JournalRecord:
        claimed = self._orders.pop(record.request_id, None)
        if claimed is None or record.outcome not in UNKNOWN_OUTCOMES:
            return record
        return record._replace(outcome=claimed.outcome or record.outcome)

    def _gap_detector(self, vm: str, life: str) -> journal_gaps.GapDetector:
        detector = self._gap_detectors.get((vm, life))
        if detector is None:
            detector = journal_gaps.GapDetector(
                vm, life, self._job.window, self._horizon_ms
            )
            self._gap_detectors[vm, life] = detector
        return detector

    def _count(self, record: journal.JournalRecord) -> journal.JournalRecord:
        self._outcomes[record.outcome or "unknown"] += 1
        return record


def run(job: Job, path: str, show: Show) -> Summary:
    """Write the export and its summary.

    Parameters
    ----------
    job : Job
        What to export.
    path : str
        Path of the file of JSON lines; `SUMMARY_SUFFIX` is appended for the summary.
    show : callable
        Prints a line of progress.

    Returns
    -------
    Summary
        The summary as written.

    Raises
    ------
    PlatformUnreachableError
        When the store does not reply; files of an earlier export stay unchanged.
    ExportUnwritableError
        When the files cannot be written.
    """
    export = Export(job, show)
    partial = pathlib.Path(path + PARTIAL_SUFFIX)
    try:
        with partial.open("wb") as lines:
            for record in export.records():
                lines.write(_encode_record(record) + b"\n")
        summary = export.summary()
        # The summary is written first, so that an export never exists without it.
        _write_atomically(pathlib.Path(path + SUMMARY_SUFFIX), _encode_summary(summary))
        partial.replace(path)
    except OSError as error:
        raise errors.ExportUnwritableError(
            f"cannot write {path}: {error.strerror}"
        ) from error
    return summary


def run_command(
    customer: str,
    window: journal_gaps.Window,
    store_address: str,
    path: str,
    show: Show,
    show_progress: Show,
) -> int:
    """Export a customer's requests for an operator, and return the exit code.

    Parameters
    ----------
    customer : str
        Name of the customer.
    window : Window
        Time window in which the requests arrived.
    store_address : str
        ``IP:port`` of the platform's store.
    path : str
        Path of the file of JSON lines.
    show, show_progress : callable
        Print a line of the result, and of the progress.
    """
    client = store_client.StoreClient(store_address)
    try:
        job = Job(customer, window, retrying_call(client))
        summary = run(job, path, show_progress)
    finally:
        client.close()
    show(f"{path}: {summary['records']} requests of {customer}")
    if summary["complete"]:
        show("nothing is missing")
    else:
        show(
            f"not complete: {len(summary['gaps'])} gaps and "
            f"{summary['erased_records']} erased records, listed in "
            f"{path}{SUMMARY_SUFFIX}"
        )
    return 0


def keys_with(call: Call, prefix: str) -> Iterator[str]:
    """Yield all keys with a prefix in ascending order."""
    after = ""
    while True:
        keys = call(store.ListKeys(prefix, after, LIST_LIMIT)).keys
        yield from keys
        if len(keys) < LIST_LIMIT:
            return
        after = keys[-1]


def read_lives(call: Call) -> Iterator[journal.Life]:
    """Yield all journal lives in the store."""
    for key in keys_with(call, journal_writes.LIFE_PREFIX):
        value = call(store.Get(key)).value
        if value is not None:
            yield stored_values.decode_life(value)


def order_records(call: Call) -> Iterator[journal.JournalRecord]:
    """Yield the records in the orders' claims, the latest state of an order last."""
    for key in keys_with(call, claim_segments.PREFIX):
        value = call(store.Get(key)).value
        if value is not None:
            yield from stored_values.journal_records(value)


def retrying_call(client: store_client.StoreClient) -> Call:
    """Return a function that calls the store and retries failed calls.

    It raises `PlatformUnreachableError` after `MAXIMUM_READ_TRIES` failures.
    """

    def call(operation: store.Operation) -> store.Result:
        for _ in range(MAXIMUM_READ_TRIES):
            result = client.call(operation, READ_TIMEOUT_MS)
            if not isinstance(result, store.StoreFailed):
                return result
            eventlet.sleep(RETRY_DELAY_SECONDS)
        raise errors.PlatformUnreachableError(
            f"the store gives no answer ({result.reason}); nothing was written, "
            "repeat the command when it is back"
        )

    return call


def _encode_record(record: journal.JournalRecord) -> bytes:
    body: dict[str, Any] = record._asdict()
    body["received"] = iso_times.format_time(body.pop("received_ms"))
    return msgspec.json.encode(body)


def _encode_summary(summary: Summary) -> bytes:
    return msgspec.json.format(msgspec.json.encode(summary), indent=2) + b"\n"


def _write_atomically(path: pathlib.Path, content: bytes) -> None:
    partial = path.with_name(path.name + PARTIAL_SUFFIX)
    partial.write_bytes(content)
    partial.replace(path)


def _gap_body(gap: journal_gaps.Gap) -> GapBody:
    return GapBody(
        vm=gap.vm,
        life=gap.life,
        first_sequence=gap.first_sequence,
        last_sequence=gap.last_sequence,
        since=iso_times.format_time(gap.since_ms),
        until=None if gap.until_ms is None else iso_times.format_time(gap.until_ms),
        reason=gap.reason.value,
    )


def _arrival_order(record: journal.JournalRecord) -> tuple[int, str]:
    return record.received_ms, record.request_id
