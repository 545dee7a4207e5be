"""A copy of every request of one customer, with a list of what is missing.

The copy is a file of JSON lines, one for each request in the order of the journal, and
beside it a summary. Both depend only on what the store holds, so that an interrupted
export that is repeated gives the same files.
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
PROGRESS_BUCKETS: Final = 6
READ_TIMEOUT_MS: Final = 10_000
READ_TRIES: Final = 5
RETRY_SECONDS: Final = 1.0
# An order's claim may know more than the answer that its caller got.
UNSETTLED_OUTCOMES: Final = ("", requests.OrderUnknown.__name__)
SUMMARY_SUFFIX: Final = ".summary.json"
PARTIAL_SUFFIX: Final = ".partial"


class Job(NamedTuple):
    """What to export, and how to reach the store.

    Attributes
    ----------
    customer : str
        Whose requests.
    window : Window
        When they arrived.
    call : callable
        Calls the store; raises `PlatformUnreachableError` when it gives no answer.
    """

    customer: str
    window: journal_gaps.Window
    call: Call


class GapBody(TypedDict):
    """One gap in the summary; times in ISO 8601."""

    vm: str
    life: str
    first_sequence: int | None
    last_sequence: int | None
    since: str
    until: str | None
    reason: str


class Summary(TypedDict):
    """What an export holds and what it does not.

    `complete` is true when there is no gap and nothing was erased. `erased_records`
    counts the records in the window's time buckets whose content was erased; whose
    they were is erased as well.
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
    """The progress of one export.

    Parameters
    ----------
    job : Job
        What to export.
    show : callable
        Shows a line of progress.
    """

    def __init__(self, job: Job, show: Show) -> None:
        self._job = job
        self._show = show
        self._trails: dict[tuple[str, str], journal_gaps.GapDetector] = {}
        self._outcomes: collections.Counter[str] = collections.Counter()
        self._erased = 0
        # Read before the batches: a life never claims more than they hold.
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
        """Yield every record of the customer once, in the order of the journal."""
        window = self._job.window
        buckets = range(
            window.first_bucket_ms,
            window.last_bucket_ms + 1,
            journal_writes.BUCKET_MS,
        )
        for index, bucket_ms in enumerate(buckets):
            prefix = f"{journal_writes.BATCH_PREFIX}{bucket_ms:014d}/"
            for key in keys_with(self._job.call, prefix):
                yield from self._records_of(key)
            if index % PROGRESS_BUCKETS == 0:
                done, found = f"{index + 1} of {len(buckets)}", self._outcomes.total()
                self._show(f"export: {done} time buckets read, {found} records")
        for record in sorted(self._orders.values(), key=_arrival):
            yield self._count(record)

    def summary(self) -> Summary:
        """Return what the export holds; to be called after all records were taken."""
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
        """Return what is missing; to be called after all records were taken."""
        successors = journal_gaps.successor_start_times(self._lives)
        found = journal_gaps.expired_gaps(self._horizon_ms, self._job.window)
        for life in self._lives:
            if journal_gaps.life_overlaps(life, self._job.window):
                successor_ms = successors.get((life.vm, life.life))
                trail = self._trail(life.vm, life.life)
                found += trail.finish(life, successor_ms)
        return found

    def _records_of(self, key: str) -> Iterator[journal.JournalRecord]:
        value = self._job.call(store.Get(key)).value
        if value is None:
            return
        batch = stored_values.decode_batch(value)
        for chunk in self._trail(batch.vm, batch.life).add_batch(batch):
            for segment in chunk.segments:
                if segment.customer == self._job.customer:
                    yield from self._records_in(segment)
                elif not segment.customer:
                    self._erased += segment.count

    def _records_in(self, segment: journal.Segment) -> Iterator[journal.JournalRecord]:
        for numbered in stored_values.decompress_records(segment.data):
            record = numbered.record
            if self._job.window.contains(record.received_ms):
                yield self._count(self._merge_order(record))

    def _merge_order(self, record: journal.JournalRecord) -> journal.JournalRecord:
        claimed = self._orders.pop(record.request_id, None)
        if claimed is None or record.outcome not in UNSETTLED_OUTCOMES:
            return record
        return record._replace(outcome=claimed.outcome or record.outcome)

    def _trail(self, vm: str, life: str) -> journal_gaps.GapDetector:
        trail = self._trails.get((vm, life))
        if trail is None:
            trail = journal_gaps.GapDetector(
                vm, life, self._job.window, self._horizon_ms
            )
            self._trails[vm, life] = trail
        return trail

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
        Where the JSON lines go; the summary goes to this path with `SUMMARY_SUFFIX`.
    show : callable
        Shows a line of progress.

    Returns
    -------
    Summary
        What was written.

    Raises
    ------
    PlatformUnreachableError
        When the store gives no answer; the files of an earlier export stay as they
        were.
    ExportUnwritableError
        When the files cannot be written.
    """
    export = Export(job, show)
    partial = pathlib.Path(path + PARTIAL_SUFFIX)
    try:
        with partial.open("wb") as lines:
            for record in export.records():
                lines.write(_line_of(record) + b"\n")
        summary = export.summary()
        # The summary first: whoever finds the export finds its summary too.
        _replace(pathlib.Path(path + SUMMARY_SUFFIX), _text_of(summary))
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
        Whose requests.
    window : Window
        When they arrived.
    store_address : str
        ``IP:port`` of the platform's store.
    path : str
        Where the JSON lines go.
    show, show_progress : callable
        Show a line of the result, and of the progress.
    """
    client = store_client.StoreClient(store_address)
    try:
        job = Job(customer, window, patient_call(client))
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
    """Yield all keys with a prefix in their order."""
    after = ""
    while True:
        keys = call(store.ListKeys(prefix, after, LIST_LIMIT)).keys
        yield from keys
        if len(keys) < LIST_LIMIT:
            return
        after = keys[-1]


def read_lives(call: Call) -> Iterator[journal.Life]:
    """Yield all lives that the store knows of."""
    for key in keys_with(call, journal_writes.LIFE_PREFIX):
        value = call(store.Get(key)).value
        if value is not None:
            yield stored_values.decode_life(value)


def order_records(call: Call) -> Iterator[journal.JournalRecord]:
    """Yield the records that the claims of orders hold, the latest state last."""
    for key in keys_with(call, claim_segments.PREFIX):
        value = call(store.Get(key)).value
        if value is not None:
            yield from stored_values.journal_records(value)


def patient_call(client: store_client.StoreClient) -> Call:
    """Return a function that reads the store and tries again after a failure.

    It raises `PlatformUnreachableError` once `READ_TRIES` have failed.
    """

    def call(operation: store.Operation) -> store.Result:
        for _ in range(READ_TRIES):
            result = client.call(operation, READ_TIMEOUT_MS)
            if not isinstance(result, store.StoreFailed):
                return result
            eventlet.sleep(RETRY_SECONDS)
        raise errors.PlatformUnreachableError(
            f"the store gives no answer ({result.reason}); nothing was written, "
            "repeat the command when it is back"
        )

    return call


def _line_of(record: journal.JournalRecord) -> bytes:
    body: dict[str, Any] = record._asdict()
    body["received"] = iso_times.format_time(body.pop("received_ms"))
    return msgspec.json.encode(body)


def _text_of(summary: Summary) -> bytes:
    return msgspec.json.format(msgspec.json.encode(summary), indent=2) + b"\n"


def _replace(path: pathlib.Path, content: bytes) -> None:
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


def _arrival(record: journal.JournalRecord) -> tuple[int, str]:
    return record.received_ms, record.request_id
