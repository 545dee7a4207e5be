"""Steps for the operator's export of a customer's requests."""

import contextlib
import io

import behave
from behave import runner

from amaranthpulley import cli
from amaranthpulley.coordination import events
from amaranthpulley.coordination.accounts import journal_gaps, journal_writes
from amaranthpulley.state import store
from amaranthpulley.state.accounts import journal
from amaranthpulley.transport import customer_export
from amaranthpulley.transport.emulation import virtual_platform
from amaranthpulley.transport.tests import journal_site

CUSTOMER = "forno"


class ExportSubject:
    """A site and the result of its last export."""

    def __init__(self) -> None:
        self.site = journal_site.JournalSite()
        self.records: list[journal.JournalRecord] = []
        self.gaps: list[journal_gaps.Gap] = []

    def set_store(self, **faults: object) -> None:
        """Replace the faults of the store."""
        self.site.network.platform.faults = virtual_platform.StoreFaults(**faults)

    def crash(self, after_ms: int = 0) -> None:
        """Crash the daemon that received the requests."""
        self.site.run(after_ms)
        self.site.network.crash("vm-1")
        self.site.run(2_000)

    def drain(self) -> None:
        """Drain the daemon that received the requests."""
        running = self.site.network.daemons["vm-1"]
        self.site.network.feed(running, events.DrainRequested())
        self.site.run(20_000)

    def restart(self) -> None:
        """Start the daemon again."""
        self.site.start("vm-1")
        self.site.run(1_000)

    def break_store(self, **faults: object) -> None:
        """Give the store faults for 5 s and let it recover."""
        self.set_store(**faults)
        self.site.run(5_000)
        self.set_store()
        self.site.run(10_000)

    def lose_batch(self) -> None:
        """Delete the batch that holds the requests, and write another one."""
        self.site.run(2_000)
        prefix = journal_writes.BATCH_PREFIX
        [key] = customer_export.keys_with(self.site.call, prefix)
        revision = self.site.call(store.Get(key)).revision
        self.site.call(store.Swap(key, revision, None))
        self.site.search("vm-1", "timer")
        self.site.run(2_000)


def _crash_without_store(subject: ExportSubject) -> None:
    subject.set_store(down=True)
    subject.crash(after_ms=3_000)
    subject.set_store()


def _crash_and_restart(subject: ExportSubject) -> None:
    subject.crash()
    subject.restart()


FAULTS = {
    "nothing happens for 2000 ms": lambda subject: subject.site.run(2_000),
    "the daemon leaves in order": ExportSubject.drain,
    "the daemon crashes at once": ExportSubject.crash,
    "the daemon crashes at once and starts again": _crash_and_restart,
    "the daemon crashes after 2000 ms": lambda subject: subject.crash(2_000),
    "the store is down for 5000 ms": lambda subject: subject.break_store(down=True),
    "the store is down and the daemon crashes": _crash_without_store,
    "each reply of the store is lost for 5000 ms": lambda subject: subject.break_store(
        lost_reply_share=1.0
    ),
    "a batch vanishes from the store": ExportSubject.lose_batch,
}


@behave.given("three daemons whose journal is written every 500 ms")
def step_impl(context: runner.Context) -> None:
    context.subject = ExportSubject()


@behave.when('a customer sends {count:d} requests to "{vm}" and then {fault}')
def step_impl(context: runner.Context, count: int, vm: str, fault: str) -> None:
    for _ in range(count):
        context.subject.site.search(vm, CUSTOMER)
        context.subject.site.run(10)
    FAULTS[fault](context.subject)


@behave.when("the operator exports the customer's requests")
def step_impl(context: runner.Context) -> None:
    subject = context.subject
    subject.records, subject.gaps = subject.site.export(CUSTOMER)


@behave.then("the export holds {count:d} requests once each")
def step_impl(context: runner.Context, count: int) -> None:
    ids = [record.request_id for record in context.subject.records]
    assert len(ids) == len(set(ids)) == count, ids


@behave.then('the gaps of "{vm}" are "{reasons}"')
def step_impl(context: runner.Context, vm: str, reasons: str) -> None:
    found = [gap.reason.value for gap in context.subject.gaps if gap.vm == vm]
    assert sorted(found) == sorted(reasons.split(",")), context.subject.gaps


@behave.then('the gaps of "{vm}" are ""')
def step_impl(context: runner.Context, vm: str) -> None:
    assert not [gap for gap in context.subject.gaps if gap.vm == vm]


@behave.then("every other request lies in one of the gaps")
def step_impl(context: runner.Context) -> None:
    subject = context.subject
    ids = {record.request_id for record in subject.records}
    for sent in subject.site.sent:
        missing = sent.request.request_id not in ids
        if sent.request.customer == CUSTOMER and missing:
            assert journal_site.is_in_gap(sent, subject.gaps), sent


@behave.when('the operator runs "{command}"')
def step_impl(context: runner.Context, command: str) -> None:
    context.subject = io.StringIO()
    with contextlib.redirect_stderr(context.subject):
        context.exit_code = cli.main(command.split())


@behave.then('the command exits with code {code:d} and prints "{message}"')
def step_impl(context: runner.Context, code: int, message: str) -> None:
    printed = context.subject.getvalue()
    assert context.exit_code == code and message in printed, printed
